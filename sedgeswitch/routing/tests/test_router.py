"""Tests of what a host makes of reports that are old, absent or contradictory."""

import math
import random
import unittest

from sedgeswitch.membership import directory
from sedgeswitch.pools import pool
from sedgeswitch.routing import candidates
from sedgeswitch.routing import health
from sedgeswitch.routing import overflow
from sedgeswitch.routing import policies
from sedgeswitch.routing import reports
from sedgeswitch.routing import router
from sedgeswitch.routing.tests import builders

PLACES = [builders.build_place("near", 0), builders.build_place("far", 2)]
REPLICAS = ["near", "far"]


def build_router(**reported):
    host = router.Router("host-1")
    for instance, demand in reported.items():
        for holder in ("h-1", "h-2"):
            report = builders.build_report(demand)
            host.reports.record(instance, holder, report, 0.0)
    return host


class RouterTest(unittest.TestCase):
    def test_no_decision_without_any_report(self):
        self.assertIsNone(router.Router("host-1").choose(PLACES, REPLICAS, 0.0))

    def test_no_decision_after_reports_stopped(self):
        """The pattern: reports that stop."""
        host = build_router(near=1.2, far=0.2)
        self.assertIsNotNone(host.choose(PLACES, REPLICAS, 0.0))
        self.assertIsNone(host.choose(PLACES, REPLICAS, reports.MAX_AGE_S + 1))

    def test_decision_is_kept_for_an_interval(self):
        host = build_router(near=1.2, far=0.2)
        first = host.choose(PLACES, REPLICAS, 0.0)
        self.assertIs(first, host.choose(PLACES, REPLICAS, 0.2))
        self.assertIsNot(first, host.choose(PLACES, REPLICAS, 0.6))

    def test_false_verdict_of_one_holder_ejects_nothing(self):
        """The pattern: a false health answer."""
        host = build_router(near=0.3, far=0.3)
        false = builders.build_report(0.3, is_unhealthy=True)
        host.reports.record("near", "h-1", false, 0.0)
        self.assertEqual(1.0, host.choose(PLACES, REPLICAS, 0.1).shares["near"])

    def test_verdict_of_most_holders_leaves_only_probes(self):
        host = build_router(near=0.3, far=0.3)
        host.set_holders_unhealthy({"near": 2})
        shares = host.choose(PLACES, REPLICAS, 0.1).shares
        self.assertEqual({"near": 0.01, "far": 0.99}, shares)

    def test_only_usable_instance_is_not_ejected(self):
        host = build_router(near=0.3)
        host.set_holders_unhealthy({"near": 2})
        shares = host.choose(PLACES[:1], REPLICAS, 0.1).shares
        self.assertEqual({"near": 1.0}, shares)

    def test_read_without_another_choice_is_no_return_of_an_ejected_instance(self):
        """Guards against a return that is slowed down as if the instance flapped."""
        host = build_router(near=0.3, far=0.3)
        host.set_holders_unhealthy({"near": 2})
        for step in range(4):
            host.choose(PLACES, REPLICAS, 0.1 + step)
            host.choose(PLACES[:1], REPLICAS, 0.2 + step)
        host.set_holders_unhealthy({})
        host.choose(PLACES, REPLICAS, 5.0)
        end_s = 5.0 + health.RAMP_S
        host.reports.record("near", "h-1", builders.build_report(0.3), end_s)
        returned = host.choose(PLACES, REPLICAS, end_s)
        self.assertGreater(returned.shares["near"], 0.9)

    def test_instance_returns_slowly_after_its_verdict(self):
        host = build_router(near=0.3, far=0.3)
        host.set_holders_unhealthy({"near": 2})
        host.choose(PLACES, REPLICAS, 0.1)
        host.set_holders_unhealthy({})
        early = host.choose(PLACES, REPLICAS, 1.0).shares["near"]
        later = host.choose(PLACES, REPLICAS, 6.0).shares["near"]
        self.assertLess(early, 0.2)
        self.assertGreater(later, 0.4)


class ReportTest(unittest.TestCase):
    def test_weight_of_a_report_falls_with_its_age(self):
        """The pattern: reports 2 s old, and older."""
        table = reports.ReportTable()
        table.record("i", "h", builders.build_report(1.5), 0.0)
        utilisations = [
            table.get_view("i", 5, 0.02, now_s).utilisation
            for now_s in (0.0, 2.0, 9.0, 20.0)
        ]
        self.assertEqual(sorted(utilisations, reverse=True), utilisations)
        self.assertEqual(1.0, utilisations[1])
        self.assertEqual(reports.ASSUMED_UTILISATION, utilisations[3])

    def test_contradictory_reports_are_averaged(self):
        """The pattern: reports that contradict each other."""
        table = reports.ReportTable()
        table.record("i", "h-1", builders.build_report(0.2), 0.0)
        table.record("i", "h-2", builders.build_report(1.0), 0.0)
        self.assertAlmostEqual(0.6, table.get_view("i", 5, 0.02, 0.0).utilisation)

    def test_impossible_reports_are_ignored(self):
        table = reports.ReportTable()
        for changes in (
            {"slots": 0}, {"running": -1}, {"holders": 0}, {"service_s": math.inf},
            {"failed_share": 2.0}, {"demand": -1.0}, {"waiting": 10**9},
        ):  # fmt: skip
            table.record("i", "h", builders.build_report(**changes), 0.0)
        self.assertEqual(math.inf, table.get_view("i", 5, 0.02, 0.0).age_s)

    def test_report_without_demand_is_judged_by_running_and_waiting(self):
        idle = builders.build_report(None, running=0.2)
        full = builders.build_report(None, running=2.5, waiting=20)
        self.assertLess(reports.get_demand(idle), 0.2)
        self.assertGreater(reports.get_demand(full), 0.95)

    def test_clock_step_back_does_not_raise(self):
        table = reports.ReportTable()
        table.record("i", "h", builders.build_report(), 100.0)
        table.record("i", "h", builders.build_report(), 50.0)
        self.assertEqual(0.0, table.get_view("i", 5, 0.02, 40.0).age_s)


class OverflowTest(unittest.TestCase):
    def count(self, host, loads, seconds=30):
        counts = dict.fromkeys(loads, 0)
        rng = random.Random(1)
        for step in range(seconds * 20):
            now_s = step * 0.05
            for holder, load in loads.items():
                report = builders.build_report(running=load, holders=len(loads))
                host.reports.record("i", holder, report, now_s)
            chosen = host.choose_holder("i", 5, list(loads), rng.random, now_s)
            counts[chosen] += 1
        return counts

    def test_first_holder_takes_all_up_to_the_bound(self):
        counts = self.count(router.Router("x"), {"a": 3, "b": 2, "c": 1})
        self.assertEqual(0, counts["b"] + counts["c"])

    def test_next_holder_takes_some_beyond_the_bound(self):
        counts = self.count(router.Router("x"), {"a": 20, "b": 2, "c": 2})
        self.assertGreater(counts["b"], 100)
        self.assertGreater(counts["a"], 10)

    def test_without_reports_first_holder_takes_all(self):
        host = router.Router("x")
        chosen = {
            host.choose_holder("i", 5, ["a", "b"], lambda: 0.99, n) for n in range(9)
        }
        self.assertEqual({"a"}, chosen)

    def test_kept_share_settles_at_the_limit(self):
        """Guards against a holder that is alternately flooded and idle."""
        kept, demand = 1.0, 20.0
        for _ in range(100):
            limit = overflow.get_limit([demand * kept, demand * (1 - kept), 2.0])
            kept = overflow.decide_kept_share(kept, demand * kept, limit, 0.1)
        self.assertAlmostEqual(limit, demand * kept, delta=0.5)


class PolicyTest(unittest.TestCase):
    def order(self, first_share, second_share):
        load = pool.PoolLoad(10, 0, 0, 1, 0.02, 0.0)
        eligible = [
            candidates.Candidate(
                directory.BackendServer(name, "g", name, 1, "z", {}, 3, 60),
                False, load, 0.001, share,
            )
            for name, share in (("a", first_share), ("b", second_share))
        ]  # fmt: skip
        order = policies.get_policy(policies.LOCAL_FIRST)
        rng = random.Random(1)
        return [order(eligible, rng)[0].server.instance for _ in range(1000)]

    def test_instances_are_drawn_by_their_shares(self):
        self.assertAlmostEqual(250, self.order(0.75, 0.25).count("b"), delta=60)

    def test_without_reports_it_is_as_today(self):
        self.assertAlmostEqual(500, self.order(None, None).count("b"), delta=80)


if __name__ == "__main__":
    unittest.main()
