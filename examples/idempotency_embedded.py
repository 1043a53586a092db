"""Run a request at most once with the ledger, without the daemon.

    python -m examples.idempotency_embedded

SQLite stands for the database; a program of yours passes its own transaction.
"""

import sqlite3
import time

import trio

from sedgeswitch.drivers import base
from sedgeswitch.idempotency import ledger

BOOK_SQL = "INSERT INTO visits (flat) VALUES ($1)"
_TAGS = {"INSERT": "INSERT 0 {}", "UPDATE": "UPDATE {}"}


class Transaction:
    """Runs statements on SQLite with the answers that the ledger expects."""

    def __init__(self, database):
        self._database = database

    async def execute(self, sql, parameters=()):
        """Run one statement."""
        await trio.lowlevel.checkpoint()
        numbered = sql.replace("$", "?")
        cursor = self._database.execute(numbered, tuple(parameters))
        tag = _TAGS.get(sql.split(None, 1)[0], "")
        columns = tuple(column[0] for column in cursor.description or ())
        return base.Rows(columns, cursor.fetchall(), tag.format(cursor.rowcount))


async def book(database, request_id, flat):
    """Book a visit; a resend gets the first answer."""
    digest = ledger.build_digest(BOOK_SQL, [flat])
    request = ledger.RequestId("tenants", request_id, digest)
    transaction = Transaction(database)
    with database:
        earlier = await ledger.claim(transaction, request, time.time())
        if earlier is not None:
            return earlier
        rows = await transaction.execute(BOOK_SQL, (flat,))
        await ledger.store_answer(transaction, request, rows)
        return rows


async def main():
    """Send one booking twice and another once."""
    database = sqlite3.connect(":memory:")
    database.execute("CREATE TABLE visits (flat text)")
    await ledger.create_table(Transaction(database))
    for request_id, flat in (("r1", "12"), ("r1", "12"), ("r2", "14")):
        print(request_id, await book(database, request_id, flat))
    print("visits:", database.execute("SELECT flat FROM visits").fetchall())
    await ledger.delete_expired(Transaction(database), time.time())
    database.close()


if __name__ == "__main__":
    trio.run(main)
