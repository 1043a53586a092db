"""The instances that a statement may be sent to, and their expected delays."""

import typing

from sedgeswitch.membership import directory
from sedgeswitch.pools import pool


class Candidate(typing.NamedTuple):
    """An instance that a statement may be sent to.

    Attributes
    ----------
    server : directory.BackendServer
    is_primary : bool
    load : pool.PoolLoad
        Load of this host's connection pool to the instance.
    round_trip_s : float
        Assumed network round-trip time to the instance, in seconds.
    share : float or None
        Share of the reads that should go to the instance, from 0 to 1; None if no
        holder has reported about it. Only the policy ``local_first`` uses it.
    """

    server: directory.BackendServer
    is_primary: bool
    load: pool.PoolLoad
    round_trip_s: float
    share: float | None = None


def estimate_delay(candidate: Candidate) -> float:
    """Return the expected time until the instance has answered, in seconds.

    Queued requests are served in parallel by as many connections as the pool has
    capacity. If no connection is idle and the pool may open another one, the time to
    open it is added.
    """
    load = candidate.load
    ahead = load.waiting + load.in_use - load.capacity + 1
    queue_s = max(ahead, 0) * load.service_s / max(load.capacity, 1)
    connect_s = 0.0 if load.idle or ahead > 0 else load.connect_s
    return candidate.round_trip_s + queue_s + connect_s + load.service_s
