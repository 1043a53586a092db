"""Tests of sessions against an in-memory group, in virtual time."""

import unittest

import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import sessions
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.relay import steps
from sedgeswitch.relay.tests import builders
from sedgeswitch.utils.tests import virtual_time

FAILURE = sessions.Failure


def run_in_world(body, **options):
    async def main():
        await body(builders.World(**options))

    virtual_time.run(main)


class ReadTest(unittest.TestCase):
    def test_first_read_runs_on_primary_and_later_one_on_replica(self):
        async def body(world):
            session = world.build_session("bounded")
            first, second = await builders.run_texts(session, b"READ x", b"READ y")
            self.assertEqual(b"signed-a", first.signature)
            self.assertIn(second.signature, (b"signed-b", b"signed-c"))

        run_in_world(body)

    def test_position_older_than_staleness_limit_is_ignored(self):
        async def body(world):
            session = world.build_session("bounded")
            await session.run(builders.build_step(b"READ x"))
            await trio.sleep(builders.STALENESS_S + 0.1)
            outcome = await session.run(builders.build_step(b"READ y"))
            self.assertEqual(b"signed-a", outcome.signature)

        run_in_world(body)

    def test_position_observed_by_another_host_makes_replicas_eligible(self):
        async def body(world):
            position = world.instances["a"].position
            world.observations.observed = (position, trio.current_time())
            session = world.build_session("bounded")
            outcome = await session.run(builders.build_step(b"READ x"))
            self.assertIn(outcome.signature, (b"signed-b", b"signed-c"))
            await trio.sleep(builders.STALENESS_S + 0.1)
            outcome = await session.run(builders.build_step(b"READ x"))
            self.assertEqual(b"signed-a", outcome.signature)
            self.assertEqual({builders.GROUP}, world.observations.used)

        run_in_world(body)

    def test_position_reported_by_busy_primary_makes_replicas_eligible(self):
        async def body(world):
            world.instances["a"].failures = [FAILURE.OVERLOADED] * 1000
            first = await world.build_session("bounded").run(
                builders.build_step(b"READ x")
            )
            second = await world.build_session("bounded").run(
                builders.build_step(b"READ x")
            )
            self.assertIn(second.signature, (b"signed-b", b"signed-c"))
            self.assertIn(first.signature, (b"signed-b", b"signed-c"))

        run_in_world(body)

    def test_replica_that_lacks_old_commit_is_skipped(self):
        async def body(world):
            writer = world.build_session("primary")
            await writer.run(builders.build_step(b"WRITE x 1"))
            await trio.sleep(builders.STALENESS_S / 2)
            await writer.run(builders.build_step(b"READ x"))
            await trio.sleep(builders.STALENESS_S / 2 + 0.1)
            outcome = await world.build_session("bounded").run(
                builders.build_step(b"READ x")
            )
            self.assertEqual(b"signed-a", outcome.signature)

        run_in_world(body)

    def test_session_reads_its_own_write_before_replication(self):
        async def body(world):
            session = world.build_session("session")
            _, outcome = await builders.run_texts(session, b"WRITE x 1", b"READ x")
            self.assertEqual(b"signed-a", outcome.signature)
            world.replicate()
            await trio.sleep(0.3)
            outcome = await session.run(builders.build_step(b"READ x"))
            self.assertNotEqual(b"signed-a", outcome.signature)

        run_in_world(body)

    def test_unresponsive_replicas_leave_time_for_primary(self):
        async def body(world):
            session = world.build_session("bounded")
            await session.run(builders.build_step(b"READ x"))
            world.instances["b"].is_frozen = world.instances["c"].is_frozen = True
            outcome = await session.run(builders.build_step(b"READ y"))
            self.assertEqual(b"signed-a", outcome.signature)

        run_in_world(body)

    def test_read_on_replaced_primary_is_retried_on_new_one(self):
        async def body(world):
            session = world.build_session("primary")
            await session.run(builders.build_step(b"READ x"))
            world.instances["a"].is_frozen = True

            async def replace():
                await trio.sleep(0.2)
                world.change_group(1, "a", 2, ttypes.GroupPhase.FENCED)
                world.promote("b", 2, 3)
                world.instances["a"].is_frozen = False

            async with trio.open_nursery() as nursery:
                nursery.start_soon(replace)
                outcome = await session.run(builders.build_step(b"READ x"))
            self.assertEqual(b"signed-b", outcome.signature)

        run_in_world(body)

    def test_read_without_lease_fails_within_timeout(self):
        async def body(world):
            world.groups.set_lease(float("-inf"))
            outcome = await world.build_session().run(builders.build_step(b"READ x"))
            self.assertEqual(FAILURE.OVERLOADED, outcome.failure)
            self.assertLessEqual(trio.current_time(), builders.TIMEOUT_S + 0.1)

        run_in_world(body)

    def test_long_outage_fails_reads_at_once_until_primary_returns(self):
        async def body(world):
            session = world.build_session()
            world.change_group(1, "a", 2, ttypes.GroupPhase.FENCED)
            waits_s = []
            for _ in range(6):
                started_s = trio.current_time()
                outcome = await session.run(builders.build_step(b"READ x"))
                self.assertEqual(FAILURE.OVERLOADED, outcome.failure)
                waits_s.append(trio.current_time() - started_s)
            self.assertAlmostEqual(builders.TIMEOUT_S, waits_s[0], delta=0.1)
            self.assertLess(waits_s[-1], 0.05)
            world.promote("b", 2, 3)
            outcome = await session.run(builders.build_step(b"READ x"))
            self.assertEqual(b"signed-b", outcome.signature)

        run_in_world(body)

    def test_leaving_replicas_get_no_reads(self):
        async def body(world):
            session = world.build_session("bounded")
            world.announce("b", 1, is_leaving=True)
            world.announce("c", 2, is_leaving=True)
            texts = [b"READ x"] * 4
            outcomes = await builders.run_texts(session, *texts)
            self.assertEqual({b"signed-a"}, {item.signature for item in outcomes})

        run_in_world(body)


class WriteTest(unittest.TestCase):
    def test_write_with_lost_answer_is_in_doubt(self):
        async def body(world):
            world.instances["a"].loses_answers = True
            outcome = await world.build_session().run(builders.build_step(b"WRITE x 1"))
            self.assertEqual(FAILURE.IN_DOUBT, outcome.failure)
            self.assertEqual(1, len(world.log))

        run_in_world(body)

    def test_write_whose_term_ended_is_in_doubt(self):
        async def body(world):
            session = world.build_session()
            await session.run(builders.build_step(b"READ x"))
            world.instances["a"].is_frozen = True

            async def fence():
                await trio.sleep(0.1)
                world.change_group(1, "a", 2, ttypes.GroupPhase.FENCED)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(fence)
                outcome = await session.run(builders.build_step(b"WRITE x 1"))
            self.assertEqual(FAILURE.IN_DOUBT, outcome.failure)
            self.assertEqual([], world.observations.acknowledged)

        run_in_world(body)

    def test_overloaded_write_is_retried_and_runs_once(self):
        async def body(world):
            world.instances["a"].failures = [FAILURE.OVERLOADED] * 3
            outcome = await world.build_session().run(builders.build_step(b"WRITE x 1"))
            self.assertIsNone(outcome.failure)
            self.assertEqual(1, len(world.log))
            self.assertEqual(1, len(world.observations.acknowledged))

        run_in_world(body)

    def test_commit_is_recorded_with_the_position_before_it(self):
        async def body(world):
            session = world.build_session()
            texts = (b"WRITE x 1", b"BEGIN", b"WRITE x 2", b"COMMIT")
            for text in texts:
                await session.run(builders.build_step(text))
            recorded = [
                (position.lsn, before_lsn)
                for _, position, before_lsn in world.observations.acknowledged
            ]
            self.assertEqual([(1, 0), (2, 1)], recorded)

        run_in_world(body)

    def test_failed_write_is_not_retried(self):
        async def body(world):
            world.instances["a"].failures = [FAILURE.FAILED]
            outcome = await world.build_session().run(builders.build_step(b"WRITE x 1"))
            self.assertEqual(FAILURE.FAILED, outcome.failure)
            self.assertEqual([], world.log)

        run_in_world(body)


class TransactionTest(unittest.TestCase):
    def test_commit_keeps_writes_and_rollback_discards_them(self):
        async def body(world):
            session = world.build_session()
            await builders.run_texts(session, b"BEGIN", b"WRITE x 1", b"ROLLBACK")
            self.assertEqual([], world.log)
            await builders.run_texts(session, b"BEGIN", b"WRITE x 2", b"COMMIT")
            self.assertEqual([b"WRITE x 2"], world.log)
            self.assertFalse(session.is_in_transaction)

        run_in_world(body)

    def test_transaction_is_admitted_as_one_operation(self):
        async def body(world):
            session = world.build_session()
            await builders.run_texts(
                session, b"BEGIN", b"READ x", b"READ y", b"COMMIT", b"READ z"
            )
            self.assertEqual([builders.ORGANISATION] * 2, world.admitted)

        run_in_world(body)

    def test_lost_connection_aborts_until_transaction_is_ended(self):
        async def body(world):
            session = world.build_session()
            await builders.run_texts(session, b"BEGIN", b"WRITE x 1")
            world.instances["a"].loses_answers = True
            lost, after = await builders.run_texts(session, b"READ x", b"READ y")
            self.assertEqual(FAILURE.ABORTED, lost.failure)
            self.assertEqual(FAILURE.MALFORMED, after.failure)
            self.assertTrue(session.is_failed)
            ended = await session.run(builders.build_step(b"ROLLBACK"))
            self.assertIsNone(ended.failure)
            self.assertEqual([], world.log)

        run_in_world(body)

    def test_commit_with_lost_answer_is_in_doubt(self):
        async def body(world):
            session = world.build_session()
            await builders.run_texts(session, b"BEGIN", b"WRITE x 1")
            world.instances["a"].loses_answers = True
            outcome = await session.run(builders.build_step(b"COMMIT"))
            self.assertEqual(FAILURE.IN_DOUBT, outcome.failure)
            self.assertFalse(session.is_in_transaction)

        run_in_world(body)

    def test_commit_after_end_of_term_is_aborted_without_sending(self):
        async def body(world):
            session = world.build_session()
            await builders.run_texts(session, b"BEGIN", b"WRITE x 1")
            world.change_group(1, "a", 2, ttypes.GroupPhase.FENCED)
            outcome = await session.run(builders.build_step(b"COMMIT"))
            self.assertEqual(FAILURE.ABORTED, outcome.failure)
            self.assertEqual([], world.log)

        run_in_world(body)

    def test_failed_statement_is_answered_after_rollback(self):
        async def body(world):
            session = world.build_session()
            await builders.run_texts(session, b"BEGIN", b"WRITE x 1")
            world.instances["a"].failures = [FAILURE.FAILED]
            outcome = await session.run(builders.build_step(b"READ x"))
            # The transaction has no effect, so the caller may retry all of it.
            self.assertEqual(FAILURE.ABORTED, outcome.failure)
            self.assertTrue(
                all(c.transaction is None for c in world.instances["a"].connections)
            )

        run_in_world(body)

    def test_read_only_transaction_runs_on_one_replica(self):
        async def body(world):
            session = world.build_session("bounded")
            await session.run(builders.build_step(b"READ x"))
            outcomes = await builders.run_texts(
                session, b"BEGIN READ", b"READ x", b"READ y", b"COMMIT"
            )
            signatures = {item.signature for item in outcomes[1:]}
            self.assertEqual(1, len(signatures))
            self.assertNotIn(b"signed-a", signatures)

        run_in_world(body)

    def test_expired_transaction_is_rolled_back_and_reported_aborted(self):
        async def body(world):
            session = world.build_session()
            await builders.run_texts(session, b"BEGIN", b"WRITE x 1")
            self.assertEqual(3.0, session.get_idle_timeout_s())
            await session.expire_transaction()
            first, second = await builders.run_texts(session, b"READ x", b"COMMIT")
            self.assertEqual(FAILURE.ABORTED, first.failure)
            self.assertEqual(FAILURE.ABORTED, second.failure)
            self.assertEqual([], world.log)

        run_in_world(body)

    def test_closed_session_releases_its_connection(self):
        async def body(world):
            session = world.build_session()
            await builders.run_texts(session, b"BEGIN", b"WRITE x 1")
            await session.close()
            loads = world.backends.get_loads()
            self.assertEqual(0, loads["a"].in_use)
            self.assertEqual([], world.log)

        run_in_world(body)


class StateTest(unittest.TestCase):
    def test_session_values_are_not_visible_to_another_session(self):
        async def body(world):
            first = world.build_session()
            second = world.build_session()
            await first.run(
                steps.Step(steps.Kind.SET_VALUE, b"1", name=b"n", value=b"v")
            )
            await first.run(builders.build_step(b"READ x"))
            await second.run(builders.build_step(b"READ y"))
            values = [values for _, _, values in world.instances["a"].ran]
            self.assertEqual([{b"n": b"v"}, {}], values)

        run_in_world(body)

    def test_prepared_statement_runs_until_deallocated(self):
        async def body(world):
            session = world.build_session()
            shape = sessions.StatementShape(False, b"q1")
            prepare = steps.Step(steps.Kind.PREPARE, b"1", name=b"s", shape=shape)
            execute = steps.Step(
                steps.Kind.EXECUTE, b"2", b"EXECUTE s x", name=b"s", value=b"x"
            )
            await session.run(prepare)
            self.assertIsNone((await session.run(execute)).failure)
            await session.run(steps.Step(steps.Kind.DEALLOCATE, b"3", name=b"s"))
            outcome = await session.run(execute)
            self.assertEqual(FAILURE.UNKNOWN_STATEMENT, outcome.failure)

        run_in_world(body)

    def test_open_session_with_withdrawn_key_is_unauthenticated(self):
        async def body(world):
            session = world.build_session()
            await session.run(builders.build_step(b"READ x"))
            world.put_in_force(builders.build_document(2, organisations={}))
            outcome = await session.run(builders.build_step(b"READ x"))
            self.assertEqual(FAILURE.UNAUTHENTICATED, outcome.failure)

        run_in_world(body)

    def test_open_session_on_removed_database_is_rejected(self):
        async def body(world):
            session = world.build_session()
            world.put_in_force(builders.build_document(2, databases={}))
            outcome = await session.run(builders.build_step(b"READ x"))
            self.assertEqual(FAILURE.UNKNOWN_DATABASE, outcome.failure)

        run_in_world(body)

    def test_operation_beyond_rate_is_rejected_without_sending(self):
        async def body(world):
            world.refusal = verdicts.build_not_run(429, "rate_exceeded", "", 50)
            outcome = await world.build_session().run(builders.build_step(b"READ x"))
            self.assertEqual(FAILURE.OVERLOADED, outcome.failure)
            self.assertEqual([], world.instances["a"].ran)

        run_in_world(body)

    def test_statement_runs_under_organisation_instead_of_key(self):
        async def body(world):
            await world.build_session().run(builders.build_step(b"READ x"))
            (_, organisation, _) = world.instances["a"].ran[0]
            self.assertEqual(builders.ORGANISATION, organisation)

        run_in_world(body)


class RefusedSessionTest(unittest.TestCase):
    """Guards against refusals of connections that leave no trace in the logs."""

    def test_refusal_is_logged_with_the_age_of_the_configuration(self):
        records = []

        async def body(world):
            world.databases.confirmed_s = trio.current_time()
            await trio.sleep(0.25)
            with self.assertRaises(steps.FailedError):
                await world.build_session("unknown").open(1.0)

        sink = loguru.logger.add(lambda message: records.append(message.record))
        self.addCleanup(loguru.logger.remove, sink)
        run_in_world(body)
        found = [item for item in records if item["message"].startswith("session")]
        self.assertEqual("session unknown_database", found[0]["message"])
        self.assertEqual(250, found[0]["extra"]["configuration_age_ms"])
        self.assertEqual("unknown", found[0]["extra"]["database"])


class OutdatedConfigurationTest(unittest.TestCase):
    """Guards against denials by a configuration that may be outdated.

    An entry host that no leader answers does not know of databases and keys that were
    added meanwhile.
    """

    WAIT_S = 1.6

    def run_without_leader(self, body):
        async def run(world):
            world.databases.confirmed_s = trio.current_time()
            await trio.sleep(2.0)
            await body(world)

        run_in_world(run)

    async def _confirm(self, world, delay_s, document=None):
        await trio.sleep(delay_s)
        if document is not None:
            world.put_in_force(document)
        world.databases.confirm(trio.current_time())

    def test_added_database_is_not_denied(self):
        async def body(world):
            document = builders.build_document(2)
            added = document.databases["primary"]._replace(database="added")
            databases = document.databases | {"added": added}
            document = document._replace(databases=databases)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._confirm, world, 0.5, document)
                session = world.build_session("added")
                await session.open(self.WAIT_S)
            outcome = await session.run(builders.build_step(b"WRITE x"))
            self.assertIsNone(outcome.failure)

        self.run_without_leader(body)

    def test_caller_is_told_to_retry_if_nothing_confirms_the_configuration(self):
        async def body(world):
            for database, key in (("added", builders.KEY), ("primary", "new key")):
                started_s = trio.current_time()
                with self.assertRaises(steps.FailedError) as caught:
                    await world.build_session(database, key).open(self.WAIT_S)
                self.assertIs(FAILURE.OVERLOADED, caught.exception.failure)
                self.assertEqual(self.WAIT_S, trio.current_time() - started_s)

        self.run_without_leader(body)

    def test_unknown_database_is_denied_once_the_configuration_is_confirmed(self):
        async def body(world):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._confirm, world, 0.5)
                with self.assertRaises(steps.FailedError) as caught:
                    await world.build_session("unknown").open(self.WAIT_S)
            self.assertIs(FAILURE.UNKNOWN_DATABASE, caught.exception.failure)

        self.run_without_leader(body)

    def test_known_caller_is_served_without_a_confirmation(self):
        async def body(world):
            session = world.build_session()
            await session.open(self.WAIT_S)
            outcome = await session.run(builders.build_step(b"WRITE x"))
            self.assertIsNone(outcome.failure)

        self.run_without_leader(body)
