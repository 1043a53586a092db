"""Finds the log lines that explain the outcome of a request."""

import collections.abc
import datetime
import typing

import msgspec

# Lines in this interval before and after those of a request may explain its cause.
CONTEXT_BEFORE_S = 6.0
CONTEXT_AFTER_S = 1.0
# Lines about the state of a host, by the beginning of their text: from the hosts
# that handled the request, and from any host. The texts of other log lines must not
# begin with these prefixes.
_SAME_HOST_PREFIXES = (
    "lease",
    "leader answers",
    "configuration in force",
    "settings",
    "started",
    "stopping",
)
_ANY_HOST_PREFIXES = (
    "group fenced",
    "primary",
    "promotion",
    "instance",
    "leading in term",
    "evacuation",
)
# Lines that describe a state which lasts until a line with the opposite text: from any
# host, and from the hosts that handled the request.
_ANY_HOST_STATES = {"evacuation started": True, "evacuation ended": False}
_SAME_HOST_STATES = {
    "evacuation in force": True,
    "evacuation no longer in force": False,
}


class LogLine(typing.NamedTuple):
    """One structured log line.

    Attributes
    ----------
    time_s : float
        Unix time at which the host wrote the line, by the host's clock.
    host_id : str
    message : str
    fields : dict of str to str
    """

    time_s: float
    host_id: str
    message: str
    fields: dict[str, str]


def read_lines(texts: collections.abc.Iterable[str]) -> list[LogLine]:
    """Return the structured log lines among some texts and skip the other texts.

    The text before the first brace of a line, such as the prefix of a log
    collector, is ignored.
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
    """Return the lines of a request and the host state logged at that time.

    Parameters
    ----------
    lines : sequence of LogLine
        Of one or more hosts.
    request : str
        Id of the statement.

    Returns
    -------
    list of (LogLine, bool)
        Sorted by time. The flag is True for lines of the request itself. Empty
        if no line belongs to the request. Lines about an evacuation that was in
        force are included also if they are older than the others.
    """
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    from_s = min(line.time_s for line in own) - CONTEXT_BEFORE_S
    to_s = max(line.time_s for line in own) + CONTEXT_AFTER_S
    hosts = {line.host_id for line in own}
    context = [
        line
        for line in lines
        if from_s <= line.time_s <= to_s
        and (
            line.message.startswith(_ANY_HOST_PREFIXES)
            or (line.host_id in hosts and line.message.startswith(_SAME_HOST_PREFIXES))
        )
    ]
    context += _list_lasting(lines, hosts, from_s)
    explanation = [(line, True) for line in own] + [(line, False) for line in context]
    return sorted(explanation, key=lambda item: (item[0].time_s, not item[1]))


def _list_lasting(
    lines: collections.abc.Sequence[LogLine], hosts: set[str], before_s: float
) -> list[LogLine]:
    """Return the lines about states that had begun, and not ended, before a time."""
    lasting: dict[tuple[str, str | None], LogLine] = {}
    for line in sorted(lines, key=lambda item: item.time_s):
        is_start, host_id = _ANY_HOST_STATES.get(line.message), ""
        if is_start is None and line.host_id in hosts:
            is_start, host_id = _SAME_HOST_STATES.get(line.message), line.host_id
        if is_start is None or line.time_s >= before_s:
            continue
        key = (host_id, line.fields.get("zone"))
        if is_start:
            lasting[key] = line
        else:
            lasting.pop(key, None)
    return list(lasting.values())


class _RawLine(typing.TypedDict):
    time: datetime.datetime
    host_id: str
    message: str
    fields: typing.NotRequired[dict[str, str]]


def _decode(text: str) -> LogLine | None:
    try:
        raw = msgspec.json.decode(text.encode(), type=_RawLine)
    except (msgspec.MsgspecError, UnicodeEncodeError):
        return None
    fields = raw.get("fields", {})
    return LogLine(raw["time"].timestamp(), raw["host_id"], raw["message"], fields)
