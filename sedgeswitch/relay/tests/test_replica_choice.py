"""Tests of which replica a read goes to in a fleet of several regions.

The pattern: hosts in zones without an instance of their own, whose region has a replica
in another zone. Bytes between regions are dear, and the round trip is longer.
"""

import random
import unittest

import trio

from sedgeswitch.admission import fair_queue
from sedgeswitch.drivers import sessions
from sedgeswitch.membership import directory
from sedgeswitch.pools import pool
from sedgeswitch.relay.tests import builders
from sedgeswitch.routing import policies
from sedgeswitch.statements import backends
from sedgeswitch.utils.tests import virtual_time

REGIONS = {"bagmati-a": "bagmati", "bagmati-b": "bagmati", "koshi-a": "koshi"}
IDLE = pool.PoolLoad(10, 0, 0, 1, 0.02, 0.0)


def build_server(name, zone):
    return directory.BackendServer(name, "lots", name, 80, zone, {}, 3, 128)


def build_backends(regions):
    return backends.Backends(
        directory.EntryDirectory(),
        None,
        lambda capacity: fair_queue.FairQueue(capacity, 100),
        lambda server: False,
        backends.BackendOptions(
            "bagmati-b",
            1000,
            policies.DEFAULT_POLICY,
            pool.PoolSettings(),
            region_by_zone=regions,
        ),
        random.Random(1),
    )


class RegionTest(unittest.TestCase):
    SERVERS = (build_server("far", "koshi-a"), build_server("near", "bagmati-a"))

    def list_first(self, regions, get_load=lambda server: IDLE):
        host = build_backends(regions)
        return {
            host.order_replicas(list(self.SERVERS), "primary", get_load)[0].instance
            for _ in range(20)
        }

    def test_replica_in_region_of_host_comes_first(self):
        self.assertEqual({"near"}, self.list_first(REGIONS))

    def test_unknown_regions_are_equally_far(self):
        self.assertEqual({"near", "far"}, self.list_first({}))

    def test_slow_replica_in_region_is_left_for_another(self):
        def get_load(server):
            is_near = server.instance == "near"
            return IDLE._replace(service_s=0.5 if is_near else 0.02)

        self.assertEqual({"far"}, self.list_first(REGIONS, get_load))


class NearPrimaryTest(unittest.TestCase):
    """Reads of callers in the region of a primary, whose replicas are in others.

    Without the primary as a candidate, each of them crosses a region twice.
    """

    def build_world(self, reads_near_primary=True):
        world = builders.World()
        for name in ("b", "c"):
            server = world.servers.servers[name]
            world.servers.servers[name] = server._replace(availability_zone="koshi")
        world.servers._by_group = {}
        world.components = world.components._replace(
            reads_near_primary=reads_near_primary
        )
        return world

    async def read(self, world, database="bounded"):
        caller = world.build_session(database)
        await builders.run_texts(world.build_session(), b"READ 1")
        for instance in world.instances.values():
            instance.ran.clear()
        (outcome,) = await builders.run_texts(caller, b"READ 2")
        return outcome, [name for name, item in world.instances.items() if item.ran]

    def test_primary_in_region_runs_read(self):
        async def test():
            outcome, ran = await self.read(self.build_world())
            self.assertIsNone(outcome.failure)
            self.assertEqual(["a"], ran)

        virtual_time.run(test)

    def test_without_the_setting_a_replica_runs_read(self):
        async def test():
            _, ran = await self.read(self.build_world(reads_near_primary=False))
            self.assertNotIn("a", ran)

        virtual_time.run(test)

    def test_primary_that_rejects_leaves_read_to_replica(self):
        async def test():
            world = self.build_world()
            world.instances["a"].failures = []
            await builders.run_texts(world.build_session(), b"READ 1")
            world.instances["a"].failures = [sessions.Failure.OVERLOADED]
            (outcome,) = await builders.run_texts(
                world.build_session("bounded"), b"READ 2"
            )
            self.assertIsNone(outcome.failure)
            self.assertNotIn(outcome.signature, (b"", b"signed-a"))

        virtual_time.run(test)

    def test_frozen_primary_leaves_read_to_replica(self):
        async def test():
            world = self.build_world()
            await builders.run_texts(world.build_session(), b"READ 1")
            world.instances["a"].is_frozen = True
            (outcome,) = await builders.run_texts(
                world.build_session("bounded"), b"READ 2"
            )
            self.assertIsNone(outcome.failure)
            self.assertNotIn(outcome.signature, (b"", b"signed-a"))

        virtual_time.run(test)

    def test_read_that_ended_after_its_permit_is_run_elsewhere(self):
        async def test():
            world = self.build_world()
            await builders.run_texts(world.build_session(), b"READ 1")
            world.instances["a"].is_frozen = True
            async with trio.open_nursery() as nursery:

                async def replace_primary():
                    await trio.sleep(0.02)
                    world.promote("b", 2, 2)
                    world.instances["a"].is_frozen = False

                nursery.start_soon(replace_primary)
                (outcome,) = await builders.run_texts(
                    world.build_session("bounded"), b"READ 2"
                )
            self.assertIsNone(outcome.failure)
            self.assertNotEqual(b"signed-a", outcome.signature)

        virtual_time.run(test)


if __name__ == "__main__":
    unittest.main()
