"""Writes on the primary, acknowledged once enough replicas have them."""

import collections.abc
import time

import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import base
from sedgeswitch.groups import positions
from sedgeswitch.groups import table
from sedgeswitch.idempotency import ledger
from sedgeswitch.pools import pool
from sedgeswitch.sessions import floors
from sedgeswitch.statements import committing
from sedgeswitch.statements import context
from sedgeswitch.statements import durability
from sedgeswitch.statements import interruption
from sedgeswitch.statements import primaries
from sedgeswitch.statements import refusals
from sedgeswitch.statements import requests
from sedgeswitch.statements import write_attempts
from sedgeswitch.utils import clocks

RETRY_DELAY_S = 0.05
# Interval at which a host that writes with idempotency keys to a group deletes expired
# rows of the ledger of that group, in seconds.
LEDGER_CLEANUP_INTERVAL_S = 60.0
LEDGER_CLEANUP_TIMEOUT_S = 5.0


class Writer:
    """Runs writes on primaries.

    Parameters
    ----------
    components : context.Components
    get_unix_s : callable, optional
        Returns the time in seconds since 1970; the expiry of ledger rows follows it.
    """

    def __init__(
        self,
        components: context.Components,
        get_unix_s: collections.abc.Callable[[], float] = time.time,
    ):
        self._components = components
        self._get_unix_s = get_unix_s
        self._next_cleanup_s: dict[str, float] = {}
        self._interrupter = interruption.Interrupter(components.groups)
        self._durability_waiter = durability.DurabilityWaiter(components)
        self._nursery: trio.Nursery | None = None

    async def run_background_tasks(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the polls of replicas and ledger cleanups, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._durability_waiter.set_nursery(nursery)
            task_status.started()
            await trio.sleep_forever()

    async def run(
        self, work: context.AuthorisedWork, statement: requests.Statement
    ) -> tuple[requests.Answer, positions.Position]:
        """Run a write and return its answer once it is durable.

        A refused attempt is retried until the deadline if that is safe.

        Raises
        ------
        verdicts.RefusedError
            With the verdict whether any attempt may have run.
        """
        self._components.observations.record_group_use(work.group, trio.current_time())
        attempts = write_attempts.WriteAttempts()
        try:
            with trio.move_on_at(statement.deadline_s):
                return await self._run_until_done(work, statement, attempts)
        except verdicts.RefusedError as error:
            raise attempts.build_final_refusal(error.refusal) from error
        raise attempts.build_deadline_refusal()

    async def _run_until_done(
        self,
        work: context.AuthorisedWork,
        statement: requests.Statement,
        attempts: write_attempts.WriteAttempts,
    ) -> tuple[requests.Answer, positions.Position]:
        key = floors.SessionKey(work.organisation, statement.session, work.group)
        while True:
            await self._components.floors.wait_ready(key, statement.deadline_s)
            permit = await self._components.groups.wait_serving(
                work.group, statement.deadline_s
            )
            try:
                return await self._run_with_permit(permit, work, statement, attempts)
            except verdicts.RefusedError as error:
                attempts.record_refusal(error.refusal)
                if not self._may_retry(error.refusal, statement):
                    raise
            await trio.sleep(RETRY_DELAY_S)

    async def wait_acknowledged(
        self,
        permit: table.WritePermit,
        work: context.AuthorisedWork,
        session: str,
        position: positions.Position,
        deadline_s: float,
    ) -> positions.Position:
        """Wait until a committed write may be acknowledged to its caller.

        Returns
        -------
        positions.Position
            Position of the write, which its caller may send with later reads.

        Raises
        ------
        verdicts.RefusedError
            The write may have run, but must not be acknowledged.
        """
        # The position is on the timeline of the term; the instance may have moved to
        # another timeline before it returned the position.
        position = positions.Position(permit.timeline, position.lsn)
        key = floors.SessionKey(work.organisation, session, work.group)
        is_durable = False
        with (
            trio.move_on_at(deadline_s),
            self._interrupter.interruptible(permit) as scope,
        ):
            is_durable = await self._durability_waiter.wait_durable(
                work, key, position, deadline_s
            )
        if scope.cancelled_caught:
            raise refusals.build_lease_lost(verdicts.Verdict.MAY_HAVE_RUN)
        if not is_durable:
            raise refusals.build_not_replicated()
        if not self._components.groups.is_permit_valid(permit, clocks.get_now_s()):
            raise refusals.build_lease_lost(verdicts.Verdict.MAY_HAVE_RUN)
        return position

    async def _run_with_permit(
        self,
        permit: table.WritePermit,
        work: context.AuthorisedWork,
        statement: requests.Statement,
        attempts: write_attempts.WriteAttempts,
    ) -> tuple[requests.Answer, positions.Position]:
        server = primaries.get_primary(permit, work)
        instance_pool = self._components.backends.get_pool(server, work.database)
        pooled = None
        try:
            # A frozen primary delays connecting as well as statements.
            with self._interrupter.interruptible(permit) as scope:
                pooled = await context.acquire(
                    instance_pool, work, statement.deadline_s
                )
                # The lease may have ended during the wait for a connection.
                if not self._components.groups.is_permit_valid(
                    permit, clocks.get_now_s()
                ):
                    raise refusals.build_lease_lost(verdicts.Verdict.NOT_RUN)
                if not work.eligibility.may_run_on(server.instance):
                    raise primaries.build_not_eligible()
                attempts.record_sent()
                unix_s = self._get_unix_s()
                committed = await committing.commit_write(
                    pooled, work, statement, unix_s
                )
        finally:
            if pooled is not None:
                await instance_pool.release(pooled, trio.current_time())
        if scope.cancelled_caught:
            raise refusals.build_lease_lost(attempts.current_verdict)
        attempts.is_committed = True
        position = await self.wait_acknowledged(
            permit, work, statement.session, committed.position, statement.deadline_s
        )
        if statement.idempotency_key:
            self._schedule_ledger_cleanup(work, instance_pool, permit)
        answer = requests.Answer(*committed.rows, server.instance, False)
        return answer, position

    def _schedule_ledger_cleanup(
        self,
        work: context.AuthorisedWork,
        instance_pool: pool.InstancePool,
        permit: table.WritePermit,
    ) -> None:
        now_s = trio.current_time()
        if now_s < self._next_cleanup_s.get(work.group, now_s):
            return
        self._next_cleanup_s[work.group] = now_s + LEDGER_CLEANUP_INTERVAL_S
        self._nursery.start_soon(
            self._delete_expired, work.organisation, instance_pool, permit
        )

    async def _delete_expired(
        self,
        organisation: str,
        instance_pool: pool.InstancePool,
        permit: table.WritePermit,
    ) -> None:
        deadline_s = trio.current_time() + LEDGER_CLEANUP_TIMEOUT_S
        try:
            pooled = await instance_pool.acquire(organisation, deadline_s)
        except verdicts.RefusedError:
            return
        try:
            if self._components.groups.is_primary_excluded(permit):
                return
            with trio.move_on_at(deadline_s):
                await ledger.delete_expired(pooled, self._get_unix_s())
        except base.DriverError as error:
            loguru.logger.warning("deleting expired ledger rows failed: {}", error)
        finally:
            await instance_pool.release(pooled, trio.current_time())

    def _may_retry(
        self, refusal: verdicts.Refusal, statement: requests.Statement
    ) -> bool:
        if trio.current_time() + RETRY_DELAY_S >= statement.deadline_s:
            return False
        # The ledger makes a request with an idempotency key safe to repeat.
        return primaries.may_retry(refusal, bool(statement.idempotency_key))
