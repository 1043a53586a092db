"""Pauses between attempts."""

import random


class Backoff:
    """Pauses after attempts that failed one after the other.

    Parameters
    ----------
    first_s : float
        Longest pause after the first failure.
    longest_s : float
        Up to which it doubles with each further one.
    rng : random.Random
        Keeps those who wait for the same thing from trying at the same moments.
    """

    def __init__(self, first_s: float, longest_s: float, rng: random.Random):
        self._first_s = first_s
        self._longest_s = longest_s
        self._rng = rng
        self._next_s = first_s

    def reset(self) -> None:
        """Note an attempt that succeeded."""
        self._next_s = self._first_s

    def next_delay_s(self) -> float:
        """Return the pause after one more failure, in seconds."""
        pause_s = self._next_s * self._rng.uniform(0.5, 1.0)
        self._next_s = min(2 * self._next_s, self._longest_s)
        return pause_s
