import unittest

import hypothesis
from hypothesis import strategies

from standin.instance import wire

_TYPE_CODES = strategies.sampled_from(b"QPBDCESHX").map(lambda code: bytes([code]))


def _build_framed(code: bytes, body: bytes) -> bytes:
    return code + (len(body) + 4).to_bytes(4, "big") + body


class DecoderTest(unittest.TestCase):
    @hypothesis.given(strategies.booleans(), strategies.binary(max_size=64))
    @hypothesis.settings(derandomize=True, max_examples=300)
    def test_any_bytes_raise_only_the_typed_error(self, is_started, data):
        self._decode_all(is_started, data)

    @hypothesis.given(_TYPE_CODES, strategies.binary(max_size=48))
    @hypothesis.settings(derandomize=True, max_examples=500)
    def test_any_framed_body_raises_only_the_typed_error(self, code, body):
        self._decode_all(True, _build_framed(code, body))

    def test_split_bytes_give_the_whole_message(self):
        decoder = wire.Decoder(is_started=True)
        data = _build_framed(b"Q", b"SELECT 1\0")
        messages = []
        for position in range(len(data)):
            decoder.feed(data[position : position + 1])
            messages.append(decoder.read_message())
        self.assertEqual([None] * (len(data) - 1), messages[:-1])
        self.assertEqual(wire.Query("SELECT 1"), messages[-1])

    def _decode_all(self, is_started, data):
        decoder = wire.Decoder(is_started)
        decoder.feed(data)
        try:
            while decoder.read_message() is not None:
                pass
        except wire.ProtocolError:
            pass
