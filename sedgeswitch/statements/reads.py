"""Reads: a replica that is fresh enough, otherwise the primary."""

import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import base
from sedgeswitch.groups import positions
from sedgeswitch.membership import directory
from sedgeswitch.pools import pool
from sedgeswitch.sessions import floors
from sedgeswitch.sessions import tokens
from sedgeswitch.statements import backends
from sedgeswitch.statements import context
from sedgeswitch.statements import refusals
from sedgeswitch.statements import requests

_BEGIN_READ_ONLY = "BEGIN READ ONLY"
_COMMIT = "COMMIT"
RETRY_DELAY_S = 0.05


class Reader:
    """Runs reads.

    Parameters
    ----------
    parts : context.Parts
    """

    def __init__(self, parts: context.Parts):
        self._parts = parts

    async def run(
        self, work: context.Work, statement: requests.Statement, floor: floors.Floor
    ) -> requests.Answer:
        """Run a read on the best instance that is fresh enough.

        Parameters
        ----------
        work : context.Work
        statement : requests.Statement
        floor : floors.Floor
            Position that the read must see.

        Raises
        ------
        verdicts.RefusedError
            If no instance answers in time.
        """
        self._parts.observations.note_use(work.group, trio.current_time())
        required = self._get_required(work, floor)
        if required is not None:
            for server in self._order_replicas(work, statement):
                answer = await self._try_replica(work, statement, required, server)
                if answer is not None:
                    self._parts.metrics.count("reads.replica")
                    return answer
        self._parts.metrics.count("reads.primary")
        return await self._run_on_primary(work, statement)

    def _get_required(
        self, work: context.Work, floor: floors.Floor
    ) -> positions.Position | None:
        """Return what a replica must have reached; None if none will do."""
        group = self._parts.groups.get_group(work.group)
        if group is None or not floor.is_known or not work.replicas_may_serve:
            return None
        # A replica on an older timeline may hold writes that were given up.
        current = positions.Position(group.timeline, 0)
        return tokens.merge_floor(floor.position, current)

    def _order_replicas(
        self, work: context.Work, statement: requests.Statement
    ) -> list[directory.BackendServer]:
        group = self._parts.groups.get_group(work.group)
        eligible = [
            server
            for server in work.servers
            if self._is_young_enough(server, statement)
        ]
        return self._parts.backends.order_replicas(
            eligible, group.primary, work.database
        )

    def _is_young_enough(
        self, server: directory.BackendServer, statement: requests.Statement
    ) -> bool:
        """Return whether an instance's data are certainly within the stated age."""
        if statement.max_age_ms is None:
            return True
        now_s = trio.current_time()
        views = self._parts.observations.get_replicas(statement.group, now_s)
        for view in views:
            if view.instance == server.instance and view.age_s is not None:
                return view.is_usable and view.age_s * 1000 <= statement.max_age_ms
        return False

    async def _try_replica(
        self,
        work: context.Work,
        statement: requests.Statement,
        required: positions.Position,
        server: directory.BackendServer,
    ) -> requests.Answer | None:
        """Return the answer of a replica, None if another should be tried."""
        connections = self._parts.backends.get_pool(server, work.database)
        try:
            pooled = await connections.acquire(work.organisation, statement.deadline_s)
        except verdicts.RefusedError:
            return None
        try:
            if not await _has_reached(pooled, required):
                return None
            rows = await pooled.execute(statement.sql, statement.parameters)
        except base.DriverError as error:
            if error.is_lost:
                return None
            raise refusals.build_driver_refusal(error) from error
        finally:
            await connections.release(pooled, trio.current_time())
        # The data have aged while the statement waited and ran.
        if not self._is_young_enough(server, statement):
            return None
        return requests.Answer(*rows, server.instance, True)

    async def _run_on_primary(
        self, work: context.Work, statement: requests.Statement
    ) -> requests.Answer:
        while True:
            permit = await self._parts.groups.wait_serving(
                work.group, statement.deadline_s
            )
            server = self._parts.backends.get_server(permit.primary)
            if server is None:
                raise verdicts.build_not_run(
                    503,
                    "primary_unknown",
                    "the primary has not announced itself",
                    refusals.RETRY_AFTER_MS,
                )
            rows = await self._execute_read_only(work, statement, server)
            if rows is None:
                await trio.sleep(RETRY_DELAY_S)
                continue
            # An answer of a primary that has been replaced may be stale.
            if self._parts.groups.is_permit_valid(permit, trio.current_time()):
                return requests.Answer(*rows, server.instance, False)

    async def _execute_read_only(
        self,
        work: context.Work,
        statement: requests.Statement,
        server: directory.BackendServer,
    ) -> base.Rows | None:
        """Return the rows, None if the instance was lost and a retry may help."""
        connections = self._parts.backends.get_pool(server, work.database)
        pooled = await connections.acquire(work.organisation, statement.deadline_s)
        try:
            # A write that is sent as a read must fail here as on a replica.
            await pooled.execute(_BEGIN_READ_ONLY)
            rows = await pooled.execute(statement.sql, statement.parameters)
            await pooled.execute(_COMMIT)
            return rows
        except base.DriverError as error:
            if error.is_lost:
                return None
            await _roll_back(pooled)
            raise refusals.build_driver_refusal(error) from error
        finally:
            await connections.release(pooled, trio.current_time())


async def _has_reached(
    pooled: pool.PooledConnection, required: positions.Position
) -> bool:
    if pooled.position and positions.has_reached(pooled.position, required):
        return True
    return positions.has_reached(await backends.read_position(pooled), required)


async def _roll_back(pooled: pool.PooledConnection) -> None:
    try:
        await pooled.execute("ROLLBACK")
    except base.DriverError:
        await pooled.close()
