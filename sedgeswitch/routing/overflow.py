"""Bounded load on the holders of an instance.

The first holder of an organisation takes its statements while its load is at most a
factor above the mean of the holders. Beyond that, the next holder takes some.
"""

import collections.abc
import typing

# Load of a holder in relation to the mean up to which it takes all of its statements.
# 1.25 is the usual compromise of rendezvous hashing with bounded loads: few statements
# leave their first holder, which has connections of their organisation.
LOAD_FACTOR = 1.25
# Statements by which a holder may exceed the factor; loads below it are noise.
LOAD_SLACK = 1.0
# Largest part of a change that is made at once, after a time without decisions.
MAX_PART = 0.5
# Share of its statements that a holder keeps at least, so that its reports arrive.
MIN_KEPT_SHARE = 0.05


def get_limit(loads: collections.abc.Sequence[float]) -> float:
    """Return the load up to which a holder takes all of its statements.

    Parameters
    ----------
    loads : sequence of float
        Running and waiting statements of each holder; at least one.
    """
    return LOAD_FACTOR * sum(loads) / len(loads) + LOAD_SLACK


def decide_kept_share(
    kept: float, load: float, limit: float, part: float = 1.0
) -> float:
    """Return the share of its statements that a holder keeps.

    Parameters
    ----------
    kept : float
        Present share.
    load : float
        Load of the holder, reported while it kept the present share.
    limit : float
        See `get_limit`.
    part : float
        Part of the change that is made now; see `routing.shares`.
    """
    wanted = kept * limit / max(load, 1e-6)
    return min(max(kept + part * (wanted - kept), MIN_KEPT_SHARE), 1.0)


class _Kept(typing.NamedTuple):
    share: float
    decided_s: float


class OverflowTable:
    """The share of its statements that each holder keeps, as one host decides."""

    def __init__(self, interval_s: float, move_per_s: float):
        self._interval_s = interval_s
        self._move_per_s = move_per_s
        self._kept: dict[tuple[str, str], _Kept] = {}

    def is_due(self, instance: str, host_id: str, now_s: float) -> bool:
        """Return whether to decide again about a holder."""
        kept = self._kept.get((instance, host_id))
        return kept is None or now_s - kept.decided_s >= self._interval_s

    def decide(
        self,
        instance: str,
        host_id: str,
        loads: collections.abc.Mapping[str, float],
        now_s: float,
    ) -> None:
        """Decide about a holder from the loads of all holders of its instance."""
        earlier = self._kept.get((instance, host_id), _Kept(1.0, now_s))
        part = min((now_s - earlier.decided_s) * self._move_per_s, MAX_PART)
        share = decide_kept_share(
            earlier.share, loads[host_id], get_limit(list(loads.values())), part
        )
        self._kept[instance, host_id] = _Kept(share, now_s)

    def get_kept_share(self, instance: str, host_id: str) -> float:
        """Return the share of its statements that a holder keeps, 1 at first."""
        kept = self._kept.get((instance, host_id))
        return 1.0 if kept is None else kept.share

    def drop(self, instances: collections.abc.Collection[str]) -> None:
        """Drop the holders of instances that are not among the given ones."""
        for key in list(self._kept):
            if key[0] not in instances:
                del self._kept[key]
