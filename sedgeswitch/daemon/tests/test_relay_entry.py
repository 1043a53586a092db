"""Tests that an entry host uses the regions of its settings and limits cold instances.

They guard against parts that work alone, but that the entry host does not connect.
"""

import unittest

import loguru
import trio

from sedgeswitch.daemon.tests import relay_builders
from sedgeswitch.drivers import sessions
from sedgeswitch.membership import machine
from sedgeswitch.relay import cold_instances
from sedgeswitch.relay import context
from sedgeswitch.routing import eligibility
from sedgeswitch.utils.tests import virtual_time


def setUpModule():
    loguru.logger.disable("sedgeswitch")


def tearDownModule():
    loguru.logger.enable("sedgeswitch")


class RelayEntryTest(unittest.TestCase):
    def run_entry(self, body, **options):
        async def main():
            document = relay_builders.build_document(3, {"draw": ("koshi",)}, **options)
            entry = relay_builders.build_entry(document)
            await body(entry)

        virtual_time.run(main)

    def test_regions_of_the_settings_restrict_statements(self):
        async def body(entry):
            restrictions = entry._components.get_restrictions()._replace(
                allowed_regions=frozenset(["koshi"])
            )
            for zone, reason in (
                ("koshi-a", None),
                ("bagmati-a", "it is outside the allowed regions"),
            ):
                item = relay_builders.build_server("a", zone)
                found = eligibility.find_exclusion(item, restrictions)
                self.assertEqual(reason, found)

        self.run_entry(body)

    def test_statement_without_an_allowed_instance_is_refused(self):
        async def body(entry):
            relay_builders.announce(
                entry, relay_builders.build_server("a", "bagmati-a")
            )
            access = context.accesses.Access(
                entry.databases.document.databases["draw"],
                "public",
                False,
                3,
                1.0,
                frozenset(["koshi"]),
            )
            with self.assertRaises(context.steps.FailedError) as caught:
                context.check_any_eligible(entry._components, access)
            self.assertIs(sessions.Failure.OVERLOADED, caught.exception.failure)

        self.run_entry(body)

    def test_holder_and_forwarder_limit_cold_instances(self):
        async def body(entry):
            cold = relay_builders.build_server("a", "bagmati-a", is_cold=True)
            relay_builders.announce(entry, cold)
            self.assertEqual(1, entry.get_gauges()["cold_instances"])
            deadline_s = trio.current_time() + 1.0
            for connector in (entry.forwarder, entry.holder._components.connector):
                # No members are known yet, so that this host is not a holder.
                with self.assertRaises(cold_instances.ColdInstanceError):
                    await connector.acquire(cold, "ward", deadline_s)
            relay_builders.announce(entry, cold._replace(is_cold=False))
            self.assertEqual(0, entry.get_gauges()["cold_instances"])

        self.run_entry(body, cold_start_s=6.0, cold_rate_per_s=8.0)

    def test_holder_has_its_share_of_the_rate(self):
        async def body(entry):
            members = [
                machine.Member(f"host-{number}", "1", "bagmati-a", "10.1.0.1", 7000)
                for number in (1, 2)
            ]
            entry._set_members(1, members, 0.0)
            cold = relay_builders.build_server("a", "bagmati-a", is_cold=True)
            relay_builders.announce(entry, cold)
            for _ in range(9):
                await entry._cold.take("a", trio.current_time() + 5.0, True)
            # Eight statements per second for two holders.
            self.assertAlmostEqual(2.0, trio.current_time(), delta=0.1)

        self.run_entry(body, cold_start_s=6.0, cold_rate_per_s=8.0)

    def test_group_without_a_limit_has_no_cold_instances(self):
        async def body(entry):
            cold = relay_builders.build_server("a", "bagmati-a", is_cold=True)
            relay_builders.announce(entry, cold)
            self.assertEqual(0, entry.get_gauges()["cold_instances"])

        self.run_entry(body)


if __name__ == "__main__":
    unittest.main()
