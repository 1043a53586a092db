"""Removes keys and tokens from log lines."""

import typing

from sedgeswitch.keys import key_format


class RedactingStream:
    """A sink for loguru that redacts the text before it is written.

    It receives the formatted text, which includes tracebacks and extra fields.

    Parameters
    ----------
    stream : text stream
    """

    def __init__(self, stream: typing.TextIO):
        self._stream = stream

    def write(self, text: str) -> None:
        """Write `text` with all keys and tokens replaced."""
        self._stream.write(key_format.redact(text))

    def flush(self) -> None:
        """Flush the stream."""
        self._stream.flush()


def patch_record(record: dict[str, typing.Any]) -> None:
    """Redact the message and extra fields of a loguru record in place.

    Pass it to ``loguru.logger.configure(patcher=...)`` if a sink receives records
    instead of text. Only extra fields that are strings are redacted.
    """
    record["message"] = key_format.redact(record["message"])
    for name, value in record["extra"].items():
        if isinstance(value, str):
            record["extra"][name] = key_format.redact(value)
