"""Tests of verdicts about instances, of ejection, probes and the return."""

import unittest

from sedgeswitch.routing import health


def observe(judge, outcomes, from_s=0.0, step_s=0.05):
    for number, is_failure in enumerate(outcomes):
        judge.record("i", is_failure, from_s + number * step_s)
    return from_s + len(outcomes) * step_s


class JudgeTest(unittest.TestCase):
    def setUp(self):
        self.judge = health.Judge()

    def is_unhealthy(self, now_s):
        return self.judge.is_unhealthy("i", now_s)

    def test_instance_that_fails_a_third_is_unhealthy(self):
        now_s = observe(self.judge, [False, False, True] * 10)
        self.assertTrue(self.is_unhealthy(now_s))

    def test_few_failures_are_no_verdict(self):
        now_s = observe(self.judge, [True] * 3)
        self.assertFalse(self.is_unhealthy(now_s))

    def test_verdict_ends_with_useful_answers(self):
        now_s = observe(self.judge, [True] * 20)
        self.assertTrue(self.is_unhealthy(now_s))
        now_s = observe(self.judge, [False] * 10, now_s + 15.0)
        self.assertFalse(self.is_unhealthy(now_s))

    def test_verdict_ends_without_observations(self):
        """Guards against an instance that nobody tries again."""
        now_s = observe(self.judge, [True] * 20)
        self.assertFalse(self.is_unhealthy(now_s + health.FORGET_S + 1))

    def test_hanging_statements_are_noticed_before_their_deadline(self):
        for _ in range(3):
            self.judge.start("i", 0.0)
        self.assertFalse(self.is_unhealthy(0.3))
        self.assertTrue(self.is_unhealthy(0.6))

    def test_one_slow_statement_among_answers_is_not_a_hang(self):
        self.judge.start("i", 0.0)
        now_s = observe(self.judge, [False] * 40)
        self.assertFalse(self.is_unhealthy(now_s))

    def test_time_out_at_an_overloaded_instance_is_no_failure(self):
        """Guards against the ejection of busy instances, one after the other."""
        now_s = observe(self.judge, [False] * 40)
        for _ in range(30):
            self.judge.record_no_answer("i", 0.5, now_s)
        self.assertFalse(self.is_unhealthy(now_s))

    def test_time_out_without_any_answer_since_is_a_failure(self):
        for _ in range(10):
            self.judge.record_no_answer("i", 0.0, 1.0)
        self.assertTrue(self.is_unhealthy(1.1))


class RulesTest(unittest.TestCase):
    def test_one_of_three_may_be_ejected_and_never_the_last(self):
        self.assertEqual(
            [0, 1, 1, 1, 1, 2], [*map(health.get_ejected_max, range(1, 7))]
        )
        for eligible in (["a"], ["a", "b"]):
            unhealthy = dict.fromkeys(eligible, 0.5)
            self.assertFalse(health.select_ejected(unhealthy, eligible, 3))

    def test_worst_of_two_unhealthy_instances_is_ejected(self):
        ejected = health.select_ejected({"a": 0.3, "b": 0.9}, ["a", "b", "c"], 3)
        self.assertEqual({"b"}, ejected)

    def test_most_holders_must_agree(self):
        self.assertFalse(health.is_agreed(1, 2))
        self.assertTrue(health.is_agreed(2, 3))
        self.assertFalse(health.is_agreed(1, 0))

    def test_two_that_flap_in_turn_do_not_leave_all_load_to_the_third(self):
        parts = {"a": 0.1, "b": 0.4, "c": 1.0}
        self.assertEqual({"a": 0.1, "b": 1.0, "c": 1.0}, health.limit_parts(parts, 1))
        self.assertEqual({1.0}, set(health.limit_parts(parts, 0).values()))

    def test_slowness_is_relative_to_the_group(self):
        self.assertTrue(health.is_slow(0.5, [0.03, 0.04]))
        self.assertFalse(health.is_slow(0.15, [0.03, 0.03]))
        self.assertFalse(health.is_slow(0.5, [0.4, 0.4]))
        self.assertFalse(health.is_slow(9.0, []))


class ReturnTest(unittest.TestCase):
    def test_share_grows_slowly_after_an_ejection(self):
        table = health.ReturnTable()
        table.update("i", True, 0.0)
        self.assertEqual(0.0, table.get_part("i", 5.0))
        table.update("i", False, 10.0)
        parts = [table.get_part("i", 10.0 + n) for n in (0, 5, 10)]
        self.assertEqual([health.FIRST_RAMP_PART, 0.5, 1.0], parts)

    def test_instance_that_was_removed_is_forgotten(self):
        """Guards against a gauge that counts an ejected instance for ever."""
        table = health.ReturnTable()
        table.update("i", True, 0.0)
        table.drop_old(30.0)
        self.assertEqual(1, table.count_partial(30.0))
        table.drop_old(70.0)
        self.assertEqual(0, table.count_partial(70.0))

    def test_instance_that_flaps_returns_ever_more_slowly(self):
        table = health.ReturnTable()
        parts = []
        for number in range(4):
            table.update("i", True, 10.0 * number)
            table.update("i", False, 10.0 * number + 5)
            parts.append(table.get_part("i", 10.0 * number + 9))
        self.assertEqual(sorted(parts, reverse=True), parts)
        self.assertLess(parts[-1], parts[0])


if __name__ == "__main__":
    unittest.main()
