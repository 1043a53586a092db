"""Minimum log positions of reads, derived from positions that primaries reported."""

import collections

from sedgeswitch.groups import positions

# Least time between two stored samples, in seconds; denser samples would add little
# precision.
SAMPLE_INTERVAL_S = 0.02
# Retention period of samples, in seconds: the greatest staleness that any database
# allows.
RETENTION_S = 30.0
# Time after which the last reported position of a replica is ignored, in seconds,
# since the replica may have caught up by then.
REPLICA_POSITION_TTL_S = 0.25


class _Sample:
    """A position that a primary reported, and when the statement was sent to it."""

    __slots__ = ("position", "sent_s")

    def __init__(self, sent_s: float, position: positions.Position):
        self.sent_s = sent_s
        self.position = position


class PositionHistory:
    """Positions reported by the primary of one group, in the order of sending.

    If a statement sent at time t is answered with a position, and the instance was
    still the primary when the answer arrived, then the position covers every commit
    acknowledged before t.
    """

    def __init__(self):
        self._samples: collections.deque[_Sample] = collections.deque()
        self._timeline = 0

    def record(
        self, sent_s: float, position: positions.Position, timeline: int
    ) -> None:
        """Add a position that the primary reported.

        Call it only while the write permit for this primary is valid.

        Parameters
        ----------
        sent_s : float
            When the statement was sent to the primary.
        position : positions.Position
        timeline : int
            Timeline of the primary's term. Samples of another timeline are removed:
            writes of an earlier primary that the new one lacks are undone, so that
            its positions are no longer valid.
        """
        if timeline != self._timeline:
            self._timeline = timeline
            self._samples.clear()
        samples = self._samples
        if samples and position < samples[-1].position:
            # Answers may arrive out of order; the newest sample covers this position.
            return
        if samples and sent_s - samples[-1].sent_s < SAMPLE_INTERVAL_S:
            return
        samples.append(_Sample(sent_s, position))
        while samples[0].sent_s < sent_s - RETENTION_S:
            samples.popleft()

    def get_required(
        self, now_s: float, max_staleness_s: float
    ) -> positions.Position | None:
        """Return the position that an instance must have reached for a read at `now_s`.

        Returns
        -------
        positions.Position or None
            None if no sample is at most `max_staleness_s` old.
        """
        oldest_s = now_s - max_staleness_s
        samples = self._samples
        while len(samples) > 1 and samples[0].sent_s < now_s - RETENTION_S:
            samples.popleft()
        for sample in samples:
            if sample.sent_s >= oldest_s:
                return sample.position
        return None


class ReplicaPositions:
    """The last position that each instance reported."""

    def __init__(self):
        self._reported: dict[str, tuple[positions.Position, float]] = {}

    def record(self, instance: str, position: positions.Position, now_s: float) -> None:
        """Record a position that an instance reported at `now_s`."""
        self._reported[instance] = (position, now_s)

    def is_behind(
        self, instance: str, required: positions.Position, now_s: float
    ) -> bool:
        """Return whether an instance recently reported a lower position than required.

        A reported position is used for ``REPLICA_POSITION_TTL_S`` seconds.
        """
        reported = self._reported.get(instance)
        if reported is None:
            return False
        position, reported_s = reported
        return position < required and now_s - reported_s < REPLICA_POSITION_TTL_S
