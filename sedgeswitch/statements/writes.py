"""Writes: on the primary, under a lease, answered once enough replicas have them."""

import collections.abc
import time
import typing

import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import base
from sedgeswitch.groups import positions
from sedgeswitch.groups import settings
from sedgeswitch.groups import table
from sedgeswitch.idempotency import ledger
from sedgeswitch.pools import pool
from sedgeswitch.sessions import floors
from sedgeswitch.statements import acknowledgement
from sedgeswitch.statements import backends
from sedgeswitch.statements import context
from sedgeswitch.statements import interruption
from sedgeswitch.statements import primaries
from sedgeswitch.statements import refusals
from sedgeswitch.statements import requests

RETRY_DELAY_S = 0.05
POLL_TIMEOUT_S = 0.5
# How often a host that writes to a group with keys cleans the group's ledger.
EXPIRE_INTERVAL_S = 60.0
EXPIRE_TIMEOUT_S = 5.0
_READ_ONLY = "25006"
_GROUP_SETTINGS = settings.GroupSettings()


class Written(typing.NamedTuple):
    """A write that the primary has committed.

    Attributes
    ----------
    rows : base.Rows
    position : positions.Position
        The log holds the write up to here.
    """

    rows: base.Rows
    position: positions.Position


class _Tries:
    """What the tries of one write have come to.

    Attributes
    ----------
    current : verdicts.Verdict
        Whether the try that runs now may have run.
    is_committed : bool
        Whether the try that runs now has been committed by the primary.
    """

    def __init__(self):
        self.current = verdicts.Verdict.NOT_RUN
        self.is_committed = False
        self._earlier = verdicts.Verdict.NOT_RUN

    @property
    def verdict(self) -> verdicts.Verdict:
        """Whether any try may have run."""
        if verdicts.Verdict.MAY_HAVE_RUN in (self.current, self._earlier):
            return verdicts.Verdict.MAY_HAVE_RUN
        return verdicts.Verdict.NOT_RUN

    def note_sending(self) -> None:
        """Note that the current try sends its statement."""
        self.current = verdicts.Verdict.MAY_HAVE_RUN

    def note_end(self, refusal: verdicts.Refusal) -> None:
        """Note that the current try was refused."""
        self.current = verdicts.Verdict.NOT_RUN
        self.is_committed = False
        if refusal.verdict is verdicts.Verdict.MAY_HAVE_RUN:
            self._earlier = verdicts.Verdict.MAY_HAVE_RUN

    def build_late(self) -> verdicts.RefusedError:
        """Return the refusal of a write whose deadline has passed."""
        if self.is_committed:
            return refusals.build_not_replicated()
        return refusals.build_deadline_passed(self.verdict)

    def build_final(self, refusal: verdicts.Refusal) -> verdicts.RefusedError:
        """Return the refusal for the caller, who knows nothing of the tries."""
        return verdicts.RefusedError(refusal._replace(verdict=self.verdict))


class Writer:
    """Runs writes.

    Parameters
    ----------
    parts : context.Parts
    get_unix_s : callable, optional
        Returns the time in seconds since 1970, by which ledger rows expire.
    """

    def __init__(
        self,
        parts: context.Parts,
        get_unix_s: collections.abc.Callable[[], float] = time.time,
    ):
        self._parts = parts
        self._get_unix_s = get_unix_s
        self._expire_due_s: dict[str, float] = {}
        self._interrupter = interruption.Interrupter(parts.groups)
        self._waiters: dict[str, acknowledgement.AckWaiter] = {}
        self._nursery: trio.Nursery | None = None

    async def run_polls(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Poll replicas for the writes that wait, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def run(
        self, work: context.Work, statement: requests.Statement
    ) -> tuple[requests.Answer, positions.Position]:
        """Run a write and return its answer once it is safe.

        Raises
        ------
        verdicts.RefusedError
            With a verdict that says whether the write may have run.
        """
        self._parts.observations.note_use(work.group, trio.current_time())
        tries = _Tries()
        try:
            with trio.move_on_at(statement.deadline_s):
                return await self._run_until_done(work, statement, tries)
        except verdicts.RefusedError as error:
            raise tries.build_final(error.refusal) from error
        raise tries.build_late()

    async def _run_until_done(
        self, work: context.Work, statement: requests.Statement, tries: "_Tries"
    ) -> tuple[requests.Answer, positions.Position]:
        key = floors.SessionKey(work.organisation, statement.session, work.group)
        while True:
            await self._parts.floors.wait_settled(key, statement.deadline_s)
            permit = await self._parts.groups.wait_serving(
                work.group, statement.deadline_s
            )
            try:
                return await self._run_under(permit, work, statement, tries)
            except verdicts.RefusedError as error:
                tries.note_end(error.refusal)
                if not self._may_retry(error.refusal, statement):
                    raise
            await trio.sleep(RETRY_DELAY_S)

    async def acknowledge(
        self,
        permit: table.WritePermit,
        work: context.Work,
        session: str,
        position: positions.Position,
        deadline_s: float,
    ) -> positions.Position:
        """Wait until a committed write may be answered as done.

        Returns
        -------
        positions.Position
            Position of the write, for its caller.

        Raises
        ------
        verdicts.RefusedError
            The write may have run, but must not be answered as done.
        """
        # The term names the timeline, whatever the instance has come to since.
        position = positions.Position(permit.timeline, position.lsn)
        key = floors.SessionKey(work.organisation, session, work.group)
        is_safe = False
        with (
            trio.move_on_at(deadline_s),
            self._interrupter.interruptible(permit) as scope,
        ):
            is_safe = await self._make_safe(work, key, position, deadline_s)
        if scope.cancelled_caught:
            raise refusals.build_lease_lost(verdicts.Verdict.MAY_HAVE_RUN)
        if not is_safe:
            raise refusals.build_not_replicated()
        if not self._parts.groups.is_permit_valid(permit, trio.current_time()):
            raise refusals.build_lease_lost(verdicts.Verdict.MAY_HAVE_RUN)
        return position

    async def _run_under(
        self,
        permit: table.WritePermit,
        work: context.Work,
        statement: requests.Statement,
        tries: "_Tries",
    ) -> tuple[requests.Answer, positions.Position]:
        server = primaries.get_primary(permit, work)
        connections = self._parts.backends.get_pool(server, work.database)
        pooled = None
        try:
            # A frozen primary holds up connecting as well as statements.
            with self._interrupter.interruptible(permit) as scope:
                now_s = trio.current_time()
                until_s = context.get_queue_deadline(work, statement.deadline_s, now_s)
                pooled = await connections.acquire(work.organisation, until_s)
                # The wait for a connection may have outlasted the lease.
                if not self._parts.groups.is_permit_valid(permit, trio.current_time()):
                    raise refusals.build_lease_lost(verdicts.Verdict.NOT_RUN)
                if not work.eligibility.may_run_on(server.instance):
                    raise primaries.build_not_eligible()
                tries.note_sending()
                unix_s = self._get_unix_s()
                written = await _write(pooled, work, statement, unix_s)
        finally:
            if pooled is not None:
                await connections.release(pooled, trio.current_time())
        if scope.cancelled_caught:
            raise refusals.build_lease_lost(tries.current)
        tries.is_committed = True
        position = await self.acknowledge(
            permit, work, statement.session, written.position, statement.deadline_s
        )
        if statement.idempotency_key:
            self._clean_ledger(work, connections)
        answer = requests.Answer(*written.rows, server.instance, False)
        return answer, position

    def _clean_ledger(self, work: context.Work, connections: pool.InstancePool) -> None:
        now_s = trio.current_time()
        if now_s < self._expire_due_s.get(work.group, now_s):
            return
        self._expire_due_s[work.group] = now_s + EXPIRE_INTERVAL_S
        self._nursery.start_soon(self._expire, work.organisation, connections)

    async def _expire(self, organisation: str, connections: pool.InstancePool) -> None:
        deadline_s = trio.current_time() + EXPIRE_TIMEOUT_S
        try:
            pooled = await connections.acquire(organisation, deadline_s)
        except verdicts.RefusedError:
            return
        try:
            with trio.move_on_at(deadline_s):
                await ledger.expire(pooled, self._get_unix_s())
        except base.DriverError as error:
            loguru.logger.warning("the ledger was not cleaned: {}", error)
        finally:
            await connections.release(pooled, trio.current_time())

    def _may_retry(
        self, refusal: verdicts.Refusal, statement: requests.Statement
    ) -> bool:
        if trio.current_time() + RETRY_DELAY_S >= statement.deadline_s:
            return False
        # The ledger makes a repeated run of an identified request harmless.
        return primaries.may_retry(refusal, bool(statement.idempotency_key))

    async def _make_safe(
        self,
        work: context.Work,
        key: floors.SessionKey,
        position: positions.Position,
        deadline_s: float,
    ) -> bool:
        is_recorded = False

        async def record_floor() -> None:
            nonlocal is_recorded
            is_recorded = await self._parts.floors.record(key, position, deadline_s)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(record_floor)
            # A promotion counts on no fewer, whatever the group asks for.
            instances = max(work.ack_instances, _GROUP_SETTINGS.ack_instances)
            if instances > 1:
                await self._get_waiter(work).wait(position, instances - 1)
        return is_recorded

    def _get_waiter(self, work: context.Work) -> acknowledgement.AckWaiter:
        group, database = work.group, work.database

        async def read_position(instance: str) -> positions.Position | None:
            server = self._parts.backends.get_server(instance)
            if server is None:
                return None
            connections = self._parts.backends.get_pool(server, database)
            return await backends.try_read_position(connections, POLL_TIMEOUT_S)

        if group not in self._waiters:
            self._waiters[group] = acknowledgement.AckWaiter(
                self._nursery, lambda: self._list_replicas(group), read_position
            )
        return self._waiters[group]

    def _list_replicas(self, group: str) -> list[str]:
        """Return the replicas to ask; drained ones only if there are no others."""
        state = self._parts.groups.get_group(group)
        counting = self._parts.groups.get_ack_instances(group)
        replicas = [item for item in counting if item != state.primary]
        awake = [
            item for item in replicas if not self._parts.backends.is_left_alone(item)
        ]
        needed = _GROUP_SETTINGS.ack_instances - 1
        return awake if len(awake) >= needed else replicas


async def _write(
    pooled: pool.PooledConnection,
    work: context.Work,
    statement: requests.Statement,
    unix_s: float,
) -> Written:
    """Commit a write and learn a position that covers it."""
    try:
        if statement.idempotency_key:
            rows = await _write_once(pooled, work, statement, unix_s)
        else:
            rows = await backends.run_statement(pooled, statement)
    except base.DriverError as error:
        raise _build_refusal(error) from error
    try:
        return Written(rows, await backends.read_position(pooled))
    except base.DriverError as error:
        raise verdicts.build_may_have_run(
            502, refusals.CONNECTION_LOST, error.detail, refusals.RETRY_AFTER_MS
        ) from error


async def _write_once(
    pooled: pool.PooledConnection,
    work: context.Work,
    statement: requests.Statement,
    unix_s: float,
) -> base.Rows:
    digest = ledger.build_digest(statement.sql, statement.parameters)
    request = ledger.RequestId(work.organisation, statement.idempotency_key, digest)
    try:
        return await _run_claimed(pooled, request, statement, unix_s)
    except base.DriverError as error:
        if error.sqlstate != ledger.UNDEFINED_TABLE or error.is_lost:
            raise
    await ledger.create_table(pooled)
    return await _run_claimed(pooled, request, statement, unix_s)


async def _run_claimed(
    pooled: pool.PooledConnection,
    request: ledger.RequestId,
    statement: requests.Statement,
    unix_s: float,
) -> base.Rows:
    """Run a statement and its ledger row in one transaction."""
    await pooled.execute("BEGIN")
    is_committed = False
    try:
        earlier = await ledger.claim(pooled, request, unix_s)
        if earlier is not None:
            return earlier
        rows = await backends.run_statement(pooled, statement)
        await ledger.settle(pooled, request, rows)
        await pooled.execute("COMMIT")
        is_committed = True
        return rows
    finally:
        if not is_committed:
            await _abandon(pooled)


async def _abandon(pooled: pool.PooledConnection) -> None:
    """End a transaction whose work must not stay."""
    with trio.CancelScope(shield=True), trio.move_on_after(POLL_TIMEOUT_S) as scope:
        try:
            await pooled.execute("ROLLBACK")
        except base.DriverError:
            await pooled.close()
    if scope.cancelled_caught:
        await pooled.close()


def _build_refusal(error: base.DriverError) -> verdicts.RefusedError:
    if error.sqlstate == _READ_ONLY and not error.is_lost:
        return refusals.build_lease_lost(verdicts.Verdict.NOT_RUN)
    return refusals.build_driver_refusal(error)
