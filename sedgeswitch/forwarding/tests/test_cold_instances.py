"""Tests of the rate of statements that a fleet sends to a cold instance.

The instances of the fleet have two holders among four hosts.
"""

import unittest
import unittest.mock

import loguru
import trio

from sedgeswitch.admission.tests import test_cold_start
from sedgeswitch.databases import documents
from sedgeswitch.drivers import sessions
from sedgeswitch.forwarding.tests import builders
from sedgeswitch.observability import exposition
from sedgeswitch.relay.tests import builders as relay_builders
from sedgeswitch.utils.tests import virtual_time

RATE_PER_S = 8.0
COLD_START_S = 6.0
HOLDERS = 2
PRIMARY, REPLICA = "a", "b"


def setUpModule():
    loguru.logger.disable("sedgeswitch")


def tearDownModule():
    loguru.logger.enable("sedgeswitch")


def put_in_force(world, rate_per_s=RATE_PER_S, timeout_s=2.0):
    group = documents.Group(relay_builders.GROUP, 20, 1, COLD_START_S, rate_per_s)
    document = relay_builders.build_document(world.document.version + 1)
    databases = {
        name: database._replace(statement_timeout_s=timeout_s)
        for name, database in document.databases.items()
    }
    world.put_in_force(
        document._replace(databases=databases, groups={relay_builders.GROUP: group})
    )


def run_in_fleet(body, rate_per_s=RATE_PER_S, timeout_s=2.0):
    async def main():
        fleet = builders.Fleet()
        put_in_force(fleet.world, rate_per_s, timeout_s)
        await fleet.run(body)

    virtual_time.run(main)


async def run_load(fleet, count, *texts, database="primary"):
    """Run sessions on all hosts at once; return the outcomes of each session."""
    results = []
    hosts = list(fleet.hosts.values())

    async def run(number):
        session = hosts[number % len(hosts)].build_session(database)
        results.append(await relay_builders.run_texts(session, *texts))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(run, number)
    return results


async def run_texts(host, *texts):
    return await relay_builders.run_texts(host.build_session(), *texts)


def count_failures(results):
    return sum(outcome.failure is not None for row in results for outcome in row)


class RateTestCase(unittest.TestCase):
    def assert_within_rate(self, instance, rate_per_s=RATE_PER_S):
        """Each holder may have saved one token."""
        busiest = test_cold_start.count_in_busiest_second(instance.arrived_s)
        self.assertLessEqual(busiest, rate_per_s + HOLDERS)
        return busiest


class StatementTest(RateTestCase):
    def test_writes_of_all_hosts_wait_for_the_rate_of_a_cold_primary(self):
        async def body(fleet):
            fleet.world.change_server(PRIMARY, is_cold=True)
            results = await run_load(fleet, 12, b"WRITE x 1")
            self.assertEqual(0, count_failures(results))
            busiest = self.assert_within_rate(fleet.world.instances[PRIMARY])
            # One organisation gets the shares of both holders.
            self.assertGreaterEqual(busiest, RATE_PER_S)

        run_in_fleet(body)

    def test_writes_without_a_token_by_their_deadline_are_refused_as_not_run(self):
        async def body(fleet):
            world = fleet.world
            world.change_server(PRIMARY, is_cold=True)
            started_s = trio.current_time()
            refused = exposition.COLD_STATEMENTS.labels("refused")._value.get()
            results = await run_load(fleet, 60, b"WRITE x 1")
            self.assertLess(trio.current_time() - started_s, 2.1)
            failed = [row[0] for row in results if row[0].failure is not None]
            self.assertEqual({sessions.Failure.OVERLOADED}, {o.failure for o in failed})
            self.assertEqual(60 - len(failed), len(world.log))
            self.assertGreaterEqual(len(world.log), RATE_PER_S)
            for outcome in failed:
                self.assertIn("cold after its start", outcome.detail)
            self.assertGreater(
                exposition.COLD_STATEMENTS.labels("refused")._value.get(), refused
            )
            self.assert_within_rate(world.instances[PRIMARY])

        run_in_fleet(body)

    def test_writes_over_slow_links_are_not_in_doubt(self):
        """Guards against a last attempt whose refusal arrives after the deadline."""

        async def body(fleet):
            world = fleet.world
            world.change_server(PRIMARY, is_cold=True)
            results = await run_load(fleet, 60, b"WRITE x 1")
            failed = [row[0].failure for row in results if row[0].failure is not None]
            self.assertEqual({sessions.Failure.OVERLOADED}, set(failed))
            self.assertEqual(60 - len(failed), len(world.log))

        for delay_s in (0.012, 0.03):
            with (
                self.subTest(delay_s=delay_s),
                unittest.mock.patch.object(builders, "LINK_DELAY_S", delay_s),
            ):
                run_in_fleet(body, timeout_s=1.0)

    def test_no_connection_is_opened_for_a_statement_without_a_token(self):
        async def body(fleet):
            fleet.world.change_server(PRIMARY, is_cold=True)
            await run_load(fleet, 60, b"WRITE x 1")
            self.assertLessEqual(fleet.count_connections(), 4)

        run_in_fleet(body)

    def test_reads_without_a_token_go_to_another_instance(self):
        async def body(fleet):
            world = fleet.world
            await run_load(fleet, 4, b"WRITE x 1")
            world.replicate()
            await trio.sleep(0.2)
            await run_load(fleet, 4, b"READ x")
            for name in (REPLICA, "c"):
                world.change_server(name, is_cold=True)
            results = await run_load(fleet, 80, b"READ x", database="bounded")
            self.assertEqual(0, count_failures(results))
            signatures = [row[0].signature for row in results]
            self.assertGreater(signatures.count(b"signed-a"), 60)
            for name in (REPLICA, "c"):
                self.assert_within_rate(world.instances[name])

        run_in_fleet(body)

    def test_reads_prefer_a_warm_replica(self):
        async def body(fleet):
            world = fleet.world
            await run_load(fleet, 4, b"WRITE x 1")
            world.replicate()
            await trio.sleep(0.2)
            await run_load(fleet, 4, b"READ x")
            world.change_server(REPLICA, is_cold=True)
            results = await run_load(fleet, 20, b"READ x", database="bounded")
            self.assertEqual({b"signed-c"}, {row[0].signature for row in results})

        run_in_fleet(body)

    def test_group_without_a_limit_has_no_cold_instances(self):
        async def body(fleet):
            fleet.world.change_server(PRIMARY, is_cold=True)
            results = await run_load(fleet, 40, b"WRITE x 1")
            self.assertEqual(0, count_failures(results))
            busiest = test_cold_start.count_in_busiest_second(
                fleet.world.instances[PRIMARY].arrived_s
            )
            self.assertEqual(40, busiest)

        run_in_fleet(body, rate_per_s=0.0)

    def test_waiting_writes_run_at_once_when_the_instance_is_warm(self):
        async def body(fleet):
            world = fleet.world
            world.change_server(PRIMARY, is_cold=True)

            async def warm():
                await trio.sleep(0.5)
                world.change_server(PRIMARY, is_cold=False)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(warm)
                results = await run_load(fleet, 60, b"WRITE x 1")
            self.assertEqual(0, count_failures(results))
            self.assertLess(trio.current_time(), 1.5)

        run_in_fleet(body)


class TransactionTest(RateTestCase):
    def test_statements_of_transactions_wait_and_count(self):
        async def body(fleet):
            world = fleet.world
            world.change_server(PRIMARY, is_cold=True)
            results = await run_load(
                fleet, 4, b"BEGIN", b"WRITE x 1", b"WRITE y 1", b"COMMIT"
            )
            self.assertEqual(0, count_failures(results))
            self.assertEqual(8, len(world.log))
            # A beginning, which the first statement sends, two writes and a commit.
            self.assertEqual(16, len(world.instances[PRIMARY].arrived_s))
            self.assert_within_rate(world.instances[PRIMARY])

        run_in_fleet(body)

    def test_rollbacks_stay_within_the_rate_and_are_answered_at_once(self):
        """Guards against rollbacks that use up the tokens of later seconds."""

        async def body(fleet):
            world = fleet.world
            primary = world.instances[PRIMARY]
            sessions_of_hosts = [host.build_session() for host in fleet.hosts.values()]
            for session in sessions_of_hosts:
                await relay_builders.run_texts(session, b"BEGIN", b"WRITE x 1")
            await trio.sleep(1.0)
            primary.arrived_s.clear()
            put_in_force(world, rate_per_s=2.0)
            world.change_server(PRIMARY, is_cold=True)
            started_s = trio.current_time()
            for session in sessions_of_hosts:
                [outcome] = await relay_builders.run_texts(session, b"ROLLBACK")
                self.assertIsNone(outcome.failure)
            self.assertLess(trio.current_time() - started_s, 0.2)
            self.assert_within_rate(primary, 2.0)
            self.assertLess(len(primary.arrived_s), len(sessions_of_hosts))
            self.assertEqual([], world.log)
            results = await run_load(fleet, 2, b"WRITE x 1")
            self.assertEqual(0, count_failures(results))

        run_in_fleet(body)

    def test_transaction_without_a_token_is_aborted(self):
        async def body(fleet):
            world = fleet.world
            for host in fleet.hosts.values():
                session = host.build_session()
                outcomes = await relay_builders.run_texts(
                    session, b"BEGIN", b"WRITE x 1"
                )
                self.assertIsNone(outcomes[1].failure)
                # A statement each 5 s per holder; statements time out after 2 s.
                put_in_force(world, rate_per_s=0.4)
                world.change_server(PRIMARY, is_cold=True)
                outcomes = await relay_builders.run_texts(
                    session, b"WRITE y 1", b"WRITE z 1", b"COMMIT"
                )
                failures = [outcome.failure for outcome in outcomes]
                self.assertIn(sessions.Failure.ABORTED, failures)
                self.assertTrue(
                    all(item is None or item.has_no_effect for item in failures)
                )
                self.assertEqual([], world.log)
                world.change_server(PRIMARY, is_cold=False)
                put_in_force(world)

        run_in_fleet(body)


class HolderTest(RateTestCase):
    def test_only_holders_send(self):
        """Substitutes and callers' hosts refuse while no holder can be reached."""

        async def body(fleet):
            world = fleet.world
            world.change_server(PRIMARY, is_cold=True)
            location = fleet.get_location(PRIMARY)
            any_host = next(iter(fleet.hosts.values()))
            holders = any_host.placement.select(location).holders
            fleet.dead |= set(holders)
            others = [name for name in fleet.hosts if name not in holders]
            for name in others:
                session = fleet.hosts[name].build_session()
                [outcome] = await relay_builders.run_texts(session, b"WRITE x 1")
                self.assertIs(sessions.Failure.OVERLOADED, outcome.failure)
                self.assertIn("no holder", outcome.detail)
            self.assertEqual([], world.instances[PRIMARY].arrived_s)

        run_in_fleet(body)

    def test_hosts_that_disagree_about_holders_stay_within_the_margin(self):
        """Half of the hosts know of a further host in place of one of the holders."""

        async def body(fleet):
            world = fleet.world
            members = [host.member for host in fleet.hosts.values()]
            any_host = next(iter(fleet.hosts.values()))
            holder = any_host.placement.select(fleet.get_location(PRIMARY)).holders[0]
            fewer = [item for item in members if item.host_id != holder]
            for number, host in enumerate(fleet.hosts.values()):
                host.set_members(fewer if number % 2 else members)
            world.change_server(PRIMARY, is_cold=True)
            await run_load(fleet, 60, b"WRITE x 1")
            busiest = test_cold_start.count_in_busiest_second(
                world.instances[PRIMARY].arrived_s
            )
            margin = RATE_PER_S * test_cold_start.OVERAGE + test_cold_start.SLACK
            self.assertLessEqual(busiest, margin)

        run_in_fleet(body)

    def test_leaving_holder_refuses_waiting_statements(self):
        async def body(fleet):
            world = fleet.world
            put_in_force(world, rate_per_s=0.1)
            world.change_server(PRIMARY, is_cold=True)

            async def leave():
                await trio.sleep(0.3)
                for host in fleet.hosts.values():
                    host.holder.leave()
                    host.cold.leave()
                    await host.holder.wait_idle()
                self.assertLess(trio.current_time(), 0.5)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(leave)
                results = await run_load(fleet, 8, b"WRITE x 1")
            for row in results:
                self.assertTrue(row[0].failure is None or row[0].failure.has_no_effect)

        run_in_fleet(body)


class RestartTest(RateTestCase):
    """Instances that restart before the directory says that they are cold."""

    async def warm_up(self, fleet):
        await run_load(fleet, 8, b"WRITE x 1")
        fleet.world.instances[PRIMARY].arrived_s.clear()

    def test_instance_whose_connections_all_broke_is_cold(self):
        async def body(fleet):
            world = fleet.world
            await self.warm_up(fleet)
            world.instances[PRIMARY].restart()
            await run_load(fleet, 4, b"READ x")
            await run_load(fleet, 60, b"WRITE x 1")
            self.assert_within_rate(world.instances[PRIMARY])
            # The holder that lost its connections; the other one had none.
            self.assertEqual(
                1, fleet.hosts[fleet.get_home()].cold.count(trio.current_time())
            )

        run_in_fleet(body)

    def test_idle_connections_that_a_restart_closed_take_no_tokens(self):
        async def body(fleet):
            world = fleet.world
            await run_load(fleet, 20, b"WRITE x 1")
            world.instances[PRIMARY].restart()
            [outcome] = await run_texts(fleet.get_other(), b"READ x")
            self.assertIsNone(outcome.failure)
            results = await run_load(fleet, 6, b"WRITE y 1")
            self.assertEqual(0, count_failures(results))

        run_in_fleet(body)

    def test_new_connection_after_an_unnoticed_restart_is_limited(self):
        """Guards against connections of one organisation that hide the restart."""

        async def body(fleet):
            world = fleet.world
            await self.warm_up(fleet)
            host = fleet.hosts[fleet.get_home()]
            world.instances[PRIMARY].restart()
            acquired = await host.holder._components.connector.acquire(
                world.servers.servers[PRIMARY], "ward-5", trio.current_time() + 1.0
            )
            self.assertEqual(1, host.cold.count(trio.current_time()))
            await acquired.release()

        run_in_fleet(body)

    def test_suspicion_ends_after_the_cold_time(self):
        async def body(fleet):
            await self.warm_up(fleet)
            fleet.world.instances[PRIMARY].restart()
            await run_load(fleet, 4, b"READ x")
            await trio.sleep(COLD_START_S)
            results = await run_load(fleet, 60, b"WRITE x 1")
            self.assertEqual(0, count_failures(results))

        run_in_fleet(body)

    def test_announcement_of_a_warm_instance_ends_the_suspicion(self):
        async def body(fleet):
            world = fleet.world
            await self.warm_up(fleet)
            world.instances[PRIMARY].restart()
            await run_load(fleet, 4, b"READ x")
            world.change_server(PRIMARY, is_cold=True)
            world.change_server(PRIMARY, is_cold=False)
            results = await run_load(fleet, 60, b"WRITE x 1")
            self.assertEqual(0, count_failures(results))
            self.assertGreater(len(world.instances[PRIMARY].arrived_s), 60)

        run_in_fleet(body)

    def test_instance_that_restarts_again_under_the_same_id_is_cold_again(self):
        async def body(fleet):
            world = fleet.world
            world.change_server(PRIMARY, is_cold=True)
            world.change_server(PRIMARY, is_cold=False)
            await self.warm_up(fleet)
            world.change_server(PRIMARY, is_cold=True)
            await run_load(fleet, 60, b"WRITE x 1")
            self.assert_within_rate(world.instances[PRIMARY])

        run_in_fleet(body)

    def test_one_lost_connection_among_several_is_no_restart(self):
        async def body(fleet):
            world = fleet.world
            await self.warm_up(fleet)
            open_connections = [
                item for item in world.instances[PRIMARY].connections if item.is_open
            ]
            self.assertGreater(len(open_connections), 1)
            open_connections[-1].is_lost = True
            await run_load(fleet, 8, b"READ x")
            results = await run_load(fleet, 60, b"WRITE x 1")
            self.assertEqual(0, count_failures(results))

        run_in_fleet(body)


if __name__ == "__main__":
    unittest.main()
