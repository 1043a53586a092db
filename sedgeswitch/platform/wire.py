"""The platform's line protocol, which clients and instances use.

A line consists of a keyword and its fields, separated by blanks, and ends with
CR LF. The last field extends to the end of the line.
"""

import typing

import trio

from sedgeswitch.drivers import sessions
from sedgeswitch.groups import positions
from sedgeswitch.transport import sockets

MAX_LINE_BYTES = 1024 * 1024
RECEIVE_BYTES = 16 * 1024
LINE_END = b"\r\n"
# Placeholder for an absent statement id, position or other field.
NONE = b"-"
# Longest number that certainly fits into the 64 bits of messages between hosts.
_MAX_DIGITS = 18

FAILURE_BY_CODE = {
    b"BUSY": sessions.Failure.OVERLOADED,
    b"LAGGING": sessions.Failure.BEHIND,
    b"READONLY": sessions.Failure.READ_ONLY,
    b"WRONGNODE": sessions.Failure.WRONG_INSTANCE,
    b"CONNLIMIT": sessions.Failure.TOO_MANY_CONNECTIONS,
    b"ABORTED": sessions.Failure.ABORTED,
    b"NOSTMT": sessions.Failure.UNKNOWN_STATEMENT,
    b"NOAUTH": sessions.Failure.UNAUTHENTICATED,
    b"NODB": sessions.Failure.UNKNOWN_DATABASE,
    b"TOOLARGE": sessions.Failure.TOO_LARGE,
    b"MALFORMED": sessions.Failure.MALFORMED,
    b"FAILED": sessions.Failure.FAILED,
    b"TIMEOUT": sessions.Failure.TIMED_OUT,
    b"INDOUBT": sessions.Failure.IN_DOUBT,
}
CODE_BY_FAILURE = {failure: code for code, failure in FAILURE_BY_CODE.items()}

# Transaction states in READY lines; a failed transaction can only be ended.
IDLE = b"I"
IN_TRANSACTION = b"T"
FAILED_TRANSACTION = b"E"


class LineError(Exception):
    """A peer sent an unexpected line, or one that is too long."""


class LineReader:
    """Reads lines from a stream.

    Parameters
    ----------
    stream : trio.abc.ReceiveStream
    """

    def __init__(self, stream: trio.abc.ReceiveStream):
        self._stream = stream
        self._buffer = bytearray()

    @property
    def has_data(self) -> bool:
        """Whether bytes were received that `read` has not returned yet."""
        return bool(self._buffer)

    def receive_available(self) -> bool:
        """Receive what has arrived, without waiting; return `has_data`.

        No task may be in `read`.

        Raises
        ------
        trio.BrokenResourceError
            If the connection is lost.
        """
        self._buffer += sockets.receive_nonblocking(self._stream, RECEIVE_BYTES)
        return self.has_data

    async def read(self) -> bytes | None:
        """Return the next line without its CR LF, None at the end of the stream.

        Raises
        ------
        LineError
            If a line is longer than MAX_LINE_BYTES.
        """
        buffer = self._buffer
        search_start = 0
        while True:
            end = buffer.find(LINE_END, search_start)
            if end >= 0:
                line = bytes(buffer[:end])
                del buffer[: end + len(LINE_END)]
                return line
            if len(buffer) > MAX_LINE_BYTES:
                raise LineError(f"line: expected at most {MAX_LINE_BYTES} bytes")
            search_start = max(len(buffer) - 1, 0)
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                return None
            buffer += data


def encode_line(*fields: bytes) -> bytes:
    """Return a line of the given fields, with its CR LF."""
    return b" ".join(fields) + LINE_END


def decode_number(field: bytes) -> int | None:
    """Return the number in a field, None if it is malformed or too large."""
    if field.isdigit() and len(field) <= _MAX_DIGITS:
        return int(field)
    return None


def decode_position(field: bytes) -> positions.Position | None:
    """Return the log position in a field, None if it is absent or malformed."""
    term_field, _, number_field = field.partition(b".")
    term = decode_number(term_field)
    number = decode_number(number_field)
    if term is None or number is None:
        return None
    return positions.Position(term, number)


def encode_position(position: positions.Position | None) -> bytes:
    """Return the field for a log position, such as ``3.7`` or ``-`` for None."""
    if position is None:
        return NONE
    return b"%d.%d" % position


class Ready(typing.NamedTuple):
    """The fields of the READY line, which ends each answer.

    Attributes
    ----------
    state : bytes
        IDLE, IN_TRANSACTION or FAILED_TRANSACTION.
    position : positions.Position or None
        Log position of the instance.
    """

    state: bytes
    position: positions.Position | None


def decode_ready(fields: bytes) -> Ready:
    """Return the fields that follow the keyword READY."""
    state, _, position = fields.partition(b" ")
    return Ready(state, decode_position(position))
