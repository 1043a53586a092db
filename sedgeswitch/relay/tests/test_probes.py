"""Tests of probes that reuse statements' results and connections.

Also tests pools whose connections are bound to one organisation each.
"""

import unittest

import trio

from sedgeswitch.drivers import base
from sedgeswitch.drivers import sessions
from sedgeswitch.groups import instances
from sedgeswitch.groups import positions
from sedgeswitch.relay import probes
from sedgeswitch.relay.tests import builders
from sedgeswitch.utils.tests import virtual_time

STATE = instances.InstanceState(False, positions.Position(1, 7))


class CountingDriver:
    def __init__(self):
        self.opened = 0
        self.is_usable = True

    async def connect(self, target, timeout_s):
        self.opened += 1
        return self

    async def read_state(self):
        await trio.sleep(0.01)
        return STATE

    async def close(self):
        self.is_usable = False


class ProbeTest(unittest.TestCase):
    def run_probe(self, body):
        async def main():
            world = builders.World()
            driver = CountingDriver()
            local_observations = world.components.local_observations
            self.losses = []
            probe_driver = probes.ProbeDriver(
                driver,
                world.backends,
                local_observations,
                lambda instance, last_used_s: self.losses.append(instance),
            )
            target = base.Target("10.0.0.0", 80, builders.GROUP, instance="a")
            connection = await probe_driver.connect(target, 1.0)
            await body(world, driver, connection)

        virtual_time.run(main)

    def test_recent_reply_of_primary_replaces_probe(self):
        async def body(world, driver, connection):
            await world.build_session().run(builders.build_step(b"READ x"))
            state = await connection.read_state()
            self.assertEqual((False, positions.Position(1, 0), 0.0, 1), tuple(state))
            self.assertEqual(0, driver.opened)

        self.run_probe(body)

    def test_probe_without_idle_connection_opens_one_and_reuses_it(self):
        async def body(world, driver, connection):
            for _ in range(3):
                self.assertEqual(STATE, await connection.read_state())
            self.assertEqual(1, driver.opened)

        self.run_probe(body)

    def test_probe_uses_idle_connection_and_releases_it(self):
        async def body(world, driver, connection):
            await world.build_session().run(builders.build_step(b"READ x"))
            idle = world.instances["a"].connections[0]

            async def read_state():
                return STATE

            idle.read_state = read_state
            await trio.sleep(2 * probes.MAX_STATE_AGE_S)
            self.assertEqual(STATE, await connection.read_state())
            self.assertEqual(0, driver.opened)
            load = world.backends.get_loads()["a"]
            self.assertEqual((0, 1), (load.in_use, load.idle))
            self.assertEqual([], self.losses)

        self.run_probe(body)

    def test_idle_connection_that_a_probe_finds_lost_is_recorded(self):
        """Guards against a restart that only a probe notices."""

        async def body(world, driver, connection):
            await world.build_session().run(builders.build_step(b"READ x"))

            async def read_state():
                raise sessions.ConnectionLostError("closed by the instance")

            world.instances["a"].connections[0].read_state = read_state
            await trio.sleep(2 * probes.MAX_STATE_AGE_S)
            with self.assertRaises(base.DriverError):
                await connection.read_state()
            self.assertEqual(["a"], self.losses)

        self.run_probe(body)


class BoundPoolTest(unittest.TestCase):
    def test_connection_serves_only_the_organisation_that_opened_it(self):
        async def body():
            # Of the six connections of the instance, five are reserved: one is left.
            world = builders.World(max_connections=6)
            server = world.servers.servers["a"]
            connections = world.backends.get_pool(server, builders.GROUP)
            self.assertEqual(1, connections.load.capacity)
            for organisation in ("ward-4", "ward-5", "ward-5", "ward-4"):
                deadline_s = trio.current_time() + 1
                pooled = await connections.acquire(organisation, deadline_s)
                self.assertEqual(organisation, pooled.connection.organisation)
                await connections.release(pooled, trio.current_time())
            opened = [item.organisation for item in world.instances["a"].connections]
            self.assertEqual(["ward-4", "ward-5", "ward-4"], opened)
            self.assertEqual(1, connections.open_count)

        virtual_time.run(body)
