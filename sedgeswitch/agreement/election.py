"""Elections: who leads in a term."""

import random
import typing

import trio

from sedgeswitch.agreement import messages
from sedgeswitch.agreement import network as network_module
from sedgeswitch.agreement import state as state_module
from sedgeswitch.agreement import voters
from sedgeswitch.transport import failures
from sedgeswitch.utils import clocks

_ROLE = state_module.Role
# Longest pause after a refused candidacy, as a part of the shorter election
# timeout; many times the way to the voters and back.
_BACK_OFF_SHARE = 0.5
# Time between the candidacies of two hosts after a restart of all, in seconds; a vote
# takes the way between two regions and back, twice, and a sync.
_RESUME_PAUSE_S = 0.1


class _Answer(typing.NamedTuple):
    """What a voter answered a candidate.

    Attributes
    ----------
    is_granted : bool
    is_unled : bool
        Whether no leader can run in the voter's place: its process has known none
        since it started, or its disk is gone and with it the run that knew one.
    run_id : str
        The run of a voter that has known no leader.
    """

    is_granted: bool = False
    is_unled: bool = False
    run_id: str = ""


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
        await self._resume()
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
        run_id = "" if state.has_known_leader else state.run_id
        return messages.VoteReply(term, is_granted, run_id)

    def _decide_vote(self, request: messages.VoteRequest, now_s: float) -> bool:
        state = self._state
        # A leader's lease rests on this refusal.
        if request.term < state.term or self._may_be_led(request, now_s):
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

    def _may_be_led(self, request: messages.VoteRequest, now_s: float) -> bool:
        """Return whether a leader may hold a lease that this host has granted.

        Notes
        -----
        A host does not know whom it heard before it was restarted. No lease is left
        if the candidate found each voter, the leader of old among them, in a run
        that has known no leader, and this is still the run that it found here: a
        lease that began since then rests on a voter that has known its leader.
        """
        state = self._state
        is_same_run = request.is_pre_vote or request.unled_run_id == state.run_id
        if request.is_unled and not state.has_known_leader and is_same_run:
            return False
        return state.is_leader_live(now_s)

    async def _resume(self) -> None:
        """Stand early if all voters were restarted, as after a kill of all."""
        state = self._state
        ends_s = state.leader_heard_s + self._settings.election_timeout_min_s
        while state.is_voter and not state.has_known_leader:
            if clocks.get_now_s() >= ends_s:
                return
            # Candidates that stand at the same time would split the votes.
            place = sorted(peer.key for peer in [*state.peers, state])
            pause_s = _RESUME_PAUSE_S * (place.index(state.key) + self._rng.random())
            await self._sleep(pause_s)
            await self._try_resume()

    async def _try_resume(self) -> None:
        """Stand as a candidate if no voter has known a leader."""
        state = self._state
        term = state.term
        answers = await self._gather(term + 1, is_pre_vote=True, unled={})
        is_unled = all(answer.is_unled for answer in answers.values())
        if not is_unled or not self._has_quorum(answers):
            return
        # Another host may have become a candidate meanwhile.
        if state.term == term and not state.has_known_leader and state.is_voter:
            await self._campaign(answers)

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
        answers = await self._gather(state.term + 1, is_pre_vote=True)
        if not self._has_quorum(answers):
            await self._back_off()
            return
        if state.is_leader_live(clocks.get_now_s()) or not state.is_voter:
            return
        if not await self._campaign(None):
            await self._back_off()

    async def _campaign(self, unled: dict[str, _Answer] | None) -> bool:
        """Ask for votes in a new term; return whether it need not be tried again.

        Parameters
        ----------
        unled : dict of str to _Answer or None
            What all voters have just answered, if none of them has known a leader.
        """
        state = self._state
        state.adopt_term(state.term + 1)
        state.role = _ROLE.CANDIDATE
        state.vote(state.key)
        term = state.term
        await state.writer.wait()
        answers = await self._gather(term, is_pre_vote=False, unled=unled)
        if state.role is not _ROLE.CANDIDATE or state.term != term:
            return True
        if self._has_quorum(answers):
            state.become_leader(clocks.get_now_s())
            return True
        state.become_follower(None)
        return False

    def _has_quorum(self, answers: dict[str, _Answer]) -> bool:
        granted = {key for key, answer in answers.items() if answer.is_granted}
        return self._state.log.voter_set.has_quorum(granted | {self._state.key})

    async def _gather(
        self,
        term: int,
        is_pre_vote: bool,
        unled: dict[str, _Answer] | None = None,
    ) -> dict[str, _Answer]:
        """Return the answers of the other voters, by their keys.

        Parameters
        ----------
        term : int
        is_pre_vote : bool
        unled : dict of str to _Answer, optional
            Earlier answers of the voters, none of whom has known a leader; empty
            to ask all of them for that.
        """
        state = self._state
        voter_set = state.log.voter_set
        voters_asked = [peer for peer in state.peers if voter_set.is_voter(peer.key)]
        answers = {member.key: _Answer() for member in voters_asked}
        is_resuming = unled is not None and is_pre_vote
        # A host that is not back yet must not hold up the next attempt.
        longest_s = self._settings.election_timeout_min_s
        if is_resuming:
            longest_s = self._settings.heartbeat_interval_s
        with trio.move_on_after(longest_s):
            async with trio.open_nursery() as nursery:

                async def ask(member: voters.Member) -> None:
                    request = self._build_request(member, term, is_pre_vote)
                    if unled is not None:
                        request.is_unled = True
                        request.unled_run_id = unled.get(member.key, _Answer()).run_id
                    answers[member.key] = await self._ask(member, request)
                    if not is_resuming and self._has_quorum(answers):
                        nursery.cancel_scope.cancel()

                for member in voters_asked:
                    nursery.start_soon(ask, member)
        return answers

    def _build_request(
        self, member: voters.Member, term: int, is_pre_vote: bool
    ) -> messages.VoteRequest:
        state = self._state
        return messages.VoteRequest(
            term,
            state.key,
            member.incarnation,
            state.log.last_index,
            state.log.last_term,
            is_pre_vote,
            is_unled=False,
            unled_run_id="",
        )

    async def _ask(
        self, member: voters.Member, request: messages.VoteRequest
    ) -> _Answer:
        try:
            reply = await self._network.call(
                member.address, request, self._settings.election_timeout_min_s
            )
        except failures.CallError as error:
            return _Answer(is_unled=error.code == state_module.WRONG_INCARNATION)
        self._state.adopt_term(reply.term)
        return _Answer(reply.is_granted, bool(reply.unled_run_id), reply.unled_run_id)

    async def _back_off(self) -> None:
        longest_s = _BACK_OFF_SHARE * self._settings.election_timeout_min_s
        await self._sleep(self._rng.uniform(0.0, longest_s))

    async def _sleep(self, duration_s: float) -> None:
        """Sleep, or until the role changes."""
        with trio.move_on_after(duration_s):
            await self._state.role_moved.wait()
