"""Replacing a voter by another host, or by the same host on a new disk."""

import trio

from sedgeswitch.agreement import errors
from sedgeswitch.agreement import formation
from sedgeswitch.agreement import network as network_module
from sedgeswitch.agreement import state as state_module
from sedgeswitch.agreement import storage
from sedgeswitch.agreement import voters
from sedgeswitch.transport import failures
from sedgeswitch.transport import peer


class Reconfiguration:
    """Replaces voters, one at a time.

    Parameters
    ----------
    state : state.State
    network : network.Network
    """

    def __init__(self, state: state_module.State, network: network_module.Network):
        self._state = state
        self._network = network
        self._is_busy = False

    async def replace_voter(
        self, old_id: str, new_id: str, new_address: peer.Address
    ) -> None:
        """Replace a voter; see `node.Node.replace_voter`."""
        self._check_idle()
        self._is_busy = True
        try:
            member = await self._identify(new_id, new_address)
            if self._is_done(old_id, member):
                return
            await self._change(self._find_voter(old_id, member), member)
        finally:
            self._is_busy = False

    async def add_voter(self, new_id: str, new_address: peer.Address) -> None:
        """Add a voter; see `node.Node.add_voter`."""
        self._check_idle()
        self._is_busy = True
        try:
            member = await self._identify(new_id, new_address)
            if member in self._state.log.voter_set.voters:
                return
            # Refuses a host that is a voter already, on another disk.
            self._check_absent(member)
            await self._change(None, member)
        finally:
            self._is_busy = False

    def _check_absent(self, member: voters.Member) -> None:
        if any(voter.id == member.id for voter in self._state.log.voter_set.voters):
            raise errors.ReplacementError(f"{member.id} is a voter already")

    def _check_idle(self) -> None:
        state = self._state
        state.check_leading()
        log = state.log
        is_settled = (
            state.commit_index >= max(log.voter_set_index, state.term_start_index)
            and not log.voter_set.old_voters
        )
        if self._is_busy or not is_settled:
            raise errors.ChangeInProgressError(
                "the last change of the voters is not committed yet"
            )

    async def _identify(self, new_id: str, address: peer.Address) -> voters.Member:
        try:
            reply = await formation.identify(
                self._network, address, self._state.settings.node_id
            )
        except failures.CallError as error:
            raise errors.ReplacementError(
                f"{new_id} does not answer at {address}: {error}"
            ) from error
        if reply.node_id != new_id:
            raise errors.ReplacementError(
                f"{address} answers as {reply.node_id}, not as {new_id}"
            )
        return formation.build_member(reply, address)

    def _is_done(self, old_id: str, member: voters.Member) -> bool:
        """Return whether an earlier request has done this already."""
        present = self._state.log.voter_set.voters
        is_out = old_id == member.id or all(old_id != voter.id for voter in present)
        return is_out and member in present

    def _find_voter(self, old_id: str, member: voters.Member) -> voters.Member:
        present = self._state.log.voter_set.voters
        for voter in present:
            if voter.id == member.id and voter.id != old_id:
                raise errors.ReplacementError(f"{member.id} is a voter already")
        for voter in present:
            if voter.id == old_id:
                return voter
        raise errors.ReplacementError(f"{old_id} is not a voter")

    async def _change(self, old: voters.Member | None, new: voters.Member) -> None:
        """Put a member in the place of a voter, or beside all of them."""
        state = self._state
        term = state.term
        present = state.log.voter_set.voters
        await self._commit(voters.VoterSet(present, learners=(new,)), term)
        await self._wait_held(new, state.commit_index, term)
        after = tuple(new if voter == old else voter for voter in present)
        if old is None:
            after = (*present, new)
        await self._commit(voters.VoterSet(after, old_voters=present), term)
        # The leader ends the joint step by itself; see Replication.
        while state.log.voter_set.old_voters:
            await self._wait_commit_or_loss(term)
        final_index = state.log.voter_set_index
        await self._wait_committed(final_index, term)
        if new.key != state.key and state.is_leading(term):
            await self._wait_held(new, final_index, term)

    async def _commit(self, voter_set: voters.VoterSet, term: int) -> None:
        self._check_term(term)
        body = voters.encode_voter_set(voter_set)
        index = self._state.append_own(storage.EntryKind.VOTER_SET, body)
        await self._wait_committed(index, term)

    async def _wait_committed(self, index: int, term: int) -> None:
        while self._state.commit_index < index:
            await self._wait_commit_or_loss(term)

    async def _wait_commit_or_loss(self, term: int) -> None:
        self._check_term(term)
        # Sent for each answer of a peer and when leadership ends.
        await self._state.peer_answered.wait()
        await trio.lowlevel.checkpoint()

    async def _wait_held(self, member: voters.Member, index: int, term: int) -> None:
        while True:
            self._check_term(term)
            progress = self._state.progress.get(member.key)
            if progress is not None and progress.match_index >= index:
                return
            await self._state.peer_answered.wait()

    def _check_term(self, term: int) -> None:
        if not self._state.is_leading(term):
            raise errors.OutcomeUnknownError(
                "leadership was lost during the replacement"
            )
