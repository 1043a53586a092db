"""Changes of the cluster membership by joint consensus.

A voter is added, or replaced by another host or by the same host with a new data
folder.
"""

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
    """Adds and replaces voters, one at a time.

    Parameters
    ----------
    state : state.State
    network : network.Network
    """

    def __init__(self, state: state_module.State, network: network_module.Network):
        self._state = state
        self._network = network
        self._is_changing = False

    async def replace_voter(
        self, old_id: str, new_id: str, new_address: peer.Address
    ) -> None:
        """Replace a voter; see `node.Node.replace_voter`."""
        self._check_no_change_in_progress()
        self._is_changing = True
        try:
            member = await self._identify(new_id, new_address)
            if self._is_already_replaced(old_id, member):
                return
            await self._change_voters(self._find_voter(old_id, member), member)
        finally:
            self._is_changing = False

    async def add_voter(self, new_id: str, new_address: peer.Address) -> None:
        """Add a voter; see `node.Node.add_voter`."""
        self._check_no_change_in_progress()
        self._is_changing = True
        try:
            member = await self._identify(new_id, new_address)
            if member in self._state.log.voter_set.voters:
                return
            # A host that is a voter with another data folder must be replaced instead.
            self._check_not_voter(member)
            await self._change_voters(None, member)
        finally:
            self._is_changing = False

    def _check_not_voter(self, member: voters.Member) -> None:
        if any(voter.id == member.id for voter in self._state.log.voter_set.voters):
            raise errors.ReplacementError(f"{member.id} is already a voter")

    def _check_no_change_in_progress(self) -> None:
        state = self._state
        state.check_leading()
        log = state.log
        is_committed = (
            state.commit_index >= max(log.voter_set_index, state.term_start_index)
            and not log.voter_set.old_voters
        )
        if self._is_changing or not is_committed:
            raise errors.ChangeInProgressError(
                "the previous change of the voters is not committed yet"
            )

    async def _identify(self, new_id: str, address: peer.Address) -> voters.Member:
        try:
            reply = await formation.identify(
                self._network, address, self._state.settings.node_id
            )
        except failures.CallError as error:
            raise errors.ReplacementError(
                f"host {new_id} does not answer at {address}: {error}"
            ) from error
        if reply.node_id != new_id:
            raise errors.ReplacementError(
                f"expected host {new_id} at {address}, but {reply.node_id} answers"
            )
        return formation.build_member(reply, address)

    def _is_already_replaced(self, old_id: str, member: voters.Member) -> bool:
        """Return whether an earlier request has made this replacement already."""
        current_voters = self._state.log.voter_set.voters
        is_removed = old_id == member.id or all(
            old_id != voter.id for voter in current_voters
        )
        return is_removed and member in current_voters

    def _find_voter(self, old_id: str, member: voters.Member) -> voters.Member:
        current_voters = self._state.log.voter_set.voters
        for voter in current_voters:
            if voter.id == member.id and voter.id != old_id:
                raise errors.ReplacementError(f"{member.id} is already a voter")
        for voter in current_voters:
            if voter.id == old_id:
                return voter
        raise errors.ReplacementError(f"host {old_id} is not a voter")

    async def _change_voters(
        self, old: voters.Member | None, new: voters.Member
    ) -> None:
        """Replace a voter by a member, or add the member if `old` is None.

        The member is first a learner until it has the log, then joint consensus
        makes it a voter.
        """
        state = self._state
        term = state.term
        current_voters = state.log.voter_set.voters
        await self._commit(voters.VoterSet(current_voters, learners=(new,)), term)
        await self._wait_replicated(new, state.commit_index, term)
        new_voters = tuple(new if voter == old else voter for voter in current_voters)
        if old is None:
            new_voters = (*current_voters, new)
        await self._commit(voters.VoterSet(new_voters, old_voters=current_voters), term)
        # Replication ends joint consensus on its own, once it is committed.
        while state.log.voter_set.old_voters:
            await self._wait_for_reply(term)
        final_index = state.log.voter_set_index
        await self._wait_committed(final_index, term)
        if new.key != state.key and state.is_leading(term):
            await self._wait_replicated(new, final_index, term)

    async def _commit(self, voter_set: voters.VoterSet, term: int) -> None:
        self._check_term(term)
        body = voters.encode_voter_set(voter_set)
        index = self._state.append_as_leader(storage.EntryKind.VOTER_SET, body)
        await self._wait_committed(index, term)

    async def _wait_committed(self, index: int, term: int) -> None:
        while self._state.commit_index < index:
            await self._wait_for_reply(term)

    async def _wait_for_reply(self, term: int) -> None:
        self._check_term(term)
        # The signal is sent for each reply of a peer and when the leadership ends.
        await self._state.peer_replied.wait()
        await trio.lowlevel.checkpoint()

    async def _wait_replicated(
        self, member: voters.Member, index: int, term: int
    ) -> None:
        while True:
            self._check_term(term)
            progress = self._state.progress.get(member.key)
            if progress is not None and progress.match_index >= index:
                return
            await self._state.peer_replied.wait()

    def _check_term(self, term: int) -> None:
        if not self._state.is_leading(term):
            raise errors.OutcomeUnknownError(
                "this host lost its leadership during the change of the voters"
            )
