"""Commits one write on a connection; at most once if it has an idempotency key."""

import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import base
from sedgeswitch.groups import positions
from sedgeswitch.idempotency import ledger
from sedgeswitch.pools import pool
from sedgeswitch.statements import context
from sedgeswitch.statements import pooled as pooled_statements
from sedgeswitch.statements import refusals
from sedgeswitch.statements import requests

ROLLBACK_TIMEOUT_S = 0.5
# SQLSTATE of a write that was sent to an instance which is not the primary.
_READ_ONLY = "25006"


class CommittedWrite(typing.NamedTuple):
    """A write that the primary has committed.

    Attributes
    ----------
    rows : base.Rows
    position : positions.Position
        Log position at or after the end of the write.
    """

    rows: base.Rows
    position: positions.Position


async def commit_write(
    pooled: pool.PooledConnection,
    work: context.AuthorisedWork,
    statement: requests.Statement,
    unix_s: float,
) -> CommittedWrite:
    """Commit a write, and return its rows and a log position that covers it.

    Parameters
    ----------
    pooled : pool.PooledConnection
        Connection to the primary.
    work : context.AuthorisedWork
    statement : requests.Statement
    unix_s : float
        Seconds since 1970; the expiry of the ledger row counts from it.

    Raises
    ------
    verdicts.RefusedError
        With the verdict whether the write may have run.
    """
    try:
        if statement.idempotency_key:
            rows = await _write_once(pooled, work, statement, unix_s)
        else:
            rows = await pooled_statements.run_statement(pooled, statement)
    except base.DriverError as error:
        raise _build_refusal(error) from error
    try:
        return CommittedWrite(rows, await pooled_statements.read_position(pooled))
    except base.DriverError as error:
        raise verdicts.build_may_have_run(
            502, refusals.CONNECTION_LOST, error.detail, refusals.RETRY_AFTER_MS
        ) from error


async def _write_once(
    pooled: pool.PooledConnection,
    work: context.AuthorisedWork,
    statement: requests.Statement,
    unix_s: float,
) -> base.Rows:
    digest = ledger.build_digest(statement.sql, statement.parameters)
    request = ledger.RequestId(work.organisation, statement.idempotency_key, digest)
    try:
        return await _run_with_ledger_row(pooled, request, statement, unix_s)
    except base.DriverError as error:
        if error.sqlstate != ledger.UNDEFINED_TABLE or error.is_lost:
            raise
    await ledger.create_table(pooled)
    return await _run_with_ledger_row(pooled, request, statement, unix_s)


async def _run_with_ledger_row(
    pooled: pool.PooledConnection,
    request: ledger.RequestId,
    statement: requests.Statement,
    unix_s: float,
) -> base.Rows:
    """Run a statement and write its ledger row in one transaction.

    If the ledger has an answer already, return it and do not run the statement.
    """
    await pooled.execute("BEGIN")
    is_committed = False
    try:
        stored_answer = await ledger.claim(pooled, request, unix_s)
        if stored_answer is not None:
            return stored_answer
        rows = await pooled_statements.run_statement(pooled, statement)
        await ledger.store_answer(pooled, request, rows)
        await pooled.execute("COMMIT")
        is_committed = True
        return rows
    finally:
        if not is_committed:
            await _roll_back(pooled)


async def _roll_back(pooled: pool.PooledConnection) -> None:
    """Roll back an open transaction; close the connection if that fails."""
    with trio.CancelScope(shield=True), trio.move_on_after(ROLLBACK_TIMEOUT_S) as scope:
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
