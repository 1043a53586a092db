"""Reads on a replica that is fresh enough, otherwise on the primary."""

import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import base
from sedgeswitch.groups import entry_section
from sedgeswitch.groups import positions
from sedgeswitch.groups import table
from sedgeswitch.membership import directory
from sedgeswitch.pools import pool
from sedgeswitch.sessions import floors
from sedgeswitch.sessions import tokens
from sedgeswitch.statements import context
from sedgeswitch.statements import interruption
from sedgeswitch.statements import pooled as pooled_statements
from sedgeswitch.statements import primaries
from sedgeswitch.statements import refusals
from sedgeswitch.statements import requests

_BEGIN_READ_ONLY = "BEGIN READ ONLY"
_COMMIT = "COMMIT"
RETRY_DELAY_S = 0.05
# Share of the remaining time until the deadline that one replica may use, so that a
# frozen replica leaves time for another instance.
REPLICA_DEADLINE_SHARE = 0.4
# The same for a replica whose queue moves: waiting in the queue of another instance
# would start again from its end.
BUSY_REPLICA_DEADLINE_SHARE = 0.9


class Reader:
    """Runs reads on replicas and the primary.

    Parameters
    ----------
    components : context.Components
    """

    def __init__(self, components: context.Components):
        self._components = components
        self._interrupter = interruption.Interrupter(components.groups)

    async def run(
        self,
        work: context.AuthorisedWork,
        statement: requests.Statement,
        floor: floors.Floor,
    ) -> requests.Answer:
        """Run a read on the best replica that is fresh enough, else on the primary.

        Parameters
        ----------
        work : context.AuthorisedWork
        statement : requests.Statement
        floor : floors.Floor
            Log position that the read must see.

        Raises
        ------
        verdicts.RefusedError
            If no instance answered in time or the server refused the statement.
        """
        self._components.observations.record_group_use(work.group, trio.current_time())
        required_position = self._get_required_position(work, floor)
        if required_position is not None:
            for server in self._order_replicas(work, statement):
                answer = await self._try_replica(
                    work, statement, required_position, server
                )
                if answer is not None:
                    self._components.metrics.count("reads.replica")
                    return answer
        self._components.metrics.count("reads.primary")
        return await self._run_on_primary(work, statement)

    def _get_required_position(
        self, work: context.AuthorisedWork, floor: floors.Floor
    ) -> positions.Position | None:
        """Return the position that a replica needs; None if no replica may serve."""
        group = self._components.groups.get_group(work.group)
        if group is None or not floor.is_known or not work.replicas_may_serve:
            return None
        # A replica on an older timeline may have writes that were lost in a failover.
        current = positions.Position(group.timeline, 0)
        return tokens.merge_floor(floor.position, current)

    def _order_replicas(
        self, work: context.AuthorisedWork, statement: requests.Statement
    ) -> list[directory.BackendServer]:
        group = self._components.groups.get_group(work.group)
        views = self._get_views(work.group)
        eligible = [
            server
            for server in work.eligibility.list_servers()
            if _is_fresh(views.get(server.instance), statement.max_age_ms)
        ]
        host_backends = self._components.backends
        return host_backends.order_replicas(
            eligible,
            group.primary,
            lambda server: host_backends.get_pool(server, work.database).load,
        )

    def _get_views(self, group: str) -> dict[str, entry_section.ReplicaView]:
        now_s = trio.current_time()
        views = self._components.observations.get_replicas(group, now_s)
        return {view.instance: view for view in views}

    async def _try_replica(
        self,
        work: context.AuthorisedWork,
        statement: requests.Statement,
        required_position: positions.Position,
        server: directory.BackendServer,
    ) -> requests.Answer | None:
        """Return the answer of a replica, None if another instance should be tried."""
        instance_pool = self._components.backends.get_pool(server, work.database)
        now_s = trio.current_time()
        share = REPLICA_DEADLINE_SHARE
        if instance_pool.has_moving_queue(now_s):
            share = BUSY_REPLICA_DEADLINE_SHARE
        until_s = now_s + (statement.deadline_s - now_s) * share
        rows = pooled = None
        try:
            with trio.move_on_at(until_s):
                pooled = await context.acquire(instance_pool, work, until_s)
                # The server may have been drained during the wait.
                may_run = work.eligibility.may_run_on(server.instance)
                if may_run and await _is_position_reached(pooled, required_position):
                    rows = await pooled_statements.run_statement(pooled, statement)
        except verdicts.RefusedError:
            return None
        except base.DriverError as error:
            if error.is_lost or not error.sqlstate:
                return None
            raise refusals.build_driver_refusal(error) from error
        finally:
            if pooled is not None:
                await instance_pool.release(pooled, trio.current_time())
        if rows is None or not self._is_answer_valid(work, statement, pooled, server):
            return None
        return requests.Answer(*rows, server.instance, True)

    def _is_answer_valid(
        self,
        work: context.AuthorisedWork,
        statement: requests.Statement,
        pooled: pool.PooledConnection,
        server: directory.BackendServer,
    ) -> bool:
        """Return whether the answer of a replica is still valid after the read.

        During the read, the data of the replica have aged and a failover may have
        moved the group to another timeline.
        """
        view = self._get_views(work.group).get(server.instance)
        timeline = self._components.groups.get_group(work.group).timeline
        is_current = pooled.position.timeline >= timeline
        return is_current and _is_fresh(view, statement.max_age_ms)

    async def _run_on_primary(
        self, work: context.AuthorisedWork, statement: requests.Statement
    ) -> requests.Answer:
        while True:
            permit = await self._components.groups.wait_serving(
                work.group, statement.deadline_s
            )
            try:
                server = primaries.get_primary(permit, work)
                rows = await self._read_with_permit(permit, work, statement, server)
                # A primary replaced during the read may have given a stale answer.
                now_s = trio.current_time()
                if rows and self._components.groups.is_permit_valid(permit, now_s):
                    return requests.Answer(*rows, server.instance, False)
            except verdicts.RefusedError as error:
                if not primaries.may_retry(error.refusal, is_repeatable=True):
                    raise
            await trio.sleep(RETRY_DELAY_S)

    async def _read_with_permit(
        self,
        permit: table.WritePermit,
        work: context.AuthorisedWork,
        statement: requests.Statement,
        server: directory.BackendServer,
    ) -> base.Rows | None:
        """Return the rows, None if the term of the permit ended during the read."""
        instance_pool = self._components.backends.get_pool(server, work.database)
        pooled = None
        try:
            # A frozen primary delays connecting as well as statements.
            with self._interrupter.interruptible(permit):
                pooled = await context.acquire(
                    instance_pool, work, statement.deadline_s
                )
                if not work.eligibility.may_run_on(server.instance):
                    raise primaries.build_not_eligible()
                return await _execute_read_only(pooled, statement)
            return None
        finally:
            if pooled is not None:
                await instance_pool.release(pooled, trio.current_time())


async def _execute_read_only(
    pooled: pool.PooledConnection, statement: requests.Statement
) -> base.Rows:
    """Run a read in a read-only transaction.

    A write that was declared as a read then fails here too, as it does on a replica.
    """
    try:
        await pooled.execute(_BEGIN_READ_ONLY)
        rows = await pooled_statements.run_statement(pooled, statement)
        await pooled.execute(_COMMIT)
        return rows
    except base.DriverError as error:
        if not error.is_lost:
            await _roll_back(pooled)
        raise refusals.build_driver_refusal(error) from error


def _is_fresh(view: entry_section.ReplicaView | None, max_age_ms: int | None) -> bool:
    """Return whether a replica may serve a read with a limit for the age of data.

    Without a limit, only a replica that is known to be unusable is excluded. The
    position of the others is checked on the connection that runs the read.
    """
    if max_age_ms is None:
        return view is None or view.is_usable
    if view is None or not view.is_usable or view.age_s is None:
        return False
    return view.age_s * 1000 <= max_age_ms


async def _is_position_reached(
    pooled: pool.PooledConnection, required_position: positions.Position
) -> bool:
    if pooled.position and positions.has_reached(pooled.position, required_position):
        return True
    return positions.has_reached(
        await pooled_statements.read_position(pooled), required_position
    )


async def _roll_back(pooled: pool.PooledConnection) -> None:
    try:
        await pooled.execute("ROLLBACK")
    except base.DriverError:
        await pooled.close()
