"""The token bucket of one organisation, with the tokens that hosts hold."""

import heapq
import math
import typing

from sedgeswitch.admission import settings as admission_settings


class HostKey(typing.NamedTuple):
    """One run of an entry host's process.

    Attributes
    ----------
    host_id : str
    incarnation : str
        Differs between two runs of the same host.
    """

    host_id: str
    incarnation: str


class Hold:
    """What one host may hold, as far as the leader knows."""

    __slots__ = ("count", "demand_per_s", "expires_s", "spent_total")

    def __init__(self, spent_total: int):
        self.count = 0
        self.spent_total = spent_total
        self.demand_per_s = 0.0
        self.expires_s = 0.0


class FleetBucket:
    """Tokens of one organisation: a level in the bucket and counts held by hosts.

    The level plus the tokens held never exceeds the burst.  A token is held until
    its host reports it spent or no longer in hand, or its grant expires; expired
    tokens count as spent.

    Parameters
    ----------
    limit : settings.Limit
    settings : settings.Settings
    now_s : float
        Start of the refill.  The level starts at zero.
    """

    def __init__(
        self,
        limit: admission_settings.Limit,
        settings: admission_settings.Settings,
        now_s: float,
    ):
        self.limit = limit
        self.level = 0.0
        self.held = 0
        self.granted = 0
        self.demand_per_s = 0.0
        self._settings = settings
        self._hold_s = admission_settings.get_hold_s(settings)
        self._refilled_s = now_s
        self._holds: dict[HostKey, Hold] = {}
        self._expiries: list[tuple[float, HostKey]] = []
        self._unknown_hosts = 0

    def set_limit(self, limit: admission_settings.Limit, now_s: float) -> None:
        """Put a new rate and burst in force from `now_s` on."""
        self.refill(now_s)
        self.limit = limit
        self._clip()

    def set_unknown_hosts(self, count: int, now_s: float) -> None:
        """Count this many hosts as each holding the most that a host may."""
        self.refill(now_s)
        self._unknown_hosts = count
        self._clip()

    def get_reserved(self) -> int:
        """Return the tokens that hosts may hold: those known and those possible."""
        cap = admission_settings.get_host_cap(self.limit, self._settings)
        return self.held + self._unknown_hosts * cap

    def refill(self, now_s: float) -> None:
        """Add the tokens due since the last refill and expire grants."""
        while self._expiries and self._expiries[0][0] <= now_s:
            expires_s, key = heapq.heappop(self._expiries)
            self._refill_to(expires_s)
            self._expire(key, expires_s)
        self._refill_to(now_s)

    def restore(self, level: float, now_s: float) -> None:
        """Raise the level to one that an earlier leader is known to have left."""
        self.refill(now_s)
        self.level = max(self.level, level)
        self._clip()

    def settle(
        self, key: HostKey, in_hand: int, spent_total: int, is_trusted: bool
    ) -> None:
        """Bring what a host holds up to date with its report.

        Parameters
        ----------
        key : HostKey
        in_hand : int
            Tokens that the host held when it built the report.
        spent_total : int
            Tokens that this run of the host has spent so far.
        is_trusted : bool
            Take `in_hand` as given, for a host that this leader doesn't know yet.
        """
        hold = self._holds.get(key)
        if hold is None:
            hold = self._holds[key] = Hold(spent_total)
            kept = in_hand if is_trusted else 0
        else:
            # More than the leader counts as held is a grant that has expired.
            kept = min(in_hand, hold.count)
        spent = max(0, spent_total - hold.spent_total)
        unspent = max(0, hold.count - kept - spent)
        self.held += kept - hold.count
        hold.count = kept
        hold.spent_total = max(spent_total, hold.spent_total)
        self.level += unspent
        self._clip()

    def grant(
        self, key: HostKey, pending: int, demand_per_s: float, now_s: float
    ) -> int:
        """Move tokens from the bucket to a host and return how many.

        Parameters
        ----------
        key : HostKey
            A host that `settle` was called for.
        pending : int
            Requests that wait at the host.
        demand_per_s : float
            Recent demand at the host.
        now_s : float
        """
        hold = self._holds[key]
        self.demand_per_s += demand_per_s - hold.demand_per_s
        hold.demand_per_s = demand_per_s
        count = self._get_grantable(hold, pending)
        self.level -= count
        self.held += count
        self.granted += count
        hold.count += count
        hold.expires_s = now_s + self._hold_s
        heapq.heappush(self._expiries, (hold.expires_s, key))
        return count

    def get_share_per_s(self, key: HostKey) -> float:
        """Return the part of the rate that falls to a host by its demand."""
        demand_per_s = self._holds[key].demand_per_s
        total_per_s = max(self.demand_per_s, demand_per_s)
        if total_per_s <= 0:
            return self.limit.rate_per_s
        return self.limit.rate_per_s * demand_per_s / total_per_s

    def get_keep(self, key: HostKey) -> int:
        """Return the stock that a host should keep at its present demand."""
        hold = self._holds[key]
        share = hold.demand_per_s / max(self.demand_per_s, hold.demand_per_s, 1e-9)
        tokens = max(0.0, self.level) + self.held
        stock = min(
            hold.demand_per_s * self._settings.stock_s,
            (1 - self._settings.reserve_share) * tokens * share,
            admission_settings.get_host_cap(self.limit, self._settings),
        )
        return math.floor(stock + 1e-9)

    def _get_grantable(self, hold: Hold, pending: int) -> int:
        cap = admission_settings.get_host_cap(self.limit, self._settings)
        room = max(0, cap - hold.count)
        urgent = min(pending, math.floor(self.level), room)
        reserve = self._settings.reserve_share * (self.level + self.held)
        spare = math.floor(max(0.0, self.level - urgent - reserve))
        share = hold.demand_per_s / max(self.demand_per_s, hold.demand_per_s, 1e-9)
        tokens = (1 - self._settings.reserve_share) * (self.level + self.held)
        stock = min(hold.demand_per_s * self._settings.stock_s, tokens * share)
        wanted = max(0, math.floor(stock) - hold.count)
        return urgent + min(wanted, spare, room - urgent)

    def _refill_to(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_s)
        # A fast clock must not add tokens faster than the rate.
        self.level += elapsed_s * self.limit.rate_per_s / (1 + self._settings.drift)
        self._refilled_s = max(now_s, self._refilled_s)
        self._clip()

    def _clip(self) -> None:
        room = max(0, self.limit.burst - self.get_reserved())
        self.level = max(0.0, min(self.level, room))

    def _expire(self, key: HostKey, expires_s: float) -> None:
        hold = self._holds.get(key)
        if hold is None or hold.expires_s > expires_s:
            return
        self.held -= hold.count
        self.demand_per_s = max(0.0, self.demand_per_s - hold.demand_per_s)
        del self._holds[key]
