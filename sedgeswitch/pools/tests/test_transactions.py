"""Tests of the table of open transactions of a host."""

import unittest

import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import base
from sedgeswitch.pools import transactions
from sedgeswitch.pools.tests import builders
from sedgeswitch.utils.tests import virtual_time


class TransactionTableTest(unittest.TestCase):
    def _run(self, body, capacity=3):
        async def run():
            server = builders.FakeServer()
            instance_pool = builders.build_pool(server, capacity)
            table = builders.build_table()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(table.run)
                await body(server, instance_pool, table)
                nursery.cancel_scope.cancel()
            self.assertEqual(server.concurrent_statements, [])
            self.assertEqual(instance_pool.open_count, server.open)

        virtual_time.run(run)

    def test_statements_of_two_transactions_run_on_separate_connections(self):
        async def body(server, instance_pool, table):
            first = await builders.begin(table, instance_pool)
            second = await builders.begin(table, instance_pool)
            for place in range(3):
                await table.execute(first, f"first {place}")
                await table.execute(second, f"second {place}")
            users = {}
            for connection, sql in server.executed:
                users.setdefault(connection, set()).add(sql.split()[0])
            expected = [{"BEGIN", "first"}, {"BEGIN", "second"}]
            self.assertEqual(list(users.values()), expected)

        self._run(body)

    def test_rollback_sent_twice_uses_connection_once(self):
        async def body(server, instance_pool, table):  # noqa: ARG001
            transaction = await builders.begin(table, instance_pool)
            server.delay_s = 0.5
            async with trio.open_nursery() as nursery:
                nursery.start_soon(table.close, transaction)
                await trio.sleep(0.001)
                with self.assertRaises(verdicts.RefusedError) as caught:
                    table.get(transaction.transaction_id, "ward-4")
                self.assertEqual(caught.exception.refusal.status, 409)
            self.assertEqual(instance_pool.load.in_use, 0)

        self._run(body)

    def test_expired_transactions_end_although_server_does_not_answer(self):
        async def body(server, instance_pool, table):
            begun = [
                await builders.begin(table, instance_pool, lifetime_s=1.0)
                for _ in range(3)
            ]
            server.delay_s = 1000.0
            await trio.sleep(1.5 + transactions.ROLLBACK_TIMEOUT_S)
            self.assertEqual(table.open_count, 0)
            ending = table.get_ending(begun[0].transaction_id, "ward-4")
            self.assertIs(ending, transactions.Ending.ROLLED_BACK)

        self._run(body)

    def test_statement_that_ends_transaction_gives_ending_unknown(self):
        async def body(server, instance_pool, table):  # noqa: ARG001
            transaction = await builders.begin(table, instance_pool)
            with self.assertRaises(base.DriverError) as caught:
                await table.execute(transaction, "COMMIT")
            self.assertIs(caught.exception.verdict, verdicts.Verdict.MAY_HAVE_RUN)
            ending = table.get_ending(transaction.transaction_id, "ward-4")
            self.assertIs(ending, transactions.Ending.UNKNOWN)
            self.assertEqual(table.open_count, 0)

        self._run(body)

    def test_commit_of_failed_transaction_is_not_run(self):
        async def body(server, instance_pool, table):  # noqa: ARG001
            transaction = await builders.begin(table, instance_pool)
            with self.assertRaises(base.DriverError):
                await table.execute(transaction, "FAIL")
            with self.assertRaises(base.DriverError) as caught:
                await table.commit(transaction)
            await table.close(transaction)
            self.assertIs(caught.exception.verdict, verdicts.Verdict.NOT_RUN)

        self._run(body)

    def test_cancelled_commit_is_unknown_and_closes_connection(self):
        async def body(server, instance_pool, table):
            transaction = await builders.begin(table, instance_pool)
            server.delay_s = 10.0
            with trio.move_on_after(0.01):
                try:
                    await table.commit(transaction)
                finally:
                    await table.close(transaction)
            ending = table.get_ending(transaction.transaction_id, "ward-4")
            self.assertIs(ending, transactions.Ending.UNKNOWN)
            self.assertEqual(server.open, 0)

        self._run(body)

    def test_connection_of_ended_transaction_is_reset_for_same_organisation(self):
        async def body(server, instance_pool, table):
            for _ in range(2):
                transaction = await builders.begin(table, instance_pool)
                await table.close(transaction)
            executed = [sql for _, sql in server.executed]
            expected = ["BEGIN", "ROLLBACK", "DISCARD ALL", "BEGIN", "ROLLBACK"]
            self.assertEqual(executed, expected)

        self._run(body)


if __name__ == "__main__":
    unittest.main()
