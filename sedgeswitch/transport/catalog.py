"""The catalogue of message types that sedgeswitch processes exchange.

Each package registers the Thrift structs of its own messages under fixed codes.
A code is never reused for another type. Hosts of different releases therefore
either decode a message correctly or reject it with a clear error.
"""

import typing

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport


class MessageError(Exception):
    """A frame does not contain a valid message of the catalogue."""


# Largest values of the integer fields of messages.
MAX_INT32 = 2**31 - 1
MAX_INT64 = 2**63 - 1

_TYPE_BY_CODE: dict[int, type] = {}
_CODE_BY_TYPE: dict[type, int] = {}
_MAX_BODY_BYTES = 16 * 1024 * 1024


def register_message(code: int, message_type: type) -> type:
    """Register a Thrift struct under a code from 1 to 65535 and return it.

    Raises
    ------
    ValueError
        If the code is already registered for another type.
    """
    if _TYPE_BY_CODE.get(code, message_type) is not message_type:
        raise ValueError(
            f"message code {code} is already registered for"
            f" {_TYPE_BY_CODE[code].__name__}"
        )
    _TYPE_BY_CODE[code] = message_type
    _CODE_BY_TYPE[message_type] = code
    return message_type


def get_code(message_type: type) -> int:
    """Return the code of a registered message type."""
    return _CODE_BY_TYPE[message_type]


def encode_struct(message: typing.Any) -> bytes:
    """Return a Thrift struct encoded with the compact protocol."""
    buffer = TTransport.TMemoryBuffer()
    message.write(TCompactProtocol.TCompactProtocolAccelerated(buffer, fallback=False))
    return buffer.getvalue()


def decode_struct(message_type: type, body: bytes) -> typing.Any:
    """Return the struct of the given type that `body` encodes.

    Raises
    ------
    MessageError
        If the bytes are no valid encoding of such a struct.
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
        # The accelerated decoder raises exceptions of many types on malformed input.
        raise MessageError(f"malformed {message_type.__name__}: {error}") from error
    return message


def decode_message(code: int, body: bytes) -> typing.Any:
    """Return the message of a frame with this code and body.

    Raises
    ------
    MessageError
        If the code is not registered or the body is malformed.
    """
    message_type = _TYPE_BY_CODE.get(code)
    if message_type is None:
        raise MessageError(f"unknown message code {code}")
    return decode_struct(message_type, body)
