"""Loads under which connections to instances are scarce; no network."""

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
    """Each instance takes 56 connections of 79 hosts together."""

    def test_host_without_a_share_still_serves(self):
        async def body(world):
            session = world.build_session("bounded")
            outcomes = await builders.run_texts(session, b"READ x", b"READ y")
            self.assertEqual([None, None], [item.failure for item in outcomes])

        run_in_world(body, max_connections=56, divisor=HOSTS, min_connections=2)

    def test_idle_connection_is_left_to_other_hosts_soon(self):
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

    def test_idle_connection_within_a_share_is_kept(self):
        async def body(world):
            await world.build_session().run(builders.build_step(b"READ x"))
            server = world.backends.get_server("a")
            await trio.sleep(backends.SCARCE_IDLE_TIMEOUT_S + 0.1)
            await world.backends.close_idle(set(), trio.current_time())
            connections = world.backends.get_pool(server, server.group)
            self.assertEqual(1, connections.open_count)

        run_in_world(body, max_connections=300, divisor=HOSTS, min_connections=2)


class FencedGroupTest(unittest.TestCase):
    """All connections of the last replica are taken when the leader needs one."""

    def test_hosts_leave_room_while_the_primary_is_changed(self):
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

    def test_room_is_left_by_pools_that_are_made_meanwhile(self):
        async def body(world):
            world.backends.reserve_connections({"b"})
            capacities = {}
            for name in ("b", "c"):
                server = world.backends.get_server(name)
                pooled = world.backends.get_pool(server, server.group)
                capacities[name] = pooled.load.capacity
            self.assertEqual(capacities["c"] - 1, capacities["b"])

        run_in_world(body)

    def test_last_connection_of_a_host_is_kept(self):
        async def body(world):
            server = world.backends.get_server("b")
            connections = world.backends.get_pool(server, server.group)
            world.backends.reserve_connections({"b"})
            self.assertEqual(1, connections.load.capacity)

        run_in_world(body, max_connections=20, divisor=15)

    def test_instances_of_fenced_groups_are_listed(self):
        async def body(world):
            fenced = ttypes.GroupPhase.FENCED
            world.change_group(1, "a", 2, fenced)
            states = world.groups.get_groups()
            self.assertEqual({"a", "b", "c"}, relay_groups.list_fenced(states))
            world.promote("b", 2, 3)
            states = world.groups.get_groups()
            self.assertEqual(set(), relay_groups.list_fenced(states))

        run_in_world(body)


class RefusedConnectionsTest(unittest.TestCase):
    """A full instance refuses connections while many callers wait for it."""

    def test_callers_who_wait_ask_a_full_instance_a_few_times_a_second(self):
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
            # Each connection of the share is tried once before the first refusal.
            server = world.backends.get_server("a")
            share = world.backends.get_pool(server, server.group).load.capacity
            most = share + 4 + duration_s / pool.RECONNECT_MAX_S
            self.assertLessEqual(world.connects, most)

        run_in_world(body)

    def test_connection_is_had_soon_after_the_instance_has_room(self):
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
    """The primary has no slot for any statement for a while."""

    def test_statement_is_sent_again_a_few_times_a_second(self):
        async def body(world):
            busy = [sessions.Failure.OVERLOADED] * 1000
            world.instances["a"].failures = busy
            started_s = trio.current_time()
            outcome = await world.build_session().run(builders.build_step(b"WRITE x 1"))
            duration_s = trio.current_time() - started_s
            self.assertEqual(sessions.Failure.OVERLOADED, outcome.failure)
            sent = 1000 - len(busy)
            # The pauses reach their longest with the fourth.
            most = 4 + duration_s / (context.MAX_RETRY_DELAY_S / 2)
            self.assertLessEqual(sent, most)

        run_in_world(body)

    def test_statement_runs_soon_after_a_slot_is_free(self):
        async def body(world):
            world.instances["a"].failures = [sessions.Failure.OVERLOADED] * 3
            started_s = trio.current_time()
            outcome = await world.build_session().run(builders.build_step(b"WRITE x 1"))
            self.assertIsNone(outcome.failure)
            self.assertLess(trio.current_time() - started_s, 0.35)

        run_in_world(body)


if __name__ == "__main__":
    unittest.main()
