"""Logs as JSON lines, with the callers' API keys redacted."""

import sys
import typing

import loguru
import msgspec

REDACTED = "[redacted]"


def _redact_nothing(text: str) -> str:
    return text


class _Sink:
    """Writes each log record as one JSON line."""

    def __init__(
        self,
        stream: typing.TextIO,
        host_id: str,
        redact: typing.Callable[[str], str],
    ):
        self._stream = stream
        self._host_id = host_id
        self._redact = redact

    def __call__(self, message: typing.Any) -> None:
        record = message.record
        line = {
            "time": record["time"].isoformat(),
            "level": record["level"].name,
            "host_id": self._host_id,
            "module": record["name"],
            "message": self._redact(record["message"]),
        }
        if record["extra"]:
            line["fields"] = {
                name: self._redact(str(item)) for name, item in record["extra"].items()
            }
        if record["exception"] is not None:
            line["exception"] = self._redact(str(message))
        self._stream.write(msgspec.json.encode(line).decode() + "\n")


def configure_logs(
    host_id: str,
    level: str,
    stream: typing.TextIO | None = None,
    redact: typing.Callable[[str], str] = _redact_nothing,
) -> None:
    """Write every log record to a stream, as one JSON object a line.

    Parameters
    ----------
    host_id : str
        Included in each line.
    level : str
        Lowest level that is written, such as ``INFO``.
    stream : text stream, optional
        Standard error by default.
    redact : callable
        Removes API keys from a text. It is applied before the text is encoded,
        because in JSON the end of a key can't be told from an escape sequence.
    """
    loguru.logger.remove()
    sink = _Sink(stream or sys.stderr, host_id, redact)
    # Local variables in tracebacks could contain API keys.
    loguru.logger.add(sink, level=level, backtrace=False, diagnose=False)
