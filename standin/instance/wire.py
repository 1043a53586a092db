"""Messages of version 3 of the PostgreSQL frontend/backend protocol.

`Decoder` decodes the bytes of a client into typed messages; the ``encode_``
functions encode the messages of the server.
"""

import enum
import struct
import typing

PROTOCOL_VERSION = 196608
SSL_REQUEST_CODE = 80877103
GSS_REQUEST_CODE = 80877104
CANCEL_REQUEST_CODE = 80877102

MAX_STARTUP_BYTES = 10_000
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

TEXT_OID = 25
TEXT_FORMAT = 0
BINARY_FORMAT = 1
NULL_LENGTH = -1

ENCRYPTION_REFUSED = b"N"


class ProtocolError(Exception):
    """The received bytes are not a valid message of the protocol."""


class EncryptionRequest(typing.NamedTuple):
    """Requests an encrypted connection (SSLRequest or GSSENCRequest)."""


class CancelRequest(typing.NamedTuple):
    """Requests to cancel the running statement of another connection."""

    process_id: int
    secret: int


class Startup(typing.NamedTuple):
    """Opens a session (StartupMessage)."""

    parameters: dict[str, str]


class Query(typing.NamedTuple):
    """Runs statements in the simple query protocol."""

    sql: str


class Parse(typing.NamedTuple):
    """Prepares a statement."""

    name: str
    sql: str
    parameter_oids: tuple[int, ...]


class Bind(typing.NamedTuple):
    """Creates a portal: a prepared statement with parameter values."""

    portal: str
    statement: str
    formats: tuple[int, ...]
    values: tuple[bytes | None, ...]
    result_formats: tuple[int, ...]


class TargetKind(enum.Enum):
    """Kind of the object that a Describe or Close message names."""

    STATEMENT = b"S"
    PORTAL = b"P"


class Describe(typing.NamedTuple):
    """Requests the description of a prepared statement or portal."""

    kind: TargetKind
    name: str


class Close(typing.NamedTuple):
    """Removes a prepared statement or portal."""

    kind: TargetKind
    name: str


class Execute(typing.NamedTuple):
    """Runs a portal; a `row_limit` of 0 means no limit."""

    portal: str
    row_limit: int


class Sync(typing.NamedTuple):
    """Ends a series of messages of the extended query protocol."""


class Flush(typing.NamedTuple):
    """Requests the responses that are still buffered."""


class Terminate(typing.NamedTuple):
    """Ends the session."""


Message = (
    EncryptionRequest
    | CancelRequest
    | Startup
    | Query
    | Parse
    | Bind
    | Describe
    | Close
    | Execute
    | Sync
    | Flush
    | Terminate
)


class _FieldReader:
    """Reads the fields of one message body, in their order."""

    def __init__(self, body: bytes):
        self._body = body
        self._offset = 0

    def read_bytes(self, length: int) -> bytes:
        end = self._offset + length
        if length < 0 or end > len(self._body):
            raise ProtocolError(
                f"length of the field at offset {self._offset}: expected 0 to "
                f"{len(self._body) - self._offset} bytes, got {length}"
            )
        data = self._body[self._offset : end]
        self._offset = end
        return data

    def read_int16(self) -> int:
        return int.from_bytes(self.read_bytes(2), "big", signed=True)

    def read_int32(self) -> int:
        return int.from_bytes(self.read_bytes(4), "big", signed=True)

    def read_text(self) -> str:
        end = self._body.find(b"\0", self._offset)
        if end < 0:
            raise ProtocolError(
                f"text at offset {self._offset}: expected a terminating zero byte, "
                "got none"
            )
        raw = self.read_bytes(end - self._offset)
        self._offset += 1
        return _decode_utf8(raw)

    def read_count(self) -> int:
        count = self.read_int16()
        if count < 0:
            raise ProtocolError(f"number of items: expected 0 or more, got {count}")
        return count

    def read_int16s(self) -> tuple[int, ...]:
        return tuple(self.read_int16() for _ in range(self.read_count()))

    def read_int32s(self) -> tuple[int, ...]:
        return tuple(self.read_int32() for _ in range(self.read_count()))

    def read_value(self) -> bytes | None:
        length = self.read_int32()
        return None if length == NULL_LENGTH else self.read_bytes(length)

    def check_end(self) -> None:
        if self._offset != len(self._body):
            raise ProtocolError(
                f"message body: expected {self._offset} bytes, got {len(self._body)}"
            )


def _decode_utf8(raw: bytes) -> str:
    try:
        return raw.decode()
    except UnicodeDecodeError as error:
        raise ProtocolError(f"text: expected UTF-8: {error}") from error


def _read_target(fields: _FieldReader) -> tuple[TargetKind, str]:
    kind = fields.read_bytes(1)
    try:
        return TargetKind(kind), fields.read_text()
    except ValueError as error:
        raise ProtocolError(
            f"kind of the target: expected b'S' or b'P', got {kind!r}"
        ) from error


def _read_bind(fields: _FieldReader) -> Bind:
    portal = fields.read_text()
    statement = fields.read_text()
    formats = fields.read_int16s()
    values = tuple(fields.read_value() for _ in range(fields.read_count()))
    return Bind(portal, statement, formats, values, fields.read_int16s())


_MESSAGE_PARSERS: dict[bytes, typing.Callable[[_FieldReader], Message]] = {
    b"Q": lambda fields: Query(fields.read_text()),
    b"P": lambda fields: Parse(
        fields.read_text(), fields.read_text(), fields.read_int32s()
    ),
    b"B": _read_bind,
    b"D": lambda fields: Describe(*_read_target(fields)),
    b"C": lambda fields: Close(*_read_target(fields)),
    b"E": lambda fields: Execute(fields.read_text(), fields.read_int32()),
    b"S": lambda _: Sync(),
    b"H": lambda _: Flush(),
    b"X": lambda _: Terminate(),
}


class Decoder:
    """Decodes the bytes of one client into messages.

    Parameters
    ----------
    is_started : bool
        Whether the startup message was already received.

    Examples
    --------
    >>> decoder = Decoder(is_started=True)
    >>> decoder.feed(b"S" + (4).to_bytes(4, "big"))
    >>> decoder.read_message()
    Sync()
    """

    def __init__(self, is_started: bool = False):
        self._is_started = is_started
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def read_message(self) -> Message | None:
        """Return the next message, or None if more bytes are needed.

        Raises
        ------
        ProtocolError
            If the bytes are not a valid message.  The decoder can't be used
            after that.
        """
        if self._is_started:
            return self._read_typed()
        return self._read_startup()

    def _read_startup(self) -> Message | None:
        body = self._read_body(0, MAX_STARTUP_BYTES)
        if body is None:
            return None
        fields = _FieldReader(body)
        code = fields.read_int32()
        if code in (SSL_REQUEST_CODE, GSS_REQUEST_CODE):
            return EncryptionRequest()
        if code == CANCEL_REQUEST_CODE:
            return CancelRequest(fields.read_int32(), fields.read_int32())
        if code >> 16 != PROTOCOL_VERSION >> 16:
            raise ProtocolError(
                f"major version of the protocol: expected {PROTOCOL_VERSION >> 16}, "
                f"got {code >> 16}"
            )
        self._is_started = True
        return Startup(_read_parameters(fields))

    def _read_typed(self) -> Message | None:
        if not self._buffer:
            return None
        code = bytes(self._buffer[:1])
        if code not in _MESSAGE_PARSERS:
            raise ProtocolError(
                "type of the message: expected one of "
                f"{b''.join(_MESSAGE_PARSERS)!r}, got {code!r}"
            )
        body = self._read_body(1, MAX_MESSAGE_BYTES)
        if body is None:
            return None
        fields = _FieldReader(body)
        message = _MESSAGE_PARSERS[code](fields)
        fields.check_end()
        return message

    def _read_body(self, start: int, max_bytes: int) -> bytes | None:
        header_end = start + 4
        if len(self._buffer) < header_end:
            return None
        length = int.from_bytes(self._buffer[start:header_end], "big", signed=True)
        if not 4 <= length <= max_bytes:
            raise ProtocolError(
                f"length of the message: expected 4 to {max_bytes} bytes, got {length}"
            )
        end = start + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[header_end:end])
        del self._buffer[:end]
        return body


def _read_parameters(fields: _FieldReader) -> dict[str, str]:
    parameters: dict[str, str] = {}
    while name := fields.read_text():
        parameters[name] = fields.read_text()
    return parameters


def _encode(code: bytes, *parts: bytes) -> bytes:
    body = b"".join(parts)
    return code + struct.pack("!i", len(body) + 4) + body


def _encode_text(text: str) -> bytes:
    return text.encode() + b"\0"


def encode_authentication_ok() -> bytes:
    """Return AuthenticationOk, which accepts the session."""
    return _encode(b"R", struct.pack("!i", 0))


def encode_parameter_status(name: str, value: str) -> bytes:
    """Return ParameterStatus, which reports a setting of the server."""
    return _encode(b"S", _encode_text(name), _encode_text(value))


def encode_backend_key(process_id: int, secret: int) -> bytes:
    """Return BackendKeyData, the key for cancel requests."""
    return _encode(b"K", struct.pack("!iI", process_id, secret))


def encode_ready(transaction_status: bytes) -> bytes:
    """Return ReadyForQuery; the status is ``I``, ``T`` or ``E``."""
    return _encode(b"Z", transaction_status)


def encode_row_description(
    columns: typing.Sequence[str], formats: typing.Sequence[int] = ()
) -> bytes:
    """Return RowDescription; each column has the type text."""
    parts = [struct.pack("!h", len(columns))]
    for position, name in enumerate(columns):
        field = struct.pack(
            "!ihihih", 0, 0, TEXT_OID, -1, -1, get_format(formats, position)
        )
        parts.append(_encode_text(name) + field)
    return _encode(b"T", *parts)


def get_format(formats: typing.Sequence[int], position: int) -> int:
    """Return the format code of the value at `position`.

    Without format codes all values are text; a single code applies to all values.
    """
    if not formats:
        return TEXT_FORMAT
    if len(formats) == 1:
        return formats[0]
    return formats[position] if position < len(formats) else TEXT_FORMAT


def encode_data_row(values: typing.Sequence[str | None]) -> bytes:
    """Return DataRow, one row of a result; None is NULL."""
    parts = [struct.pack("!h", len(values))]
    for value in values:
        if value is None:
            parts.append(struct.pack("!i", NULL_LENGTH))
            continue
        raw = value.encode()
        parts.append(struct.pack("!i", len(raw)) + raw)
    return _encode(b"D", *parts)


def encode_command_complete(command_tag: str) -> bytes:
    """Return CommandComplete with a command tag such as ``INSERT 0 1``."""
    return _encode(b"C", _encode_text(command_tag))


def encode_parameter_description(oids: typing.Sequence[int]) -> bytes:
    """Return ParameterDescription, the types of a statement's parameters."""
    parts = [struct.pack("!i", oid) for oid in oids]
    return _encode(b"t", struct.pack("!h", len(oids)), *parts)


def encode_error(sqlstate: str, message: str, is_fatal: bool) -> bytes:
    """Return ErrorResponse with severity FATAL or ERROR."""
    severity = "FATAL" if is_fatal else "ERROR"
    fields = (("S", severity), ("V", severity), ("C", sqlstate), ("M", message))
    parts = [code.encode() + _encode_text(text) for code, text in fields]
    return _encode(b"E", *parts, b"\0")


def encode_parse_complete() -> bytes:
    """Return ParseComplete, the response to `Parse`."""
    return _encode(b"1")


def encode_bind_complete() -> bytes:
    """Return BindComplete, the response to `Bind`."""
    return _encode(b"2")


def encode_close_complete() -> bytes:
    """Return CloseComplete, the response to `Close`."""
    return _encode(b"3")


def encode_no_data() -> bytes:
    """Return NoData, the description of a statement without columns."""
    return _encode(b"n")


def encode_empty_query() -> bytes:
    """Return EmptyQueryResponse."""
    return _encode(b"I")
