"""Tests of loads under which connections to instances are scarce, in memory."""

import unittest

import trio

from sedgeswitch.daemon import relay_groups
from sedgeswitch.drivers import sessions
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.pools import pool
from sedgeswitch.relay import context
from sedgeswitch.relay.tests import builders
from sedgeswitch.statements import backends
from sedgeswitch.utils.tests import virtual_time

HOSTS = 79
CALLERS = 30


def run_in_world(body, **options):
    async def main():
        await body(builders.World(**options))

    virtual_time.run(main)


class FewerConnectionsThanHostsTest(unittest.TestCase):
    """Each instance accepts fewer connections, 56, than there are hosts, 79.

    The share of a host is then 0, but it may open `min_connections`.
    """

    def test_host_without_share_serves_reads(self):
        async def body(world):
            session = world.build_session("bounded")
            outcomes = await builders.run_texts(session, b"READ x", b"READ y")
            self.assertEqual([None, None], [item.failure for item in outcomes])

        run_in_world(body, max_connections=56, divisor=HOSTS, min_connections=2)

    def test_idle_connection_beyond_share_is_closed_after_scarce_timeout(self):
        async def body(world):
            await world.build_session().run(builders.build_step(b"READ x"))
            server = world.backends.get_server("a")
            connections = world.backends.get_pool(server, server.group)
            await world.backends.close_idle(set(), trio.current_time())
            self.assertEqual(1, connections.open_count)
            await trio.sleep(backends.SCARCE_IDLE_TIMEOUT_S + 0.1)
            await world.backends.close_idle(set(), trio.current_time())
            self.assertEqual(0, connections.open_count)

        run_in_world(body, max_connections=56, divisor=HOSTS, min_connections=2)

    def test_idle_connection_within_share_stays_open(self):
        async def body(world):
            await world.build_session().run(builders.build_step(b"READ x"))
            server = world.backends.get_server("a")
            await trio.sleep(backends.SCARCE_IDLE_TIMEOUT_S + 0.1)
            await world.backends.close_idle(set(), trio.current_time())
            connections = world.backends.get_pool(server, server.group)
            self.assertEqual(1, connections.open_count)

        run_in_world(body, max_connections=300, divisor=HOSTS, min_connections=2)


class PowerLossTest(unittest.TestCase):
    """All hosts lost power, and an instance still counts their connections.

    Callers of many organisations return at once, and the instance accepts few new
    connections, each of which belongs to one organisation.
    """

    async def run_callers(self, world, count=CALLERS, timeout_s=2.0):
        server = world.backends.get_server("a")
        connections = world.backends.get_pool(server, server.group)
        served = []

        async def call(number):
            deadline_s = trio.current_time() + timeout_s
            pooled = await connections.acquire(f"ward-{number}", deadline_s)
            await trio.sleep(0.01)
            await connections.release(pooled, trio.current_time())
            served.append(number)

        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(call, number)
        return served

    def test_callers_wait_for_the_few_connections(self):
        async def body(world):
            world.instances["a"].connection_limit = 2
            self.assertEqual(CALLERS, len(await self.run_callers(world)))

        run_in_world(body, max_connections=60)

    def test_waiting_callers_use_connections_that_become_free(self):
        async def body(world):
            instance = world.instances["a"]
            instance.connection_limit = 1
            async with trio.open_nursery() as nursery:

                async def drop_old_connections():
                    await trio.sleep(0.2)
                    instance.connection_limit = 20

                nursery.start_soon(drop_old_connections)
                started_s = trio.current_time()
                self.assertEqual(CALLERS, len(await self.run_callers(world)))
                self.assertLess(trio.current_time() - started_s, 1.0)

        run_in_world(body, max_connections=60)

    def test_instance_without_any_room_refuses_at_once(self):
        async def body(world):
            world.instances["a"].connection_limit = 0
            started_s = trio.current_time()
            with self.assertRaises(BaseExceptionGroup):
                await self.run_callers(world, count=3)
            self.assertLess(trio.current_time() - started_s, 0.5)

        run_in_world(body, max_connections=60)

    def test_idle_connections_leave_room_for_restarted_hosts(self):
        async def body(world):
            options = world.backends._options._replace(spare_factor=2.0)
            world.backends._options = options
            await self.run_callers(world)
            await self.run_callers(world)
            # 60 connections, of which 5 are reserved, and 3 slots.
            open_count = world.instances["a"].count_open()
            self.assertLessEqual(open_count, 60 - 5 - 2 * 3)
            self.assertGreaterEqual(open_count, CALLERS)

        run_in_world(body, max_connections=60)

    def test_idle_connections_keep_most_of_a_low_limit(self):
        async def body(world):
            options = world.backends._options._replace(spare_factor=2.0)
            world.backends._options = options
            for _ in range(2):
                await self.run_callers(world)
            # 20 connections less the 5 reserved, less a fifth of 20.
            self.assertEqual(11, world.instances["a"].count_open())

        run_in_world(body, max_connections=20)

    def test_scarce_connections_all_stay_for_reuse(self):
        # Guards against room for restarts that doubled the new connections of a fleet
        # whose instances accept 22.
        async def body(world):
            options = world.backends._options._replace(spare_factor=2.0, min_idle=15)
            world.backends._options = options
            for _ in range(2):
                await self.run_callers(world)
            self.assertEqual(15, world.instances["a"].count_open())

        run_in_world(body, max_connections=20)


class FencedGroupTest(unittest.TestCase):
    """The leader needs a connection to an instance of a fenced group.

    Without a reserve, hosts may hold all connections of the last replica, so that the
    leader cannot connect to it.
    """

    def test_reserved_connection_lowers_capacity_during_change_of_primary(self):
        async def body(world):
            server = world.backends.get_server("b")
            connections = world.backends.get_pool(server, server.group)
            capacity = connections.load.capacity
            deadline_s = trio.current_time() + 1
            held = [
                await connections.acquire("ward-4", deadline_s) for _ in range(capacity)
            ]
            world.backends.reserve_connections({"b"})
            for pooled in held:
                await connections.release(pooled, trio.current_time())
            await world.backends.close_surplus()
            self.assertEqual(capacity - 1, connections.open_count)
            world.backends.reserve_connections(())
            self.assertEqual(capacity, connections.load.capacity)

        run_in_world(body)

    def test_reserve_applies_to_pools_created_during_change_of_primary(self):
        async def body(world):
            world.backends.reserve_connections({"b"})
            capacities = {}
            for name in ("b", "c"):
                server = world.backends.get_server(name)
                pooled = world.backends.get_pool(server, server.group)
                capacities[name] = pooled.load.capacity
            self.assertEqual(capacities["c"] - 1, capacities["b"])

        run_in_world(body)

    def test_reserve_leaves_each_host_one_connection(self):
        async def body(world):
            server = world.backends.get_server("b")
            connections = world.backends.get_pool(server, server.group)
            world.backends.reserve_connections({"b"})
            self.assertEqual(1, connections.load.capacity)

        run_in_world(body, max_connections=20, divisor=15)

    def test_list_fenced_returns_instances_of_fenced_groups(self):
        async def body(world):
            fenced = ttypes.GroupPhase.FENCED
            world.change_group(1, "a", 2, fenced)
            states = world.groups.get_groups()
            self.assertEqual(
                {"a", "b", "c"}, relay_groups.list_fenced_instances(states)
            )
            world.promote("b", 2, 3)
            states = world.groups.get_groups()
            self.assertEqual(set(), relay_groups.list_fenced_instances(states))

        run_in_world(body)


class RefusedConnectionsTest(unittest.TestCase):
    """An instance at its connection limit refuses connections to many callers.

    Without backoff each waiting caller would try to connect over and over.
    """

    def test_waiting_callers_connect_to_full_instance_at_limited_rate(self):
        async def body(world):
            for instance in world.instances.values():
                instance.is_refusing = True
            outcomes = []

            async def call():
                session = world.build_session()
                outcomes.append(await session.run(builders.build_step(b"WRITE x 1")))

            started_s = trio.current_time()
            async with trio.open_nursery() as nursery:
                for _ in range(CALLERS):
                    nursery.start_soon(call)
            duration_s = trio.current_time() - started_s
            failures = {item.failure for item in outcomes}
            self.assertEqual({sessions.Failure.OVERLOADED}, failures)
            # Each connection of the share may be attempted once before the first
            # refusal arrives.
            server = world.backends.get_server("a")
            share = world.backends.get_pool(server, server.group).load.capacity
            most = share + 4 + duration_s / pool.RECONNECT_MAX_S
            self.assertLessEqual(world.connects, most)

        run_in_world(body)

    def test_write_succeeds_once_instance_accepts_connections(self):
        async def body(world):
            world.instances["a"].is_refusing = True
            outcomes = []

            async def call():
                session = world.build_session()
                outcomes.append(await session.run(builders.build_step(b"WRITE x 1")))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await trio.sleep(0.3)
                world.instances["a"].is_refusing = False
            self.assertIsNone(outcomes[0].failure)

        run_in_world(body)


class BusyInstanceTest(unittest.TestCase):
    """The primary has no free slot for statements for some time.

    Statements are retried with backoff: not too often while the primary is busy, yet
    soon after a slot becomes free.
    """

    def test_statement_is_retried_at_limited_rate(self):
        async def body(world):
            busy = [sessions.Failure.OVERLOADED] * 1000
            world.instances["a"].failures = busy
            started_s = trio.current_time()
            outcome = await world.build_session().run(builders.build_step(b"WRITE x 1"))
            duration_s = trio.current_time() - started_s
            self.assertEqual(sessions.Failure.OVERLOADED, outcome.failure)
            sent = 1000 - len(busy)
            # The delays reach their maximum with the fourth.
            most = 4 + duration_s / (context.MAX_RETRY_DELAY_S / 2)
            self.assertLessEqual(sent, most)

        run_in_world(body)

    def test_statement_runs_soon_after_slot_becomes_free(self):
        async def body(world):
            world.instances["a"].failures = [sessions.Failure.OVERLOADED] * 3
            started_s = trio.current_time()
            outcome = await world.build_session().run(builders.build_step(b"WRITE x 1"))
            self.assertIsNone(outcome.failure)
            self.assertLess(trio.current_time() - started_s, 0.35)

        run_in_world(body)


if __name__ == "__main__":
    unittest.main()
