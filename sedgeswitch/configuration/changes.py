"""Changes of the configuration and the answers to them."""

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
    """A change that an operator asks for.

    Attributes
    ----------
    base_version : int
        Version that the change was made from.
    request_id : str
        The same for every resend of the change.
    author : str
    operations : tuple of Operation
    """

    base_version: int
    request_id: str
    author: str
    operations: tuple[operations.Operation, ...]


class Accepted(typing.NamedTuple):
    """The change is in force.

    Attributes
    ----------
    version : int
        Version that it made.
    """

    version: int


class VersionConflict(typing.NamedTuple):
    """Another change came first; nothing was changed.

    Attributes
    ----------
    base_version : int
        Version that the change was made from.
    version : int
        Version in force when it arrived.
    """

    base_version: int
    version: int


class Rejected(typing.NamedTuple):
    """The change is not allowed; nothing was changed.

    Attributes
    ----------
    field : str
    allowed : str
    given : str
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


class _Head(typing.NamedTuple):
    base_version: Version
    request_id: records.Name
    author: records.Name


def build_change(plain: typing.Any) -> Change:
    """Return the change that a plain JSON value describes.

    Raises
    ------
    CheckError
        If a field is unknown, missing or not allowed.
    """
    if not isinstance(plain, dict):
        raise checks.CheckError("change", "an object", plain)
    head = {name: value for name, value in plain.items() if name != "operations"}
    for name in head:
        checks.check_choice("change", name, _FIELDS)
    head = records.build_record(_Head, head)
    steps = operations.build_operations(plain.get("operations"))
    if not 1 <= len(steps) <= MAX_OPERATIONS:
        allowed = f"1 to {MAX_OPERATIONS} operations"
        raise checks.CheckError("operations", allowed, len(steps))
    return Change(*head, steps)


def encode_change(change: Change) -> bytes:
    """Return the JSON text of a change; equal changes give equal bytes."""
    plain = records.to_plain(change)
    plain["operations"] = [operations.to_plain(step) for step in change.operations]
    return records.encode_json(plain)


def decode_change(body: bytes) -> Change:
    """Return the change that a JSON text holds.

    Raises
    ------
    CheckError
        If it is too long, or as `build_change` does.
    """
    if len(body) > MAX_CHANGE_BYTES:
        raise checks.CheckError(
            "change", f"at most {MAX_CHANGE_BYTES} bytes", len(body)
        )
    return build_change(records.decode_json(body, "change"))


def build_rejected(error: checks.CheckError) -> Rejected:
    """Return the answer to a change that a check refused, without any key."""
    return Rejected(
        error.field, error.allowed, key_format.redact(repr(error.given)[:200])
    )


def answer_to_plain(answer: Answer) -> dict[str, typing.Any]:
    """Return an answer as a plain JSON value, told apart by ``kind``."""
    return {"kind": _ANSWER_NAMES[type(answer)], **answer._asdict()}


def build_answer(plain: dict[str, typing.Any]) -> Answer:
    """Return the answer that a plain JSON value describes.

    Raises
    ------
    CheckError
        If the value is no answer.
    """
    fields = dict(plain)
    kind = checks.check_choice("kind", fields.pop("kind", None), _ANSWER_TYPES)
    return records.build_record(_ANSWER_TYPES[kind], fields)


def encode_answer(answer: Answer) -> bytes:
    """Return the JSON text of an answer."""
    return records.encode_json(answer_to_plain(answer))


def decode_answer(body: bytes) -> Answer:
    """Return the answer that a JSON text holds.

    Raises
    ------
    CheckError
        If the text holds no answer.
    """
    return build_answer(records.decode_json(body, "answer"))
