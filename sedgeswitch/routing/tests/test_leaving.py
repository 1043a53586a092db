"""Tests of 92 hosts that decide alone, in virtual time; each names its pattern.

They guard against hosts that leave their zone together, return together, or keep to an
instance that is of no use. Bounds leave room around what the measurement shows.
"""

import unittest

from sedgeswitch.routing import health
from sedgeswitch.routing import policies
from sedgeswitch.routing.tests import fleet


def run(scenario, policy=policies.LOCAL_FIRST):
    return fleet.Fleet(policy, scenario._replace(run_s=50.0)).run()


def run_fault(*faults, utilisation=0.4):
    scenario = fleet.Scenario("fault", utilisation, faults=faults)
    return run(scenario)


def get_mean(values, from_second):
    """Return the mean share of an instance from a second of the run on."""
    later = values[from_second - 20 :]
    return sum(later) / len(later)


class LoadTest(unittest.TestCase):
    def test_quiet_day_stays_near_and_is_even(self):
        """The pattern: an eighth of the slots is busy."""
        outcome = run(fleet.Scenario("quiet", 0.125, 0.0))
        self.assertLess(outcome.outside_region, 0.01)
        self.assertLess(outcome.busiest, 1.2)

    def test_staggered_waves(self):
        scenario = fleet.Scenario("waves", 0.75)
        outcome, nearest = run(scenario), run(scenario, "nearest")
        self.assertLess(outcome.mean_ms, 0.6 * nearest.mean_ms)
        self.assertLess(outcome.outside_region, 0.3)
        self.assertLess(outcome.oscillation, 0.06)
        self.assertEqual(0, outcome.failed)

    def test_demand_only_in_zones_without_instances(self):
        outcome = run(fleet.Scenario("x", 0.6, zones=fleet.ZONES_WITHOUT))
        self.assertLess(outcome.outside_region, 0.25)
        self.assertLess(outcome.mean_ms, 120.0)

    def test_reports_two_seconds_old(self):
        """The pattern: 92 hosts with reports 2 s old."""
        for changes in ({"report_interval_s": 2.0}, {"report_delay_s": 2.0}):
            outcome = run(fleet.Scenario("old", 0.7, **changes))
            self.assertLess(outcome.oscillation, 0.06)
            self.assertLess(outcome.mean_ms, 130.0)
            self.assertEqual(0, outcome.failed)

    def test_reports_that_stop(self):
        outcome = run(fleet.Scenario("stop", 0.5, reports_stop_s=25.0))
        self.assertEqual(0, outcome.failed)
        self.assertLess(outcome.mean_ms, 80.0)


class FaultTest(unittest.TestCase):
    def test_one_of_three_at_a_fifth_of_its_speed(self):
        """The slow instance keeps about what it can serve, and is not ejected."""
        outcome = run_fault((20, 0, "speed", 0.2), utilisation=0.3)
        share = get_mean(outcome.series["i-0"], 35)
        self.assertLess(share, 0.2)
        self.assertGreater(share, 0.01)

    def test_one_of_three_fails_a_third(self):
        outcome = run_fault((20, 0, "fails", 0.34))
        self.assertLess(get_mean(outcome.series["i-0"], 30), 0.03)
        self.assertEqual(0, outcome.failed)

    def test_one_of_three_hangs(self):
        outcome = run_fault((20, 0, "is_hanging", True))
        self.assertLess(get_mean(outcome.series["i-0"], 26), 0.03)
        self.assertEqual(0, outcome.failed)

    def test_two_instances_that_flap_in_turn(self):
        outcome = run_fault(*fleet.HANGS_IN_TURN, utilisation=0.3)
        self.assertLess(outcome.failed, 0.005)
        self.assertLess(outcome.mean_ms, 250.0)

    def test_false_health_answer_of_one_holder(self):
        outcome = run_fault((10, 0, "claims_unhealthy", [True, False, False]))
        self.assertGreater(get_mean(outcome.series["i-0"], 25), 0.25)

    def test_false_health_answer_of_all_holders_costs_one_instance_at_most(self):
        everywhere = [True] * fleet.HOLDERS
        outcome = run_fault(
            (10, 0, "claims_unhealthy", everywhere),
            (10, 1, "claims_unhealthy", everywhere),
        )
        used = sum(get_mean(values, 25) > 0.05 for values in outcome.series.values())
        self.assertEqual(2, used)
        self.assertEqual(0, outcome.failed)

    def test_instance_that_returns_under_full_load(self):
        outcome = run_fault(
            (0, 0, "is_hanging", True), (25, 0, "is_hanging", False), utilisation=0.55
        )
        returning = outcome.series["i-0"]
        self.assertLess(max(returning[:8]), 0.2)
        self.assertGreater(get_mean(returning, 45), 0.2)
        steps = [b - a for a, b in zip(returning, returning[1:], strict=False)]
        self.assertLess(max(steps), 0.15)
        self.assertLess(outcome.failed, 0.01)


class EjectionTest(unittest.TestCase):
    def test_probes_are_few(self):
        hosts, reads_per_s = fleet.HOSTS, 3
        self.assertLess(hosts * reads_per_s * health.PROBE_SHARE, 5)


if __name__ == "__main__":
    unittest.main()
