"""The entry host's side of the draw protocol: tokens in hand and who waits."""

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

_SHORT_MEMORY_S = 0.5


class Admitted(typing.NamedTuple):
    """The request may run; its token is spent.

    Attributes
    ----------
    organisation : str
    """

    organisation: str


class Denied(typing.NamedTuple):
    """The request was given up on and has not run.

    Attributes
    ----------
    organisation : str
    retry_after_ms : int
        When a token is expected, by the rate.
    """

    organisation: str
    retry_after_ms: int


def build_refusal(denied: Denied) -> verdicts.RefusedError:
    """Return the error that tells a caller of a denied request."""
    detail = "the organisation's rate and burst are used up"
    retry_after_ms = max(denied.retry_after_ms, 1)
    return verdicts.build_not_run(429, "rate_exceeded", detail, retry_after_ms)


class Pending:
    """A request that waits for the next draw.

    Attributes
    ----------
    organisation : str
    until_s : float
        When to give up.
    outcome : Admitted, Denied or None
        None while the request waits.
    """

    __slots__ = ("_done", "organisation", "outcome", "until_s")

    def __init__(self, organisation: str, until_s: float):
        self.organisation = organisation
        self.until_s = until_s
        self.outcome: Admitted | Denied | None = None
        self._done: trio.Event | None = None

    def resolve(self, outcome: Admitted | Denied) -> None:
        """Set the outcome and wake the waiting task."""
        self.outcome = outcome
        if self._done is not None:
            self._done.set()

    async def wait(self) -> None:
        """Return once there is an outcome."""
        if self.outcome is None:
            self._done = trio.Event()
            await self._done.wait()


Outcome: typing.TypeAlias = Admitted | Denied | Pending


class _Memory(typing.NamedTuple):
    """The bucket state in a reply, and when the draw and the reply passed."""

    term: int
    index: int
    grant: messages.Grant
    sent_s: float
    received_s: float


class _Account:
    """The tokens of one organisation in a wallet."""

    def __init__(
        self, organisation: str, limit: admission_settings.Limit, window_s: float
    ):
        self.organisation = organisation
        self.limit = limit
        self.in_hand = 0
        self.expires_s = 0.0
        self.spent_total = 0
        self.spent_s = -math.inf
        self.keep = 0
        self.share_per_s = limit.rate_per_s
        self.short_until_s = -math.inf
        self.is_settled = True
        self.listed_s = -math.inf
        # Of the grant that was applied last.
        self.answered_sequence = 0
        self.capacity = 0
        self.allowance_per_s = 0.0
        self.allowance_from_s = math.inf
        # Tokens refilled since then without the leader, and the fraction of the next.
        self.refilled = 0
        self._next_token = 0.0
        self._refilled_s = -math.inf
        self.demand = demand.DemandEstimate(window_s)
        self.waiters: collections.deque[Pending] = collections.deque()

    def refresh(self, now_s: float) -> None:
        """Refill the stock while no draw is answered; drop expired tokens."""
        start_s = max(self.allowance_from_s, self._refilled_s)
        end_s = min(now_s, self.expires_s)
        if end_s > start_s and self.in_hand < self.capacity:
            self._next_token += (end_s - start_s) * self.allowance_per_s
            count = min(int(self._next_token), self.capacity - self.in_hand)
            self._next_token -= count
            self.in_hand += count
            self.refilled += count
        if self.in_hand >= self.capacity:
            self._next_token = 0.0
        self._refilled_s = now_s
        if now_s >= self.expires_s:
            self.in_hand = 0

    def allow(
        self, sequence: int, allowance_per_s: float, from_s: float, now_s: float
    ) -> None:
        """Note what the leader allows from `from_s` on, until the grant expires."""
        self.answered_sequence = sequence
        self.capacity = self.in_hand
        self.allowance_per_s = allowance_per_s
        self.allowance_from_s = from_s
        self.refilled = 0
        self._next_token = 0.0
        self._refilled_s = now_s

    def end_allowance(self) -> None:
        """Refill nothing until the next grant."""
        self.allowance_from_s = math.inf

    def spend(self, now_s: float) -> None:
        """Spend one token."""
        self.spent_s = now_s
        self.in_hand -= 1
        self.spent_total += 1
        self.is_settled = False


class _Sent(typing.NamedTuple):
    """The draw that waits for its reply."""

    sequence: int
    sent_s: float
    accounts: dict[str, int]


class DrawNeed(enum.Enum):
    """How soon a draw is wanted."""

    NONE = "none"
    REGULAR = "regular"
    URGENT = "urgent"


class HostLimiter:
    """Tokens that an entry host holds for all organisations.

    Parameters
    ----------
    host_id : str
    incarnation : str
        Differs between two runs of the same host.
    started_s : float
        Start of the process; it has spent nothing before.
    settings : settings.Settings, optional

    Examples
    --------
    >>> from sedgeswitch.admission import settings
    >>> purse = HostLimiter("entry-1", "run-1", started_s=0.0)
    >>> purse.set_limits({"ward-4": settings.Limit(50.0, 20)})
    >>> isinstance(purse.take("ward-4", now_s=0.0), Pending)
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
        self._sent: _Sent | None = None
        self._last_sent_s = -math.inf
        self._unanswered_since_s: float | None = None
        self._urgent_interval_s = self._settings.urgent_interval_s
        self._is_woken = trio.Event()

    def set_limits(self, limits: dict[str, admission_settings.Limit]) -> None:
        """Put the limits of all organisations in force.

        Raises
        ------
        CheckError
            If a name, rate or burst is not allowed.
        """
        for organisation, limit in limits.items():
            checks.check_name("organisation", organisation)
            admission_settings.check_limit(limit)
        for organisation in set(self._accounts) - set(limits):
            account = self._accounts.pop(organisation)
            self._deny(account, len(account.waiters))
        for organisation, limit in limits.items():
            self._set_limit(organisation, limit)

    def take(
        self, organisation: str, now_s: float, deadline_s: float = math.inf
    ) -> Outcome:
        """Spend a token for one request.

        Parameters
        ----------
        organisation : str
        now_s : float
        deadline_s : float, optional
            When the caller stops waiting.

        Returns
        -------
        Admitted, Denied or Pending
            Pending if the next draw may bring a token: await `wait`.

        Raises
        ------
        CheckError
            If the organisation has no limit.
        """
        account = self._get_account(organisation)
        account.demand.add(now_s)
        account.refresh(now_s)
        if account.in_hand > 0 and not account.waiters:
            account.spend(now_s)
            return Admitted(organisation)
        wait_s = min(self._get_wait_s(now_s), deadline_s - now_s)
        if wait_s <= 0 or len(account.waiters) >= self._get_room(account, now_s):
            return self._build_denied(account)
        pending = Pending(organisation, now_s + wait_s)
        account.waiters.append(pending)
        self._is_woken.set()
        return pending

    async def wait(self, pending: Pending) -> Admitted | Denied:
        """Wait for the outcome of a pending request, until its time is over.

        Notes
        -----
        On cancellation a token that has been spent for the request stays spent.
        """
        try:
            # The host may have been paused since the request was queued.
            left_s = max(pending.until_s - clocks.get_now_s(), 0.0)
            with trio.move_on_after(left_s):
                await pending.wait()
        finally:
            self.give_up(pending)
        return pending.outcome

    def give_up(self, pending: Pending) -> Admitted | Denied:
        """Stop waiting and return the outcome; Denied if there was none."""
        if pending.outcome is None:
            account = self._accounts[pending.organisation]
            account.waiters.remove(pending)
            pending.resolve(self._build_denied(account))
        return pending.outcome

    def list_organisations(self) -> list[str]:
        """Return the organisations that have a limit."""
        return list(self._accounts)

    def get_available_tokens(self, organisation: str, now_s: float) -> int:
        """Return the tokens in hand for an organisation."""
        account = self._get_account(organisation)
        account.refresh(now_s)
        return account.in_hand

    def get_next_draw_s(self, now_s: float) -> float:
        """Return when the next draw should be sent; infinity if none is wanted."""
        need = self._get_need(now_s)
        if need is DrawNeed.NONE:
            return math.inf
        interval_s = self._get_draw_interval_s()
        if self._is_report_due:
            # Until all hosts have reported, a new leader grants little.
            interval_s = self._settings.urgent_interval_s
        elif need is DrawNeed.URGENT:
            interval_s = self._urgent_interval_s
        if self._sent is not None:
            interval_s = max(interval_s, self._settings.draw_timeout_s)
        return max(now_s, self._last_sent_s + interval_s)

    def request_report(self) -> None:
        """Draw as soon as possible, so that a new leader learns what is in hand."""
        self._is_report_due = True
        self._sent = None
        self._is_woken.set()

    async def wait_until_woken(self) -> None:
        """Return as soon as a request waits for a draw."""
        await self._is_woken.wait()
        self._is_woken = trio.Event()

    def build_draw(self, now_s: float) -> messages.Draw:
        """Return the next draw; the reply to an earlier one is ignored from now on."""
        self._sequence += 1
        holdings = []
        accounts = {}
        for organisation, account in self._accounts.items():
            account.refresh(now_s)
            self._admit_waiting(account, now_s)
            if self._is_report_due:
                # A new leader reckons with what was refilled up to the report.
                account.end_allowance()
            if self._is_due(account, now_s):
                self._return_surplus(account, now_s)
                account.listed_s = now_s
                holdings.append(self._build_holding(organisation, account, now_s))
                accounts[organisation] = account.spent_total
        self._sent = _Sent(self._sequence, now_s, accounts)
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
        """Apply the reply to the latest draw; any other reply changes nothing.

        Parameters
        ----------
        reply : messages.DrawReply
        sent_s : float
            When the draw was first sent.
        now_s : float
        """
        sent = self._sent
        if sent is None or reply.sequence != sent.sequence or reply.term < self._term:
            return
        self._sent = None
        self._unanswered_since_s = None
        if reply.status == messages.DrawStatus.REPORT_WANTED:
            self._term = reply.term
            self._is_report_due = True
            self._is_woken.set()
        if reply.status != messages.DrawStatus.GRANTED:
            return
        self._is_report_due = False
        self._urgent_interval_s = reply.urgent_interval_s
        sent_s = min(sent_s, sent.sent_s)
        for grant in reply.grants:
            account = self._accounts.get(grant.organisation)
            if account is not None and grant.organisation in sent.accounts:
                memory = _Memory(reply.term, reply.index, grant, sent_s, now_s)
                self._memories[grant.organisation] = memory
                was_empty = account.capacity == 0
                self._apply(account, reply, grant, sent_s, now_s)
                spent = sent.accounts[grant.organisation]
                account.is_settled = account.in_hand == 0 == grant.granted
                # The leader counts a stock until it hears that it is gone.
                account.is_settled &= was_empty and account.spent_total == spent

    def _apply(
        self,
        account: _Account,
        reply: messages.DrawReply,
        grant: messages.Grant,
        sent_s: float,
        now_s: float,
    ) -> None:
        account.refresh(now_s)
        expires_s = sent_s + reply.lifetime_s
        if now_s < expires_s:
            account.in_hand += max(0, grant.granted)
            account.expires_s = expires_s
        factor = admission_settings.get_slow_factor(self._settings)
        account.allow(
            reply.sequence,
            max(0.0, grant.allowance_per_s) * factor,
            now_s + self._settings.allowance_delay_s,
            now_s,
        )
        account.keep = grant.keep
        account.share_per_s = max(grant.share_per_s, 1e-6)
        is_short = grant.is_short
        account.short_until_s = now_s + _SHORT_MEMORY_S if is_short else -math.inf
        self._admit_waiting(account, now_s)
        surplus = len(account.waiters) - self._get_room(account, now_s)
        self._deny(account, surplus)

    def _admit_waiting(self, account: _Account, now_s: float) -> None:
        while account.waiters and account.in_hand > 0:
            account.spend(now_s)
            pending = account.waiters.popleft()
            pending.resolve(Admitted(pending.organisation))

    def _set_limit(self, organisation: str, limit: admission_settings.Limit) -> None:
        account = self._accounts.get(organisation)
        if account is None:
            window_s = self._settings.demand_window_s
            account = _Account(organisation, limit, window_s)
            if organisation in self._memories:
                # An earlier account may have spent tokens at any time.
                account.spent_s = math.inf
            self._accounts[organisation] = account
        elif account.limit != limit:
            account.limit = limit
            account.in_hand = min(account.in_hand, limit.burst)
            account.short_until_s = -math.inf
            account.share_per_s = limit.rate_per_s

    def _get_account(self, organisation: str) -> _Account:
        account = self._accounts.get(organisation)
        if account is None:
            allowed = "an organisation with a limit"
            raise checks.CheckError("organisation", allowed, organisation)
        return account

    def _get_wait_s(self, now_s: float) -> float:
        since_s = self._unanswered_since_s
        if since_s is not None and now_s - since_s > self._settings.draw_timeout_s:
            # Longer than an election: callers find a token elsewhere, or none.
            patience_s = self._settings.outage_timeout_s - (now_s - since_s)
            return max(0.0, min(self._settings.leader_wait_s, patience_s))
        # A large fleet draws less often, see `settings.Settings`.
        draw_s = self._urgent_interval_s + self._settings.draw_timeout_s
        return max(self._settings.wait_s, draw_s)

    def _get_draw_interval_s(self) -> float:
        """Return the shortest time between two regular draws."""
        return max(self._settings.draw_interval_s, 2 * self._urgent_interval_s)

    def _get_room(self, account: _Account, now_s: float) -> int:
        if now_s >= account.short_until_s:
            return account.limit.burst
        return math.ceil(1 + account.share_per_s * self._get_wait_s(now_s))

    def _build_denied(self, account: _Account) -> Denied:
        share_per_s = max(account.share_per_s, 1e-6)
        ahead = len(account.waiters) + 1
        retry_after_ms = max(1, math.ceil(1000 * ahead / share_per_s))
        return Denied(account.organisation, retry_after_ms)

    def _deny(self, account: _Account, count: int) -> None:
        for _ in range(count):
            pending = account.waiters.pop()
            pending.resolve(self._build_denied(account))

    def _get_need(self, now_s: float) -> DrawNeed:
        accounts = self._accounts.values()
        if self._is_report_due or any(self._is_urgent(it, now_s) for it in accounts):
            return DrawNeed.URGENT
        if any(self._is_listed(account) for account in accounts):
            return DrawNeed.REGULAR
        return DrawNeed.NONE

    def _is_urgent(self, account: _Account, now_s: float) -> bool:
        # An organisation far above its rate gains nothing from frequent draws.
        waiting = len(account.waiters)
        return 0 < waiting < self._get_room(account, now_s)

    def _is_due(self, account: _Account, now_s: float) -> bool:
        """Tell whether a draw now should list an organisation."""
        if self._is_report_due:
            return self._is_listed(account) or account.capacity > 0
        if account.waiters:
            return True
        # Half an interval early, so that regular draws stay in step.
        regular_s = account.listed_s + self._get_draw_interval_s() / 2
        return now_s >= regular_s and self._is_listed(account)

    def _is_listed(self, account: _Account) -> bool:
        return bool(account.in_hand or account.waiters or not account.is_settled)

    def _return_surplus(self, account: _Account, now_s: float) -> None:
        prefetch_s = self._settings.prefetch_s
        wanted = round(account.demand.get_rate_per_s(now_s) * prefetch_s)
        account.in_hand = min(account.in_hand, max(0, min(account.keep, wanted)))

    def _build_holding(
        self, organisation: str, account: _Account, now_s: float
    ) -> messages.Holding:
        account.is_settled = False
        return messages.Holding(
            organisation=organisation,
            in_hand=account.in_hand,
            spent_total=account.spent_total,
            pending=len(account.waiters),
            demand_per_s=account.demand.get_rate_per_s(now_s),
            answered_sequence=account.answered_sequence,
            allowance_per_s=account.allowance_per_s,
            refilled=account.refilled,
        )

    def _get_spent_age_s(self, organisation: str, now_s: float) -> float:
        account = self._accounts.get(organisation)
        if account is None:
            return 0.0
        return max(0.0, now_s - max(account.spent_s, self._started_s))

    def _build_memories(self, now_s: float) -> list[messages.BucketMemory]:
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
