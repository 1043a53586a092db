"""Shares of an instance's connections, never more than all of them together.

Each entry host may open one part in `divisor` of the connections that an
instance takes. The leader gives a larger part only when the parts of all other
hosts, counted by the larger of what they were told and what they report to hold,
leave room for it.
"""

import collections.abc

from sedgeswitch.pools import messages
from sedgeswitch.transport import catalog

# For watchers, the control leader and people who look after the database.
RESERVED_CONNECTIONS = 5
HOLDERS_REFRESH_INTERVAL_S = 0.25
_TOLERANCE = 1e-9


def get_capacity(
    max_connections: int, divisor: int, reserved: int = RESERVED_CONNECTIONS
) -> int:
    """Return how many connections to an instance a share allows.

    Parameters
    ----------
    max_connections : int
        Connections that the instance takes.
    divisor : int
        The host's part is one in `divisor`; 0 for none.
    reserved : int
        Connections that are not shared.
    """
    if divisor == 0:
        return 0
    return max(max_connections - reserved, 0) // divisor


class EntryShare:
    """The entry host's side of the section.

    Parameters
    ----------
    is_within_share : callable
        ``fits(divisor)`` tells whether the open connections to each instance
        are within a share.
    limit_connections : callable
        ``limit(divisor)`` lets no more connections be opened than a share
        allows, before it returns.

    Attributes
    ----------
    divisor : int
        Share that new connections must keep to.
    """

    def __init__(
        self,
        is_within_share: collections.abc.Callable[[int], bool],
        limit_connections: collections.abc.Callable[[int], None],
    ):
        self._is_within_share = is_within_share
        self._limit_connections = limit_connections
        self._reported_divisor = 0
        self.divisor = 0

    def drop(self) -> None:
        """Give the share up, as after a lease that ran out."""
        self._reported_divisor = 0
        self._set_divisor(0)

    def build_report(self, now_s: float) -> bytes:  # noqa: ARG002
        """Return the share that this host keeps within already."""
        if self._reported_divisor != self.divisor and self._is_within_share(
            self.divisor
        ):
            self._reported_divisor = self.divisor
        return catalog.encode_struct(messages.ShareReport(self._reported_divisor))

    def receive_answer(self, body: bytes, now_s: float) -> None:  # noqa: ARG002
        """Keep to the share that the leader gives from now on."""
        answer = catalog.decode_struct(messages.ShareAnswer, body)
        is_larger = 0 < answer.divisor < self._reported_divisor
        if self._reported_divisor == 0 or is_larger:
            self._reported_divisor = answer.divisor
        self._set_divisor(answer.divisor)

    def _set_divisor(self, divisor: int) -> None:
        if divisor == self.divisor:
            return
        self.divisor = divisor
        # At once: a report may follow that counts on it.
        self._limit_connections(divisor)


class ControlShares:
    """The leader's side of the section.

    Parameters
    ----------
    list_holders : callable
        ``list_holders(now_s)`` returns the ids of the entry hosts whose lease
        may not be over; the others open no connection.
    is_strict : bool
        Whether a host that has not reported counts as holding everything; else
        it counts as holding a fair part, which suits instances that refuse
        connections beyond their number themselves.
    """

    def __init__(
        self,
        list_holders: collections.abc.Callable[
            [float], collections.abc.Collection[str]
        ],
        is_strict: bool = True,
    ):
        self._list_holders = list_holders
        self._is_strict = is_strict
        self._reported_divisors: dict[str, int] = {}
        self._sent_divisors: dict[str, int] = {}
        self._holders: set[str] = set()
        self._holders_refresh_s = float("-inf")

    def start_leadership(self, now_s: float) -> None:
        """Forget what an earlier leadership knew."""
        self._reported_divisors = {}
        self._sent_divisors = {}
        self._holders_refresh_s = now_s

    def get_version(self) -> int:
        """Return 0: a change of members wakes the hosts already."""
        return 0

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:
        """Return the share of a host."""
        report = catalog.decode_struct(messages.ShareReport, body)
        self._reported_divisors[host_id] = report.divisor
        self._update_holders(host_id, now_s)
        divisor = self._choose_divisor(host_id, report.divisor, self._holders)
        self._sent_divisors[host_id] = divisor
        return catalog.encode_struct(messages.ShareAnswer(divisor))

    def _update_holders(self, host_id: str, now_s: float) -> None:
        """List the holders now and then; each heartbeat would be quadratic.

        A host that is not listed yet has no part before its own report, which
        adds it.
        """
        if now_s >= self._holders_refresh_s:
            self._holders = set(self._list_holders(now_s))
            self._holders_refresh_s = now_s + HOLDERS_REFRESH_INTERVAL_S
        self._holders.add(host_id)

    def _choose_divisor(self, host_id: str, held: int, holders: set[str]) -> int:
        fair_divisor = len(holders)
        is_smaller = 0 < held <= fair_divisor
        if is_smaller:
            return fair_divisor
        others = sum(self._get_part(other) for other in holders if other != host_id)
        if others + 1 / fair_divisor <= 1 + _TOLERANCE:
            return fair_divisor
        return held

    def _get_part(self, host_id: str) -> float:
        """Return the part of the connections that a host may have open."""
        if host_id not in self._reported_divisors:
            return 1.0 if self._is_strict else 1 / len(self._holders)
        divisors = [
            self._reported_divisors[host_id],
            self._sent_divisors.get(host_id, 0),
        ]
        return max(1 / divisor if divisor else 0.0 for divisor in divisors)
