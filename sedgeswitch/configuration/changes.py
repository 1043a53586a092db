"""Changes of the configuration and the answers to them, with their JSON encoding."""

import typing

import msgspec

from sedgeswitch.configuration import operations
from sedgeswitch.keys import key_format
from sedgeswitch.utils import checks
from sedgeswitch.utils import records

MAX_CHANGE_BYTES = 1024 * 1024
MAX_OPERATIONS = 10_000

Version = typing.Annotated[int, msgspec.Meta(ge=0)]
_FIELDS = ("base_version", "request_id", "author", "operations")


class Change(typing.NamedTuple):
    """A change that an operator proposes.

    Attributes
    ----------
    base_version : int
        Version of the configuration that the change is based on.
    request_id : str
        Idempotency key: the same for every resend of the change.
    author : str
        Name of the operator.
    operations : tuple of Operation
    """

    base_version: int
    request_id: str
    author: str
    operations: tuple[operations.Operation, ...]


class Accepted(typing.NamedTuple):
    """The answer to a change that was applied.

    Attributes
    ----------
    version : int
        Version of the configuration after the change.
    """

    version: int


class VersionConflict(typing.NamedTuple):
    """The answer to a change that is based on an outdated version; it had no effect.

    Attributes
    ----------
    base_version : int
        Version that the change is based on.
    version : int
        Current version when the change was applied.
    """

    base_version: int
    version: int


class Rejected(typing.NamedTuple):
    """The answer to an invalid change; it had no effect.

    Attributes
    ----------
    field : str
        Path of the invalid field.
    allowed : str
        Description of the allowed values.
    given : str
        The value given, shortened and without API keys.
    """

    field: str
    allowed: str
    given: str


Answer = Accepted | VersionConflict | Rejected
_ANSWER_TYPES = {
    "accepted": Accepted,
    "version_conflict": VersionConflict,
    "rejected": Rejected,
}
_ANSWER_NAMES = {kind: name for name, kind in _ANSWER_TYPES.items()}


class _ChangeHeader(typing.NamedTuple):
    """The fields of a change except its operations, as they are in JSON."""

    base_version: Version
    request_id: records.Name
    author: records.Name


def build_change(plain: typing.Any) -> Change:
    """Return the change that a decoded JSON value describes.

    Raises
    ------
    CheckError
        If a field is unknown, missing or invalid.
    """
    if not isinstance(plain, dict):
        raise checks.CheckError("change", "an object", plain)
    header = {name: value for name, value in plain.items() if name != "operations"}
    for name in header:
        checks.check_choice("change", name, _FIELDS)
    header = records.build_record(_ChangeHeader, header)
    steps = operations.build_operations(plain.get("operations"))
    if not 1 <= len(steps) <= MAX_OPERATIONS:
        allowed = f"1 to {MAX_OPERATIONS} operations"
        raise checks.CheckError("operations", allowed, len(steps))
    return Change(*header, steps)


def encode_change(change: Change) -> bytes:
    """Encode a change as JSON; equal changes give equal bytes."""
    plain = records.to_plain(change)
    plain["operations"] = [operations.to_plain(step) for step in change.operations]
    return records.encode_json(plain)


def decode_change(body: bytes) -> Change:
    """Decode a change from JSON.

    Raises
    ------
    CheckError
        If the text is longer than `MAX_CHANGE_BYTES` or not JSON, or as
        `build_change` does.
    """
    if len(body) > MAX_CHANGE_BYTES:
        raise checks.CheckError(
            "change", f"at most {MAX_CHANGE_BYTES} bytes", len(body)
        )
    return build_change(records.decode_json(body, "change"))


def build_rejected(error: checks.CheckError) -> Rejected:
    """Return the answer to an invalid change, with API keys redacted."""
    return Rejected(
        error.field, error.allowed, key_format.redact(repr(error.given)[:200])
    )


def answer_to_plain(answer: Answer) -> dict[str, typing.Any]:
    """Return an answer as a dictionary; its field ``kind`` names the type."""
    return {"kind": _ANSWER_NAMES[type(answer)], **answer._asdict()}


def build_answer(plain: dict[str, typing.Any]) -> Answer:
    """Return the answer that a decoded JSON value describes.

    Raises
    ------
    CheckError
        If the value does not describe an answer.
    """
    fields = dict(plain)
    kind = checks.check_choice("kind", fields.pop("kind", None), _ANSWER_TYPES)
    return records.build_record(_ANSWER_TYPES[kind], fields)


def encode_answer(answer: Answer) -> bytes:
    """Encode an answer as JSON."""
    return records.encode_json(answer_to_plain(answer))


def decode_answer(body: bytes) -> Answer:
    """Decode an answer from JSON.

    Raises
    ------
    CheckError
        If the text is not JSON or does not describe an answer.
    """
    return build_answer(records.decode_json(body, "answer"))
