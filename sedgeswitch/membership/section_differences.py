"""Leaves unchanged sections out of heartbeats and their answers.

Most sections of most heartbeats equal those of the one before. Both sides keep the
last exchange and put together what was left out, so that sections are processed as if
everything had been sent.
"""

import collections.abc
import typing

# Code of the failure for a heartbeat whose base the leader does not have. The host
# sends the whole heartbeat then.
UNKNOWN_BASE = "unknown_base"


class Exchange(typing.NamedTuple):
    """An answered heartbeat in full.

    Attributes
    ----------
    sequence : int
        Number of the heartbeat.
    reports, answers : mapping of str to bytes
        Bodies of the sections by name.
    versions : mapping of str to int
        Version of each section on the leader.
    """

    sequence: int
    reports: collections.abc.Mapping[str, bytes]
    answers: collections.abc.Mapping[str, bytes]
    versions: collections.abc.Mapping[str, int]


_Value = typing.TypeVar("_Value")


def build_difference(
    base: collections.abc.Mapping[str, _Value],
    current: collections.abc.Mapping[str, _Value],
) -> dict[str, _Value] | None:
    """Return the entries that differ from the base.

    None if an entry of the base is missing, which a difference cannot express.
    """
    if base.keys() - current.keys():
        return None
    missing = object()
    return {
        name: value
        for name, value in current.items()
        if base.get(name, missing) != value
    }


def apply_difference(
    base: collections.abc.Mapping[str, _Value],
    difference: collections.abc.Mapping[str, _Value],
) -> dict[str, _Value]:
    """Return the entries from which `build_difference` built a difference."""
    return {**base, **difference}


class AnsweredExchanges:
    """The last exchanges with each host, on the leader.

    Two are kept for each host, because the last answer may not have arrived.
    """

    def __init__(self):
        self._exchanges: dict[tuple[str, str], list[Exchange]] = {}

    def clear(self) -> None:
        """Remove the exchanges of an earlier leadership."""
        self._exchanges.clear()

    def find(self, host_id: str, incarnation: str, sequence: int) -> Exchange | None:
        """Return an exchange with a process of a host, None if it is not kept."""
        for exchange in self._exchanges.get((host_id, incarnation), ()):
            if exchange.sequence == sequence:
                return exchange
        return None

    def record(self, host_id: str, incarnation: str, exchange: Exchange) -> None:
        """Keep an exchange in place of the last but one of the same process."""
        kept = self._exchanges.get((host_id, incarnation), [])
        self._exchanges[host_id, incarnation] = [*kept[-1:], exchange]

    def remove(self, host_id: str, incarnation: str) -> None:
        """Remove the exchanges with a process that has ended."""
        self._exchanges.pop((host_id, incarnation), None)
