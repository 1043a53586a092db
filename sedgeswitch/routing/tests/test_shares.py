"""Tests of when statements leave the zone, how many, and when they return."""

import unittest

from sedgeswitch.routing import shares
from sedgeswitch.routing import waits
from sedgeswitch.routing.tests import builders

AT_HOME = {"near": 1.0, "region": 0.0, "far": 0.0}


def build_options(near, region=0.2, far=0.2, age_s=0.0):
    return [
        builders.build_option("near", 0, near, age_s),
        builders.build_option("region", 1, region, age_s),
        builders.build_option("far", 2, far, age_s),
    ]


def settle(options, present, seconds=60.0, step_s=0.25):
    """Return the shares after a time in which the reports do not change."""
    for _ in range(int(seconds / step_s)):
        present = shares.decide_shares(options, present, step_s)
    return present


class LeavingTest(unittest.TestCase):
    def test_nothing_leaves_while_nearest_is_not_busy(self):
        self.assertEqual(
            AT_HOME, shares.decide_shares(build_options(0.5), AT_HOME, 1.0)
        )

    def test_zone_is_left_before_region(self):
        changed = shares.decide_shares(build_options(1.0), AT_HOME, 0.25)
        self.assertGreater(changed["region"], 0.0)
        self.assertEqual(0.0, changed["far"])

    def test_region_is_left_when_it_is_full(self):
        changed = shares.decide_shares(build_options(1.1, 1.1), AT_HOME, 0.25)
        self.assertEqual(0.0, changed["region"])
        self.assertGreater(changed["far"], 0.0)

    def test_share_is_continuous_function_of_reported_demand(self):
        """Guards against a jump that 92 hosts would make together."""
        left = [
            1 - shares.decide_shares(build_options(n / 1000), AT_HOME, 0.25)["near"]
            for n in range(1500)
        ]
        steps = [b - a for a, b in zip(left, left[1:], strict=False)]
        self.assertGreater(max(left), 0.02)
        self.assertLess(max(steps), 0.002)
        self.assertGreater(min(steps), -0.002)

    def test_one_decision_moves_only_part_of_what_equalises(self):
        options = build_options(1.3)
        after_idle = shares.decide_shares(options, AT_HOME, 1000.0)
        self.assertGreater(after_idle["near"], 0.5)

    def test_older_reports_need_a_longer_wait(self):
        fresh = shares.decide_shares(build_options(0.68), AT_HOME, 0.25)
        old = shares.decide_shares(build_options(0.68, age_s=5.0), AT_HOME, 0.25)
        self.assertLess(fresh["near"], 1.0)
        self.assertEqual(AT_HOME, old)

    def test_nearest_keeps_a_few_statements_that_report_on_it(self):
        kept = settle(build_options(1.5), AT_HOME)["near"]
        self.assertGreaterEqual(kept, shares.MIN_STAYING_SHARE)

    def test_shares_add_up_to_one(self):
        present = AT_HOME
        for near, region in ((1.5, 0.2), (0.4, 1.2), (0.1, 0.1), (1.1, 1.1)):
            present = settle(build_options(near, region), present, 5.0)
            self.assertAlmostEqual(1.0, sum(present.values()))
            self.assertGreaterEqual(min(present.values()), 0.0)


class ReturnTest(unittest.TestCase):
    LEFT = {"near": 0.6, "region": 0.4, "far": 0.0}

    def test_statements_return_when_nearest_is_better(self):
        returned = settle(build_options(0.3), self.LEFT)
        self.assertAlmostEqual(1.0, returned["near"])
        self.assertEqual((0.0, 0.0), (returned["region"], returned["far"]))

    def test_statements_of_the_other_region_return_first(self):
        present = {"near": 0.6, "region": 0.2, "far": 0.2}
        changed = shares.decide_shares(build_options(0.6, 0.6, 0.6), present, 0.25)
        self.assertLess(changed["far"], 0.2)
        self.assertEqual(0.2, changed["region"])

    def test_shares_do_not_change_between_both_thresholds(self):
        """Guards against a share that follows the noise of reports (hysteresis)."""
        unchanged = [
            n
            for n in range(500, 950)
            if shares.decide_shares(build_options(n / 1000, 0.5), self.LEFT, 0.25)
            == self.LEFT
        ]
        self.assertGreater(len(unchanged), 10)
        self.assertEqual(len(unchanged), unchanged[-1] - unchanged[0] + 1)


class WaitTest(unittest.TestCase):
    def test_wait_is_continuous_and_grows(self):
        waits_s = [waits.get_wait_s(n / 1000, 5, 0.03) for n in range(1, 1500)]
        steps = [b - a for a, b in zip(waits_s, waits_s[1:], strict=False)]
        self.assertGreaterEqual(min(steps), 0.0)
        # The steepest part is 1 / (1 - LINEAR_FROM) ** 2 service times over five slots.
        self.assertLess(max(steps), 0.0025)

    def test_utilisation_is_found_again_from_the_load(self):
        for utilisation in (0.1, 0.5, 0.9, 1.0):
            running = min(utilisation, waits.LINEAR_FROM) * 5
            load = running + waits.get_queue(utilisation, 5)
            self.assertAlmostEqual(
                utilisation, waits.estimate_utilisation(load, 5), places=4
            )


class TableTest(unittest.TestCase):
    def test_equally_near_instances_share_evenly(self):
        table = shares.ShareTable()
        options = [builders.build_option(name, 1) for name in ("a", "b")]
        self.assertEqual({"a": 0.5, "b": 0.5}, table.decide(options, 0.0))

    def test_number_of_kept_sets_is_bounded(self):
        table = shares.ShareTable()
        for number in range(shares.MAX_SETS + 10):
            table.decide([builders.build_option(f"i-{number}", 0)], 0.0)
        self.assertEqual(shares.MAX_SETS, len(table._kept))


if __name__ == "__main__":
    unittest.main()
