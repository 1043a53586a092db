"""Length-prefixed frames, in which messages are sent over a byte stream."""

import struct
import typing

import trio

from sedgeswitch.transport import catalog
from sedgeswitch.transport import traffic

# Body length in bytes, message code, request id, kind.
_HEADER = struct.Struct("!IHQB")
MAX_FRAME_BYTES = 16 * 1024 * 1024
_RECEIVE_BYTES = 64 * 1024

KIND_REQUEST = 1
KIND_REPLY = 2
KIND_FAILURE = 3
_KINDS = (KIND_REQUEST, KIND_REPLY, KIND_FAILURE)


class Frame(typing.NamedTuple):
    """One message with the id that matches a request with its answer.

    Attributes
    ----------
    kind : int
        One of `KIND_REQUEST`, `KIND_REPLY` and `KIND_FAILURE`.
    request_id : int
        Unique among the requests of one connection.
    message : object
        A Thrift struct of the catalogue.
    """

    kind: int
    request_id: int
    message: typing.Any


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame, and count it as sent."""
    message_type = type(frame.message)
    code = catalog.get_code(message_type)
    body = catalog.encode_struct(frame.message)
    size_bytes = _HEADER.size + len(body)
    traffic.PROCESS_TRAFFIC.record_sent(message_type.__name__, size_bytes)
    return _HEADER.pack(len(body), code, frame.request_id, frame.kind) + body


class FrameReader:
    """Reads frames from a trio stream.

    Parameters
    ----------
    stream : trio.abc.ReceiveStream
    """

    def __init__(self, stream: trio.abc.ReceiveStream):
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> Frame | None:
        """Return the next frame, or None if the stream ended between frames.

        Raises
        ------
        catalog.MessageError
            If the stream contains anything else than frames, or ends inside one.
        """
        if not await self._fill(_HEADER.size):
            return None
        length, code, request_id, kind = _HEADER.unpack_from(self._buffer)
        if length > MAX_FRAME_BYTES:
            raise catalog.MessageError(
                f"frame body has {length} bytes; at most {MAX_FRAME_BYTES} are allowed"
            )
        if kind not in _KINDS:
            raise catalog.MessageError(
                f"frame kind must be one of {_KINDS}, given: {kind}"
            )
        end = _HEADER.size + length
        if not await self._fill(end):
            raise catalog.MessageError("stream ended inside a frame")
        body = bytes(self._buffer[_HEADER.size : end])
        del self._buffer[:end]
        message = catalog.decode_message(code, body)
        traffic.PROCESS_TRAFFIC.record_received(type(message).__name__, end)
        return Frame(kind, request_id, message)

    async def _fill(self, size: int) -> bool:
        """Read until the buffer has `size` bytes; return False at the stream's end."""
        while len(self._buffer) < size:
            chunk = await self._stream.receive_some(_RECEIVE_BYTES)
            if not chunk:
                if self._buffer:
                    raise catalog.MessageError("stream ended inside a frame")
                return False
            self._buffer += chunk
        return True
