"""Statements of callers and state queries over pooled connections."""

import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import base
from sedgeswitch.groups import instances
from sedgeswitch.groups import positions
from sedgeswitch.pools import pool
from sedgeswitch.statements import requests
from sedgeswitch.utils import checks


async def run_statement(
    pooled: pool.PooledConnection, statement: requests.Statement
) -> base.Rows:
    """Run a caller's statement, and mark the connection if it must be reset later.

    Raises
    ------
    base.DriverError
        If the server refuses the statement or the connection is lost.
    """
    if requests.may_leave_state(statement.sql):
        pooled.is_dirty = True
    return await pooled.execute(statement.sql, statement.parameters)


async def read_position(pooled: pool.PooledConnection) -> positions.Position:
    """Return the log position of the instance behind a connection.

    Raises
    ------
    base.DriverError
        If the instance returns no position or the connection is lost.
    """
    rows = await pooled.execute(instances.STATE_QUERY)
    try:
        state = instances.decode_state(rows)
    except checks.CheckError as error:
        # A replica that has not replayed anything yet has no position.
        raise base.DriverError(
            "", str(error), verdicts.Verdict.NOT_RUN, is_lost=False
        ) from error
    pooled.position = state.position
    return state.position


async def try_read_position(
    instance_pool: pool.InstancePool, timeout_s: float
) -> positions.Position | None:
    """Return the log position of an instance, None if it returns none in time."""
    deadline_s = trio.current_time() + timeout_s
    try:
        pooled = await instance_pool.acquire("", deadline_s)
    except verdicts.RefusedError:
        return None
    try:
        with trio.move_on_at(deadline_s):
            return await read_position(pooled)
        return None
    except base.DriverError:
        return None
    finally:
        await instance_pool.release(pooled, trio.current_time())
