"""Tests that statements are forwarded only to hosts in their allowed regions."""

import unittest

import loguru

from sedgeswitch.forwarding.tests import builders
from sedgeswitch.forwarding.tests import test_placement
from sedgeswitch.relay.tests import builders as relay_builders
from sedgeswitch.routing import eligibility
from sedgeswitch.utils.tests import virtual_time


def setUpModule():
    loguru.logger.disable("sedgeswitch")


def tearDownModule():
    loguru.logger.enable("sedgeswitch")


class PlacementTest(unittest.TestCase):
    def test_hosts_outside_the_regions_are_left_out(self):
        # One host in the zone of the instance, so that substitutes are elsewhere.
        hosts = test_placement.build_placement(["koshi", "bagmati", "koshi"])
        location = test_placement.build_location()
        self.assertEqual(3, len(hosts.order_hosts(location, "ward-1")))
        allowed = hosts.order_hosts(location, "ward-1", frozenset(["bagmati"]))
        self.assertEqual(["host-1"], allowed)
        self.assertEqual([], hosts.order_hosts(location, "ward-1", frozenset()))

    def test_host_of_unknown_region_is_left_out(self):
        hosts = test_placement.build_placement(["elsewhere"])
        location = test_placement.build_location()
        self.assertEqual(["host-0"], hosts.order_hosts(location, "ward-1"))
        allowed = hosts.order_hosts(location, "ward-1", frozenset(["bagmati"]))
        self.assertEqual([], allowed)


class ForwardingTest(unittest.TestCase):
    def run_write(self, caller, zones, dead=()):
        """Run a write for bagmati only; return the fleet and the outcome."""
        result = []

        async def main():
            fleet = builders.Fleet(zones)
            fleet.world.restrictions = eligibility.Restrictions(
                region_by_zone=builders.REGIONS
            )
            fleet.world.restrict(2, ("bagmati",))
            fleet.dead |= set(dead)

            async def body(fleet):
                session = fleet.hosts[caller].build_session()
                result.extend(await relay_builders.run_texts(session, b"WRITE x 1"))

            await fleet.run(body)
            result.append(fleet)

        virtual_time.run(main)
        outcome, fleet = result
        self.assertIsNone(outcome.failure, outcome.detail)
        return fleet

    def test_caller_outside_the_regions_uses_a_holder_inside(self):
        fleet = self.run_write("host-0", ("koshi", "bagmati", "koshi"))
        self.assertEqual({"host-1"}, {callee for _, callee, _ in fleet.calls})

    def test_substitute_outside_the_regions_is_not_used(self):
        """Without a holder in the regions, the caller's host connects itself."""
        fleet = self.run_write("host-0", ("koshi", "bagmati", "koshi"), ["host-1"])
        self.assertEqual([], fleet.calls)
        self.assertEqual(1, fleet.count_connections())

    def test_regions_without_a_host_use_own_connections_of_the_caller(self):
        fleet = self.run_write("host-2", ("koshi", "koshi", "koshi", "koshi"))
        self.assertEqual([], fleet.calls)
        self.assertEqual(1, fleet.count_connections())


if __name__ == "__main__":
    unittest.main()
