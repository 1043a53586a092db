"""The ledger: a table of the requests that must not run twice.

The row of a request is written in the same database transaction as the request's own
work. Both are committed or neither is, and both are replicated together, so that after
a failover both are present or neither is.
"""

import hashlib
import typing

import msgspec

from sedgeswitch import verdicts
from sedgeswitch.drivers import base

TABLE = "sedgeswitch_requests"
# SQLSTATE of a statement whose table does not exist.
UNDEFINED_TABLE = "42P01"
RETENTION_S = 7 * 24 * 3600
# Largest number of rows that one clean-up deletes.
MAX_EXPIRED = 1000

CREATE_SQL = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} ("
    "organisation text NOT NULL, request_id text NOT NULL, digest text NOT NULL, "
    "answer text, created_s bigint NOT NULL, "
    "PRIMARY KEY (organisation, request_id))"
)
CREATE_INDEX_SQL = f"CREATE INDEX IF NOT EXISTS {TABLE}_created ON {TABLE} (created_s)"
CLAIM_SQL = (
    f"INSERT INTO {TABLE} (organisation, request_id, digest, created_s) "
    "VALUES ($1, $2, $3, $4) "
    "ON CONFLICT (organisation, request_id) DO NOTHING"
)
FIND_SQL = (
    f"SELECT digest, answer FROM {TABLE} WHERE organisation = $1 AND request_id = $2"
)
STORE_ANSWER_SQL = (
    f"UPDATE {TABLE} SET answer = $3 WHERE organisation = $1 AND request_id = $2"
)
DELETE_EXPIRED_SQL = (
    f"DELETE FROM {TABLE} WHERE (organisation, request_id) IN "
    f"(SELECT organisation, request_id FROM {TABLE} WHERE created_s < $1 "
    f"LIMIT {MAX_EXPIRED})"
)
_CLAIMED_STATUS = "INSERT 0 1"
_SERIALIZATION_FAILURE = "40001"
# SQLSTATEs of a session that creates the table at the same time as another session.
_CONCURRENT_CREATION = ("23505", "42P07")


class RequestId(typing.NamedTuple):
    """Identifies one request of one organisation.

    Attributes
    ----------
    organisation : str
    request_id : str
        Value of the caller's ``Idempotency-Key`` header.
    digest : str
        Digest of the statement and its parameters, by which the reuse of an id for
        another request is detected.
    """

    organisation: str
    request_id: str
    digest: str


class Executor(typing.Protocol):
    """Runs statements inside an open transaction."""

    async def execute(
        self, sql: str, parameters: typing.Sequence[str | None] = ()
    ) -> base.Rows:
        """Run one statement and return its rows."""


def build_digest(sql: str, parameters: typing.Sequence[str | None]) -> str:
    """Return the SHA-256 digest of a statement and its parameters, in hexadecimal."""
    return hashlib.sha256(msgspec.json.encode([sql, list(parameters)])).hexdigest()


async def create_table(executor: Executor) -> None:
    """Create the ledger's table and index if they do not exist.

    Raises
    ------
    base.DriverError
        If the server refuses a statement or the connection is lost.
    """
    try:
        await executor.execute(CREATE_SQL)
        await executor.execute(CREATE_INDEX_SQL)
    except base.DriverError as error:
        if error.is_lost or error.sqlstate not in _CONCURRENT_CREATION:
            raise


async def claim(
    executor: Executor, request: RequestId, unix_s: float
) -> base.Rows | None:
    """Insert the row of a request, in the transaction that will run it.

    Parameters
    ----------
    executor : Executor
    request : RequestId
    unix_s : float
        Time of the claim, in seconds since 1970.

    Returns
    -------
    base.Rows or None
        The stored answer if the request has run before; None if it has not and is
        claimed now.

    Raises
    ------
    base.DriverError
        If the server refuses a statement or the connection is lost; with SQLSTATE
        40001 if the row of the first run was deleted between the two statements.
    verdicts.RefusedError
        With status 422 if the id was used for another statement.
    """
    claimed = await executor.execute(CLAIM_SQL, (*request, str(int(unix_s))))
    if claimed.status == _CLAIMED_STATUS:
        return None
    found = await executor.execute(FIND_SQL, request[:2])
    if not found.rows:
        raise base.DriverError(
            _SERIALIZATION_FAILURE,
            "the ledger row of the first run expired during the claim",
            verdicts.Verdict.NOT_RUN,
            False,
        )
    digest, answer = found.rows[0]
    if digest != request.digest:
        raise verdicts.build_not_run(
            422,
            "idempotency_key_reused",
            "idempotency-key: expected a key not yet used for another statement",
        )
    return _decode_answer(answer or "")


async def store_answer(executor: Executor, request: RequestId, rows: base.Rows) -> None:
    """Store the answer of a claimed request, in the transaction that ran it."""
    answer = msgspec.json.encode(rows).decode()
    await executor.execute(STORE_ANSWER_SQL, (*request[:2], answer))


async def delete_expired(executor: Executor, unix_s: float) -> None:
    """Delete rows older than `RETENTION_S`, at most `MAX_EXPIRED` of them.

    Parameters
    ----------
    executor : Executor
    unix_s : float
        Current time, in seconds since 1970.

    Raises
    ------
    base.DriverError
        If the server refuses a statement or the connection is lost.
    """
    await executor.execute(DELETE_EXPIRED_SQL, (str(int(unix_s - RETENTION_S)),))


def _decode_answer(answer: str) -> base.Rows:
    columns, rows, status = msgspec.json.decode(answer)
    return base.Rows(tuple(columns), [tuple(row) for row in rows], status)
