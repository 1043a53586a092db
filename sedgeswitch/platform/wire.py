"""The platform's line protocol, which callers and instances speak alike.

A line holds a word and its fields, separated by blanks and ended by CR LF; the
last field extends to the end of the line.
"""

import typing

import trio

from sedgeswitch.drivers import sessions
from sedgeswitch.groups import positions

MAX_LINE_BYTES = 1024 * 1024
RECEIVE_BYTES = 16 * 1024
LINE_END = b"\r\n"
# Statement id and position where there is none.
NONE = b"-"

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

# States of a session in READY lines.
IDLE = b"I"
IN_TRANSACTION = b"T"
FAILED_TRANSACTION = b"E"


class LineError(Exception):
    """A peer sent something that is no line, or one that is too long."""


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
        """Whether bytes have been received that no line has taken."""
        return bool(self._buffer)

    async def read(self) -> bytes | None:
        """Return the next line without its end, None at the end of the stream.

        Raises
        ------
        LineError
            If a line is too long.
        """
        buffer = self._buffer
        searched = 0
        while True:
            end = buffer.find(LINE_END, searched)
            if end >= 0:
                line = bytes(buffer[:end])
                del buffer[: end + len(LINE_END)]
                return line
            if len(buffer) > MAX_LINE_BYTES:
                raise LineError(f"a line of more than {MAX_LINE_BYTES} bytes")
            searched = max(len(buffer) - 1, 0)
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                return None
            buffer += data


def encode_line(*fields: bytes) -> bytes:
    """Return a line with its end."""
    return b" ".join(fields) + LINE_END


def decode_position(field: bytes) -> positions.Position | None:
    """Return a log position, None for none or one that can't be read."""
    term, separator, number = field.partition(b".")
    if separator and term.isdigit() and number.isdigit():
        return positions.Position(int(term), int(number))
    return None


def encode_position(position: positions.Position | None) -> bytes:
    """Return the text of a log position."""
    if position is None:
        return NONE
    return b"%d.%d" % position


class Ready(typing.NamedTuple):
    """The line that ends each answer.

    Attributes
    ----------
    state : bytes
    position : positions.Position or None
    """

    state: bytes
    position: positions.Position | None


def decode_ready(fields: bytes) -> Ready:
    """Return what follows the word READY."""
    state, _, position = fields.partition(b" ")
    return Ready(state, decode_position(position))
