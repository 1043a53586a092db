"""An in-memory database server, and pools to it, for tests."""

import random

import trio
import trio.testing

from sedgeswitch import verdicts
from sedgeswitch.admission import fair_queue
from sedgeswitch.drivers import base
from sedgeswitch.pools import pool
from sedgeswitch.pools import transactions
from sedgeswitch.scheduling import scheduler

TARGET = base.Target("10.0.0.1", 5432, "lots")


def build_lost():
    return base.DriverError("", "lost", verdicts.Verdict.MAY_HAVE_RUN, is_lost=True)


class FakeServer:
    """A database server that counts connections and records statements.

    Attributes
    ----------
    rng : random.Random
        Draws delays and failures.
    failure_share : float
        Share of connects and statements that fail.
    open : int
        Connections that are open or being opened.
    max_open : int
    executed : list of (FakeConnection, str)
    concurrent_statements : list of str
        Statements that were sent while another one ran on the same connection.
    """

    def __init__(self, rng=None, failure_share=0.0):
        self.rng = rng or random.Random(0)
        self.failure_share = failure_share
        self.open = 0
        self.max_open = 0
        self.executed = []
        self.concurrent_statements = []
        self.delay_s = 0.01
        self.close_s = 0.0

    async def connect(self, target, timeout_s):  # noqa: ARG002
        self.open += 1
        self.max_open = max(self.max_open, self.open)
        connection = None
        try:
            await trio.sleep(self.delay_s * self.rng.random())
            if self.rng.random() < self.failure_share:
                raise base.DriverError("", "no", verdicts.Verdict.NOT_RUN, is_lost=True)
            connection = FakeConnection(self)
        finally:
            if connection is None:
                self.open -= 1
        return connection


class FakeConnection:
    """A connection; `user` is the organisation whose session state is on it."""

    def __init__(self, server):
        self.server = server
        self.is_open = True
        self.in_transaction = False
        self.is_failed = False
        self.is_executing = False
        self.user = None

    @property
    def is_usable(self):
        return self.is_open and not self.in_transaction

    async def execute(self, sql, parameters=()):
        server = self.server
        if not self.is_open:
            raise build_lost()
        if self.is_executing:
            server.concurrent_statements.append(sql)
        self.is_executing = True
        is_finished = False
        try:
            await trio.sleep(server.delay_s * server.rng.random())
            if server.rng.random() < server.failure_share:
                raise build_lost()
            is_finished = True
        finally:
            self.is_executing = False
            if not is_finished:
                await self.close()
        return self._run(sql, parameters)

    def _run(self, sql, parameters):
        self.server.executed.append((self, sql))
        if sql.startswith("FAIL"):
            self.is_failed = self.in_transaction
            raise base.DriverError("23505", "no", verdicts.Verdict.NOT_RUN, False)
        status = sql.split()[0]
        if sql == pool.RESET_SQL:
            self.user = None
        elif sql == "BEGIN":
            self.in_transaction = True
        elif sql in ("COMMIT", "ROLLBACK"):
            status = "ROLLBACK" if self.is_failed else sql
            self.in_transaction = self.is_failed = False
        elif sql == "SET":
            self.user = parameters[0]
        return base.Rows((), [], status)

    async def close(self):
        if self.is_open:
            self.is_open = False
            self.server.open -= 1
        await trio.sleep(self.server.close_s)


def build_pool(server, capacity=3, queue=100, is_scheduling=False):
    build_queue = scheduler.Scheduler if is_scheduling else fair_queue.FairQueue
    slots = build_queue(max(capacity, 1), queue)
    return pool.InstancePool(server, TARGET, slots, capacity, pool.PoolSettings())


def build_table(rng=None):
    return transactions.TransactionTable("entry-0", rng or random.Random(0))


async def begin(table, instance_pool, organisation="ward-4", lifetime_s=10.0):
    """Begin a transaction on a connection of a pool."""
    now_s = trio.current_time()
    pooled = await instance_pool.acquire(organisation, now_s + 5.0)
    return await table.begin(instance_pool, pooled, None, now_s + lifetime_s)
