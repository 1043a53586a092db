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
        requests = {
            member: self._build_request(member, term + 1, is_pre_vote=True, run_id="")
            for member in self._list_others()
        }
        # A host that is not back yet must not hold up the next attempt.
        longest_s = self._settings.heartbeat_interval_s
        answers = await self._gather(requests, longest_s, is_complete=True)
        is_unled = all(answer.is_unled for answer in answers.values())
        if not is_unled or not self._has_quorum(answers):
            return
        # Another host may have become a candidate meanwhile.
        if state.term == term and not state.has_known_leader and state.is_voter:
            await self._campaign({key: item.run_id for key, item in answers.items()})

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
        requests = {
            member: self._build_request(member, state.term + 1, is_pre_vote=True)
            for member in self._list_others()
        }
        longest_s = self._settings.election_timeout_min_s
        answers = await self._gather(requests, longest_s)
        if not self._has_quorum(answers):
            await self._back_off()
            return
        if state.is_leader_live(clocks.get_now_s()) or not state.is_voter:
            return
        if not await self._campaign({}):
            await self._back_off()

    async def _campaign(self, run_ids: typing.Mapping[str, str]) -> bool:
        """Ask for votes in a new term; return whether it need not be tried again.

        Parameters
        ----------
        run_ids : mapping of str to str
            The runs that the voters have just told, if none of them has known a
            leader; else empty.
        """
        state = self._state
        state.adopt_term(state.term + 1)
        state.role = _ROLE.CANDIDATE
        state.vote(state.key)
        term = state.term
        await state.writer.wait()
        requests = {
            member: self._build_request(
                member, term, is_pre_vote=False, run_id=run_ids.get(member.key)
            )
            for member in self._list_others()
        }
        longest_s = self._settings.election_timeout_min_s
        answers = await self._gather(requests, longest_s)
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

    def _list_others(self) -> list[voters.Member]:
        """Return the other voters."""
        state = self._state
        voter_set = state.log.voter_set
        return [peer for peer in state.peers if voter_set.is_voter(peer.key)]

    async def _gather(
        self,
        requests: typing.Mapping[voters.Member, messages.VoteRequest],
        longest_s: float,
        is_complete: bool = False,
    ) -> dict[str, _Answer]:
        """Return the answers of voters, by their keys.

        Parameters
        ----------
        requests : mapping of voters.Member to messages.VoteRequest
        longest_s : float
            Longest wait for them.
        is_complete : bool
            Whether to wait for all of them instead of a quorum's votes.
        """
        answers = {member.key: _Answer() for member in requests}
        with trio.move_on_after(longest_s):
            async with trio.open_nursery() as nursery:

                async def ask(
                    member: voters.Member, request: messages.VoteRequest
                ) -> None:
                    answers[member.key] = await self._ask(member, request)
                    if not is_complete and self._has_quorum(answers):
                        nursery.cancel_scope.cancel()

                for member, request in requests.items():
                    nursery.start_soon(ask, member, request)
        return answers

    def _build_request(
        self,
        member: voters.Member,
        term: int,
        is_pre_vote: bool,
        run_id: str | None = None,
    ) -> messages.VoteRequest:
        """Return what a voter is asked.

        Parameters
        ----------
        member : voters.Member
        term : int
        is_pre_vote : bool
        run_id : str or None
            The run that the voter told, empty to ask for it; None unless this host
            has known no leader.
        """
        log = self._state.log
        return messages.VoteRequest(
            term,
            self._state.key,
            member.incarnation,
            log.last_index,
            log.last_term,
            is_pre_vote,
            is_unled=run_id is not None,
            unled_run_id=run_id or "",
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
