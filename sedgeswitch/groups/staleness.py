"""How old the data of a replica are at most."""

import collections
import typing

from sedgeswitch.groups import positions

_HISTORY_RETENTION_S = 120.0
_OFFSET_WINDOW_S = 60.0


class _Sample(typing.NamedTuple):
    sent_s: float
    position: positions.Position


class PrimaryPositionHistory:
    """Positions of a primary and the times at which it was asked for them.

    Notes
    -----
    A replica that has reached a sample holds every write that was done before
    the primary was asked for that sample. So the replica's data are at most as
    old as the newest sample that it has reached.
    """

    def __init__(self):
        self._samples: collections.deque[_Sample] = collections.deque()

    def add_sample(self, position: positions.Position, sent_s: float) -> None:
        """Keep a position that the primary gave to a probe sent at `sent_s`."""
        self._samples.append(_Sample(sent_s, position))
        while self._samples[0].sent_s < sent_s - _HISTORY_RETENTION_S:
            self._samples.popleft()

    def get_age_s(self, position: positions.Position, now_s: float) -> float | None:
        """Return the greatest age of data at `position`.

        Returns
        -------
        float or None
            Seconds; None if the position is behind every sample kept.
        """
        for sample in reversed(self._samples):
            if positions.has_reached(position, sample.position):
                return now_s - sample.sent_s
        return None

    def get_position_at(self, time_s: float) -> positions.Position | None:
        """Return the last position sampled at or before `time_s`."""
        for sample in reversed(self._samples):
            if sample.sent_s <= time_s:
                return sample.position
        return None


class ReportDelayEstimator:
    """Bounds the time that the reports of one host spent under way.

    Notes
    -----
    The clocks of two hosts differ by an unknown offset. The least difference
    between the times of arrival and of sending is that offset plus the least
    delay, and the least delay is at most the least round trip. The window moves
    so that the drift between the clocks stays negligible.
    """

    def __init__(self):
        self._window_end_s = float("-inf")
        self._previous_min_difference_s = float("inf")
        self._min_difference_s = float("inf")
        self._min_round_trip_s = float("inf")

    def get_max_delay_s(
        self, sent_s: float, round_trip_s: float, now_s: float
    ) -> float:
        """Return the longest time that a report can have been under way.

        Parameters
        ----------
        sent_s : float
            Time of sending on the host's clock.
        round_trip_s : float
            Round trip of an earlier report of the host.
        now_s : float
            Time of arrival on this host's clock.
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
