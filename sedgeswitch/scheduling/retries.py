"""Retry-after times of refused statements."""

import math

# Longest retry-after time, in seconds: the time after which most callers give up.
MAX_RETRY_AFTER_S = 8.0


class RetryTimes:
    """Spreads the retries of refused callers over the time at which slots are free.

    Each refused caller gets a place in a line. The places are as far apart as the slots
    become free, so that the retries do not arrive together.
    """

    def __init__(self):
        self._last_place_s = float("-inf")

    def get_retry_after_ms(
        self, wait_s: float, interval_s: float, waited_share: float, now_s: float
    ) -> int:
        """Return the retry-after time of a refused statement in milliseconds.

        Parameters
        ----------
        wait_s : float
            Expected time until the statements that wait now have started.
        interval_s : float
            Mean time between two statements that start.
        waited_share : float
            Share of its time, from 0 to 1, that the statement has waited. A caller that
            has waited longer gets an earlier place.
        now_s : float
        """
        # A clock that went back, or an earlier longer backlog, leaves no place in the
        # far future.
        last_s = min(self._last_place_s, now_s + MAX_RETRY_AFTER_S)
        first_s = now_s + min(max(wait_s, 0.0), MAX_RETRY_AFTER_S)
        place_s = max(first_s, last_s + interval_s)
        self._last_place_s = place_s
        early_s = (place_s - first_s) * min(max(waited_share, 0.0), 1.0)
        after_s = min(place_s - early_s - now_s, MAX_RETRY_AFTER_S)
        return max(1, math.ceil(1000 * after_s))
