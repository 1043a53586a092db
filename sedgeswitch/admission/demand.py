"""Estimate of the recent demand for tokens."""

import math


class DemandEstimate:
    """Exponentially weighted moving average of the arrival rate.

    Parameters
    ----------
    window_s : float
        Time constant of the average.
    """

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._rate_per_s = 0.0
        self._updated_s = 0.0

    def add(self, now_s: float) -> None:
        """Count one arrival."""
        self._rate_per_s = self.get_rate_per_s(now_s) + 1.0 / self._window_s
        self._updated_s = now_s

    def get_rate_per_s(self, now_s: float) -> float:
        """Return the arrivals per second at `now_s`."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        return self._rate_per_s * math.exp(-elapsed_s / self._window_s)
