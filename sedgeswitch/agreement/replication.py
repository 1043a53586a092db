"""Replication: the leader brings its log to the other hosts."""

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


class Replication:
    """Sends heartbeats and entries while this host leads.

    Parameters
    ----------
    state : state.State
    network : network.Network
    """

    def __init__(self, state: state_module.State, network: network_module.Network):
        self._state = state
        self._network = network
        self._settings = state.settings
        self._beat_wanted = trio.Event()

    def request_heartbeats(self) -> None:
        """Send a round of heartbeats at once."""
        self._beat_wanted.set()
        self._beat_wanted = trio.Event()

    async def run(self) -> None:
        """Replicate while this host leads, until cancelled."""
        while True:
            if self._state.role is state_module.Role.LEADER:
                await self._lead(self._state.term)
            else:
                await self._state.role_moved.wait()

    async def _lead(self, term: int) -> None:
        served = set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_disk, term)
            nursery.start_soon(self._watch_log, term, served, nursery)
            while self._state.is_leading(term):
                await self._state.role_moved.wait()
            nursery.cancel_scope.cancel()

    async def _watch_disk(self, term: int) -> None:
        """Count what this host has synced itself."""
        while self._state.is_leading(term):
            self._state.advance_commit()
            self._finish_change()
            await self._state.writer.wait_for_sync()

    async def _watch_log(self, term: int, served: set, nursery: trio.Nursery) -> None:
        """Start the tasks of each new peer."""
        while self._state.is_leading(term):
            for member in self._state.peers:
                if member.key not in served:
                    served.add(member.key)
                    nursery.start_soon(self._send_log, member, term)
                    nursery.start_soon(self._send_heartbeats, member, term)
            await self._state.log_grown.wait()

    def _get_progress(
        self, member: voters.Member, term: int
    ) -> state_module.Progress | None:
        """Return the progress of a peer, or None if it is no longer served."""
        if not self._state.is_leading(term):
            return None
        return self._state.progress.get(member.key)

    async def _send_heartbeats(self, member: voters.Member, term: int) -> None:
        async with trio.open_nursery() as nursery:
            while self._get_progress(member, term) is not None:
                nursery.start_soon(self._send_heartbeat, member, term)
                with trio.move_on_after(self._settings.heartbeat_interval_s):
                    await self._beat_wanted.wait()

    async def _send_heartbeat(self, member: voters.Member, term: int) -> None:
        progress = self._get_progress(member, term)
        if progress is None:
            return
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
                progress.is_replaced = True
            return
        self._note_reply(member, term, reply.term, sent_s)

    async def _send_log(self, member: voters.Member, term: int) -> None:
        while (progress := self._get_progress(member, term)) is not None:
            try:
                if self._is_behind_log(progress):
                    await self._send_snapshot(member, term, progress)
                elif progress.next_index <= self._state.log.last_index:
                    await self._send_entries(member, term, progress)
                else:
                    await self._state.log_grown.wait()
            except failures.CallError:
                await trio.sleep(self._settings.heartbeat_interval_s)

    def _is_behind_log(self, progress: state_module.Progress) -> bool:
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
        if self._note_reply(member, term, reply.term, sent_s):
            self._note_append(progress, reply)

    def _note_append(
        self, progress: state_module.Progress, reply: messages.AppendReply
    ) -> None:
        if reply.is_success:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = progress.match_index + 1
            self._state.advance_commit()
            self._finish_change()
        elif reply.needs_snapshot:
            progress.needs_snapshot = True
        else:
            hint = min(progress.next_index - 1, reply.match_index + 1)
            progress.next_index = max(hint, progress.match_index + 1, 1)

    def _note_reply(
        self, member: voters.Member, term: int, reply_term: int, sent_s: float
    ) -> bool:
        """Return whether this host still leads after a reply."""
        self._state.adopt_term(reply_term)
        if self._get_progress(member, term) is None:
            return False
        snapshots.note_answer(self._state, member.key, sent_s)
        return True

    def _finish_change(self) -> None:
        """End a change of the voters whose joint step is committed."""
        state = self._state
        log = state.log
        if log.voter_set_index > state.commit_index:
            return
        if log.voter_set.old_voters:
            final = voters.VoterSet(log.voter_set.voters)
            state.append_own(
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
        """Note that the leader lives, and what is committed."""
        state = self._state
        state.check_incarnation(request.target_incarnation)
        if request.term >= state.term:
            state.hear_leader(request.term, request.leader_id, clocks.get_now_s())
            state.commit_to(min(request.commit_index, state.log.last_index))
        return messages.HeartbeatReply(state.term)

    async def answer_append(
        self, request: messages.AppendRequest
    ) -> messages.AppendReply:
        """Take entries; answered once they are synced."""
        state = self._state
        state.check_incarnation(request.target_incarnation)
        if request.term < state.term:
            return messages.AppendReply(state.term, False, 0, False)
        state.hear_leader(request.term, request.leader_id, clocks.get_now_s())
        if not state.log.is_formed:
            return messages.AppendReply(request.term, False, 0, True)
        hint = self._find_conflict(request)
        if hint is not None:
            return messages.AppendReply(request.term, False, hint, False)
        match_index = self._take_entries(request)
        state.commit_to(min(request.commit_index, match_index))
        await state.writer.wait()
        return messages.AppendReply(request.term, True, match_index, False)

    def _find_conflict(self, request: messages.AppendRequest) -> int | None:
        """Return an index below which the logs may agree, or None if they do."""
        log = self._state.log
        prev_index = request.prev_index
        if prev_index <= self._state.commit_index:
            # What is committed here is the same in every leader's log.
            return None
        if prev_index > log.last_index:
            return log.last_index
        if log.get_term(prev_index) == request.prev_term:
            return None
        return max(log.get_term_start(prev_index) - 1, self._state.commit_index)

    def _take_entries(self, request: messages.AppendRequest) -> int:
        """Store what is new of the entries and return the last index they reach."""
        index = request.prev_index
        fresh = []
        for sent in request.entries:
            index += 1
            if not fresh and self._has_entry(index, sent.term):
                continue
            fresh.append(
                storage.Entry(index, sent.term, storage.EntryKind(sent.kind), sent.body)
            )
        if fresh:
            self._store(fresh)
        return index

    def _has_entry(self, index: int, term: int) -> bool:
        log = self._state.log
        return index < log.first_index or log.get_term(index) == term

    def _store(self, fresh: list[storage.Entry]) -> None:
        state = self._state
        index = fresh[0].index
        if index <= state.commit_index:
            raise errors.LogConflictError(
                f"entry {index} of term {fresh[0].term} contradicts a committed one"
            )
        if index <= state.log.last_index:
            state.log.truncate(index)
            state.writer.submit(storage.Truncate(index))
        state.log.append(fresh)
        state.writer.submit(storage.Append(tuple(fresh)))
