"""Finds in log lines why a request got the answer that it got."""

import collections.abc
import datetime
import typing

import msgspec

# Lines this long before a request's own still tell of its cause, in seconds.
BEFORE_S = 6.0
AFTER_S = 1.0
# Lines that tell what a host believed, by how they begin.
_OWN_HOST = (
    "lease",
    "leader answers",
    "configuration in force",
    "settings",
    "started",
    "stopping",
)
_ANY_HOST = ("group fenced", "primary", "promotion", "instance", "leading in term")


class LogLine(typing.NamedTuple):
    """One structured log line.

    Attributes
    ----------
    time_s : float
        Unix time at which the host wrote it, by the host's clock.
    host_id : str
    message : str
    fields : dict of str to str
    """

    time_s: float
    host_id: str
    message: str
    fields: dict[str, str]


def read_lines(texts: collections.abc.Iterable[str]) -> list[LogLine]:
    """Return the structured lines among some texts, others are passed over.

    What stands before the first brace of a line, such as a collector's own
    prefix, is left out.
    """
    found = []
    for text in texts:
        _, brace, rest = text.partition("{")
        if brace:
            line = _decode(brace + rest)
            if line is not None:
                found.append(line)
    return found


def explain(
    lines: collections.abc.Sequence[LogLine], request: str
) -> list[tuple[LogLine, bool]]:
    """Return the lines of a request and what was believed around them.

    Parameters
    ----------
    lines : sequence of LogLine
        Of one or more hosts.
    request : str
        Id of the statement.

    Returns
    -------
    list of (LogLine, bool)
        In the order of time; the flag tells the request's own lines. Empty if
        there is no line of the request.
    """
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    from_s = min(line.time_s for line in own) - BEFORE_S
    to_s = max(line.time_s for line in own) + AFTER_S
    hosts = {line.host_id for line in own}
    around = [
        line
        for line in lines
        if from_s <= line.time_s <= to_s
        and (
            line.message.startswith(_ANY_HOST)
            or (line.host_id in hosts and line.message.startswith(_OWN_HOST))
        )
    ]
    told = [(line, True) for line in own] + [(line, False) for line in around]
    return sorted(told, key=lambda item: (item[0].time_s, not item[1]))


class _Raw(typing.TypedDict):
    time: datetime.datetime
    host_id: str
    message: str
    fields: typing.NotRequired[dict[str, str]]


def _decode(text: str) -> LogLine | None:
    try:
        raw = msgspec.json.decode(text.encode(), type=_Raw)
    except (msgspec.MsgspecError, UnicodeEncodeError):
        return None
    fields = raw.get("fields", {})
    return LogLine(raw["time"].timestamp(), raw["host_id"], raw["message"], fields)
