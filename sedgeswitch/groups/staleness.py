"""Upper bounds on the staleness of a replica's data."""

import collections
import typing

from sedgeswitch.groups import positions

_HISTORY_RETENTION_S = 120.0
_OFFSET_WINDOW_S = 60.0


class _Sample(typing.NamedTuple):
    sent_s: float
    position: positions.Position


class PrimaryPositionHistory:
    """Sampled log positions of a primary, with the times of the probes.

    Notes
    -----
    A replica that has reached a sampled position has every write that completed
    before the probe for that sample was sent. Its data are therefore at most as
    old as the newest sample that it has reached.
    """

    def __init__(self):
        self._samples: collections.deque[_Sample] = collections.deque()

    def add_sample(self, position: positions.Position, sent_s: float) -> None:
        """Add a position that the primary returned to a probe sent at `sent_s`."""
        self._samples.append(_Sample(sent_s, position))
        while self._samples[0].sent_s < sent_s - _HISTORY_RETENTION_S:
            self._samples.popleft()

    def get_age_s(self, position: positions.Position, now_s: float) -> float | None:
        """Return the maximum age of the data at `position`.

        Returns
        -------
        float or None
            Seconds; None if the position is behind every retained sample.
        """
        for sample in reversed(self._samples):
            if positions.has_reached(position, sample.position):
                return now_s - sample.sent_s
        return None

    def get_position_at(self, time_s: float) -> positions.Position | None:
        """Return the last position sampled at or before `time_s`, None without one."""
        for sample in reversed(self._samples):
            if sample.sent_s <= time_s:
                return sample.position
        return None


class ReportDelayEstimator:
    """Computes an upper bound on the network delay of the reports of one host.

    Notes
    -----
    The clocks of the two hosts differ by an unknown offset. The minimum of
    arrival time minus sending time is that offset plus the minimum delay, and
    the minimum delay is at most the minimum round trip. The minimum is taken
    over the current and the previous window, so that the drift between the
    clocks stays negligible.
    """

    def __init__(self):
        self._window_end_s = float("-inf")
        self._previous_min_difference_s = float("inf")
        self._min_difference_s = float("inf")
        self._min_round_trip_s = float("inf")

    def get_max_delay_s(
        self, sent_s: float, round_trip_s: float, now_s: float
    ) -> float:
        """Return the maximum network delay of a report, in seconds.

        Parameters
        ----------
        sent_s : float
            Time of sending, on the sender's clock.
        round_trip_s : float
            Round-trip time of an earlier report of that host, in seconds.
        now_s : float
            Time of arrival, on this host's clock.
        """
        if now_s >= self._window_end_s:
            self._window_end_s = now_s + _OFFSET_WINDOW_S
            self._previous_min_difference_s = self._min_difference_s
            self._min_difference_s = float("inf")
        difference_s = now_s - sent_s
        self._min_difference_s = min(self._min_difference_s, difference_s)
        self._min_round_trip_s = min(self._min_round_trip_s, round_trip_s)
        min_difference_s = min(self._min_difference_s, self._previous_min_difference_s)
        return difference_s - min_difference_s + self._min_round_trip_s
