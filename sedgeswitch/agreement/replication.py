"""Replication of the leader's log to the other hosts."""

import trio

from sedgeswitch.agreement import errors
from sedgeswitch.agreement import messages
from sedgeswitch.agreement import network as network_module
from sedgeswitch.agreement import snapshots
from sedgeswitch.agreement import state as state_module
from sedgeswitch.agreement import storage
from sedgeswitch.agreement import voters
from sedgeswitch.transport import failures
from sedgeswitch.utils import clocks
from sedgeswitch.utils import tasks


class Replication:
    """Sends heartbeats, entries and snapshots while this host is the leader.

    Parameters
    ----------
    state : state.State
    network : network.Network
    """

    def __init__(self, state: state_module.State, network: network_module.Network):
        self._state = state
        self._network = network
        self._settings = state.settings
        self._heartbeats_requested = trio.Event()

    def request_heartbeats(self) -> None:
        """Send heartbeats to all peers without waiting for the interval."""
        self._heartbeats_requested.set()
        self._heartbeats_requested = trio.Event()

    async def run(self) -> None:
        """Replicate while this host is the leader, until cancelled."""
        while True:
            if self._state.role is state_module.Role.LEADER:
                await self._lead(self._state.term)
            else:
                await self._state.role_changed.wait()

    async def _lead(self, term: int) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._track_local_syncs, term)
            nursery.start_soon(self._serve_new_peers, term, nursery)
            while self._state.is_leading(term):
                await self._state.role_changed.wait()
            nursery.cancel_scope.cancel()

    async def _track_local_syncs(self, term: int) -> None:
        """Advance the commit index after each sync of this host's own storage."""
        while self._state.is_leading(term):
            self._state.advance_commit()
            self._leave_joint_consensus()
            await self._state.writer.wait_for_next_sync()

    async def _serve_new_peers(self, term: int, nursery: trio.Nursery) -> None:
        """Start the tasks of each peer, also of those added later.

        A peer that is removed and added again has a new progress, and new tasks.
        """
        served: dict[str, state_module.Progress] = {}
        while self._state.is_leading(term):
            for member in self._state.peers:
                progress = self._state.progress[member.key]
                if served.get(member.key) is not progress:
                    served[member.key] = progress
                    # An error at one peer must not end the leadership of all.
                    for send in (self._send_log, self._send_heartbeats):
                        nursery.start_soon(
                            tasks.run_restarting, send, member, term, progress
                        )
            await self._state.log_appended.wait()

    def _is_current(
        self, member: voters.Member, term: int, progress: state_module.Progress
    ) -> bool:
        """Return whether this host still leads and the peer was not removed."""
        if not self._state.is_leading(term):
            return False
        return self._state.progress.get(member.key) is progress

    async def _send_heartbeats(
        self, member: voters.Member, term: int, progress: state_module.Progress
    ) -> None:
        async with trio.open_nursery() as nursery:
            while self._is_current(member, term, progress):
                nursery.start_soon(self._send_heartbeat, member, term, progress)
                with trio.move_on_after(self._settings.heartbeat_interval_s):
                    await self._heartbeats_requested.wait()

    async def _send_heartbeat(
        self, member: voters.Member, term: int, progress: state_module.Progress
    ) -> None:
        sent_s = clocks.get_now_s()
        request = messages.HeartbeatRequest(
            term,
            self._settings.node_id,
            member.incarnation,
            min(self._state.commit_index, progress.match_index),
        )
        timeout_s = self._settings.election_timeout_min_s
        try:
            reply = await self._network.call(member.address, request, timeout_s)
        except failures.CallError as error:
            if error.code == state_module.WRONG_INCARNATION:
                progress.has_wrong_incarnation = True
            return
        self._process_reply(member, term, progress, reply.term, sent_s)

    async def _send_log(
        self, member: voters.Member, term: int, progress: state_module.Progress
    ) -> None:
        while self._is_current(member, term, progress):
            try:
                if self._lacks_compacted_entries(progress):
                    await self._send_snapshot(member, term, progress)
                elif progress.next_index <= self._state.log.last_index:
                    await self._send_entries(member, term, progress)
                else:
                    await self._state.log_appended.wait()
            except failures.CallError:
                await trio.sleep(self._settings.heartbeat_interval_s)

    def _lacks_compacted_entries(self, progress: state_module.Progress) -> bool:
        log = self._state.log
        return progress.needs_snapshot or log.get_term(progress.next_index - 1) is None

    async def _send_snapshot(
        self, member: voters.Member, term: int, progress: state_module.Progress
    ) -> None:
        index = await snapshots.send_snapshot(self._state, self._network, member, term)
        if index or progress.needs_snapshot:
            progress.needs_snapshot = False
            progress.match_index = max(progress.match_index, index)
            progress.next_index = progress.match_index + 1
        else:
            await trio.sleep(self._settings.heartbeat_interval_s)

    async def _send_entries(
        self, member: voters.Member, term: int, progress: state_module.Progress
    ) -> None:
        log = self._state.log
        prev_index = progress.next_index - 1
        entries = log.get_entries(progress.next_index, self._settings.max_batch_bytes)
        request = messages.AppendRequest(
            term,
            self._settings.node_id,
            member.incarnation,
            prev_index,
            log.get_term(prev_index),
            [
                messages.LogEntry(entry.term, entry.kind, entry.body)
                for entry in entries
            ],
            self._state.commit_index,
        )
        sent_s = clocks.get_now_s()
        timeout_s = self._settings.election_timeout_min_s
        reply = await self._network.call(member.address, request, timeout_s)
        if self._process_reply(member, term, progress, reply.term, sent_s):
            self._process_append_reply(progress, reply)

    def _process_append_reply(
        self, progress: state_module.Progress, reply: messages.AppendReply
    ) -> None:
        if reply.is_success:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = progress.match_index + 1
            self._state.advance_commit()
            self._leave_joint_consensus()
        elif reply.needs_snapshot:
            progress.needs_snapshot = True
        else:
            hint = min(progress.next_index - 1, reply.match_index + 1)
            progress.next_index = max(hint, progress.match_index + 1, 1)

    def _process_reply(
        self,
        member: voters.Member,
        term: int,
        progress: state_module.Progress,
        reply_term: int,
        sent_s: float,
    ) -> bool:
        """Record a reply and its term.

        Returns
        -------
        bool
            Whether this host is still the leader in `term` and the peer a member.
        """
        self._state.adopt_term(reply_term)
        if not self._is_current(member, term, progress):
            return False
        snapshots.record_contact(self._state, member.key, sent_s)
        return True

    def _leave_joint_consensus(self) -> None:
        """Append the final set of voters once joint consensus is committed.

        A leader that is no voter in a committed final set steps down.
        """
        state = self._state
        log = state.log
        if log.voter_set_index > state.commit_index:
            return
        if log.voter_set.old_voters:
            final = voters.VoterSet(log.voter_set.voters)
            state.append_as_leader(
                storage.EntryKind.VOTER_SET, voters.encode_voter_set(final)
            )
        elif not state.is_voter:
            state.become_follower(None)


class Follower:
    """Answers the heartbeats and entries of a leader.

    Parameters
    ----------
    state : state.State
    """

    def __init__(self, state: state_module.State):
        self._state = state

    async def answer_heartbeat(
        self, request: messages.HeartbeatRequest
    ) -> messages.HeartbeatReply:
        """Record contact with the leader, and advance the commit index."""
        state = self._state
        state.check_incarnation(request.target_incarnation)
        if request.term >= state.term:
            state.record_leader_contact(
                request.term, request.leader_id, clocks.get_now_s()
            )
            state.commit_to(min(request.commit_index, state.log.last_index))
        return messages.HeartbeatReply(state.term)

    async def answer_append(
        self, request: messages.AppendRequest
    ) -> messages.AppendReply:
        """Append the leader's entries and answer after they are synced."""
        state = self._state
        state.check_incarnation(request.target_incarnation)
        if request.term < state.term:
            return messages.AppendReply(state.term, False, 0, False)
        state.record_leader_contact(request.term, request.leader_id, clocks.get_now_s())
        if not state.log.is_formed:
            return messages.AppendReply(request.term, False, 0, True)
        hint = self._find_conflict(request)
        if hint is not None:
            return messages.AppendReply(request.term, False, hint, False)
        match_index = self._append_new_entries(request)
        state.commit_to(min(request.commit_index, match_index))
        await state.writer.wait_until_synced()
        return messages.AppendReply(request.term, True, match_index, False)

    def _find_conflict(self, request: messages.AppendRequest) -> int | None:
        """Return the highest index at which the logs may match.

        Returns
        -------
        int or None
            None if the logs match at the entry that precedes the new ones.
        """
        log = self._state.log
        prev_index = request.prev_index
        if prev_index <= self._state.commit_index:
            # Entries that are committed here are in the log of every later leader.
            return None
        if prev_index > log.last_index:
            return log.last_index
        if log.get_term(prev_index) == request.prev_term:
            return None
        return max(log.get_term_start(prev_index) - 1, self._state.commit_index)

    def _append_new_entries(self, request: messages.AppendRequest) -> int:
        """Store the entries that this log lacks, and return the index of the last."""
        index = request.prev_index
        new_entries = []
        for sent in request.entries:
            index += 1
            if not new_entries and self._has_entry(index, sent.term):
                continue
            new_entries.append(
                storage.Entry(index, sent.term, storage.EntryKind(sent.kind), sent.body)
            )
        if new_entries:
            self._store_entries(new_entries)
        return index

    def _has_entry(self, index: int, term: int) -> bool:
        log = self._state.log
        return index < log.first_index or log.get_term(index) == term

    def _store_entries(self, new_entries: list[storage.Entry]) -> None:
        state = self._state
        index = new_entries[0].index
        if index <= state.commit_index:
            raise errors.LogConflictError(
                f"entry {index} of term {new_entries[0].term} conflicts with an entry"
                " that is committed at this index"
            )
        if index <= state.log.last_index:
            state.log.truncate(index)
            state.writer.submit(storage.Truncate(index))
        state.log.append(new_entries)
        state.writer.submit(storage.Append(tuple(new_entries)))
