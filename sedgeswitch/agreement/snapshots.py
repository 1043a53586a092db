"""Snapshots: taking them, sending them in chunks and installing them."""

import typing

import xxhash

from sedgeswitch.agreement import messages
from sedgeswitch.agreement import network as network_module
from sedgeswitch.agreement import state as state_module
from sedgeswitch.agreement import state_machines
from sedgeswitch.agreement import storage
from sedgeswitch.agreement import voters
from sedgeswitch.utils import clocks


def hash_body(body: bytes) -> bytes:
    """Return the checksum of a snapshot body."""
    return xxhash.xxh3_64_digest(body)


def take_snapshot(state: state_module.State, registry: state_machines.Registry) -> None:
    """Replace the applied entries by a snapshot, except for the retained ones."""
    log = state.log
    index = state.applied_index
    snapshot = storage.Snapshot(
        index,
        log.get_term(index),
        log.get_voter_set(index),
        registry.save_snapshot(),
    )
    retained = state.settings.retained_entries
    keep_from_index = max(log.first_index, index + 1 - retained)
    log.compact(snapshot, keep_from_index)
    state.writer.submit(storage.SaveSnapshot(snapshot, keep_from_index))


async def send_snapshot(
    state: state_module.State,
    network: network_module.Network,
    member: voters.Member,
    term: int,
) -> int:
    """Send the last snapshot to a peer.

    Returns
    -------
    int
        Index of the snapshot that the peer has installed; 0 if the peer has
        rejected it or this host is no longer the leader.

    Raises
    ------
    failures.CallError
        If the peer does not answer.
    """
    snapshot = state.log.snapshot
    checksum = hash_body(snapshot.body)
    voter_set = voters.encode_voter_set(snapshot.voter_set)
    total_bytes = len(snapshot.body)
    offset_bytes = 0
    while True:
        end = offset_bytes + state.settings.max_batch_bytes
        request = messages.SnapshotRequest(
            term,
            state.settings.node_id,
            member.incarnation,
            snapshot.index,
            snapshot.term,
            voter_set,
            offset_bytes,
            total_bytes,
            snapshot.body[offset_bytes:end],
            checksum,
        )
        sent_s = clocks.get_now_s()
        reply = await network.call(
            member.address, request, state.settings.election_timeout_max_s
        )
        state.adopt_term(reply.term)
        if not state.is_leading(term):
            return 0
        record_contact(state, member.key, sent_s)
        if end >= total_bytes:
            is_installed = reply.next_offset_bytes == total_bytes
            return snapshot.index if is_installed else 0
        if reply.next_offset_bytes != end:
            return 0
        offset_bytes = end


def record_contact(state: state_module.State, key: str, sent_s: float) -> None:
    """Record that a peer has answered a request that was sent at `sent_s`."""
    progress = state.progress.get(key)
    if progress is not None:
        progress.contact_s = max(progress.contact_s, sent_s)
        progress.has_wrong_incarnation = False
        state.peer_replied.send()


class _PartialSnapshot(typing.NamedTuple):
    """A snapshot of which only the first chunks have been received."""

    index: int
    index_term: int
    checksum: bytes
    body: bytearray


class SnapshotReceiver:
    """Assembles the chunks of the leader's snapshot and installs it.

    Parameters
    ----------
    state : state.State
    registry : state_machines.Registry
    """

    def __init__(self, state: state_module.State, registry: state_machines.Registry):
        self._state = state
        self._registry = registry
        self._partial: _PartialSnapshot | None = None

    async def answer_snapshot(
        self, request: messages.SnapshotRequest
    ) -> messages.SnapshotReply:
        """Store a chunk; the last one is answered after the snapshot is synced."""
        state = self._state
        state.check_incarnation(request.target_incarnation)
        if request.term < state.term:
            return messages.SnapshotReply(state.term, 0)
        state.record_leader_contact(request.term, request.leader_id, clocks.get_now_s())
        next_offset_bytes = self._add_chunk(request)
        if next_offset_bytes == request.total_bytes:
            next_offset_bytes = self._finish_snapshot(request)
        await state.writer.wait_until_synced()
        return messages.SnapshotReply(request.term, next_offset_bytes)

    def _add_chunk(self, request: messages.SnapshotRequest) -> int:
        """Return the size received so far; 0 if the chunk is not the next one."""
        if request.offset_bytes == 0:
            self._partial = _PartialSnapshot(
                request.index, request.index_term, request.checksum, bytearray()
            )
        partial = self._partial
        if partial is None:
            return 0
        given = (request.index, request.index_term, request.checksum)
        if partial[:3] != given or len(partial.body) != request.offset_bytes:
            return 0
        partial.body.extend(request.chunk)
        return len(partial.body)

    def _finish_snapshot(self, request: messages.SnapshotRequest) -> int:
        body = bytes(self._partial.body)
        self._partial = None
        if hash_body(body) != request.checksum:
            return 0
        voter_set = voters.decode_voter_set(request.voter_set)
        snapshot = storage.Snapshot(request.index, request.index_term, voter_set, body)
        log = self._state.log
        if not log.is_formed or snapshot.index > self._state.commit_index:
            self._install(snapshot)
        return request.total_bytes

    def _install(self, snapshot: storage.Snapshot) -> None:
        state = self._state
        log = state.log
        keep_from_index = snapshot.index + 1
        if log.get_term(snapshot.index) == snapshot.term and log.is_formed:
            # The entries after the snapshot may already count towards a commit, so
            # they must stay.
            log.compact(snapshot, keep_from_index)
        else:
            state.writer.submit(storage.Truncate(log.first_index))
            log.install(snapshot)
        state.writer.submit(storage.SaveSnapshot(snapshot, keep_from_index))
        self._registry.load_snapshot(snapshot.body)
        state.commit_to(snapshot.index)
        state.mark_applied(snapshot.index)
