"""Elections: who leads in a term."""

import random

import trio

from sedgeswitch.agreement import messages
from sedgeswitch.agreement import network as network_module
from sedgeswitch.agreement import state as state_module
from sedgeswitch.agreement import voters
from sedgeswitch.transport import failures
from sedgeswitch.utils import clocks

_ROLE = state_module.Role


class Election:
    """Starts elections, answers candidates and ends a leadership without quorum.

    Parameters
    ----------
    state : state.State
    network : network.Network
    rng : random.Random
    """

    def __init__(
        self,
        state: state_module.State,
        network: network_module.Network,
        rng: random.Random,
    ):
        self._state = state
        self._network = network
        self._rng = rng
        self._settings = state.settings

    async def run(self) -> None:
        """Take part in elections until cancelled."""
        while True:
            if self._state.role is _ROLE.LEADER:
                await self._watch_quorum()
            elif self._state.is_voter:
                await self._watch_leader()
            else:
                await self._sleep(self._settings.election_timeout_min_s)

    async def answer_vote(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Answer a candidate, once the vote is synced."""
        state = self._state
        state.check_incarnation(request.target_incarnation)
        is_granted = self._decide_vote(request, clocks.get_now_s())
        term = state.term
        await state.writer.wait()
        return messages.VoteReply(term, is_granted)

    def _decide_vote(self, request: messages.VoteRequest, now_s: float) -> bool:
        state = self._state
        # A leader's lease rests on this refusal.
        if request.term < state.term or state.is_leader_live(now_s):
            return False
        if not request.is_pre_vote:
            state.adopt_term(request.term)
        log = state.log
        if (request.last_term, request.last_index) < (log.last_term, log.last_index):
            return False
        if request.is_pre_vote:
            return True
        if state.voted_for not in ("", request.candidate_key):
            return False
        if not state.voted_for:
            state.vote(request.candidate_key)
        state.vote_granted_s = now_s
        return True

    async def _watch_quorum(self) -> None:
        """Step down once no quorum has answered for an election timeout."""
        state = self._state
        heard_s = max(state.get_confirmed_s(), state.led_since_s)
        left_s = heard_s + self._settings.election_timeout_max_s - clocks.get_now_s()
        if left_s > 0:
            await self._sleep(left_s)
        else:
            state.become_follower(None)

    async def _watch_leader(self) -> None:
        """Stand as a candidate if no leader is heard for a random time."""
        state = self._state
        timeout_s = self._rng.uniform(
            self._settings.election_timeout_min_s, self._settings.election_timeout_max_s
        )
        while True:
            heard_s = max(state.leader_heard_s, state.vote_granted_s)
            left_s = heard_s + timeout_s - clocks.get_now_s()
            if left_s <= 0:
                break
            await trio.sleep(left_s)
        await self._stand()

    async def _stand(self) -> None:
        state = self._state
        state.become_follower(None)
        if not await self._gather(state.term + 1, is_pre_vote=True):
            await self._back_off()
            return
        if state.is_leader_live(clocks.get_now_s()) or not state.is_voter:
            return
        state.adopt_term(state.term + 1)
        state.role = _ROLE.CANDIDATE
        state.vote(state.key)
        term = state.term
        await state.writer.wait()
        is_elected = await self._gather(term, is_pre_vote=False)
        if state.role is not _ROLE.CANDIDATE or state.term != term:
            return
        if is_elected:
            state.become_leader(clocks.get_now_s())
        else:
            state.become_follower(None)
            await self._back_off()

    async def _gather(self, term: int, is_pre_vote: bool) -> bool:
        """Return whether a quorum votes for this host."""
        granted = {self._state.key}
        voter_set = self._state.log.voter_set
        with trio.move_on_after(self._settings.election_timeout_min_s):
            async with trio.open_nursery() as nursery:

                async def ask(member: voters.Member) -> None:
                    if await self._ask(member, term, is_pre_vote):
                        granted.add(member.key)
                    if voter_set.has_quorum(granted):
                        nursery.cancel_scope.cancel()

                for member in self._state.peers:
                    nursery.start_soon(ask, member)
        return voter_set.has_quorum(granted)

    async def _ask(self, member: voters.Member, term: int, is_pre_vote: bool) -> bool:
        log = self._state.log
        request = messages.VoteRequest(
            term,
            self._state.key,
            member.incarnation,
            log.last_index,
            log.last_term,
            is_pre_vote,
        )
        try:
            reply = await self._network.call(
                member.address, request, self._settings.election_timeout_min_s
            )
        except failures.CallError:
            return False
        self._state.adopt_term(reply.term)
        return reply.is_granted

    async def _back_off(self) -> None:
        longest_s = self._settings.election_timeout_min_s
        await self._sleep(self._rng.uniform(0.0, longest_s))

    async def _sleep(self, duration_s: float) -> None:
        """Sleep, or until the role changes."""
        with trio.move_on_after(duration_s):
            await self._state.role_moved.wait()
