"""The part of the fleet-wide rate limiter that runs on each entry host.

The control leader keeps one token bucket for each organisation (`grantor`). An entry
host asks it for tokens by a draw and admits requests by the tokens that it was
granted, without a message for each request.
"""

import collections
import enum
import math
import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.admission import demand
from sedgeswitch.admission import messages
from sedgeswitch.admission import settings as admission_settings
from sedgeswitch.utils import checks
from sedgeswitch.utils import clocks

# Time after a grant marked `is_short` for which the queue is bounded by the host's
# share of the rate.
_SHORTAGE_DURATION_S = 0.5
# Longest delay that a refused caller is told: a day, which fits into 32 bits.
_MAX_RETRY_AFTER_MS = 86_400_000


class Admitted(typing.NamedTuple):
    """The request may run; one token has been spent for it.

    Attributes
    ----------
    organisation : str
    """

    organisation: str


class Denied(typing.NamedTuple):
    """The request was rejected and has not run.

    Attributes
    ----------
    organisation : str
    retry_after_ms : int
        Time until a token is expected for the request, from the host's share of the
        rate and the number of waiting requests.
    """

    organisation: str
    retry_after_ms: int


def build_refusal(denied: Denied) -> verdicts.RefusedError:
    """Return the error that reports a denied request to the caller, with status 429."""
    detail = "the organisation's rate and burst are used up"
    retry_after_ms = max(denied.retry_after_ms, 1)
    return verdicts.build_not_run(429, "rate_exceeded", detail, retry_after_ms)


class Pending:
    """A request that waits for a token from the next draw.

    Attributes
    ----------
    organisation : str
    until_s : float
        Time at which the request stops waiting and is denied.
    latest_s : float
        Latest time to which `until_s` may be moved.
    outcome : Admitted, Denied or None
        None while the request waits.
    """

    __slots__ = ("_done", "latest_s", "organisation", "outcome", "until_s")

    def __init__(self, organisation: str, until_s: float, latest_s: float):
        self.organisation = organisation
        self.until_s = until_s
        self.latest_s = max(until_s, latest_s)
        self.outcome: Admitted | Denied | None = None
        self._done: trio.Event | None = None

    def resolve(self, outcome: Admitted | Denied) -> None:
        """Set the outcome and wake the task that waits for it."""
        self.outcome = outcome
        if self._done is not None:
            self._done.set()

    async def wait(self) -> None:
        """Return as soon as the outcome is set."""
        if self.outcome is None:
            self._done = trio.Event()
            await self._done.wait()


Outcome: typing.TypeAlias = Admitted | Denied | Pending


class _Memory(typing.NamedTuple):
    """The bucket state in the last grant of an organisation.

    It is reported to a new leader as a `messages.BucketMemory`.

    Attributes
    ----------
    term : int
        Term of the leader that granted.
    index : int
        Position of the reply among the replies of that term.
    grant : messages.Grant
    sent_s : float
        When the draw was sent.
    received_s : float
        When its reply was received.
    """

    term: int
    index: int
    grant: messages.Grant
    sent_s: float
    received_s: float


class _Account:
    """The tokens and the waiting requests of one organisation at this host."""

    def __init__(
        self, organisation: str, limit: admission_settings.Limit, window_s: float
    ):
        self.organisation = organisation
        self.limit = limit
        self.available_tokens = 0
        self.expires_s = 0.0
        self.spent_total = 0
        self.last_spent_s = -math.inf
        # Tokens to keep beyond what waiting requests need; a draw returns the rest.
        self.prefetch_target = 0
        self.share_per_s = limit.rate_per_s
        self.shortage_ends_s = -math.inf
        # Whether the leader has recorded that this host holds no tokens.
        self.is_recorded_empty = True
        self.last_listed_s = -math.inf
        # From the last applied grant: its draw, the tokens available after it, and the
        # rate at which this host refills them from `allowance_start_s` on.
        self.answered_sequence = 0
        self.capacity = 0
        self.allowance_per_s = 0.0
        self.allowance_start_s = math.inf
        # Tokens that this host has refilled itself since that grant, and the fraction
        # of the next one.
        self.refilled = 0
        self._token_fraction = 0.0
        self._last_refill_s = -math.inf
        self.demand = demand.DemandEstimate(window_s)
        self.waiters: collections.deque[Pending] = collections.deque()

    def refresh(self, now_s: float) -> None:
        """Add the tokens due from the allowance and remove expired tokens."""
        start_s = max(self.allowance_start_s, self._last_refill_s)
        end_s = min(now_s, self.expires_s)
        if end_s > start_s and self.available_tokens < self.capacity:
            self._token_fraction += (end_s - start_s) * self.allowance_per_s
            count = min(
                int(self._token_fraction), self.capacity - self.available_tokens
            )
            self._token_fraction -= count
            self.available_tokens += count
            self.refilled += count
        if self.available_tokens >= self.capacity:
            self._token_fraction = 0.0
        self._last_refill_s = now_s
        if now_s >= self.expires_s:
            self.available_tokens = 0

    def set_allowance(
        self, sequence: int, allowance_per_s: float, start_s: float, now_s: float
    ) -> None:
        """Record the allowance of a grant.

        Parameters
        ----------
        sequence : int
            The draw that the grant answers.
        allowance_per_s : float
            Tokens per second that the host may refill itself with.
        start_s : float
            When the refill starts; it ends when the grant expires.
        now_s : float
        """
        self.answered_sequence = sequence
        self.capacity = self.available_tokens
        self.allowance_per_s = allowance_per_s
        self.allowance_start_s = start_s
        self.refilled = 0
        self._token_fraction = 0.0
        self._last_refill_s = now_s

    def end_allowance(self) -> None:
        """Stop the host's own refill until the next grant."""
        self.allowance_start_s = math.inf

    def spend(self, now_s: float) -> None:
        """Spend one token."""
        self.last_spent_s = now_s
        self.available_tokens -= 1
        self.spent_total += 1
        self.is_recorded_empty = False


class _OutstandingDraw(typing.NamedTuple):
    """The draw that waits for its reply.

    Attributes
    ----------
    sequence : int
    sent_s : float
    spent_totals : dict of str to int
        Tokens that each listed organisation had spent when the draw was built.
    """

    sequence: int
    sent_s: float
    spent_totals: dict[str, int]


class DrawNeed(enum.Enum):
    """How soon a draw is needed."""

    NONE = "none"
    REGULAR = "regular"
    URGENT = "urgent"


class HostLimiter:
    """Admits requests by the tokens that the control leader granted to this host.

    Tokens are prefetched for the recent demand, so that most requests are admitted
    at once; other requests wait for the next draw. A grant expires after
    `settings.Settings.lifetime_s`.  While no draw is answered the host refills its
    tokens itself, at the allowance of the last grant and up to what it held then.

    Parameters
    ----------
    host_id : str
    incarnation : str
        Differs between two runs of the same host.
    started_s : float
        Start of the process; it has spent no tokens before.
    settings : settings.Settings, optional

    Examples
    --------
    >>> from sedgeswitch.admission import settings
    >>> limiter = HostLimiter("entry-1", "run-1", started_s=0.0)
    >>> limiter.set_limits({"ward-4": settings.Limit(50.0, 20)})
    >>> isinstance(limiter.take("ward-4", now_s=0.0), Pending)
    True
    """

    def __init__(
        self,
        host_id: str,
        incarnation: str,
        started_s: float,
        settings: admission_settings.Settings | None = None,
    ):
        given = admission_settings.Settings() if settings is None else settings
        self._settings = admission_settings.check_settings(given)
        self._host_id = checks.check_name("host_id", host_id)
        self._incarnation = checks.check_name("incarnation", incarnation)
        self._started_s = started_s
        self._accounts: dict[str, _Account] = {}
        self._memories: dict[str, _Memory] = {}
        self._sequence = 0
        self._term = 0
        self._is_report_due = True
        self._outstanding_draw: _OutstandingDraw | None = None
        # Number of draws in a row that were abandoned without an answer.
        self._unanswered_draws = 0
        self._draw_scope = trio.CancelScope()
        self._host_count = 0
        self._last_sent_s = -math.inf
        self._unanswered_since_s: float | None = None
        # Whether the leader said with its last reply that it still collects reports.
        self._is_collecting = False
        self._urgent_interval_s = self._settings.urgent_interval_s
        self._draw_requested = trio.Event()

    def set_limits(self, limits: dict[str, admission_settings.Limit]) -> None:
        """Replace the limits of all organisations.

        Waiting requests of an organisation without a limit are denied.

        Raises
        ------
        CheckError
            If a rate or burst is not allowed.
        """
        for limit in limits.values():
            admission_settings.check_limit(limit)
        for organisation in set(self._accounts) - set(limits):
            account = self._accounts.pop(organisation)
            self._deny_newest(account, len(account.waiters))
        for organisation, limit in limits.items():
            self._set_limit(organisation, limit)

    def set_host_count(self, count: int) -> None:
        """Set the number of hosts that report to a new leader, this one included."""
        self._host_count = count

    def take(
        self, organisation: str, now_s: float, deadline_s: float = math.inf
    ) -> Outcome:
        """Spend a token for one request, or queue the request for the next draw.

        Parameters
        ----------
        organisation : str
        now_s : float
        deadline_s : float, optional
            Time after which the request is not queued any longer.

        Returns
        -------
        Admitted, Denied or Pending
            Pending if the next draw may bring a token: await `wait`. Denied if the
            queue is full or there is no time left to wait.

        Raises
        ------
        CheckError
            If the organisation has no limit.
        """
        account = self._get_account(organisation)
        account.demand.add(now_s)
        account.refresh(now_s)
        if account.available_tokens > 0 and not account.waiters:
            account.spend(now_s)
            return Admitted(organisation)
        wait_s = min(self._get_wait_s(now_s), deadline_s - now_s)
        if wait_s <= 0 or len(account.waiters) >= self._get_queue_capacity(
            account, now_s
        ):
            return self._build_denied(account)
        latest_s = min(now_s + self._settings.leader_wait_s, deadline_s)
        pending = Pending(organisation, now_s + wait_s, latest_s)
        account.waiters.append(pending)
        self._draw_requested.set()
        return pending

    async def wait(self, pending: Pending) -> Admitted | Denied:
        """Wait for the outcome of a pending request, at most until its `until_s`.

        Notes
        -----
        If the wait is cancelled, a token already spent for the request is not returned.
        """
        try:
            # The host may have been suspended since the request was queued, so that
            # `until_s` has already passed.
            remaining_s = max(pending.until_s - clocks.get_now_s(), 0.0)
            while pending.outcome is None:
                with trio.move_on_after(remaining_s):
                    await pending.wait()
                # `until_s` may have been moved during the wait.
                remaining_s = pending.until_s - clocks.get_now_s()
                if remaining_s <= 0:
                    break
        finally:
            self.give_up(pending)
        return pending.outcome

    def give_up(self, pending: Pending) -> Admitted | Denied:
        """Stop waiting and return the outcome; Denied if there was none yet."""
        if pending.outcome is None:
            account = self._accounts[pending.organisation]
            account.waiters.remove(pending)
            pending.resolve(self._build_denied(account))
        return pending.outcome

    def list_organisations(self) -> list[str]:
        """Return the organisations that have a limit."""
        return list(self._accounts)

    def get_available_tokens(self, organisation: str, now_s: float) -> int:
        """Return how many requests of an organisation can be admitted at once."""
        account = self._get_account(organisation)
        account.refresh(now_s)
        return account.available_tokens

    def get_next_draw_s(self, now_s: float) -> float:
        """Return when the next draw should be sent; infinity if none is needed."""
        need = self._get_need(now_s)
        if need is DrawNeed.NONE:
            return math.inf
        interval_s = self._get_draw_interval_s()
        if self._is_report_due:
            # A new leader reserves tokens for hosts that have not reported yet, and
            # grants little meanwhile: report as early as possible.
            interval_s = self._settings.urgent_interval_s
        elif need is DrawNeed.URGENT:
            interval_s = self._urgent_interval_s
        if self._outstanding_draw is not None:
            interval_s = max(interval_s, self._get_draw_timeout_s())
        return max(now_s, self._last_sent_s + interval_s)

    def wait_for_answer(self) -> trio.CancelScope:
        """Return a scope in which to await the answer to the draw that was built last.

        It ends at the timeout of the draw, or as soon as a report is requested.
        """
        self._draw_scope = trio.move_on_after(self._get_draw_timeout_s())
        return self._draw_scope

    def _get_draw_timeout_s(self) -> float:
        interval_s = self._urgent_interval_s
        if self._is_report_due:
            shared_s = self._host_count / self._settings.draws_max_per_s
            interval_s = max(interval_s, shared_s)
        return admission_settings.get_draw_timeout_s(
            self._settings, interval_s, self._unanswered_draws
        )

    def abandon_draw(self) -> None:
        """Record that the last draw gets no answer, because its call failed."""
        self._outstanding_draw = None

    def request_report(self) -> None:
        """Make the next draw a report for a new leader, and request it at once."""
        self._is_report_due = True
        self._outstanding_draw = None
        self._unanswered_draws = 0
        self._draw_scope.cancel()
        self._draw_requested.set()

    async def wait_until_draw_requested(self) -> None:
        """Return as soon as a request is queued or a report is due."""
        await self._draw_requested.wait()
        self._draw_requested = trio.Event()

    def build_draw(self, now_s: float) -> messages.Draw:
        """Return the next draw.

        From now on the replies to all earlier draws are ignored.
        """
        self._sequence += 1
        if self._outstanding_draw is not None:
            self._unanswered_draws += 1
        holdings = []
        spent_totals = {}
        for organisation, account in self._accounts.items():
            account.refresh(now_s)
            self._admit_waiting(account, now_s)
            if self._is_report_due:
                # The new leader subtracts what was refilled up to the report; tokens
                # refilled later would not be counted.
                account.end_allowance()
            if self._is_due(account, now_s):
                self._return_surplus(account, now_s)
                account.last_listed_s = now_s
                holdings.append(self._build_holding(organisation, account, now_s))
                spent_totals[organisation] = account.spent_total
        self._outstanding_draw = _OutstandingDraw(self._sequence, now_s, spent_totals)
        self._last_sent_s = now_s
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now_s
        return messages.Draw(
            host_id=self._host_id,
            incarnation=self._incarnation,
            sequence=self._sequence,
            term=self._term,
            is_report=self._is_report_due,
            uptime_s=now_s - self._started_s,
            holdings=holdings,
            memories=self._build_memories(now_s) if self._is_report_due else [],
        )

    def receive_grants(
        self, reply: messages.DrawReply, sent_s: float, now_s: float
    ) -> None:
        """Apply the reply to the latest draw; ignore the reply to any other draw.

        Parameters
        ----------
        reply : messages.DrawReply
        sent_s : float
            When the draw was sent for the first time.
        now_s : float
        """
        sent = self._outstanding_draw
        if sent is None or reply.sequence != sent.sequence or reply.term < self._term:
            return
        self._outstanding_draw = None
        self._unanswered_draws = 0
        self._unanswered_since_s = None
        # Also from a reply that requests a report, which then is not repeated too soon.
        self._urgent_interval_s = reply.urgent_interval_s
        self._set_collecting(bool(reply.is_collecting))
        if reply.status == messages.DrawStatus.REPORT_WANTED:
            self._term = reply.term
            self._is_report_due = True
            self._draw_requested.set()
        if reply.status != messages.DrawStatus.GRANTED:
            return
        self._is_report_due = False
        sent_s = min(sent_s, sent.sent_s)
        for grant in reply.grants:
            account = self._accounts.get(grant.organisation)
            if account is not None and grant.organisation in sent.spent_totals:
                memory = _Memory(reply.term, reply.index, grant, sent_s, now_s)
                self._memories[grant.organisation] = memory
                was_empty = account.capacity == 0
                self._apply(account, reply, grant, sent_s, now_s)
                spent = sent.spent_totals[grant.organisation]
                account.is_recorded_empty = (
                    account.available_tokens == 0 == grant.granted
                )
                # The leader counts tokens as held until a draw reports them spent.
                account.is_recorded_empty &= was_empty and account.spent_total == spent

    def _apply(
        self,
        account: _Account,
        reply: messages.DrawReply,
        grant: messages.Grant,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Add the tokens of one grant and admit or deny waiting requests."""
        account.refresh(now_s)
        # Counted from sending, the grant expires here before it does at the leader.
        expires_s = sent_s + reply.lifetime_s
        if now_s < expires_s:
            account.available_tokens += max(0, grant.granted)
            account.expires_s = expires_s
        factor = admission_settings.get_min_clock_ratio(self._settings)
        delay_s = admission_settings.get_allowance_delay_s(
            self._settings, reply.urgent_interval_s
        )
        account.set_allowance(
            reply.sequence,
            max(0.0, grant.allowance_per_s) * factor,
            now_s + delay_s,
            now_s,
        )
        account.prefetch_target = grant.keep
        account.share_per_s = max(grant.share_per_s, 1e-6)
        is_short = grant.is_short
        account.shortage_ends_s = (
            now_s + _SHORTAGE_DURATION_S if is_short else -math.inf
        )
        self._admit_waiting(account, now_s)
        surplus = len(account.waiters) - self._get_queue_capacity(account, now_s)
        self._deny_newest(account, surplus)

    def _set_collecting(self, is_collecting: bool) -> None:
        """Record whether the leader collects reports; if so, extend all waits."""
        self._is_collecting = is_collecting
        if not is_collecting:
            return
        for account in self._accounts.values():
            for pending in account.waiters:
                pending.until_s = pending.latest_s

    def _admit_waiting(self, account: _Account, now_s: float) -> None:
        while account.waiters and account.available_tokens > 0:
            account.spend(now_s)
            pending = account.waiters.popleft()
            pending.resolve(Admitted(pending.organisation))

    def _set_limit(self, organisation: str, limit: admission_settings.Limit) -> None:
        account = self._accounts.get(organisation)
        if account is None:
            window_s = self._settings.demand_window_s
            account = _Account(organisation, limit, window_s)
            if organisation in self._memories:
                # The limit was removed and set again; when the earlier account last
                # spent a token is not recorded, so assume that it was just now.
                account.last_spent_s = math.inf
            self._accounts[organisation] = account
        elif account.limit != limit:
            account.limit = limit
            account.available_tokens = min(account.available_tokens, limit.burst)
            account.capacity = min(account.capacity, limit.burst)
            account.shortage_ends_s = -math.inf
            account.share_per_s = limit.rate_per_s

    def _get_account(self, organisation: str) -> _Account:
        account = self._accounts.get(organisation)
        if account is None:
            allowed = "an organisation with a limit"
            raise checks.CheckError("organisation", allowed, organisation)
        return account

    def _get_wait_s(self, now_s: float) -> float:
        """Return how long a request that is queued now may wait for a token."""
        since_s = self._unanswered_since_s
        if since_s is not None and now_s - since_s > self._settings.draw_timeout_s:
            # The outage timeout is longer than an election. After it other hosts may
            # still have tokens, so that waiting here is of no use to callers.
            remaining_s = self._settings.outage_timeout_s - (now_s - since_s)
            return max(0.0, min(self._settings.leader_wait_s, remaining_s))
        # Hosts of a large fleet draw less often, see `Settings.draws_max_per_s`.
        draw_s = self._urgent_interval_s + self._settings.draw_timeout_s
        if self._is_collecting:
            return max(self._settings.leader_wait_s, draw_s)
        return max(self._settings.wait_s, draw_s)

    def _get_draw_interval_s(self) -> float:
        """Return the shortest time between two regular draws."""
        return admission_settings.get_draw_interval_s(
            self._settings, self._urgent_interval_s
        )

    def _get_queue_capacity(self, account: _Account, now_s: float) -> int:
        """Return how many requests of an organisation may wait at the same time."""
        if now_s >= account.shortage_ends_s:
            return account.limit.burst
        return math.ceil(1 + account.share_per_s * self._get_wait_s(now_s))

    def _build_denied(self, account: _Account) -> Denied:
        share_per_s = max(account.share_per_s, 1e-6)
        position = len(account.waiters) + 1
        retry_after_ms = max(1, math.ceil(1000 * position / share_per_s))
        return Denied(account.organisation, min(retry_after_ms, _MAX_RETRY_AFTER_MS))

    def _deny_newest(self, account: _Account, count: int) -> None:
        for _ in range(count):
            pending = account.waiters.pop()
            pending.resolve(self._build_denied(account))

    def _get_need(self, now_s: float) -> DrawNeed:
        accounts = self._accounts.values()
        if self._is_report_due or any(
            self._is_urgent(item, now_s) for item in accounts
        ):
            return DrawNeed.URGENT
        if any(self._needs_draw(account) for account in accounts):
            return DrawNeed.REGULAR
        return DrawNeed.NONE

    def _is_urgent(self, account: _Account, now_s: float) -> bool:
        # With a full queue the organisation is far above its rate; more frequent draws
        # would bring no more tokens.
        waiting = len(account.waiters)
        return 0 < waiting < self._get_queue_capacity(account, now_s)

    def _is_due(self, account: _Account, now_s: float) -> bool:
        """Return whether a draw that is built now lists an organisation."""
        if self._is_report_due:
            return self._needs_draw(account) or account.capacity > 0
        if account.waiters:
            return True
        # Listed up to half an interval early, so that the regular draws of all
        # organisations share one message.
        regular_s = account.last_listed_s + self._get_draw_interval_s() / 2
        return now_s >= regular_s and self._needs_draw(account)

    def _needs_draw(self, account: _Account) -> bool:
        return bool(
            account.available_tokens or account.waiters or not account.is_recorded_empty
        )

    def _return_surplus(self, account: _Account, now_s: float) -> None:
        """Reduce the available tokens to the target; the draw reports the rest."""
        demand_per_s = account.demand.get_rate_per_s(now_s)
        wanted = round(admission_settings.get_prefetch(self._settings, demand_per_s))
        account.available_tokens = min(
            account.available_tokens, max(0, min(account.prefetch_target, wanted))
        )

    def _build_holding(
        self, organisation: str, account: _Account, now_s: float
    ) -> messages.Holding:
        account.is_recorded_empty = False
        # After its grant has expired here, the leader may already have given the tokens
        # and the allowance to other hosts.
        is_in_force = now_s < account.expires_s
        return messages.Holding(
            organisation=organisation,
            in_hand=account.available_tokens,
            spent_total=account.spent_total,
            pending=len(account.waiters),
            demand_per_s=account.demand.get_rate_per_s(now_s),
            answered_sequence=account.answered_sequence,
            allowance_per_s=account.allowance_per_s if is_in_force else 0.0,
            refilled=account.refilled,
            capacity=account.capacity if is_in_force else 0,
        )

    def _get_spent_age_s(self, organisation: str, now_s: float) -> float:
        """Return the time since the last spent token, 0 where it is not recorded."""
        account = self._accounts.get(organisation)
        if account is None:
            return 0.0
        return max(0.0, now_s - max(account.last_spent_s, self._started_s))

    def _build_memories(self, now_s: float) -> list[messages.BucketMemory]:
        """Return the last bucket states for a report, except those out of date."""
        oldest_s = now_s - self._settings.host_retention_s
        return [
            messages.BucketMemory(
                organisation=organisation,
                term=memory.term,
                index=memory.index,
                bucket=memory.grant.bucket,
                held=memory.grant.held,
                rate_per_s=memory.grant.rate_per_s,
                received_age_s=now_s - memory.received_s,
                sent_age_s=now_s - memory.sent_s,
                spent_age_s=self._get_spent_age_s(organisation, now_s),
            )
            for organisation, memory in self._memories.items()
            if memory.sent_s > oldest_s
        ]
