"""Counts of scheduled statements by class, for the metrics of a host."""

import collections


class Counts:
    """What became of the statements of one class.

    Attributes
    ----------
    deferred : int
        Statements that waited while they could still meet their target later.
    refused : int
    on_time, late : int
        Statements answered before and after their target.
    """

    __slots__ = ("deferred", "late", "on_time", "refused")

    def __init__(self):
        self.deferred = 0
        self.refused = 0
        self.on_time = 0
        self.late = 0


def build_counts() -> collections.defaultdict[int, Counts]:
    """Return counts by priority, which all schedulers of a host share."""
    return collections.defaultdict(Counts)
