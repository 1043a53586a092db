"""Which log position a read must see, from positions that primaries told."""

import collections

from sedgeswitch.groups import positions

# Samples closer together than this add little; in seconds.
SAMPLE_INTERVAL_S = 0.02
# Longest age of a sample that any database asks for, in seconds.
KEPT_S = 30.0
# Age of a replica's position after which it may have caught up, in seconds.
REPLICA_MEMORY_S = 0.25


class _Sample:
    """A position that a primary told in answer to a statement."""

    __slots__ = ("position", "sent_s")

    def __init__(self, sent_s: float, position: positions.Position):
        self.sent_s = sent_s
        self.position = position


class PositionHistory:
    """Positions of one group's primary, by when the statement was sent.

    A position that the primary told in answer to a statement sent at a time
    covers every commit that was acknowledged before that time, if the primary
    still was the primary when the answer came.
    """

    def __init__(self):
        self._samples: collections.deque[_Sample] = collections.deque()
        self._timeline = 0

    def note(self, sent_s: float, position: positions.Position, timeline: int) -> None:
        """Add what the primary told; call it under a valid permit only.

        Parameters
        ----------
        sent_s : float
        position : positions.Position
        timeline : int
            That the primary leads; writes of an earlier primary that a later one
            lacks are undone, so that its positions no longer count.
        """
        if timeline != self._timeline:
            self._timeline = timeline
            self._samples.clear()
        samples = self._samples
        if samples and position < samples[-1].position:
            # Told before the newest one, which covers as much.
            return
        if samples and sent_s - samples[-1].sent_s < SAMPLE_INTERVAL_S:
            return
        samples.append(_Sample(sent_s, position))
        while samples[0].sent_s < sent_s - KEPT_S:
            samples.popleft()

    def get_required(
        self, now_s: float, max_staleness_s: float
    ) -> positions.Position | None:
        """Return the least position that a read at `now_s` must see.

        Returns
        -------
        positions.Position or None
            None if no position is known that is recent enough.
        """
        oldest_s = now_s - max_staleness_s
        samples = self._samples
        while len(samples) > 1 and samples[0].sent_s < now_s - KEPT_S:
            samples.popleft()
        for sample in samples:
            if sample.sent_s >= oldest_s:
                return sample.position
        return None


class ReplicaPositions:
    """The newest position that each instance has told."""

    def __init__(self):
        self._told: dict[str, tuple[positions.Position, float]] = {}

    def note(self, instance: str, position: positions.Position, now_s: float) -> None:
        """Note what an instance has told."""
        self._told[instance] = (position, now_s)

    def is_behind(
        self, instance: str, required: positions.Position, now_s: float
    ) -> bool:
        """Return whether an instance is known to lack a position still."""
        told = self._told.get(instance)
        if told is None:
            return False
        position, told_s = told
        return position < required and now_s - told_s < REPLICA_MEMORY_S
