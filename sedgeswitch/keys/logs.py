"""Keeps keys out of the logs."""

import typing

from sedgeswitch.keys import key_format


class RedactingStream:
    """A sink for loguru that redacts the text it is about to write.

    It sees the text last, tracebacks and extra fields included.

    Parameters
    ----------
    stream : text stream
    """

    def __init__(self, stream: typing.TextIO):
        self._stream = stream

    def write(self, text: str) -> None:
        """Write `text` without keys."""
        self._stream.write(key_format.redact(text))

    def flush(self) -> None:
        """Flush the stream."""
        self._stream.flush()


def patch_record(record: dict[str, typing.Any]) -> None:
    """Redact the message and extra fields of a loguru record in place.

    Pass it to ``loguru.logger.configure(patcher=...)`` where a sink takes
    records and not text.
    """
    record["message"] = key_format.redact(record["message"])
    for name, value in record["extra"].items():
        if isinstance(value, str):
            record["extra"][name] = key_format.redact(value)
