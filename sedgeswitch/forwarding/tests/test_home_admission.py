"""Tests of admission at the homes of organisations.

The pattern: a large fleet with many organisations, in which each host sees a request of
an organisation so rarely that it holds no token of it.
"""

import unittest

import trio

from sedgeswitch import verdicts
from sedgeswitch.forwarding.tests import builders
from sedgeswitch.utils import checks
from sedgeswitch.utils.tests import virtual_time

# Time for which no leader grants tokens while another one is elected.
ELECTION_S = 0.5
ORGANISATIONS = [f"ward-{number}" for number in range(20)]


def run_in_fleet(body, **options):
    async def main():
        await builders.Fleet(**options).run(body)

    virtual_time.run(main)


def get_home(fleet, host, organisation):
    zone = host.member.availability_zone
    return fleet.hosts[host.placement.order_homes(organisation, zone)[0]]


async def admit(host, organisation, timeout_s=1.0):
    await host.admission.admit(organisation, trio.current_time() + timeout_s)


class ManyHostsTest(unittest.TestCase):
    """Each of 20 organisations has one home in each of two regions."""

    ZONES = ("bagmati", "bagmati-b", "koshi") * 6

    def test_requests_of_all_hosts_are_admitted_at_one_host_a_region(self):
        async def body(fleet):
            for host in fleet.hosts.values():
                for organisation in ORGANISATIONS:
                    await admit(host, organisation)
            for organisation in ORGANISATIONS:
                admitting = [
                    host
                    for host in fleet.hosts.values()
                    if organisation in host.admitted
                ]
                regions = [
                    builders.REGIONS[host.member.availability_zone]
                    for host in admitting
                ]
                self.assertEqual(["bagmati", "koshi"], sorted(regions))

        run_in_fleet(body, zones=self.ZONES)

    def test_home_is_in_region_of_caller(self):
        async def body(fleet):
            host = next(
                x for x in fleet.hosts.values() if x.member.availability_zone == "koshi"
            )
            for organisation in ORGANISATIONS:
                home = get_home(fleet, host, organisation)
                self.assertEqual("koshi", home.member.availability_zone)

        run_in_fleet(body, zones=self.ZONES)


class UnavailableHomeTest(unittest.TestCase):
    def check_admitted_elsewhere(self, change_home, most_s):
        async def body(fleet):
            host = fleet.hosts["host-0"]
            name = next(
                x for x in ORGANISATIONS if get_home(fleet, host, x) is not host
            )
            home = get_home(fleet, host, name)
            change_home(fleet, home)
            started_s = trio.current_time()
            await admit(host, name)
            self.assertLess(trio.current_time() - started_s, most_s)
            self.assertEqual([], home.admitted)
            # The second request does not try the home.
            started_s = trio.current_time()
            await admit(host, name)
            self.assertLess(trio.current_time() - started_s, 0.01)

        run_in_fleet(body)

    def test_dead_home_is_replaced(self):
        self.check_admitted_elsewhere(
            lambda fleet, home: fleet.dead.add(home.member.host_id), 0.01
        )

    def test_frozen_home_is_replaced_within_part_of_the_time(self):
        self.check_admitted_elsewhere(
            lambda fleet, home: fleet.frozen.add(home.member.host_id), 0.8
        )

    def test_home_may_wait_for_a_token_during_an_election(self):
        async def body(fleet):
            host = fleet.hosts["host-0"]
            name = next(
                x for x in ORGANISATIONS if get_home(fleet, host, x) is not host
            )
            home = get_home(fleet, host, name)
            home.token_delay_s = ELECTION_S
            await admit(host, name, timeout_s=0.8)
            self.assertEqual([name], home.admitted)

        run_in_fleet(body)

    def test_leaving_home_is_replaced(self):
        self.check_admitted_elsewhere(lambda fleet, home: home.home.leave(), 0.01)

    def test_home_without_limit_of_organisation_is_replaced(self):
        def change(fleet, home):
            home.refusal = checks.CheckError("organisation", "one with a limit", "x")

        self.check_admitted_elsewhere(change, 0.01)

    def test_host_without_other_hosts_admits_itself(self):
        async def body(fleet):
            host = fleet.hosts["host-0"]
            fleet.dead |= set(fleet.hosts) - {"host-0"}
            for organisation in ORGANISATIONS:
                await admit(host, organisation)
            self.assertEqual(ORGANISATIONS, host.admitted)

        run_in_fleet(body)


class RefusalTest(unittest.TestCase):
    def test_refusal_of_home_reaches_caller_with_its_wait(self):
        async def body(fleet):
            host = fleet.hosts["host-0"]
            name = next(
                x for x in ORGANISATIONS if get_home(fleet, host, x) is not host
            )
            get_home(fleet, host, name).refusal = verdicts.build_not_run(
                429, "rate_exceeded", "used up", 700
            )
            with self.assertRaises(verdicts.RefusedError) as caught:
                await admit(host, name)
            self.assertEqual(700, caught.exception.refusal.retry_after_ms)
            self.assertEqual([], host.admitted)

        run_in_fleet(body)


if __name__ == "__main__":
    unittest.main()
