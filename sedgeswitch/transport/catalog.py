"""The catalogue of message types that sedgeswitch processes exchange.

Each slice registers the Thrift structs of its own messages under a fixed code.
Codes are never reused, so that hosts of two versions understand each other or
refuse each other clearly.
"""

import typing

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport


class MessageError(Exception):
    """A frame does not hold a message of the catalogue."""


_TYPE_BY_CODE: dict[int, type] = {}
_CODE_BY_TYPE: dict[type, int] = {}
_MAX_BODY_BYTES = 16 * 1024 * 1024


def register_message(code: int, message_type: type) -> type:
    """Register a Thrift struct under a code from 1 to 65535.

    Raises
    ------
    ValueError
        If the code belongs to another type already.
    """
    if _TYPE_BY_CODE.get(code, message_type) is not message_type:
        raise ValueError(f"code {code} is taken by {_TYPE_BY_CODE[code].__name__}")
    _TYPE_BY_CODE[code] = message_type
    _CODE_BY_TYPE[message_type] = code
    return message_type


def get_code(message_type: type) -> int:
    """Return the code of a registered message type."""
    return _CODE_BY_TYPE[message_type]


def encode_struct(message: typing.Any) -> bytes:
    """Return a Thrift struct in the compact protocol."""
    buffer = TTransport.TMemoryBuffer()
    message.write(TCompactProtocol.TCompactProtocolAccelerated(buffer, fallback=False))
    return buffer.getvalue()


def decode_struct(message_type: type, body: bytes) -> typing.Any:
    """Return the struct of the given type that `body` holds.

    Raises
    ------
    MessageError
        If the bytes are not such a struct.
    """
    buffer = TTransport.TMemoryBuffer(body)
    protocol = TCompactProtocol.TCompactProtocolAccelerated(
        buffer,
        fallback=False,
        string_length_limit=_MAX_BODY_BYTES,
        container_length_limit=_MAX_BODY_BYTES,
    )
    message = message_type()
    try:
        message.read(protocol)
        message.validate()
    except Exception as error:
        # The accelerated decoder raises many types on malformed input.
        raise MessageError(f"malformed {message_type.__name__}: {error}") from error
    return message


def decode_message(code: int, body: bytes) -> typing.Any:
    """Return the message that a frame with this code and body holds.

    Raises
    ------
    MessageError
        If the code is unknown or the body malformed.
    """
    message_type = _TYPE_BY_CODE.get(code)
    if message_type is None:
        raise MessageError(f"unknown message code {code}")
    return decode_struct(message_type, body)
