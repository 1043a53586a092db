"""The ledger of requests that must not run twice.

A row in the same database transaction as the request's own work: it commits
with the work or not at all, and replication and failover treat both alike.
"""

import hashlib
import typing

import msgspec

from sedgeswitch import verdicts
from sedgeswitch.drivers import base

TABLE = "sedgeswitch_requests"
UNDEFINED_TABLE = "42P01"

CREATE_SQL = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} ("
    "organisation text NOT NULL, request_id text NOT NULL, digest text NOT NULL, "
    "answer text, PRIMARY KEY (organisation, request_id))"
)
CLAIM_SQL = (
    f"INSERT INTO {TABLE} (organisation, request_id, digest) VALUES ($1, $2, $3) "
    "ON CONFLICT (organisation, request_id) DO NOTHING"
)
FIND_SQL = (
    f"SELECT digest, answer FROM {TABLE} WHERE organisation = $1 AND request_id = $2"
)
SETTLE_SQL = (
    f"UPDATE {TABLE} SET answer = $3 WHERE organisation = $1 AND request_id = $2"
)
_CLAIMED = "INSERT 0 1"


class RequestId(typing.NamedTuple):
    """Names one request of one organisation.

    Attributes
    ----------
    organisation : str
    request_id : str
        The caller's ``Idempotency-Key``.
    digest : str
        Of the statement, so that one id can't stand for two requests.
    """

    organisation: str
    request_id: str
    digest: str


class Executor(typing.Protocol):
    """Runs statements inside an open transaction."""

    async def execute(
        self, sql: str, parameters: typing.Sequence[str | None] = ()
    ) -> base.Rows:
        """Run one statement."""


def build_digest(sql: str, parameters: typing.Sequence[str | None]) -> str:
    """Return the digest of a statement and its parameters."""
    return hashlib.sha256(msgspec.json.encode([sql, list(parameters)])).hexdigest()


async def claim(executor: Executor, request: RequestId) -> base.Rows | None:
    """Claim a request within the transaction that will run it.

    Returns
    -------
    base.Rows or None
        The answer of the run that came first; None if the request has not run
        and is claimed now.

    Raises
    ------
    base.DriverError
        If the server refuses or is lost.
    verdicts.RefusedError
        422 if the id was used for another statement.
    """
    claimed = await executor.execute(CLAIM_SQL, request)
    if claimed.status == _CLAIMED:
        return None
    found = await executor.execute(FIND_SQL, request[:2])
    digest, answer = found.rows[0]
    if digest != request.digest:
        raise verdicts.build_not_run(
            422,
            "idempotency_key_reused",
            "idempotency-key: expected a new one for another statement",
        )
    return _decode_answer(answer or "")


async def settle(executor: Executor, request: RequestId, rows: base.Rows) -> None:
    """Keep the answer of a claimed request, still within its transaction."""
    answer = msgspec.json.encode(rows).decode()
    await executor.execute(SETTLE_SQL, (*request[:2], answer))


def _decode_answer(answer: str) -> base.Rows:
    columns, rows, status = msgspec.json.decode(answer)
    return base.Rows(tuple(columns), [tuple(row) for row in rows], status)
