"""The token bucket of one organisation and the leader's records of what hosts hold."""

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
    """The leader's record of the tokens that one host may hold.

    A host whose draws are not answered refills its tokens itself, at the allowance of
    the last grant that it applied and up to what it held after that grant. Its next
    draw names that grant (`answered_sequence`); until then it may be any grant since
    the last confirmed one, and `capacity` and `allowance_per_s` are upper bounds over
    all of these.
    """

    __slots__ = (
        "allowance_per_s",
        "capacity",
        "confirmed_delay_s",
        "confirmed_s",
        "count",
        "demand_per_s",
        "expires_s",
        "may_refill",
        "reserved",
        "spent_total",
        "granted_allowance_per_s",
        "granted_capacity",
        "granted_delay_s",
        "granted_s",
        "granted_sequence",
        "refill_check_s",
    )

    def __init__(self, spent_total: int):
        # Tokens that the host had at its last draw, plus those granted in answer to it.
        self.count = 0
        self.spent_total = spent_total
        self.demand_per_s = 0.0
        # When the last grant expires, on the leader's clock.
        self.expires_s = 0.0
        # Tokens of this host that are included in `FleetBucket.held`.
        self.reserved = 0
        # Upper bounds over the last confirmed grant and all later ones.
        self.capacity = 0
        self.allowance_per_s = 0.0
        # From the last grant, whether confirmed or not.
        self.granted_capacity = 0
        self.granted_allowance_per_s = 0.0
        self.granted_sequence = 0
        self.granted_s = 0.0
        # Delays of the host's own refill after the last grant and after the last
        # confirmed one.
        self.granted_delay_s = 0.0
        self.confirmed_delay_s = 0.0
        # When the last confirmed grant was made; before any is confirmed, when the
        # first one was made.
        self.confirmed_s: float | None = None
        # Whether the host may be refilling its tokens itself.
        self.may_refill = False
        # When to check whether it may; None if no check is scheduled.
        self.refill_check_s: float | None = None


class FleetBucket:
    """The token bucket of one organisation over the whole fleet.

    Tokens are in the bucket (``level``) or held by a host. The level plus the held
    tokens never exceeds the burst.  A token is held until its host reports it as spent
    or returned, or until its grant expires; expired tokens count as spent.

    A host that may be refilling its tokens itself takes its allowance from the refill
    of the bucket. The allowances of all hosts together never exceed the rate, so that
    the fleet stays within rate and burst without a leader, too.

    Parameters
    ----------
    limit : settings.Limit
    settings : settings.Settings
    now_s : float
        Start of the refill.  The level starts at zero, because the tokens that hosts
        may already hold are not known.

    Attributes
    ----------
    limit : settings.Limit
    level : float
        Tokens in the bucket, as of the last refill.
    held : int
        Tokens that hosts with a record may hold.
    granted : int
        Tokens granted since the bucket was created.
    demand_per_s : float
        Sum of the demand that hosts reported, in requests per second.
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
        self._last_refill_s = now_s
        self._holds: dict[HostKey, Hold] = {}
        self._expiries: list[tuple[float, HostKey]] = []
        self._refill_checks: list[tuple[float, HostKey]] = []
        self._total_allowance_per_s = 0.0
        self._host_refill_per_s = 0.0
        self._unreported_tokens = 0
        self._unreported_per_s = 0.0

    def set_limit(self, limit: admission_settings.Limit, now_s: float) -> None:
        """Replace the rate and the burst from `now_s` on."""
        self.refill(now_s)
        self.limit = limit
        self._clip()

    def set_unreported_hosts(
        self,
        count: int,
        now_s: float,
        reported_tokens: int = 0,
        reported_per_s: float = 0.0,
    ) -> None:
        """Set how many hosts have not reported to this leader yet.

        Each of them is counted as holding, and as refilling itself with, as much as one
        host may. Together they are counted with at most what the hosts that have
        reported leave of the burst and of the rate, because the earlier leader kept
        the sums over all hosts within these.

        Parameters
        ----------
        count : int
        now_s : float
        reported_tokens : int
            Tokens from an earlier leader that the hosts that have reported held.
        reported_per_s : float
            Sum of their allowances from that leader.
        """
        self.refill(now_s)
        cap = admission_settings.get_host_cap(self.limit, self._settings)
        rest = max(0, self.limit.burst - reported_tokens)
        self._unreported_tokens = min(count * cap, rest)
        rest_per_s = max(0.0, self._get_refill_per_s() - reported_per_s)
        most_per_s = count * self._get_max_allowance_per_s()
        self._unreported_per_s = min(most_per_s, rest_per_s)
        self._clip()

    def get_reserved(self) -> int:
        """Return the tokens that hosts may hold, unreported hosts included."""
        return self.held + self._unreported_tokens

    def get_withheld_per_s(self) -> float:
        """Return the part of the refill that hosts may be refilling themselves with."""
        withheld_per_s = self._host_refill_per_s + self._unreported_per_s
        return min(withheld_per_s, self._get_refill_per_s())

    def refill(self, now_s: float) -> None:
        """Add the tokens due since the last refill and remove expired grants."""
        while (due_s := self._get_next_event_s()) <= now_s:
            self._refill_to(due_s)
            if self._expiries and self._expiries[0][0] == due_s:
                self._expire(heapq.heappop(self._expiries)[1], due_s)
            else:
                self._start_host_refill(heapq.heappop(self._refill_checks)[1], due_s)
        self._refill_to(now_s)

    def restore(self, level: float, now_s: float) -> None:
        """Raise the level to the one reconstructed from an earlier leader's bucket."""
        self.refill(now_s)
        self.level = max(self.level, level)
        self._clip()

    def apply_report(
        self,
        key: HostKey,
        available_tokens: int,
        spent_total: int,
        is_trusted: bool,
        answered_sequence: int = 0,
    ) -> None:
        """Update the record of a host from a draw.

        Tokens that were granted and are neither spent nor available any more go back
        to the bucket.

        Parameters
        ----------
        key : HostKey
        available_tokens : int
            Tokens that the host had when it built the draw.
        spent_total : int
            Tokens that this run of the host has spent since its start.
        is_trusted : bool
            Whether `available_tokens` is accepted without a record of a grant: for the
            first report of a host to this leader.
        answered_sequence : int
            The draw whose grant the host applied last; 0 if none.
        """
        hold = self._holds.get(key)
        if hold is None:
            hold = self._holds[key] = Hold(spent_total)
            kept = available_tokens if is_trusted else 0
        else:
            # Tokens above the reserved ones are from a grant that has expired here.
            kept = min(available_tokens, hold.reserved)
        spent = max(0, spent_total - hold.spent_total)
        unspent = max(0, hold.count - kept - spent)
        hold.count = kept
        hold.spent_total = max(spent_total, hold.spent_total)
        if hold.confirmed_s is not None and answered_sequence == hold.granted_sequence:
            self._confirm(key, hold)
        self._reserve(hold)
        self.level += unspent
        self._clip()

    def grant(
        self,
        key: HostKey,
        pending: int,
        demand_per_s: float,
        now_s: float,
        sequence: int = 0,
        allowance_delay_s: float | None = None,
    ) -> int:
        """Move tokens from the bucket to a host and return how many.

        Parameters
        ----------
        key : HostKey
            A host for which `apply_report` was called before.
        pending : int
            Requests that wait for a token at the host.
        demand_per_s : float
            Recent demand at the host, in requests per second.
        now_s : float
        sequence : int
            The draw that the grant answers.
        allowance_delay_s : float, optional
            Time after the grant from which the host refills its tokens itself; by
            default that of the settings.
        """
        hold = self._holds[key]
        hold.granted_delay_s = (
            self._settings.allowance_delay_s
            if allowance_delay_s is None
            else allowance_delay_s
        )
        self.demand_per_s += demand_per_s - hold.demand_per_s
        hold.demand_per_s = demand_per_s
        count = self._get_grantable(hold, pending)
        self.level -= count
        self.granted += count
        hold.count += count
        hold.expires_s = now_s + self._hold_s
        heapq.heappush(self._expiries, (hold.expires_s, key))
        self._set_granted_allowance(key, hold, sequence, now_s)
        return count

    def get_allowance_per_s(self, key: HostKey) -> float:
        """Return the rate at which a host may refill itself if draws are unanswered."""
        return self._holds[key].granted_allowance_per_s

    def get_share_per_s(self, key: HostKey) -> float:
        """Return the part of the rate that is proportional to a host's demand."""
        demand_per_s = self._holds[key].demand_per_s
        total_per_s = max(self.demand_per_s, demand_per_s)
        if total_per_s <= 0:
            return self.limit.rate_per_s
        return self.limit.rate_per_s * demand_per_s / total_per_s

    def get_prefetch_target(self, key: HostKey) -> int:
        """Return how many tokens a host should prefetch at its current demand."""
        hold = self._holds[key]
        share = hold.demand_per_s / max(self.demand_per_s, hold.demand_per_s, 1e-9)
        tokens = max(0.0, self.level) + self.held
        prefetch = min(
            admission_settings.get_prefetch(self._settings, hold.demand_per_s),
            (1 - self._settings.reserve_share) * tokens * share,
            admission_settings.get_host_cap(self.limit, self._settings),
        )
        return math.floor(prefetch + 1e-9)

    def _get_grantable(self, hold: Hold, pending: int) -> int:
        """Return how many tokens to grant: for waiting requests, then for prefetch."""
        cap = admission_settings.get_host_cap(self.limit, self._settings)
        remaining = max(0, cap - hold.count)
        urgent = min(pending, math.floor(self.level), remaining)
        reserve = self._settings.reserve_share * (self.level + self.held)
        spare = math.floor(max(0.0, self.level - urgent - reserve))
        share = hold.demand_per_s / max(self.demand_per_s, hold.demand_per_s, 1e-9)
        tokens = (1 - self._settings.reserve_share) * (self.level + self.held)
        prefetch = admission_settings.get_prefetch(self._settings, hold.demand_per_s)
        prefetch = min(prefetch, tokens * share)
        wanted = max(0, math.floor(prefetch) - hold.count)
        return urgent + min(wanted, spare, remaining - urgent)

    def _get_refill_per_s(self) -> float:
        # Reduced by the drift bound, so that a fast clock does not exceed the rate.
        return self.limit.rate_per_s / (1 + self._settings.drift)

    def _get_max_allowance_per_s(self) -> float:
        return self._get_refill_per_s() * self._settings.host_allowance_share_max

    def _refill_to(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._last_refill_s)
        taken_per_s = self._host_refill_per_s + self._unreported_per_s
        self.level += elapsed_s * max(0.0, self._get_refill_per_s() - taken_per_s)
        self._last_refill_s = max(now_s, self._last_refill_s)
        self._clip()

    def _get_next_event_s(self) -> float:
        return min(
            self._expiries[0][0] if self._expiries else math.inf,
            self._refill_checks[0][0] if self._refill_checks else math.inf,
        )

    def _get_host_refill_start_s(self, hold: Hold) -> float:
        """Return the earliest time at which the host may start to refill itself."""
        factor = admission_settings.get_min_clock_ratio(self._settings)
        return hold.confirmed_s + hold.confirmed_delay_s * factor

    def _set_granted_allowance(
        self, key: HostKey, hold: Hold, sequence: int, now_s: float
    ) -> None:
        """Set the allowance of a new grant; the sum of all stays within the rate."""
        fair_per_s = self.get_share_per_s(key) if hold.count else 0.0
        others_per_s = self._total_allowance_per_s - hold.allowance_per_s
        # Hosts without a report may still refill themselves under an earlier leader.
        others_per_s += self._unreported_per_s
        remaining_per_s = max(0.0, self._get_refill_per_s() - others_per_s)
        most_per_s = self._get_max_allowance_per_s()
        hold.granted_allowance_per_s = min(fair_per_s, remaining_per_s, most_per_s)
        hold.granted_capacity = hold.count
        hold.granted_sequence = sequence
        hold.granted_s = now_s
        if hold.confirmed_s is None:
            hold.confirmed_s = now_s
            hold.confirmed_delay_s = hold.granted_delay_s
            self._schedule_refill_check(key, hold)
        hold.capacity = max(hold.capacity, hold.granted_capacity)
        bound_per_s = max(hold.allowance_per_s, hold.granted_allowance_per_s)
        self._change_allowance(hold, bound_per_s, hold.may_refill)
        self._reserve(hold)

    def _confirm(self, key: HostKey, hold: Hold) -> None:
        """Record that the host has applied the last grant."""
        hold.confirmed_s = hold.granted_s
        hold.confirmed_delay_s = hold.granted_delay_s
        hold.capacity = hold.granted_capacity
        self._change_allowance(hold, hold.granted_allowance_per_s, may_refill=False)
        if hold.refill_check_s is None:
            self._schedule_refill_check(key, hold)

    def _change_allowance(
        self, hold: Hold, allowance_per_s: float, may_refill: bool
    ) -> None:
        """Change the allowance of a host and the sums over all hosts."""
        if hold.may_refill:
            self._host_refill_per_s -= hold.allowance_per_s
        self._total_allowance_per_s += allowance_per_s - hold.allowance_per_s
        hold.allowance_per_s = allowance_per_s
        hold.may_refill = may_refill
        if may_refill:
            self._host_refill_per_s += allowance_per_s

    def _start_host_refill(self, key: HostKey, now_s: float) -> None:
        """Count the host as refilling itself, unless a grant was confirmed since."""
        hold = self._holds.get(key)
        if hold is None or hold.refill_check_s != now_s:
            return
        if self._get_host_refill_start_s(hold) <= now_s:
            hold.refill_check_s = None
            self._change_allowance(hold, hold.allowance_per_s, may_refill=True)
        else:
            self._schedule_refill_check(key, hold)

    def _schedule_refill_check(self, key: HostKey, hold: Hold) -> None:
        hold.refill_check_s = self._get_host_refill_start_s(hold)
        heapq.heappush(self._refill_checks, (hold.refill_check_s, key))

    def _reserve(self, hold: Hold) -> None:
        reserved = max(hold.count, hold.capacity)
        self.held += reserved - hold.reserved
        hold.reserved = reserved

    def _clip(self) -> None:
        """Limit the level to the burst less the tokens that hosts may hold."""
        highest = max(0, self.limit.burst - self.get_reserved())
        self.level = max(0.0, min(self.level, highest))

    def _expire(self, key: HostKey, expires_s: float) -> None:
        """Remove the record of a host unless a later grant has extended it."""
        hold = self._holds.get(key)
        if hold is None or hold.expires_s > expires_s:
            return
        self.held -= hold.reserved
        self._change_allowance(hold, 0.0, may_refill=False)
        self.demand_per_s = max(0.0, self.demand_per_s - hold.demand_per_s)
        del self._holds[key]
