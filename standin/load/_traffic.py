"""Sends an open-loop stream of requests and checks their answers."""

import collections
import itertools
import random
import typing

import trio

from sedgeswitch import verdicts
from standin import addresses
from standin.load import _client
from standin.load import _consistency
from standin.load import _mix
from standin.load import _tally

MAX_OPEN_REQUESTS = 20_000
MIN_RETRY_DELAY_S = 0.02
RATE_CODE = "rate_exceeded"
SESSIONLESS_SHARE = 0.1
"""Share of requests that are sent without a session."""
POSITION_SHARE = 0.5
"""Share of requests that send the position of an earlier answer."""

RECENT_SHARE = 0.5
"""Share of reads that read a recently written household of the organisation."""
RECENT_HOUSEHOLDS = 8

_MS_PER_S = 1000


class Plan(typing.NamedTuple):
    """Parameters of a run.

    Attributes
    ----------
    hosts : tuple of addresses.Address
        Entry hosts to which requests are sent.
    organisations : tuple of _mix.Organisation
    mix : _mix.Mix
    rate_per_s, duration_s : float
        Requests per second of all organisations, and duration of the traffic.
    give_up_s : float
        Time after which a request is no longer retried.
    run : str
        Name of the run, part of each household, request id and tag.
    is_tagged : bool
        Whether each statement begins with a comment that holds its request id.
    """

    hosts: tuple[addresses.Address, ...]
    organisations: tuple[_mix.Organisation, ...]
    mix: _mix.Mix
    rate_per_s: float
    duration_s: float
    give_up_s: float
    run: str
    is_tagged: bool


class Call(typing.NamedTuple):
    """One request.

    Fields whose name is a value of `_mix.Parameter` are passed as parameters of the
    statement.
    """

    work: _mix.Work
    caller: _mix.Organisation
    group: str
    session: str
    request_id: str
    run: str
    organisation: str
    household: str
    value: str
    tag: str


class _FinalOutcome(typing.NamedTuple):
    """Last outcome of a call, and whether any attempt failed with `RATE_CODE`."""

    outcome: _client.Answer | _client.Problem
    was_throttled: bool


def build_parameters(
    names: typing.Sequence[_mix.Parameter], values: typing.Any
) -> list[str | None]:
    """Return the values of a statement's parameters, attributes of `values`."""
    return [getattr(values, name.value) for name in names]


class Traffic:
    """Sends the requests of a run at random times, independent of the answers.

    Parameters
    ----------
    plan : Plan
    client : _client.Client
    checker : _consistency.ConsistencyChecker
    tally : _tally.Tally
    generator : random.Random
    """

    def __init__(
        self,
        plan: Plan,
        client: _client.Client,
        checker: _consistency.ConsistencyChecker,
        tally: _tally.Tally,
        generator: random.Random,
    ):
        self._plan = plan
        self._client = client
        self._checker = checker
        self._tally = tally
        self._random = generator
        # The number of attempts depends on the answers.  A separate generator keeps
        # the arrivals the same for the same seed.
        self._attempt_random = random.Random(generator.random())
        self._numbers = itertools.count(1)
        self._positions: dict[str, str] = {}
        self._open_requests = 0
        self._recent: dict[str, collections.deque[int]] = collections.defaultdict(
            lambda: collections.deque(maxlen=RECENT_HOUSEHOLDS)
        )

    async def run(self) -> None:
        """Send requests for the duration of the plan and wait until all have ended."""
        start_s = trio.current_time()
        due_s = start_s
        async with trio.open_nursery() as nursery:
            while True:
                due_s += self._random.expovariate(self._plan.rate_per_s)
                if due_s > start_s + self._plan.duration_s:
                    break
                await trio.sleep_until(due_s)
                if self._open_requests >= MAX_OPEN_REQUESTS:
                    self._tally.dropped += 1
                    continue
                self._open_requests += 1
                nursery.start_soon(self._execute, self._build_call(), due_s)
            await trio.sleep_until(start_s + self._plan.duration_s)
            self._tally.finish(trio.current_time())

    def _build_call(self) -> Call:
        caller = self._choose(self._plan.organisations)
        work = self._choose(caller.get_works(self._plan.mix))
        number = next(self._numbers)
        index = self._choose_household(caller, work)
        household = f"{self._plan.run}.{caller.organisation}.{index}"
        request_id = f"{self._plan.run}.{number}"
        is_sessionless = self._random.random() < SESSIONLESS_SHARE
        return Call(
            work=work,
            caller=caller,
            group=caller.groups[index % len(caller.groups)],
            session="" if is_sessionless else household,
            request_id=request_id,
            run=self._plan.run,
            organisation=caller.organisation,
            household=household,
            value=str(number),
            tag=request_id,
        )

    def _choose_household(self, caller: _mix.Organisation, work: _mix.Work) -> int:
        recent = self._recent[caller.organisation]
        is_write = work.access is _mix.Access.WRITE
        if recent and not is_write and self._random.random() < RECENT_SHARE:
            return self._random.choice(recent)
        index = self._random.randrange(self._plan.mix.households)
        if is_write:
            recent.append(index)
        return index

    def _choose(self, entries: typing.Sequence) -> typing.Any:
        weights = [entry.share for entry in entries]
        return self._random.choices(entries, weights)[0]

    async def _execute(self, call: Call, due_s: float) -> None:
        tally = self._tally.organisations[call.organisation]
        tally.sent += 1
        is_within_rate = tally.bucket.take(due_s)
        try:
            final = await self._send_until_done(call, due_s)
        finally:
            self._open_requests -= 1
        tally.throttled_within_rate += is_within_rate and final.was_throttled
        if isinstance(final.outcome, _client.Problem):
            tally.refused[final.outcome.code] += 1
            tally.refused_within_rate += is_within_rate
            return
        tally.answered += 1
        tally.record_latency(trio.current_time() - due_s)
        if not is_within_rate:
            tally.bucket.charge_over_rate()

    async def _send_until_done(self, call: Call, due_s: float) -> _FinalOutcome:
        tally = self._tally.organisations[call.organisation]
        deadline_s = due_s + self._plan.give_up_s
        was_throttled = False
        host = self._attempt_random.choice(self._plan.hosts)
        while True:
            outcome = await self._attempt(call, host)
            if isinstance(outcome, _client.Answer):
                return _FinalOutcome(outcome, was_throttled)
            tally.refused_attempts[outcome.code] += 1
            was_throttled |= outcome.code == RATE_CODE
            wait_s = max(outcome.retry_after_ms / _MS_PER_S, MIN_RETRY_DELAY_S)
            if not may_retry(call.work, outcome):
                return _FinalOutcome(outcome, was_throttled)
            if trio.current_time() + wait_s > deadline_s:
                return _FinalOutcome(outcome, was_throttled)
            await trio.sleep(wait_s * self._attempt_random.uniform(1.0, 1.5))
            host = self._choose_other(host)

    def _choose_other(self, host: addresses.Address) -> addresses.Address:
        others = [other for other in self._plan.hosts if other != host]
        return self._attempt_random.choice(others) if others else host

    async def _attempt(
        self, call: Call, host: addresses.Address
    ) -> _client.Answer | _client.Problem:
        is_write = call.work.access is _mix.Access.WRITE
        if is_write:
            self._checker.start_attempt(build_write(call))
        read = build_read(call, trio.current_time())
        outcome = await self._client.send(
            host, self._build_statement(call), self._build_credentials(call)
        )
        if isinstance(outcome, _client.Answer):
            self._store_position(call, outcome)
        if is_write:
            self._record_write_outcome(call, outcome)
        elif isinstance(outcome, _client.Answer):
            self._check_read(call, read, outcome)
        return outcome

    def _record_write_outcome(
        self, call: Call, outcome: _client.Answer | _client.Problem
    ) -> None:
        now_s = trio.current_time()
        if isinstance(outcome, _client.Problem):
            self._checker.record_failure(call.request_id, outcome.verdict)
            return
        self._checker.acknowledge(call.request_id, now_s)
        self._tally.record_write(call.group, now_s)

    def _check_read(
        self, call: Call, read: _consistency.Read, answer: _client.Answer
    ) -> None:
        self._tally.reads += 1
        self._tally.replica_reads += answer.replica
        rows = build_rows(answer)
        if call.work.effect is _mix.Effect.READ_REGISTER:
            self._checker.check_row_count(call.request_id, 1, rows)
        self._checker.check_read(read, rows)

    def _build_statement(self, call: Call) -> _client.Statement:
        work = call.work
        tag = f"/* id={call.request_id} */ " if self._plan.is_tagged else ""
        return _client.Statement(
            group=call.group,
            work=work.name,
            access=work.access.value,
            sql=tag + work.sql,
            parameters=build_parameters(work.parameters, call),
            max_age_ms=work.max_age_ms,
            deadline_ms=work.deadline_ms,
        )

    def _build_credentials(self, call: Call) -> _client.Credentials:
        is_position_sent = self._attempt_random.random() < POSITION_SHARE
        position = self._positions.get(_get_position_key(call), "")
        return _client.Credentials(
            key=call.caller.key,
            session=call.session,
            position=position if is_position_sent else "",
            idempotency_key="" if call.work.is_repeatable else call.tag,
        )

    def _store_position(self, call: Call, answer: _client.Answer) -> None:
        if answer.position:
            self._positions[_get_position_key(call)] = answer.position


def _get_position_key(call: Call) -> str:
    return call.session or call.organisation


def may_retry(work: _mix.Work, problem: _client.Problem) -> bool:
    """Return whether a failed request may be retried.

    A request that may have run is retried if it is idempotent by itself, or if its
    answer was lost: the retry then has the same idempotency key.
    """
    if problem.verdict is verdicts.Verdict.NOT_RUN:
        return True
    return work.is_repeatable or problem.code == _client.LOST_CODE


def build_write(call: Call) -> _consistency.Write:
    """Return the write of a call for the consistency checker."""
    if call.work.effect is _mix.Effect.INSERT_TAG:
        return _consistency.Write(
            call.request_id, call.organisation, call.session, tag=call.tag
        )
    return _consistency.Write(
        call.request_id,
        call.organisation,
        call.session,
        household=call.household,
        value=int(call.value),
    )


def build_read(call: Call, sent_s: float) -> _consistency.Read:
    """Return the read of a call for the consistency checker."""
    age_ms = call.work.max_age_ms
    max_age_s = None if age_ms is None else age_ms / _MS_PER_S
    return _consistency.Read(
        call.request_id, call.organisation, call.session, sent_s, max_age_s
    )


def build_rows(answer: _client.Answer) -> list[_consistency.Row]:
    """Return the rows of an answer; a value that is not a number becomes None."""
    rows = []
    for row in answer.rows:
        fields = dict(zip(answer.columns, row, strict=False))
        value = fields.get("value")
        rows.append(
            _consistency.Row(
                fields.get("request_id"),
                fields.get("organisation"),
                fields.get("household"),
                int(value) if value and value.isdigit() else None,
            )
        )
    return rows
