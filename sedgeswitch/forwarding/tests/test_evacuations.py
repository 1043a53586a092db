"""Tests of forwarded statements for instances of an evacuated zone."""

import unittest

import trio

from sedgeswitch.drivers import sessions
from sedgeswitch.evacuations import sections
from sedgeswitch.evacuations.tests import relay_builders as builders
from sedgeswitch.forwarding import messages
from sedgeswitch.relay.tests import builders as relay_builders
from sedgeswitch.utils.tests import virtual_time

FAILURE = sessions.Failure
TRANSACTION_S = sections.DEFAULT_BOUND_S * sections.TRANSACTION_SHARE


def run_in_fleet(body, **options):
    async def main():
        await builders.Fleet(**options).run(body)

    virtual_time.run(main)


def count_ran(fleet, instance="a"):
    return len(fleet.world.instances[instance].ran)


class HolderTest(unittest.TestCase):
    """Guards against statements of a host that has not received the evacuation yet.

    Only the holder knows of the evacuation in these tests.
    """

    def evacuate_at_holder(self, fleet):
        fleet.evacuations[fleet.get_home()].evacuate("a")

    def test_single_statements_are_refused_as_not_run(self):
        async def body(fleet):
            host = fleet.get_other()
            self.evacuate_at_holder(fleet)
            for text in (b"WRITE x 1", b"READ x"):
                [outcome] = await relay_builders.run_texts(host.build_session(), text)
                self.assertIs(FAILURE.OVERLOADED, outcome.failure)
            self.assertEqual(0, count_ran(fleet))

        run_in_fleet(body)

    def test_answer_says_not_run_and_names_the_reason(self):
        async def body(fleet):
            self.evacuate_at_holder(fleet)
            holder = fleet.hosts[fleet.get_home()].holder
            answer = await holder.answer(
                messages.ForwardRequest(
                    "a", relay_builders.ORGANISATION, messages.Operation.BEGIN, 500,
                    transaction=1, is_read_only=False,
                )
            )  # fmt: skip
            self.assertEqual(messages.Outcome.NOT_RUN, answer.outcome)
            self.assertTrue(answer.is_retryable)
            self.assertIn("evacuated", answer.detail)
            self.assertEqual(0, holder.open_transactions)

        run_in_fleet(body)

    def test_statement_that_waits_for_a_connection_is_refused(self):
        async def body(fleet):
            host = fleet.get_other()
            fleet.world.instances["a"].is_frozen = True
            outcomes = []

            async def run(text):
                outcomes.extend(
                    await relay_builders.run_texts(host.build_session(), text)
                )

            async with trio.open_nursery() as nursery:
                for _ in range(6):
                    nursery.start_soon(run, b"WRITE x 1")
                await trio.sleep(0.2)
                self.evacuate_at_holder(fleet)
                fleet.world.instances["a"].is_frozen = False
            # The holder's pool has two connections.
            self.assertLessEqual(count_ran(fleet), 2)
            self.assertEqual(6, len(outcomes))

        run_in_fleet(body, max_connections=8)

    def test_read_goes_to_a_replica_outside_the_zone(self):
        async def body(fleet):
            home = fleet.get_home("b")
            host = next(item for name, item in fleet.hosts.items() if name != home)
            session = host.build_session("bounded")
            await relay_builders.run_texts(session, b"READ x")
            fleet.evacuations[home].evacuate("b")
            outcomes = await relay_builders.run_texts(session, *[b"READ x"] * 20)
            self.assertEqual([None] * 20, [item.failure for item in outcomes])
            self.assertIn((host.member.host_id, home), {c[:2] for c in fleet.calls})
            self.assertEqual(0, count_ran(fleet, "b"))

        run_in_fleet(body)

    def test_open_transaction_ends_after_its_part_of_the_bound(self):
        async def body(fleet):
            session = fleet.get_other().build_session()
            await relay_builders.run_texts(session, b"BEGIN", b"WRITE x 1")
            self.evacuate_at_holder(fleet)
            [outcome] = await relay_builders.run_texts(session, b"WRITE x 2")
            self.assertIsNone(outcome.failure)
            holder = fleet.hosts[fleet.get_home()].holder
            await trio.sleep(TRANSACTION_S + 0.6)
            self.assertEqual(0, holder.open_transactions)
            before = count_ran(fleet)
            [outcome] = await relay_builders.run_texts(session, b"COMMIT")
            self.assertIs(FAILURE.ABORTED, outcome.failure)
            self.assertEqual(before, count_ran(fleet))
            self.assertEqual([], fleet.world.log)

        run_in_fleet(body)

    def test_commit_just_after_the_time_is_refused(self):
        # The holder looks for transactions to end only every 0.5 s.
        async def body(fleet):
            session = fleet.get_other().build_session()
            await relay_builders.run_texts(session, b"BEGIN", b"WRITE x 1")
            self.evacuate_at_holder(fleet)
            await trio.sleep(TRANSACTION_S)
            [outcome] = await relay_builders.run_texts(session, b"COMMIT")
            self.assertIs(FAILURE.ABORTED, outcome.failure)
            self.assertEqual([], fleet.world.log)

        run_in_fleet(body)


class CallersHostTest(unittest.TestCase):
    def test_caller_host_ends_a_transaction_that_a_holder_would_continue(self):
        # Guards against a holder that is cut off from the leader.
        async def body(fleet):
            host = fleet.get_other()
            session = host.build_session()
            await relay_builders.run_texts(session, b"BEGIN", b"WRITE x 1")
            evacuations = fleet.evacuations[host.member.host_id]
            evacuations.evacuate("a")
            await trio.sleep(TRANSACTION_S)
            await evacuations.end_due()
            await trio.sleep(0.1)
            holder = fleet.hosts[fleet.get_home()].holder
            self.assertEqual(0, holder.open_transactions)
            [outcome] = await relay_builders.run_texts(session, b"COMMIT")
            self.assertIs(FAILURE.ABORTED, outcome.failure)
            self.assertEqual([], fleet.world.log)

        run_in_fleet(body)


class LostLeaseTest(unittest.TestCase):
    """Guards against a holder without a lease, which may not know of an evacuation."""

    def test_holder_sends_neither_statements_nor_commits(self):
        async def body(fleet):
            session = fleet.get_other().build_session()
            await relay_builders.run_texts(session, b"BEGIN", b"WRITE x 1")
            home = fleet.hosts[fleet.get_home()]
            before = count_ran(fleet)
            # All hosts of these tests share one table, and with it the lease.
            fleet.world.groups.set_lease(float("-inf"))
            home.backends.share.drop()
            [outcome] = await relay_builders.run_texts(session, b"READ x")
            self.assertIs(FAILURE.ABORTED, outcome.failure)
            answer = await home.holder.answer(
                messages.ForwardRequest(
                    "a", relay_builders.ORGANISATION, messages.Operation.BEGIN, 200,
                    transaction=7, is_read_only=True,
                )
            )  # fmt: skip
            self.assertEqual(messages.Outcome.NOT_RUN, answer.outcome)
            self.assertEqual(before, count_ran(fleet))

        run_in_fleet(body)


if __name__ == "__main__":
    unittest.main()
