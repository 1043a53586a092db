"""Read-your-writes over any entry host, without a token from the caller.

Three replicas store the position of the last write of a session. A write is recorded
on a majority of them before it is acknowledged, and a floor is known once a majority
has answered with a known floor. The two majorities have a replica in common.

A change of members changes the placement of replicas. A write is then recorded at
the earlier replicas as well, for as long as another host may read from them. A host
that has no record of the earlier replicas, because it has just started or has missed
versions of the members, waits for that time instead.
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
    """Return the 63-bit hash that identifies a session in messages between hosts."""
    return xxhash.xxh3_64_intdigest("\0".join(key).encode()) & _HASH_MASK


class _Replica(typing.NamedTuple):
    """The batches to one replica."""

    records: batching.Batcher
    queries: batching.Batcher


class _QuorumCounter:
    """Counts the answers of replicas until a majority is reached or can't be."""

    def __init__(self, replicas: placement.Replicas):
        self._quorum = placement.get_quorum(replicas)
        self._outstanding = len(replicas)
        self.answers: list[typing.Any] = []
        self.decided = trio.Event()
        self._check()

    @property
    def is_reached(self) -> bool:
        """Whether a majority has answered."""
        return len(self.answers) >= self._quorum

    def add(self, answer: typing.Any) -> None:
        """Count an answer; None for a replica that gave none."""
        self._outstanding -= 1
        if answer is not None:
            self.answers.append(answer)
        self._check()

    def _check(self) -> None:
        if self.is_reached or len(self.answers) + self._outstanding < self._quorum:
            self.decided.set()


class ReplicatedFloors:
    """Records and queries the floors of sessions at their replicas.

    Parameters
    ----------
    build_client : callable
        Takes a host id and returns the client of its replica.
    is_lease_valid : callable
        ``is_lease_valid(now_s)``. Without a lease this host may use an outdated
        placement, and the answers of its replicas are not sufficient.
    placement_overlap_s : float
        How long after a change of members other hosts may still use the earlier
        placement, so that writes are recorded at its replicas too, in seconds.
    """

    def __init__(
        self,
        build_client: BuildClient,
        is_lease_valid: collections.abc.Callable[[float], bool],
        placement_overlap_s: float,
    ):
        self._build_client = build_client
        self._is_lease_valid = is_lease_valid
        self._placement_overlap_s = placement_overlap_s
        self._placement = placement.EMPTY
        # Placements that other hosts may still use, with the time at which this ends.
        self._earlier_placements: list[tuple[float, placement.Placement]] = []
        # Time until which other hosts may read from replicas that are in no placement
        # that this host has received, by bucket.
        self._possibly_moved_until_s: dict[int, float] = {}
        self._replicas: dict[str, _Replica] = {}
        self._nursery: trio.Nursery | None = None

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Send batches to replicas until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def set_placement(self, new_placement: placement.Placement, now_s: float) -> None:
        """Use another placement after a change of members."""
        for bucket in placement.get_possibly_moved_buckets(
            self._placement, new_placement
        ):
            self._possibly_moved_until_s[bucket] = now_s + self._placement_overlap_s
        if self._placement.version >= 0:
            self._earlier_placements.append(
                (now_s + self._placement_overlap_s, self._placement)
            )
        self._placement = new_placement

    def is_ready(self, now_s: float) -> bool:
        """Return whether writes can be recorded without a wait, in every bucket."""
        are_replicas_known = all(
            until_s <= now_s for until_s in self._possibly_moved_until_s.values()
        )
        return self._placement.version >= 0 and are_replicas_known

    async def wait_ready(self, key: floors.SessionKey, deadline_s: float) -> bool:
        """Wait until this host has the placements of all replicas that others may use.

        Returns
        -------
        bool
            False if the deadline passes first.

        Notes
        -----
        Without the wait, a write soon after a start of this host, or after it has
        missed versions of the members, would run and then not be recorded in time.
        """
        with trio.move_on_at(deadline_s):
            for scope in floors.list_recorded_scopes(key):
                await self._wait_replicas_known(
                    placement.get_bucket(get_session(scope))
                )
            return True
        return False

    async def record(
        self, key: floors.SessionKey, position: positions.Position, deadline_s: float
    ) -> bool:
        """Store the position of a write on a majority of the replicas.

        The write may be acknowledged only afterwards.

        Returns
        -------
        bool
            False if the deadline passes before a majority has stored it.
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
        """Return the floor of a session from the answers of a majority of replicas.

        The floor is not known if too few of them answer by the deadline and within
        `QUERY_TIMEOUT_S`, or if this host then has no valid lease or a newer placement.
        """
        current_placement = self._placement
        counters = [
            self._submit_query(current_placement, scope)
            for scope in floors.list_read_scopes(key)
        ]
        with trio.move_on_at(min(deadline_s, trio.current_time() + QUERY_TIMEOUT_S)):
            for counter in counters:
                await counter.decided.wait()
        is_reached = all(counter.is_reached for counter in counters)
        is_known = is_reached and self._is_current(
            current_placement, trio.current_time()
        )
        answers = [answer for counter in counters for answer in counter.answers]
        return _merge_answers(answers, is_known)

    def _submit_query(
        self, current_placement: placement.Placement, key: floors.SessionKey
    ) -> _QuorumCounter:
        session = get_session(key)
        replicas = current_placement.replicas[placement.get_bucket(session)]
        counter = _QuorumCounter(replicas)
        query = messages.FloorQuery(session, key.group, current_placement.version)
        for member in replicas:
            batcher = self._get_replica(member.host_id).queries
            batcher.submit(query, lambda answer: counter.add(_drop_unknown(answer)))
        return counter

    async def _record_scope(
        self, key: floors.SessionKey, position: positions.Position
    ) -> None:
        session = get_session(key)
        record = messages.FloorRecord(session, key.group, *position)
        bucket = placement.get_bucket(session)
        while True:
            await self._wait_replicas_known(bucket)
            await self._wait_lease()
            current_placement = self._placement
            counters = [
                self._submit_record(replicas, record)
                for replicas in self._get_replica_sets(bucket, trio.current_time())
            ]
            for counter in counters:
                await counter.decided.wait()
            # Only with a lease is it certain that no host reads by a placement that
            # this host has not received.
            is_current = self._is_current(current_placement, trio.current_time())
            if is_current and all(counter.is_reached for counter in counters):
                return
            await trio.sleep(RETRY_DELAY_S)

    async def _wait_lease(self) -> None:
        while not self._is_lease_valid(clocks.get_now_s()):
            await trio.sleep(RETRY_DELAY_S)

    def _is_current(self, current_placement: placement.Placement, now_s: float) -> bool:
        # With another placement, a lease renewed meanwhile does not confirm the
        # earlier one.
        return current_placement is self._placement and self._is_lease_valid(now_s)

    async def _wait_replicas_known(self, bucket: int) -> None:
        while self._possibly_moved_until_s.get(bucket, 0.0) > trio.current_time():
            await trio.sleep_until(self._possibly_moved_until_s[bucket])
        self._possibly_moved_until_s.pop(bucket, None)

    def _submit_record(
        self, replicas: placement.Replicas, record: messages.FloorRecord
    ) -> _QuorumCounter:
        counter = _QuorumCounter(replicas)
        for member in replicas:
            self._get_replica(member.host_id).records.submit(record, counter.add)
        return counter

    def _get_replica_sets(self, bucket: int, now_s: float) -> list[placement.Replicas]:
        self._earlier_placements = [
            item for item in self._earlier_placements if item[0] > now_s
        ]
        placements = [self._placement, *(item for _, item in self._earlier_placements)]
        return list({item.replicas[bucket]: None for item in placements})

    def _get_replica(self, host_id: str) -> _Replica:
        replica = self._replicas.get(host_id)
        if replica is None:
            client = self._build_client(host_id)
            replica = _Replica(
                batching.Batcher(client.record),
                batching.Batcher(client.query),
            )
            self._replicas[host_id] = replica
            self._nursery.start_soon(replica.records.run)
            self._nursery.start_soon(replica.queries.run)
        return replica


def _drop_unknown(answer: messages.FloorAnswer | None) -> messages.FloorAnswer | None:
    return answer if answer is not None and answer.is_known else None


def _merge_answers(answers: list[messages.FloorAnswer], is_known: bool) -> floors.Floor:
    position = None
    for answer in answers:
        position = tokens.merge_floor(
            position, floor_replica.build_floor(answer).position
        )
    return floors.Floor(position, is_known)
