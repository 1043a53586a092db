"""Read-your-writes over any entry host, without a token from the caller.

Three homes keep the last position that a session has written. A write is
recorded on a majority of them before it is acknowledged; a read asks until a
majority has answered that it knows. The two majorities meet in a home.

A change of members changes homes. A write is recorded at the homes of before,
too, for as long as another host may read by them. A host that cannot name them,
because it has just started or has missed versions, waits that long instead.
"""

import collections.abc
import typing

import trio
import xxhash

from sedgeswitch.groups import positions
from sedgeswitch.sessions import batching
from sedgeswitch.sessions import floor_replica
from sedgeswitch.sessions import floors
from sedgeswitch.sessions import messages
from sedgeswitch.sessions import placement
from sedgeswitch.sessions import tokens
from sedgeswitch.utils import clocks

RETRY_DELAY_S = 0.02
QUERY_TIMEOUT_S = 0.25
_HASH_MASK = (1 << 63) - 1

BuildClient = collections.abc.Callable[[str], batching.ReplicaClient]


def get_session(key: floors.SessionKey) -> int:
    """Return the 63-bit hash that names a session between hosts."""
    return xxhash.xxh3_64_intdigest("\0".join(key).encode()) & _HASH_MASK


class _Home(typing.NamedTuple):
    records: batching.Batcher
    queries: batching.Batcher


class _Tally:
    """Counts the answers of homes until enough have come, or too few can."""

    def __init__(self, replicas: placement.Replicas):
        self._needed = placement.get_quorum(replicas)
        self._left = len(replicas)
        self.answers: list[typing.Any] = []
        self.settled = trio.Event()
        self._check()

    @property
    def is_reached(self) -> bool:
        """Whether a majority has answered."""
        return len(self.answers) >= self._needed

    def add(self, answer: typing.Any) -> None:
        """Count an answer; None for a home that gave none."""
        self._left -= 1
        if answer is not None:
            self.answers.append(answer)
        self._check()

    def _check(self) -> None:
        if self.is_reached or len(self.answers) + self._left < self._needed:
            self.settled.set()


class ReplicatedFloors:
    """Records and asks floors at the homes of a session.

    Parameters
    ----------
    build_client : callable
        Returns the client of a home by host id.
    is_lease_valid : callable
        ``is_lease_valid(now_s)``: without a lease this host may follow old
        members, and what homes say is not enough.
    placement_overlap_s : float
        Time after a change of members for which writes are recorded at the
        homes of before, too, in seconds.
    """

    def __init__(
        self,
        build_client: BuildClient,
        is_lease_valid: collections.abc.Callable[[float], bool],
        placement_overlap_s: float,
    ):
        self._build_client = build_client
        self._is_lease_valid = is_lease_valid
        self._settle_s = placement_overlap_s
        self._placed = placement.EMPTY
        # Placements that other hosts may still read by, with their end.
        self._earlier: list[tuple[float, placement.Placement]] = []
        # Until when other hosts may read by homes that this host never knew.
        self._unclear_until_s: dict[int, float] = {}
        self._homes: dict[str, _Home] = {}
        self._nursery: trio.Nursery | None = None

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Send batches to homes until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def set_placement(self, placed: placement.Placement, now_s: float) -> None:
        """Follow a change of members."""
        for bucket in placement.get_possibly_moved_buckets(self._placed, placed):
            self._unclear_until_s[bucket] = now_s + self._settle_s
        if self._placed.version >= 0:
            self._earlier.append((now_s + self._settle_s, self._placed))
        self._placed = placed

    def is_ready(self, now_s: float) -> bool:
        """Return whether writes need not wait for homes to become known."""
        is_clear = all(until_s <= now_s for until_s in self._unclear_until_s.values())
        return self._placed.version >= 0 and is_clear

    async def wait_ready(self, key: floors.SessionKey, deadline_s: float) -> bool:
        """Wait until the homes that other hosts may read by are known.

        Notes
        -----
        Without the wait a write that follows a start of this host, or a gap in
        what it knows of the members, would run and could not be recorded in
        time.

        Returns
        -------
        bool
            False if they are not known before the deadline.
        """
        with trio.move_on_at(deadline_s):
            for scope in floors.list_recorded_scopes(key):
                await self._wait_clear(placement.get_bucket(get_session(scope)))
            return True
        return False

    async def record(
        self, key: floors.SessionKey, position: positions.Position, deadline_s: float
    ) -> bool:
        """Keep a position on a majority of the homes before its write is done.

        Returns
        -------
        bool
            False if a majority was not reached before the deadline.
        """
        with trio.move_on_at(deadline_s):
            async with trio.open_nursery() as nursery:
                for scope in floors.list_recorded_scopes(key):
                    nursery.start_soon(self._record_scope, scope, position)
            return True
        return False

    async def get_floor(
        self, key: floors.SessionKey, deadline_s: float
    ) -> floors.Floor:
        """Return what a majority of the homes knows of a session."""
        placed = self._placed
        tallies = [
            self._submit_query(placed, scope) for scope in floors.list_read_scopes(key)
        ]
        with trio.move_on_at(min(deadline_s, trio.current_time() + QUERY_TIMEOUT_S)):
            for tally in tallies:
                await tally.settled.wait()
        is_reached = all(tally.is_reached for tally in tallies)
        is_known = is_reached and self._is_current(placed, trio.current_time())
        answers = [answer for tally in tallies for answer in tally.answers]
        return _merge_answers(answers, is_known)

    def _submit_query(
        self, placed: placement.Placement, key: floors.SessionKey
    ) -> _Tally:
        session = get_session(key)
        replicas = placed.replicas[placement.get_bucket(session)]
        tally = _Tally(replicas)
        query = messages.FloorQuery(session, key.group, placed.version)
        for member in replicas:
            batcher = self._get_home(member.host_id).queries
            batcher.submit(query, lambda answer: tally.add(_skip_unknown(answer)))
        return tally

    async def _record_scope(
        self, key: floors.SessionKey, position: positions.Position
    ) -> None:
        session = get_session(key)
        record = messages.FloorRecord(session, key.group, *position)
        bucket = placement.get_bucket(session)
        while True:
            await self._wait_clear(bucket)
            await self._wait_leased()
            placed = self._placed
            tallies = [
                self._submit_record(replicas, record)
                for replicas in self._get_home_sets(bucket, trio.current_time())
            ]
            for tally in tallies:
                await tally.settled.wait()
            # Only a lease shows that nobody reads by homes unknown to this host.
            is_current = self._is_current(placed, trio.current_time())
            if is_current and all(tally.is_reached for tally in tallies):
                return
            await trio.sleep(RETRY_DELAY_S)

    async def _wait_leased(self) -> None:
        while not self._is_lease_valid(clocks.get_now_s()):
            await trio.sleep(RETRY_DELAY_S)

    def _is_current(self, placed: placement.Placement, now_s: float) -> bool:
        # A lease renewed meanwhile says nothing for the homes of before.
        return placed is self._placed and self._is_lease_valid(now_s)

    async def _wait_clear(self, bucket: int) -> None:
        while self._unclear_until_s.get(bucket, 0.0) > trio.current_time():
            await trio.sleep_until(self._unclear_until_s[bucket])
        self._unclear_until_s.pop(bucket, None)

    def _submit_record(
        self, replicas: placement.Replicas, record: messages.FloorRecord
    ) -> _Tally:
        tally = _Tally(replicas)
        for member in replicas:
            self._get_home(member.host_id).records.submit(record, tally.add)
        return tally

    def _get_home_sets(self, bucket: int, now_s: float) -> list[placement.Replicas]:
        self._earlier = [item for item in self._earlier if item[0] > now_s]
        placements = [self._placed, *(placed for _, placed in self._earlier)]
        return list({placed.replicas[bucket]: None for placed in placements})

    def _get_home(self, host_id: str) -> _Home:
        home = self._homes.get(host_id)
        if home is None:
            client = self._build_client(host_id)
            home = _Home(
                batching.Batcher(client.record),
                batching.Batcher(client.query),
            )
            self._homes[host_id] = home
            self._nursery.start_soon(home.records.run)
            self._nursery.start_soon(home.queries.run)
        return home


def _skip_unknown(answer: messages.FloorAnswer | None) -> messages.FloorAnswer | None:
    return answer if answer is not None and answer.is_known else None


def _merge_answers(answers: list[messages.FloorAnswer], is_known: bool) -> floors.Floor:
    position = None
    for answer in answers:
        position = tokens.merge_floor(
            position, floor_replica.build_floor(answer).position
        )
    return floors.Floor(position, is_known)
