"""Conversion between JSON documents and `NamedTuple` records.

A record is a `NamedTuple` whose fields are annotated with scalars, other
records, ``tuple[item, ...]``, ``Mapping[str, item]``, ``Literal`` or a union of
these. ``typing.Annotated`` with `msgspec.Meta` restricts the values of a scalar.
Records are not passed to `msgspec` directly, because it encodes a `NamedTuple` as
an array, without the names of its fields.

A plain value consists of dictionaries, lists and scalars, as JSON does.
"""

import collections.abc
import functools
import re
import types
import typing

import msgspec

from sedgeswitch.utils import checks

EMPTY_MAPPING: typing.Mapping = types.MappingProxyType({})

NAME_PATTERN = r"\A[A-Za-z0-9._-]{1,64}\Z"
Name = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=NAME_PATTERN,
        description="1 to 64 letters, digits, '-', '_' or '.'",
    ),
]

# Converts a plain value at a path into a value of the type of the field.
_Builder = typing.Callable[[typing.Any, str], typing.Any]

_SCALAR_DESCRIPTIONS = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    types.NoneType: "null",
}
# Keys are sorted so that equal records are encoded as equal bytes on all hosts.
_ENCODER = msgspec.json.Encoder(order="sorted")


def decode_json(body: bytes, field: str = "document") -> typing.Any:
    """Decode JSON into a plain value.

    Parameters
    ----------
    body : bytes
    field : str
        Name of the text in error messages.

    Raises
    ------
    CheckError
        If `body` is not valid JSON.
    """
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise checks.CheckError(field, f"JSON ({error})", body[:40]) from error


def encode_json(value: typing.Any) -> bytes:
    """Encode a plain value or a record as JSON with sorted keys."""
    return _ENCODER.encode(to_plain(value))


def to_plain(value: typing.Any) -> typing.Any:
    """Convert a record, with everything in it, into a plain value.

    Examples
    --------
    >>> class Point(typing.NamedTuple):
    ...     x: int
    >>> to_plain(Point(3))
    {'x': 3}
    """
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        fields = zip(value._fields, value, strict=True)
        return {name: to_plain(item) for name, item in fields}
    if isinstance(value, collections.abc.Mapping):
        return {key: to_plain(item) for key, item in value.items()}
    if isinstance(value, (tuple, list)):
        return [to_plain(item) for item in value]
    return value


def build_record(
    record_type: type, document: typing.Any, field: str = ""
) -> typing.Any:
    """Validate a plain value and return the record that it describes.

    Parameters
    ----------
    record_type : type
        A `NamedTuple` class.
    document : object
        A mapping of field names to plain values.
    field : str
        Path of the document, for error messages.

    Returns
    -------
    NamedTuple

    Raises
    ------
    CheckError
        If `document` is not a mapping, or a field is unknown, missing or invalid.
    """
    if not isinstance(document, collections.abc.Mapping):
        raise checks.CheckError(field or "document", "an object", document)
    builders = _get_builders(record_type)
    for name in document:
        if name not in builders:
            allowed = f"one of the fields {', '.join(builders)}"
            raise checks.CheckError(_join_path(field, str(name)), allowed, name)
    values = {}
    for name, build in builders.items():
        if name in document:
            values[name] = build(document[name], _join_path(field, name))
        elif name not in record_type._field_defaults:
            hint = record_type.__annotations__[name]
            raise checks.CheckError(_join_path(field, name), _describe(hint), "nothing")
    return record_type(**values)


# Cached because a document contains thousands of items of a few types.
@functools.cache
def _get_builders(record_type: type) -> dict[str, _Builder]:
    hints = typing.get_type_hints(record_type, include_extras=True)
    return {name: _compile_builder(hint) for name, hint in hints.items()}


def _compile_builder(hint: typing.Any) -> _Builder:
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (typing.Union, types.UnionType):
        return functools.partial(
            _build_union, hint, tuple(map(_compile_builder, arguments))
        )
    if origin is tuple:
        return functools.partial(_build_tuple, hint, _compile_builder(arguments[0]))
    if origin is collections.abc.Mapping:
        return functools.partial(
            _build_mapping, hint, *map(_compile_builder, arguments)
        )
    if origin is typing.Literal:
        return functools.partial(_build_literal, hint, arguments)
    if hasattr(hint, "_fields"):
        return functools.partial(build_record, hint)
    if origin is typing.Annotated and arguments[1].pattern is not None:
        pattern = re.compile(arguments[1].pattern)
        return functools.partial(_build_text, hint, pattern)
    return functools.partial(_build_scalar, hint)


def _build_text(
    hint: typing.Any, pattern: re.Pattern, value: typing.Any, field: str
) -> str:
    if not isinstance(value, str) or pattern.search(value) is None:
        raise checks.CheckError(field, _describe(hint), value)
    return value


def _build_literal(
    hint: typing.Any, choices: tuple, value: typing.Any, field: str
) -> typing.Any:
    if value not in choices:
        raise checks.CheckError(field, _describe(hint), value)
    return value


def _build_scalar(hint: typing.Any, value: typing.Any, field: str) -> typing.Any:
    if type(value) is hint:
        return value
    try:
        return msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        raise checks.CheckError(field, _describe(hint), value) from error


def _join_path(field: str, name: str) -> str:
    return f"{field}.{name}" if field else name


def _build_union(
    hint: typing.Any, options: tuple[_Builder, ...], value: typing.Any, field: str
) -> typing.Any:
    failure = None
    for build in options:
        try:
            return build(value, field)
        except checks.CheckError as error:
            # An error in a nested field is more specific than the list of options.
            if failure is None or error.field != field:
                failure = error
    if failure.field != field:
        raise failure
    raise checks.CheckError(field, _describe(hint), value)


def _build_tuple(
    hint: typing.Any, build_item: _Builder, value: typing.Any, field: str
) -> tuple:
    if not isinstance(value, (list, tuple)):
        raise checks.CheckError(field, _describe(hint), value)
    return tuple(
        build_item(item, f"{field}[{position}]") for position, item in enumerate(value)
    )


def _build_mapping(
    hint: typing.Any,
    build_key: _Builder,
    build_item: _Builder,
    value: typing.Any,
    field: str,
) -> dict:
    if not isinstance(value, collections.abc.Mapping):
        raise checks.CheckError(field, _describe(hint), value)
    items = {}
    for key, item in value.items():
        path = _join_path(field, str(key))
        items[build_key(key, path)] = build_item(item, path)
    return items


def _describe(hint: typing.Any) -> str:
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (typing.Union, types.UnionType):
        return " or ".join(_describe(option) for option in arguments)
    if origin is typing.Literal:
        return " or ".join(repr(option) for option in arguments)
    if origin is typing.Annotated:
        return _describe_limits(arguments[0], arguments[1])
    if origin is tuple:
        return f"a list of {_describe(arguments[0])}"
    if origin is collections.abc.Mapping or hasattr(hint, "_fields"):
        return "an object"
    return _SCALAR_DESCRIPTIONS.get(hint, "a value")


def _describe_limits(scalar: type, limits: msgspec.Meta) -> str:
    if limits.description:
        return limits.description
    words = [_SCALAR_DESCRIPTIONS[scalar]]
    if limits.ge is not None:
        words.append(f"from {limits.ge}")
    if limits.gt is not None:
        words.append(f"above {limits.gt}")
    if limits.le is not None:
        words.append(f"to {limits.le}")
    if limits.min_length is not None:
        words.append(f"of at least {limits.min_length} characters")
    return " ".join(words)
