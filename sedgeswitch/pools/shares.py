"""Division of the connections of each instance among the entry hosts.

Each entry host may open 1 / `divisor` of the connections that an instance accepts.
The shares together never exceed all connections: the leader increases the share of a
host only if the shares of all other hosts leave enough. It counts each of them by the
larger of the share that it sent to the host and the share that the host reported.
"""

import collections.abc

from sedgeswitch.pools import messages
from sedgeswitch.transport import catalog

# Left out of the shares, for watchers, the control leader and database operators.
RESERVED_CONNECTIONS = 5
HOLDERS_REFRESH_INTERVAL_S = 0.25
# Allows for rounding errors in sums of shares.
_TOLERANCE = 1e-9


def get_capacity(
    max_connections: int, divisor: int, reserved: int = RESERVED_CONNECTIONS
) -> int:
    """Return the number of connections to an instance that a share allows.

    Parameters
    ----------
    max_connections : int
        Connections that the instance accepts.
    divisor : int
        The share is 1 / `divisor`; 0 for no connections.
    reserved : int
        Connections that are left out of the shares.
    """
    if divisor == 0:
        return 0
    return max(max_connections - reserved, 0) // divisor


class EntryShare:
    """Section of the heartbeat with which an entry host receives its share.

    Parameters
    ----------
    is_within_share : callable
        ``is_within_share(divisor)`` returns whether the open connections to each
        instance are within a share.
    limit_connections : callable
        ``limit_connections(divisor)`` limits new connections to a share. The limit is
        in effect when it returns.

    Attributes
    ----------
    divisor : int
        Share that limits new connections.
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
        """Set the share to 0, as after the end of the lease."""
        self._reported_divisor = 0
        self._set_divisor(0)

    def build_report(self, now_s: float) -> bytes:  # noqa: ARG002
        """Return the encoded report of the share that this host does not exceed.

        After a reduction, the earlier share is reported until enough connections are
        closed.
        """
        if self._reported_divisor != self.divisor and self._is_within_share(
            self.divisor
        ):
            self._reported_divisor = self.divisor
        return catalog.encode_struct(messages.ShareReport(self._reported_divisor))

    def receive_answer(self, body: bytes, now_s: float) -> None:  # noqa: ARG002
        """Set the share to the one that the leader has sent."""
        answer = catalog.decode_struct(messages.ShareAnswer, body)
        is_larger = 0 < answer.divisor < self._reported_divisor
        if self._reported_divisor == 0 or is_larger:
            self._reported_divisor = answer.divisor
        self._set_divisor(answer.divisor)

    def _set_divisor(self, divisor: int) -> None:
        if divisor == self.divisor:
            return
        self.divisor = divisor
        # Takes effect at once, because the next report relies on it.
        self._limit_connections(divisor)


class ControlShares:
    """Section of the heartbeat with which the leader assigns shares.

    Parameters
    ----------
    list_holders : callable
        ``list_holders(now_s)`` returns the ids of the entry hosts whose lease may
        still be valid. Other hosts open no connections.
    is_strict : bool
        Whether a lease holder that has not reported counts with all connections.
        Otherwise it counts with an equal share, which is sufficient if instances
        refuse connections beyond their limit themselves.
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
        """Remove the reports and answers of an earlier leadership."""
        self._reported_divisors = {}
        self._sent_divisors = {}
        self._holders_refresh_s = now_s

    def get_version(self) -> int:
        """Return 0: watching hosts are notified of each change of members anyway."""
        return 0

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:
        """Record the report of a host and return its encoded share."""
        report = catalog.decode_struct(messages.ShareReport, body)
        self._reported_divisors[host_id] = report.divisor
        self._update_holders(host_id, now_s)
        divisor = self._choose_divisor(host_id, report.divisor, self._holders)
        self._sent_divisors[host_id] = divisor
        return catalog.encode_struct(messages.ShareAnswer(divisor))

    def _update_holders(self, host_id: str, now_s: float) -> None:
        """Refresh the lease holders at an interval, and add a host that reports.

        Listing them with each heartbeat would cost quadratic time. A host that is not
        listed yet has no share before its first report, which adds it.
        """
        if now_s >= self._holders_refresh_s:
            self._holders = set(self._list_holders(now_s))
            self._holders_refresh_s = now_s + HOLDERS_REFRESH_INTERVAL_S
        self._holders.add(host_id)

    def _choose_divisor(
        self, host_id: str, reported_divisor: int, holders: set[str]
    ) -> int:
        """Return the equal share, or the reported one while others use too much."""
        fair_divisor = len(holders)
        is_smaller = 0 < reported_divisor <= fair_divisor
        if is_smaller:
            return fair_divisor
        others = sum(self._get_part(other) for other in holders if other != host_id)
        if others + 1 / fair_divisor <= 1 + _TOLERANCE:
            return fair_divisor
        return reported_divisor

    def _get_part(self, host_id: str) -> float:
        """Return the largest share that a host may be using, from 0 to 1."""
        if host_id not in self._reported_divisors:
            return 1.0 if self._is_strict else 1 / len(self._holders)
        divisors = [
            self._reported_divisors[host_id],
            self._sent_divisors.get(host_id, 0),
        ]
        return max(1 / divisor if divisor else 0.0 for divisor in divisors)
