"""Tests of connection pools."""

import random
import unittest

import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import base
from sedgeswitch.pools.tests import builders
from sedgeswitch.scheduling import work as works
from sedgeswitch.utils.tests import virtual_time

ORGANISATIONS = ("ward-4", "ward-7", "")


class RandomCancellationTest(unittest.TestCase):
    is_scheduling = False

    def test_counts_of_slots_and_connections_stay_right_after_cancellation(self):
        for seed in range(25):
            with self.subTest(seed=seed):
                virtual_time.run(self._run_faults, seed)

    async def _run_faults(self, seed):
        rng = random.Random(seed)
        server = builders.FakeServer(rng, failure_share=0.05)
        instance_pool = builders.build_pool(server, is_scheduling=self.is_scheduling)
        table = builders.build_table(rng)

        async def use(organisation, timeout_s):
            with trio.move_on_after(timeout_s):
                try:
                    if rng.random() < 0.3:
                        await self._use_transaction(table, instance_pool, organisation)
                    else:
                        await self._use_once(instance_pool, organisation)
                except (verdicts.RefusedError, base.DriverError):
                    pass

        async with trio.open_nursery() as nursery:
            nursery.start_soon(table.run)
            for _ in range(300):
                organisation = rng.choice(ORGANISATIONS)
                nursery.start_soon(use, organisation, rng.choice([0.002, 0.02, 1.0]))
                await trio.sleep(0.004 * rng.random())
                if rng.random() < 0.1:
                    instance_pool.set_capacity(rng.randrange(4))
                if rng.random() < 0.1:
                    await instance_pool.close_surplus()
                self.assertEqual(instance_pool.open_count, server.open)
            instance_pool.set_capacity(3)
            await trio.sleep(20.0)
            nursery.cancel_scope.cancel()
        load = instance_pool.load
        self.assertEqual((load.in_use, load.waiting), (0, 0))
        self.assertEqual(table.open_count, 0)
        self.assertEqual(
            (server.open, instance_pool.open_count), (load.idle, load.idle)
        )
        self.assertLessEqual(server.max_open, 3)
        self.assertEqual(server.concurrent_statements, [])

    async def _use_once(self, instance_pool, organisation):
        now_s = trio.current_time()
        work = None
        if self.is_scheduling:
            work = works.build_work(works.Kind.READ, 1, 0, now_s + 0.2)
        pooled = await instance_pool.acquire(organisation, now_s + 0.5, work)
        try:
            inner = pooled.connection
            self.assertIn(inner.user, (None, organisation))
            self.assertFalse(inner.in_transaction)
            await pooled.execute("SET", [organisation])
        finally:
            await instance_pool.release(pooled, trio.current_time())

    async def _use_transaction(self, table, instance_pool, organisation):
        transaction = await builders.begin(table, instance_pool, organisation, 0.3)
        await table.execute(transaction, "SET", [organisation])
        if random.Random(transaction.transaction_id).random() < 0.5:
            return
        try:
            await table.commit(transaction)
        finally:
            await table.close(transaction)


class RandomCancellationWithSchedulerTest(RandomCancellationTest):
    """The same runs with a scheduler, which also limits running statements."""

    is_scheduling = True


class ReuseTest(unittest.TestCase):
    def _run(self, sqls, organisations):
        """Return the connections that the organisations got in turn, and all SQL."""

        async def run():
            server = builders.FakeServer()
            instance_pool = builders.build_pool(server)
            used = []
            for organisation in organisations:
                pooled = await instance_pool.acquire(organisation, 5.0)
                used.append(pooled.connection)
                for sql in sqls:
                    with trio.move_on_after(1.0 if sql != "SLOW" else 0.0):
                        await pooled.execute(sql, [organisation])
                await instance_pool.release(pooled, trio.current_time())
            return used, [sql for _, sql in server.executed]

        return virtual_time.run(run)

    def test_same_organisation_reuses_connection_without_reset(self):
        used, executed = self._run(["SET"], ["ward-4", "ward-4"])
        self.assertIs(used[0], used[1])
        self.assertEqual(executed, ["SET", "SET"])

    def test_other_organisation_reuses_connection_after_reset(self):
        used, executed = self._run(["SET"], ["ward-4", "ward-7"])
        self.assertIs(used[0], used[1])
        self.assertEqual(executed, ["SET", "DISCARD ALL", "SET"])

    def test_queue_moves_after_release_while_requests_wait(self):
        async def run():
            instance_pool = builders.build_pool(builders.FakeServer())
            until_s = trio.current_time() + 60.0
            acquired = [
                await instance_pool.acquire("ward-4", until_s) for _ in range(3)
            ]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(instance_pool.acquire, "ward-4", until_s)
                nursery.start_soon(instance_pool.acquire, "ward-4", until_s)
                await trio.sleep(0.1)
                before = instance_pool.has_moving_queue(trio.current_time())
                await instance_pool.release(acquired[0], trio.current_time())
                after = instance_pool.has_moving_queue(trio.current_time())
                await trio.sleep(1.0)
                later = instance_pool.has_moving_queue(trio.current_time())
                nursery.cancel_scope.cancel()
            return before, after, later

        self.assertEqual(virtual_time.run(run), (False, True, False))

    def test_cancelled_statement_closes_connection(self):
        used, _ = self._run(["SLOW"], ["ward-4", "ward-4"])
        self.assertIsNot(used[0], used[1])
        self.assertFalse(used[0].is_open)

    def test_open_transaction_closes_connection(self):
        used, _ = self._run(["BEGIN"], ["ward-4", "ward-4"])
        self.assertIsNot(used[0], used[1])
        self.assertFalse(used[0].is_open)


class ShrinkTest(unittest.TestCase):
    def test_slot_granted_before_reduction_opens_no_surplus_connection(self):
        async def run():
            server = builders.FakeServer()
            instance_pool = builders.build_pool(server, capacity=2)
            acquired = await instance_pool.acquire("ward-4", 60.0)
            other = await instance_pool.acquire("ward-4", 60.0)
            await instance_pool.release(other, trio.current_time())
            other.connection.is_open = False
            server.open -= 1
            server.max_open = server.open
            server.close_s = 0.1
            got = []

            async def wait():
                got.append(await instance_pool.acquire("ward-7", 60.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait)
                # The waiting request has a slot and is closing the lost connection.
                await trio.sleep(0.05)
                instance_pool.set_capacity(1)
                self.assertEqual(instance_pool.open_count, 1)
                await trio.sleep(1.0)
                self.assertEqual((server.max_open, got), (1, []))
                await instance_pool.release(acquired, trio.current_time())
            self.assertEqual(server.max_open, 1)

        virtual_time.run(run)


if __name__ == "__main__":
    unittest.main()
