"""Tests of the rate of statements to cold instances, and of suspected restarts."""

import itertools
import math
import random
import unittest

from sedgeswitch.admission import cold_start

# Tolerance of the platform in each second: this factor and these further statements.
OVERAGE = 1.5
SLACK = 5


def list_sent(share_per_s, until_s, step_s=0.001, offset_s=0.0):
    """Return when a holder sends that always has a statement waiting."""
    bucket = cold_start.Bucket()
    sent = []
    for step in range(int(until_s / step_s)):
        now_s = offset_s + step * step_s
        taken = cold_start.take(bucket, share_per_s, now_s)
        if taken is not None:
            bucket = taken
            sent.append(now_s)
    return sent


def count_in_busiest_second(sent):
    ordered = sorted(sent)
    return max(
        sum(1 for other_s in ordered[first:] if other_s < start_s + 1.0)
        for first, start_s in enumerate(ordered)
    )


class RateTest(unittest.TestCase):
    def test_holder_sends_its_share_without_a_burst(self):
        share_per_s = cold_start.get_share_per_s(20.0, 4)
        sent = list_sent(share_per_s, 10.0)
        self.assertAlmostEqual(50, len(sent), delta=1)
        gaps = [later_s - s for s, later_s in itertools.pairwise(sent)]
        self.assertGreaterEqual(min(gaps), 1 / share_per_s - 0.0011)

    def test_idle_holder_saves_one_token_only(self):
        bucket = cold_start.take(cold_start.Bucket(), 2.0, 0.0)
        bucket = cold_start.take(bucket, 2.0, 1000.0)
        self.assertIsNone(cold_start.take(bucket, 2.0, 1000.4))
        self.assertAlmostEqual(0.1, cold_start.get_wait_s(bucket, 2.0, 1000.4))
        self.assertIsNotNone(cold_start.take(bucket, 2.0, 1000.5))

    def test_host_that_is_no_holder_gets_no_token(self):
        share_per_s = cold_start.get_share_per_s(20.0, 0)
        self.assertIsNone(cold_start.take(cold_start.Bucket(), share_per_s, 5.0))
        wait_s = cold_start.get_wait_s(cold_start.Bucket(), share_per_s, 5.0)
        self.assertEqual(math.inf, wait_s)

    def test_clock_that_steps_back_gives_no_tokens(self):
        bucket = cold_start.take(cold_start.Bucket(), 4.0, 100.0)
        self.assertIsNone(cold_start.take(bucket, 4.0, 0.0))

    def count_together(self, shares, rng):
        """Return the most statements of all hosts together in one second."""
        sent = []
        for share_per_s in shares:
            sent += list_sent(share_per_s, 3.0, offset_s=rng.random())
        return count_in_busiest_second(sent)

    def test_holders_that_agree_stay_near_the_rate(self):
        rng = random.Random(1)
        for rate_per_s, holders in itertools.product((1, 3, 10, 25), (1, 2, 3, 4)):
            with self.subTest(rate_per_s=rate_per_s, holders=holders):
                share_per_s = cold_start.get_share_per_s(rate_per_s, holders)
                count = self.count_together([share_per_s] * holders, rng)
                self.assertLessEqual(count, rate_per_s + holders)

    def test_hosts_that_disagree_about_holders_stay_within_the_margin(self):
        """Half as many hosts again believe that they are holders."""
        rng = random.Random(2)
        for rate_per_s, (holders, believing) in itertools.product(
            (1, 2, 5, 10, 25), ((2, 3), (3, 4), (4, 5), (4, 6))
        ):
            with self.subTest(rate_per_s=rate_per_s, holders=holders):
                share_per_s = cold_start.get_share_per_s(rate_per_s, holders)
                count = self.count_together([share_per_s] * believing, rng)
                self.assertLessEqual(count, rate_per_s * OVERAGE + SLACK)

    def test_host_that_joins_a_single_holder_stays_within_the_margin(self):
        """The first host does not know yet that it shares the rate."""
        rng = random.Random(3)
        for rate_per_s in (1, 5, 10, 25):
            with self.subTest(rate_per_s=rate_per_s):
                shares = [cold_start.get_share_per_s(rate_per_s, n) for n in (1, 2)]
                count = self.count_together(shares, rng)
                self.assertLessEqual(count, rate_per_s * OVERAGE + SLACK)


class RestartTest(unittest.TestCase):
    """Times are in seconds; an instance is cold for 6 s after its start."""

    COLD_START_S = 6.0

    def is_suspected(self, evidence, now_s):
        return cold_start.is_restart_suspected(evidence, self.COLD_START_S, now_s)

    def test_nothing_is_suspected_at_first(self):
        self.assertFalse(self.is_suspected(cold_start.Evidence(), 1000.0))

    def test_loss_of_all_connections_is_a_restart_for_the_cold_time(self):
        evidence = cold_start.record_loss(cold_start.Evidence(), 9.0, 10.0)
        self.assertTrue(self.is_suspected(evidence, 10.0))
        self.assertTrue(self.is_suspected(evidence, 15.9))
        self.assertFalse(self.is_suspected(evidence, 16.0))

    def test_earlier_connection_that_still_works_shows_no_restart(self):
        evidence = cold_start.record_loss(cold_start.Evidence(), 9.0, 10.0)
        evidence = cold_start.record_reply(evidence, 8.0, 10.1)
        self.assertFalse(self.is_suspected(evidence, 10.2))

    def test_reply_that_leaves_a_restart_possible_shows_nothing(self):
        """The instance may have restarted from 9 s, when the lost one worked."""
        lost = cold_start.record_loss(cold_start.Evidence(), 9.0, 10.0)
        for name, opened_s, sent_s in (
            ("opened after the loss", 10.1, 10.2),
            ("opened after the restart", 9.5, 10.2),
            ("sent before the loss", 8.0, 9.9),
        ):
            with self.subTest(name):
                evidence = cold_start.record_reply(lost, opened_s, sent_s)
                self.assertTrue(self.is_suspected(evidence, 10.2))

    def test_several_losses_need_a_connection_from_before_all(self):
        evidence = cold_start.record_loss(cold_start.Evidence(), 5.0, 10.0)
        evidence = cold_start.record_loss(evidence, 9.0, 10.1)
        evidence = cold_start.record_reply(evidence, 8.0, 10.2)
        self.assertTrue(self.is_suspected(evidence, 10.3))
        evidence = cold_start.record_reply(evidence, 4.0, 10.2)
        self.assertFalse(self.is_suspected(evidence, 10.3))

    def test_newer_announcement_decides(self):
        lost = cold_start.record_loss(cold_start.Evidence(), 9.0, 10.0)
        for is_cold in (False, True):
            evidence = cold_start.record_announcement(lost, is_cold, 11.0)
            self.assertFalse(self.is_suspected(evidence, 11.0))

    def test_idle_connections_closed_by_an_announced_start_are_no_new_start(self):
        """Guards against an instance that turns cold again when it is first used."""
        evidence = cold_start.record_announcement(cold_start.Evidence(), True, 10.0)
        evidence = cold_start.record_announcement(evidence, False, 16.0)
        evidence = cold_start.record_loss(evidence, 9.0, 60.0)
        self.assertFalse(self.is_suspected(evidence, 60.0))

    def test_second_restart_is_suspected_again(self):
        evidence = cold_start.record_announcement(cold_start.Evidence(), True, 10.0)
        evidence = cold_start.record_announcement(evidence, False, 16.0)
        evidence = cold_start.record_loss(evidence, 17.0, 18.0)
        self.assertTrue(self.is_suspected(evidence, 18.0))


if __name__ == "__main__":
    unittest.main()
