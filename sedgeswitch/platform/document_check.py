"""Checks a configuration file of the platform and lists all errors in it."""

import collections.abc
import functools
import re
import typing

import msgspec

from sedgeswitch.databases import documents as product_documents
from sedgeswitch.databases import findings
from sedgeswitch.databases import formats
from sedgeswitch.platform import documents
from sedgeswitch.utils import checks

# Place of an error that concerns the whole file.
WHOLE_FILE = "document"

# Places whose errors leave the names of services unknown.
_SERVICE_NAME = re.compile(r"services(\[\d+\](\.name)?)?\Z")


class _Instance(typing.TypedDict):
    id: str
    service: str
    zone: str
    slots: typing.Annotated[int, msgspec.Meta(ge=0)]


@formats.register_format(formats.RELAY)
class RelayFormat(formats.Format):
    """The configuration of a relay fleet."""

    def check(self, text: bytes) -> formats.Checked:
        """Check a file; any bytes are allowed."""
        try:
            configuration = documents.decode_configuration(text)
        except checks.CheckError as error:
            errors = find_type_errors(text, error)
            return formats.Checked(None, errors, (), str)
        document = documents.build_document(configuration)
        faults = documents.find_faults(configuration, document)
        return formats.Checked(
            document,
            tuple(map(_build_finding, faults)),
            tuple(find_unused_routes(configuration)),
            documents.Places(configuration).name_place,
        )

    def decode_instances(self, text: bytes) -> tuple[findings.Instance, ...]:
        """Return the instances of a JSON list with id, service, zone and slots."""
        try:
            items = msgspec.json.decode(text, type=list[_Instance])
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise checks.CheckError(
                "instances",
                "a JSON list of objects with id, service, zone and slots",
                str(error),
            ) from error
        return tuple(
            findings.Instance(item["id"], item["service"], item["zone"], item["slots"])
            for item in items
        )

    def convert_value(
        self, location: product_documents.Location, value: typing.Any
    ) -> typing.Any:
        """Return a value of a document as the file states it."""
        return documents.convert_value(location, value)


def find_type_errors(
    text: bytes, error: checks.CheckError
) -> tuple[findings.PlacedFinding, ...]:
    """Return all errors of a file that the decoder refuses.

    Missing fields and those of a wrong type are replaced, so that the other checks can
    run as well. Errors that follow from a replaced field are left out.

    Parameters
    ----------
    text : bytes
    error : checks.CheckError
        The error of the decoder, which is returned if the file is not JSON.
    """
    try:
        plain = msgspec.json.decode(text)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return (findings.PlacedFinding(WHOLE_FILE, str(error.given)),)
    errors: list[findings.PlacedFinding] = []
    configuration = _repair(plain, documents.Configuration, "", errors)
    if not errors:
        return (findings.PlacedFinding(WHOLE_FILE, str(error.given)),)
    places = {item.place for item in errors}
    services_unknown = any(map(_SERVICE_NAME.match, places))
    document = documents.build_document(configuration)
    for fault in documents.find_faults(configuration, document):
        is_follow_up = _is_inside(fault.place, places) or (
            services_unknown and fault.place.endswith(".service")
        )
        if not is_follow_up:
            errors.append(_build_finding(fault))
    return tuple(errors)


def _is_inside(place: str, places: collections.abc.Iterable[str]) -> bool:
    return any(
        place == outer or place.startswith((f"{outer}.", f"{outer}["))
        for outer in places
    )


def _repair(
    value: typing.Any,
    hint: typing.Any,
    place: str,
    errors: list[findings.PlacedFinding],
) -> typing.Any:
    """Return a value of the type `hint`; errors of `value` are appended to `errors`."""
    if typing.is_typeddict(hint):
        return _repair_object(value, hint, place, errors)
    if typing.get_origin(hint) is list:
        if not isinstance(value, list):
            _append_type_error(errors, place, "a list")
            return []
        (item_hint,) = typing.get_args(hint)
        return [
            _repair(item, item_hint, f"{place}[{position}]", errors)
            for position, item in enumerate(value)
        ]
    try:
        return msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        errors.append(findings.PlacedFinding(place or WHOLE_FILE, str(error)))
        return _build_replacement(hint, place)


def _repair_object(
    value: typing.Any,
    hint: typing.Any,
    place: str,
    errors: list[findings.PlacedFinding],
) -> dict[str, typing.Any]:
    is_object = isinstance(value, dict)
    if not is_object:
        _append_type_error(errors, place, "an object")
        value = {}
    repaired = {}
    for name, field_hint in _list_fields(hint).items():
        field_place = f"{place}.{name}" if place else name
        if name in value:
            repaired[name] = _repair(value[name], field_hint, field_place, errors)
        elif name in hint.__required_keys__:
            if is_object:
                errors.append(findings.PlacedFinding(field_place, "it is missing"))
            repaired[name] = _build_replacement(field_hint, field_place)
    return repaired


# Cached because a document contains thousands of items of a few types.
@functools.cache
def _list_fields(hint: typing.Any) -> dict[str, typing.Any]:
    return {
        name: typing.get_args(field_hint)[0]
        if typing.get_origin(field_hint) is typing.NotRequired
        else field_hint
        for name, field_hint in typing.get_type_hints(hint, include_extras=True).items()
    }


def _build_replacement(hint: typing.Any, place: str) -> typing.Any:
    """Return a value that causes no error elsewhere; texts are unique."""
    if typing.get_origin(hint) is list:
        return []
    return place if hint is str else 1


def _append_type_error(
    errors: list[findings.PlacedFinding], place: str, expected: str
) -> None:
    errors.append(findings.PlacedFinding(place or WHOLE_FILE, f"expected {expected}"))


def _build_finding(fault: documents.Fault) -> findings.PlacedFinding:
    error = fault.error
    detail = f"expected {error.allowed}, got {error.given!r}"
    return findings.PlacedFinding(fault.place, detail)


def find_unused_routes(
    configuration: documents.Configuration,
) -> collections.abc.Iterator[findings.PlacedFinding]:
    """Yield routes behind another one of the same host, and how they contradict it."""
    first_by_host: dict[str, int] = {}
    routes = configuration["routes"]
    for position, route in enumerate(routes):
        first = first_by_host.setdefault(route["host"], position)
        if first == position:
            continue
        place = f"routes[{position}]"
        yield findings.PlacedFinding(
            place,
            f"routes[{first}] of the same host {route['host']!r} defines the database;"
            " this route is not used",
        )
        used = documents.list_route_values(routes[first])
        for field, value in documents.list_route_values(route).items():
            if value != used[field]:
                yield findings.PlacedFinding(
                    f"{place}.{field}",
                    f"{value!r} is not used; routes[{first}] of the same database has"
                    f" {used[field]!r}",
                )
