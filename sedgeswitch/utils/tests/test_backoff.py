"""Tests of exponential backoff."""

import random
import unittest

from sedgeswitch.utils import backoff


class BackoffTest(unittest.TestCase):
    def test_delays_grow_to_the_maximum_with_jitter(self):
        delays = backoff.Backoff(0.05, 0.25, random.Random(1))
        delays_s = [delays.next_delay_s() for _ in range(20)]
        self.assertLessEqual(delays_s[0], 0.05)
        self.assertLessEqual(max(delays_s), 0.25)
        self.assertGreaterEqual(min(delays_s[5:]), 0.125)
        self.assertGreater(len(set(delays_s[5:])), 10)

    def test_reset_returns_to_the_initial_delay(self):
        delays = backoff.Backoff(0.05, 0.25, random.Random(1))
        for _ in range(5):
            delays.next_delay_s()
        delays.reset()
        self.assertLessEqual(delays.next_delay_s(), 0.05)


if __name__ == "__main__":
    unittest.main()
