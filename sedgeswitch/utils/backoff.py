"""Exponential backoff with jitter."""

import random


class Backoff:
    """Computes the delays between consecutive failed attempts.

    Parameters
    ----------
    initial_delay_s : float
        Upper limit of the delay after the first failure, in seconds. The limit
        doubles with each further failure.
    max_delay_s : float
        Largest value of that limit.
    rng : random.Random
        Source of jitter: a delay is 50 to 100 % of the limit, so that clients that
        failed together do not retry together.
    """

    def __init__(self, initial_delay_s: float, max_delay_s: float, rng: random.Random):
        self._initial_delay_s = initial_delay_s
        self._max_delay_s = max_delay_s
        self._rng = rng
        self._next_max_delay_s = initial_delay_s

    def reset(self) -> None:
        """Start again from the initial delay, after a successful attempt."""
        self._next_max_delay_s = self._initial_delay_s

    def next_delay_s(self) -> float:
        """Return the delay after one more failure, in seconds."""
        delay_s = self._next_max_delay_s * self._rng.uniform(0.5, 1.0)
        self._next_max_delay_s = min(2 * self._next_max_delay_s, self._max_delay_s)
        return delay_s
