"""Tests that no statement reaches an instance of an evacuated zone."""

import unittest

import loguru
import trio

from sedgeswitch.drivers import sessions
from sedgeswitch.evacuations import sections
from sedgeswitch.evacuations.tests import relay_builders as builders
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.relay import reads
from sedgeswitch.relay.tests import builders as relay_builders
from sedgeswitch.utils.tests import virtual_time

FAILURE = sessions.Failure
TRANSACTION_S = sections.DEFAULT_BOUND_S * sections.TRANSACTION_SHARE


def run_in_world(body, **options):
    async def main():
        await body(builders.World(**options))

    virtual_time.run(main)


async def run_texts(session, *texts):
    return await relay_builders.run_texts(session, *texts)


class SingleStatementTest(unittest.TestCase):
    def test_reads_use_replicas_outside_the_zone_and_return_after_the_end(self):
        async def body(world):
            session = world.build_session("bounded")
            await run_texts(session, b"READ x")
            world.evacuations.evacuate("b")
            outcomes = await run_texts(session, *[b"READ x"] * 10)
            self.assertEqual({b"signed-c"}, {item.signature for item in outcomes})
            world.evacuations.end("b")
            world.evacuations.evacuate("c")
            [outcome] = await run_texts(session, b"READ x")
            self.assertEqual(b"signed-b", outcome.signature)

        run_in_world(body)

    def test_write_waits_until_the_evacuated_primary_is_replaced(self):
        async def body(world):
            world.evacuations.evacuate("a")

            async def replace():
                await trio.sleep(0.3)
                world.change_group(1, "a", 2, ttypes.GroupPhase.FENCED)
                await trio.sleep(0.2)
                world.promote("b", 2, 3)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(replace)
                [outcome] = await run_texts(world.build_session(), b"WRITE x 1")
            self.assertEqual(b"signed-b", outcome.signature)
            self.assertEqual(0, world.count_ran("a"))

        run_in_world(body)

    def test_write_runs_on_the_old_primary_when_the_evacuation_ends_first(self):
        async def body(world):
            world.evacuations.evacuate("a")

            async def end():
                await trio.sleep(0.3)
                world.evacuations.end("a")
                # The lease is renewed after the sections have received the answer.
                world.groups.set_lease(relay_builders.LEASE_S + 1)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(end)
                [outcome] = await run_texts(world.build_session(), b"WRITE x 1")
            self.assertEqual(b"signed-a", outcome.signature)

        run_in_world(body)

    def test_statements_are_refused_at_once_after_the_outage_limit(self):
        async def body(world):
            world.evacuations.evacuate("a")
            session = world.build_session()
            while trio.current_time() < reads.OUTAGE_TIMEOUT_S:
                await run_texts(session, b"WRITE x 1")
            before_s = trio.current_time()
            outcomes = await run_texts(session, b"WRITE x 1", b"READ x")
            self.assertAlmostEqual(before_s, trio.current_time())
            for outcome in outcomes:
                self.assertIs(FAILURE.OVERLOADED, outcome.failure)
                self.assertIn("primary is evacuated", outcome.detail)
            self.assertEqual(0, world.count_ran("a"))

        run_in_world(body)

    def test_statements_are_refused_at_once_if_no_instance_is_outside(self):
        async def body(world):
            world.evacuations.evacuate("a", "b", "c")
            for database in ("primary", "bounded", "session"):
                session = world.build_session(database)
                outcomes = await run_texts(session, b"READ x", b"WRITE x 1")
                for outcome in outcomes:
                    self.assertIs(FAILURE.OVERLOADED, outcome.failure)
                    self.assertIn("all instances of group lots", outcome.detail)
            self.assertEqual(0.0, trio.current_time())
            self.assertEqual([], world.log)

        run_in_world(body)

    def test_queued_statements_do_not_reach_the_instance(self):
        # Guards against statements that waited for a connection to an instance
        # whose zone was evacuated in the meantime.
        async def body(world):
            world.instances["a"].is_frozen = True
            outcomes = []

            async def run(text):
                outcomes.extend(await run_texts(world.build_session(), text))

            async with trio.open_nursery() as nursery:
                for text in [b"WRITE x 1", b"READ x"] * 10:
                    nursery.start_soon(run, text)
                await trio.sleep(0.2)
                world.evacuations.evacuate("a")
                world.instances["a"].is_frozen = False
            self.assertLessEqual(world.count_ran("a"), 1)
            self.assertEqual(20, len(outcomes))
            for outcome in outcomes:
                if outcome.failure is not None:
                    self.assertIs(FAILURE.OVERLOADED, outcome.failure)

        run_in_world(body, max_connections=6)

    def test_queued_reads_of_a_replica_run_on_another_instance(self):
        async def body(world):
            await run_texts(world.build_session("bounded"), b"READ x")
            for name in "bc":
                world.instances[name].is_frozen = True
            outcomes = []

            async def run():
                outcomes.extend(
                    await run_texts(world.build_session("bounded"), b"READ x")
                )

            async with trio.open_nursery() as nursery:
                for _ in range(8):
                    nursery.start_soon(run)
                await trio.sleep(0.1)
                loads = world.backends.get_loads()
                self.assertGreater(loads["b"].waiting, 0)
                world.evacuations.evacuate("b")
                for name in "bc":
                    world.instances[name].is_frozen = False
            self.assertEqual([None] * 8, [item.failure for item in outcomes])
            self.assertLessEqual(world.count_ran("b"), 1)

        run_in_world(body, max_connections=6)


class TransactionTest(unittest.TestCase):
    def test_open_transaction_may_commit_in_its_part_of_the_bound(self):
        async def body(world):
            session = world.build_session()
            await run_texts(session, b"BEGIN", b"WRITE x 1")
            world.evacuations.evacuate("a")
            await trio.sleep(TRANSACTION_S - 0.2)
            await world.evacuations.end_due()
            outcomes = await run_texts(session, b"WRITE x 2", b"COMMIT")
            self.assertEqual([None, None], [item.failure for item in outcomes])
            self.assertEqual([b"WRITE x 1", b"WRITE x 2"], world.log)

        run_in_world(body)

    def test_later_statement_is_aborted_and_reaches_no_instance(self):
        async def body(world):
            session = world.build_session()
            await run_texts(session, b"BEGIN", b"WRITE x 1")
            world.evacuations.evacuate("a")
            await trio.sleep(TRANSACTION_S)
            before = world.count_ran("a")
            write, commit, rollback = await run_texts(
                session, b"WRITE x 2", b"COMMIT", b"BEGIN"
            )
            self.assertIs(FAILURE.ABORTED, write.failure)
            self.assertIn("zone-a is evacuated", write.detail)
            self.assertIs(FAILURE.ABORTED, commit.failure)
            self.assertIsNone(rollback.failure)
            self.assertEqual(before, world.count_ran("a"))
            self.assertEqual([], world.log)

        run_in_world(body)

    def test_later_commit_is_aborted_and_not_sent(self):
        async def body(world):
            session = world.build_session()
            await run_texts(session, b"BEGIN", b"WRITE x 1")
            world.evacuations.evacuate("a")
            await trio.sleep(TRANSACTION_S)
            [outcome] = await run_texts(session, b"COMMIT")
            self.assertIs(FAILURE.ABORTED, outcome.failure)
            self.assertEqual([], world.log)
            self.assertEqual(0, world.instances["a"].count_open())

        run_in_world(body)

    def test_rollback_after_the_time_is_not_sent(self):
        async def body(world):
            session = world.build_session()
            await run_texts(session, b"BEGIN", b"WRITE x 1")
            world.evacuations.evacuate("a")
            await trio.sleep(TRANSACTION_S)
            [outcome] = await run_texts(session, b"ROLLBACK")
            self.assertIsNone(outcome.failure)
            self.assertEqual(0, world.instances["a"].count_open())

        run_in_world(body)

    def test_idle_transaction_is_rolled_back_and_logged_once(self):
        # Guards against an idle transaction that keeps its locks on the instance.
        async def body(world):
            session = world.build_session()
            await run_texts(session, b"BEGIN", b"WRITE x 1")
            world.evacuations.evacuate("a")
            await trio.sleep(TRANSACTION_S)
            await world.evacuations.end_due()
            self.assertEqual(0, world.instances["a"].count_open())
            await world.evacuations.end_due()
            [outcome] = await run_texts(session, b"WRITE x 2")
            self.assertIs(FAILURE.ABORTED, outcome.failure)
            self.assertEqual([], world.log)

        lines = []
        sink = loguru.logger.add(lambda line: lines.append(line.record["message"]))
        self.addCleanup(loguru.logger.remove, sink)
        run_in_world(body)
        self.assertEqual(1, lines.count("evacuation ended a transaction"))

    def test_commit_that_was_sent_is_awaited(self):
        async def body(world):
            session = world.build_session()
            await run_texts(session, b"BEGIN", b"WRITE x 1")
            world.evacuations.evacuate("a")
            await trio.sleep(TRANSACTION_S - 0.1)
            world.instances["a"].is_frozen = True
            outcomes = []

            async def commit():
                outcomes.extend(await run_texts(session, b"COMMIT"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(commit)
                await trio.sleep(0.5)
                await world.evacuations.end_due()
                world.instances["a"].is_frozen = False
            self.assertIsNone(outcomes[0].failure)
            self.assertEqual([b"WRITE x 1"], world.log)

        run_in_world(body)

    def test_transaction_outside_the_zone_continues(self):
        async def body(world):
            session = world.build_session()
            await run_texts(session, b"BEGIN", b"WRITE x 1")
            world.evacuations.evacuate("b")
            await trio.sleep(TRANSACTION_S + 1.0)
            await world.evacuations.end_due()
            [outcome] = await run_texts(session, b"COMMIT")
            self.assertIsNone(outcome.failure)

        run_in_world(body)

    def test_new_transaction_is_not_begun_in_the_zone(self):
        async def body(world):
            world.evacuations.evacuate("a")
            begin, write = await run_texts(world.build_session(), b"BEGIN", b"WRITE x")
            self.assertIsNone(begin.failure)
            self.assertIs(FAILURE.OVERLOADED, write.failure)
            self.assertEqual([], world.instances["a"].connections)

        run_in_world(body)


class LostLeaseTest(unittest.TestCase):
    """Guards against a partitioned host that does not learn of an evacuation.

    Its lease of 4 s expires before the bound of an evacuation, and without a lease it
    must send nothing to instances.
    """

    def lose_lease(self, world):
        world.groups.set_lease(float("-inf"))

    def test_single_statements_are_not_sent(self):
        async def body(world):
            await run_texts(world.build_session("bounded"), b"READ x")
            before = [world.count_ran(name) for name in "abc"]
            self.lose_lease(world)
            for database, text in (("primary", b"WRITE x 1"), ("bounded", b"READ x")):
                [outcome] = await run_texts(world.build_session(database), text)
                self.assertIs(FAILURE.OVERLOADED, outcome.failure)
            self.assertEqual(before, [world.count_ran(name) for name in "abc"])

        run_in_world(body)

    def test_statements_of_open_transactions_are_not_sent(self):
        for database, begin, text in (
            ("primary", b"BEGIN", b"WRITE x 2"),
            ("primary", b"BEGIN", b"COMMIT"),
            ("bounded", b"BEGIN READ", b"READ x"),
            ("bounded", b"BEGIN READ", b"COMMIT"),
        ):

            async def body(world, database=database, begin=begin, text=text):
                await run_texts(world.build_session("bounded"), b"READ x")
                session = world.build_session(database)
                await run_texts(session, begin, b"READ x")
                before = [world.count_ran(name) for name in "abc"]
                self.lose_lease(world)
                [outcome] = await run_texts(session, text)
                self.assertIs(FAILURE.ABORTED, outcome.failure)
                self.assertEqual(before, [world.count_ran(name) for name in "abc"])

            with self.subTest(begin=begin, text=text):
                run_in_world(body)


class WithoutEvacuationTest(unittest.TestCase):
    def test_nothing_ends_a_transaction(self):
        async def body(world):
            session = world.build_session()
            await run_texts(session, b"BEGIN", b"WRITE x 1")
            await trio.sleep(2.9)
            await world.components.open_transactions.end_due(trio.current_time())
            [outcome] = await run_texts(session, b"COMMIT")
            self.assertIsNone(outcome.failure)

        async def main():
            await body(relay_builders.World())

        virtual_time.run(main)


if __name__ == "__main__":
    unittest.main()
