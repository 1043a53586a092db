"""Tests of pauses between attempts."""

import random
import unittest

from sedgeswitch.utils import backoff


class BackoffTest(unittest.TestCase):
    def test_pauses_grow_up_to_the_longest_and_differ(self):
        given = backoff.Backoff(0.05, 0.25, random.Random(1))
        drawn = [given.next_delay_s() for _ in range(20)]
        self.assertLessEqual(drawn[0], 0.05)
        self.assertLessEqual(max(drawn), 0.25)
        self.assertGreaterEqual(min(drawn[5:]), 0.125)
        self.assertGreater(len(set(drawn[5:])), 10)

    def test_success_starts_anew(self):
        given = backoff.Backoff(0.05, 0.25, random.Random(1))
        for _ in range(5):
            given.next_delay_s()
        given.reset()
        self.assertLessEqual(given.next_delay_s(), 0.05)


if __name__ == "__main__":
    unittest.main()
