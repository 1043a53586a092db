"""Idempotent requests with the ledger in one program, without the daemon.

    python -m examples.idempotency_embedded

SQLite takes the place of PostgreSQL; a real program passes its own transaction.
"""

import sqlite3
import time

import trio

from sedgeswitch.drivers import base
from sedgeswitch.idempotency import ledger

BOOK_SQL = "INSERT INTO visits (flat) VALUES ($1)"
_TAGS = {"INSERT": "INSERT 0 {}", "UPDATE": "UPDATE {}"}


class Transaction:
    """Runs statements on SQLite and returns rows and tags like those of PostgreSQL."""

    def __init__(self, database):
        self._database = database

    async def execute(self, sql, parameters=()):
        """Run one statement with ``$N`` parameters and return its rows."""
        await trio.lowlevel.checkpoint()
        numbered = sql.replace("$", "?")
        cursor = self._database.execute(numbered, tuple(parameters))
        tag = _TAGS.get(sql.split(None, 1)[0], "")
        columns = tuple(column[0] for column in cursor.description or ())
        return base.Rows(columns, cursor.fetchall(), tag.format(cursor.rowcount))


async def book_visit(database, request_id, flat):
    """Book a visit once; return the stored answer if the request is repeated."""
    digest = ledger.build_digest(BOOK_SQL, [flat])
    request = ledger.RequestId("tenants", request_id, digest)
    transaction = Transaction(database)
    with database:
        stored = await ledger.claim(transaction, request, time.time())
        if stored is not None:
            return stored
        rows = await transaction.execute(BOOK_SQL, (flat,))
        await ledger.store_answer(transaction, request, rows)
        return rows


async def main():
    """Book one visit twice with the same request id, and another visit once."""
    database = sqlite3.connect(":memory:")
    database.execute("CREATE TABLE visits (flat text)")
    await ledger.create_table(Transaction(database))
    for request_id, flat in (("r1", "12"), ("r1", "12"), ("r2", "14")):
        print(request_id, await book_visit(database, request_id, flat))
    print("visits:", database.execute("SELECT flat FROM visits").fetchall())
    await ledger.delete_expired(Transaction(database), time.time())
    database.close()


if __name__ == "__main__":
    trio.run(main)
