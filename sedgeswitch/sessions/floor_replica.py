"""One replica of session floors: those of the buckets placed on this host."""

import collections
import collections.abc
import typing

import trio

from sedgeswitch.groups import positions
from sedgeswitch.sessions import floors
from sedgeswitch.sessions import messages
from sedgeswitch.sessions import placement
from sedgeswitch.sessions import tokens

# Sessions whose floors are stored; the least recently written are evicted.
MAX_SESSIONS = 200_000
_UNKNOWN = messages.FloorAnswer(is_known=False)

ReadPrimary = collections.abc.Callable[
    [str], collections.abc.Awaitable[positions.Position | None]
]


class _Sample(typing.NamedTuple):
    """A position of a group's primary, and when its read was started."""

    position: positions.Position
    requested_s: float


class FloorReplica:
    """Stores the floors of the buckets of which this host holds a replica.

    A replica that has just been assigned a bucket, or has restarted empty, lacks
    earlier writes. It waits until no host can still record writes by an older
    placement, and then reads the position of the group's primary. Every write that
    it lacks is at or below this base floor, which is therefore the floor of each
    session of the bucket without one of its own. Evicting the floor of a session
    raises the base floor of its bucket to it, so the memory is bounded.

    Parameters
    ----------
    host_id : str
    read_primary : callable
        Async; takes a group, and returns the position of its primary, or None if
        it can't be read or this host's lease is not valid afterwards.
    placement_overlap_s : float
        How long after a change of members other hosts may still use the earlier
        placement, in seconds.
    """

    def __init__(
        self, host_id: str, read_primary: ReadPrimary, placement_overlap_s: float
    ):
        self._host_id = host_id
        self._read_primary = read_primary
        self._placement_overlap_s = placement_overlap_s
        self._placement = placement.EMPTY
        # Time from which the base floor of each assigned bucket can be read.
        self._ready_at_s: dict[int, float] = {}
        self._base_floors: dict[tuple[int, str], positions.Position] = {}
        self._sampled_buckets: set[tuple[int, str]] = set()
        self._samples: dict[str, _Sample] = {}
        self._sampling_locks: dict[str, trio.Lock] = {}
        self._floors: collections.OrderedDict[int, tuple[str, positions.Position]] = (
            collections.OrderedDict()
        )

    def set_placement(self, new_placement: placement.Placement, now_s: float) -> None:
        """Start to store newly assigned buckets, and drop those assigned elsewhere.

        Notes
        -----
        A bucket that may have been assigned to another host in a version that this
        host has not received counts as newly assigned.
        """
        for bucket in placement.get_possibly_moved_buckets(
            self._placement, new_placement
        ):
            self._drop_bucket(bucket)
        self._placement = new_placement
        for bucket, replicas in enumerate(new_placement.replicas):
            is_replica = any(member.host_id == self._host_id for member in replicas)
            if is_replica and bucket not in self._ready_at_s:
                self._ready_at_s[bucket] = now_s + self._placement_overlap_s
            elif not is_replica and bucket in self._ready_at_s:
                self._drop_bucket(bucket)

    async def answer_record(
        self, request: messages.RecordFloors
    ) -> messages.RecordFloorsAnswer:
        """Store the floors of a batch of writes."""
        for record in request.records:
            position = positions.Position(record.timeline, record.lsn)
            self._raise_floor(record.session, record.group, position)
        return messages.RecordFloorsAnswer()

    async def answer_query(
        self, request: messages.QueryFloors
    ) -> messages.QueryFloorsAnswer:
        """Answer a batch of queries."""
        now_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for group in sorted({query.group for query in request.queries}):
                nursery.start_soon(self._sample, group, now_s)
        answers = [self._answer(query, now_s) for query in request.queries]
        return messages.QueryFloorsAnswer(answers)

    def _raise_floor(
        self, session: int, group: str, position: positions.Position
    ) -> None:
        known = self._floors.pop(session, (group, None))
        floor = tokens.merge_floor(known[1], position) or position
        self._floors[session] = (group, floor)
        if len(self._floors) > MAX_SESSIONS:
            evicted, (evicted_group, floor) = self._floors.popitem(last=False)
            self._raise_base_floor(placement.get_bucket(evicted), evicted_group, floor)

    def _raise_base_floor(
        self, bucket: int, group: str, floor: positions.Position
    ) -> None:
        base_floor = self._base_floors.get((bucket, group))
        self._base_floors[bucket, group] = (
            tokens.merge_floor(base_floor, floor) or floor
        )

    def _drop_bucket(self, bucket: int) -> None:
        if self._ready_at_s.pop(bucket, None) is None:
            return
        self._base_floors = {
            key: base_floor
            for key, base_floor in self._base_floors.items()
            if key[0] != bucket
        }
        self._sampled_buckets = {
            key for key in self._sampled_buckets if key[0] != bucket
        }

    def _needs_sample(self, group: str, requested_s: float) -> bool:
        """Return whether a bucket has become ready since the group's last sample."""
        sample = self._samples.get(group)
        latest_ready_at_s = max(
            (
                ready_at_s
                for ready_at_s in self._ready_at_s.values()
                if ready_at_s <= requested_s
            ),
            default=float("-inf"),
        )
        return sample is None or sample.requested_s < latest_ready_at_s

    async def _sample(self, group: str, now_s: float) -> None:
        """Read the primary's position once for all buckets that have become ready."""
        if not self._needs_sample(group, now_s):
            return
        async with self._sampling_locks.setdefault(group, trio.Lock()):
            if not self._needs_sample(group, now_s):
                return
            requested_s = trio.current_time()
            position = await self._read_primary(group)
            if position is not None:
                self._samples[group] = _Sample(position, requested_s)

    def _answer(self, query: messages.FloorQuery, now_s: float) -> messages.FloorAnswer:
        if query.members_version > self._placement.version:
            return _UNKNOWN
        bucket = placement.get_bucket(query.session)
        base_floor = self._get_base_floor(bucket, query.group, now_s)
        if base_floor is None:
            return _UNKNOWN
        _, floor = self._floors.get(query.session, (query.group, None))
        floor = tokens.merge_floor(floor, base_floor) or base_floor
        return messages.FloorAnswer(True, floor.timeline, floor.lsn)

    def _get_base_floor(
        self, bucket: int, group: str, now_s: float
    ) -> positions.Position | None:
        ready_at_s = self._ready_at_s.get(bucket)
        if ready_at_s is None or ready_at_s > now_s:
            return None
        if (bucket, group) not in self._sampled_buckets:
            sample = self._samples.get(group)
            if sample is None or sample.requested_s < ready_at_s:
                return None
            self._raise_base_floor(bucket, group, sample.position)
            self._sampled_buckets.add((bucket, group))
        return self._base_floors[bucket, group]


def build_floor(answer: messages.FloorAnswer) -> floors.Floor:
    """Return the floor in a replica's answer."""
    if not answer.is_known:
        return floors.Floor(None, is_known=False)
    position = positions.Position(answer.timeline, answer.lsn)
    return floors.Floor(position, is_known=True)
