"""The home's side: the floors of the sessions that live on this host."""

import collections
import collections.abc
import typing

import trio

from sedgeswitch.groups import positions
from sedgeswitch.sessions import floors
from sedgeswitch.sessions import messages
from sedgeswitch.sessions import placement
from sedgeswitch.sessions import tokens

MAX_SESSIONS = 200_000
_UNKNOWN = messages.FloorAnswer(is_known=False)

ReadPrimary = collections.abc.Callable[
    [str], collections.abc.Awaitable[positions.Position | None]
]


class _Sample(typing.NamedTuple):
    """A position of a group's primary, and when it was asked for."""

    position: positions.Position
    asked_s: float


class FloorReplica:
    """Keeps floors for the buckets that this host is a home of.

    A home that has just been given a bucket, or has restarted empty, lacks the
    writes from before. It waits until no host can be placing writes by older
    members any more, then reads the primary's position: every write that it
    lacks is at or below that base, so a session without an entry has the base
    for its floor. Dropping an entry raises the base in the same way, which
    bounds the memory.

    Parameters
    ----------
    host_id : str
    read_primary : callable
        Returns the position of a group's primary, confirmed by this host's
        lease after it was read, or None.
    placement_overlap_s : float
        Time after which no host places writes by older members, in seconds.
    """

    def __init__(
        self, host_id: str, read_primary: ReadPrimary, placement_overlap_s: float
    ):
        self._host_id = host_id
        self._read_primary = read_primary
        self._settle_s = placement_overlap_s
        self._placed = placement.EMPTY
        self._ready_s: dict[int, float] = {}
        self._bases: dict[tuple[int, str], positions.Position] = {}
        self._sampled: set[tuple[int, str]] = set()
        self._samples: dict[str, _Sample] = {}
        self._sampling: dict[str, trio.Lock] = {}
        self._entries: collections.OrderedDict[int, tuple[str, positions.Position]] = (
            collections.OrderedDict()
        )

    def set_placement(self, placed: placement.Placement, now_s: float) -> None:
        """Follow the members: take up new buckets, leave others.

        Notes
        -----
        A bucket that another host may have had in versions that this host has
        missed counts as a new one.
        """
        for bucket in placement.get_possibly_moved_buckets(self._placed, placed):
            self._leave(bucket)
        self._placed = placed
        for bucket, replicas in enumerate(placed.replicas):
            is_home = any(member.host_id == self._host_id for member in replicas)
            if is_home and bucket not in self._ready_s:
                self._ready_s[bucket] = now_s + self._settle_s
            elif not is_home and bucket in self._ready_s:
                self._leave(bucket)

    async def answer_record(
        self, request: messages.RecordFloors
    ) -> messages.RecordFloorsAnswer:
        """Keep the floors of a batch of writes."""
        for record in request.records:
            position = positions.Position(record.timeline, record.lsn)
            self._keep(record.session, record.group, position)
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

    def _keep(self, session: int, group: str, position: positions.Position) -> None:
        known = self._entries.pop(session, (group, None))
        floor = tokens.merge_floor(known[1], position) or position
        self._entries[session] = (group, floor)
        if len(self._entries) > MAX_SESSIONS:
            dropped, (dropped_group, floor) = self._entries.popitem(last=False)
            self._raise_base(placement.get_bucket(dropped), dropped_group, floor)

    def _raise_base(self, bucket: int, group: str, floor: positions.Position) -> None:
        base = self._bases.get((bucket, group))
        self._bases[bucket, group] = tokens.merge_floor(base, floor) or floor

    def _leave(self, bucket: int) -> None:
        if self._ready_s.pop(bucket, None) is None:
            return
        self._bases = {
            key: base for key, base in self._bases.items() if key[0] != bucket
        }
        self._sampled = {key for key in self._sampled if key[0] != bucket}

    def _needs_sample(self, group: str, asked_s: float) -> bool:
        sample = self._samples.get(group)
        newest_ready_s = max(
            (ready_s for ready_s in self._ready_s.values() if ready_s <= asked_s),
            default=float("-inf"),
        )
        return sample is None or sample.asked_s < newest_ready_s

    async def _sample(self, group: str, now_s: float) -> None:
        """Read the primary once for all buckets that became ready meanwhile."""
        if not self._needs_sample(group, now_s):
            return
        async with self._sampling.setdefault(group, trio.Lock()):
            if not self._needs_sample(group, now_s):
                return
            asked_s = trio.current_time()
            position = await self._read_primary(group)
            if position is not None:
                self._samples[group] = _Sample(position, asked_s)

    def _answer(self, query: messages.FloorQuery, now_s: float) -> messages.FloorAnswer:
        if query.members_version > self._placed.version:
            return _UNKNOWN
        bucket = placement.get_bucket(query.session)
        base = self._get_base(bucket, query.group, now_s)
        if base is None:
            return _UNKNOWN
        _, floor = self._entries.get(query.session, (query.group, None))
        floor = tokens.merge_floor(floor, base) or base
        return messages.FloorAnswer(True, floor.timeline, floor.lsn)

    def _get_base(
        self, bucket: int, group: str, now_s: float
    ) -> positions.Position | None:
        ready_s = self._ready_s.get(bucket)
        if ready_s is None or ready_s > now_s:
            return None
        if (bucket, group) not in self._sampled:
            sample = self._samples.get(group)
            if sample is None or sample.asked_s < ready_s:
                return None
            self._raise_base(bucket, group, sample.position)
            self._sampled.add((bucket, group))
        return self._bases[bucket, group]


def build_floor(answer: messages.FloorAnswer) -> floors.Floor:
    """Return the floor that a home's answer holds."""
    if not answer.is_known:
        return floors.Floor(None, is_known=False)
    position = positions.Position(answer.timeline, answer.lsn)
    return floors.Floor(position, is_known=True)
