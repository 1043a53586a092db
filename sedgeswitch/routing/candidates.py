"""What is known about the instances that may serve a statement."""

import typing

from sedgeswitch.membership import directory
from sedgeswitch.pools import pool


class Candidate(typing.NamedTuple):
    """An instance that may serve a statement.

    Attributes
    ----------
    server : directory.BackendServer
    is_primary : bool
    load : pool.PoolLoad
    round_trip_s : float
        Time to the instance and back, in seconds.
    """

    server: directory.BackendServer
    is_primary: bool
    load: pool.PoolLoad
    round_trip_s: float


def estimate_delay(candidate: Candidate) -> float:
    """Return the expected time until the candidate has answered, in seconds.

    Requests ahead in the queue are served `capacity` at a time; a pool without
    an idle connection must open one first.
    """
    load = candidate.load
    ahead = load.waiting + load.in_use - load.capacity + 1
    queue_s = max(ahead, 0) * load.service_s / max(load.capacity, 1)
    connect_s = 0.0 if load.idle or ahead > 0 else load.connect_s
    return candidate.round_trip_s + queue_s + connect_s + load.service_s
