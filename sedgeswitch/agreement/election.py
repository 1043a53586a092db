"""Elections: voting, candidacy and stepping down.

Elections are those of Raft with a pre-vote. After a restart of all voters they need
not wait for an election timeout; see `Election._run_restart_elections`.
"""

import random
import typing

import loguru
import trio

from sedgeswitch.agreement import messages
from sedgeswitch.agreement import network as network_module
from sedgeswitch.agreement import state as state_module
from sedgeswitch.agreement import voters
from sedgeswitch.transport import failures
from sedgeswitch.utils import clocks

_ROLE = state_module.Role
# Maximum pause after a lost election, as a fraction of the minimum election timeout;
# many times the round trip to the voters.
_BACKOFF_FRACTION = 0.5
# Time between the candidacies of two hosts after a restart of all voters, in seconds.
# An election takes two round trips between two regions and one sync.
_RESTART_STAGGER_S = 0.1


class _VoteResult(typing.NamedTuple):
    """The answer of a voter to a candidate; the defaults stand for no answer.

    Attributes
    ----------
    is_granted : bool
    is_refused : bool
        Whether the voter has answered and not granted its vote.
    is_replaced : bool
        Whether the host runs with another data folder than the voter's.
    run_id : str
        Id of the voter's process if it has had no contact with a leader; else
        empty.
    """

    is_granted: bool = False
    is_refused: bool = False
    is_replaced: bool = False
    run_id: str = ""

    @property
    def is_leaderless(self) -> bool:
        """Whether the voter has no lease that is valid, neither granted nor held.

        Its process has had no contact with a leader since it started, or the process
        that had the contact has ended, as the host runs with another data folder.
        """
        return self.is_replaced or bool(self.run_id)


class Election:
    """Starts elections, answers candidates and steps down without a quorum.

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
        # What the last line about a missing quorum has named.
        self._logged_answers: tuple[list[str], ...] = ()

    async def run(self) -> None:
        """Start elections when they are due, until cancelled."""
        await self._run_restart_elections()
        while True:
            if self._state.role is _ROLE.LEADER:
                await self._monitor_quorum()
            elif self._state.is_voter:
                await self._monitor_leader()
            else:
                await self._sleep(self._settings.election_timeout_min_s)

    async def answer_vote(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Answer a candidate, after the vote is synced to disk."""
        state = self._state
        state.check_incarnation(request.target_incarnation)
        is_granted = self._decide_vote(request, clocks.get_now_s())
        term = state.term
        await state.writer.wait_until_synced()
        run_id = "" if state.has_seen_leader else state.run_id
        return messages.VoteReply(term, is_granted, run_id)

    def _decide_vote(self, request: messages.VoteRequest, now_s: float) -> bool:
        """Return whether the vote is granted, and record it unless for a pre-vote."""
        state = self._state
        # The leader's lease relies on this rejection.
        if request.term < state.term or self._may_leader_hold_lease(request, now_s):
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
            state.record_vote(request.candidate_key)
        state.vote_granted_s = now_s
        return True

    def _may_leader_hold_lease(
        self, request: messages.VoteRequest, now_s: float
    ) -> bool:
        """Return whether a leader may hold a lease that this host has granted.

        Notes
        -----
        Contacts with a leader are not stored, so a restarted host must assume for
        the minimum election timeout that it had one just before. This assumption
        is unnecessary if the candidate found that the processes of all voters, the
        former leader included, have had no contact with a leader, and this host
        still runs the process that the candidate found. A lease that began in the
        meantime would need a quorum of voters that have had contact with its
        leader, and such voters reject the candidate.
        """
        state = self._state
        is_same_run = request.is_pre_vote or request.unled_run_id == state.run_id
        if request.is_unled and not state.has_seen_leader and is_same_run:
            return False
        return state.has_recent_leader(now_s)

    async def _run_restart_elections(self) -> None:
        """Try to become a candidate early if all voters were restarted.

        This ends when a leader has been seen, or at the minimum election timeout
        after the start, from when the usual elections are possible.
        """
        state = self._state
        ends_s = state.leader_contact_s + self._settings.election_timeout_min_s
        while state.is_voter and not state.has_seen_leader:
            if clocks.get_now_s() >= ends_s:
                return
            # Simultaneous candidates would split the votes.
            keys = sorted(peer.key for peer in [*state.peers, state])
            pause_s = _RESTART_STAGGER_S * (keys.index(state.key) + self._rng.random())
            await self._sleep(pause_s)
            await self._try_restart_election()

    async def _try_restart_election(self) -> None:
        """Become a candidate if no voter has had contact with a leader."""
        state = self._state
        term = state.term
        requests = {
            member: self._build_request(member, term + 1, is_pre_vote=True, run_id="")
            for member in self._list_other_voters()
        }
        # The short timeout keeps a host that is still down from delaying the next
        # attempt.
        timeout_s = self._settings.heartbeat_interval_s
        answers = await self._collect_votes(requests, timeout_s, waits_for_all=True)
        is_leaderless = all(answer.is_leaderless for answer in answers.values())
        if not is_leaderless or not self._has_quorum(answers):
            return
        # Another host may have become a candidate in the meantime.
        if state.term == term and not state.has_seen_leader and state.is_voter:
            await self._campaign({key: item.run_id for key, item in answers.items()})

    async def _monitor_quorum(self) -> None:
        """Step down when no quorum has answered for the maximum election timeout."""
        state = self._state
        contact_s = max(state.get_quorum_contact_s(), state.leader_since_s)
        remaining_s = (
            contact_s + self._settings.election_timeout_max_s - clocks.get_now_s()
        )
        if remaining_s > 0:
            await self._sleep(remaining_s)
        else:
            state.become_follower(None)

    async def _monitor_leader(self) -> None:
        """Start an election after a random time without contact with a leader."""
        state = self._state
        timeout_s = self._rng.uniform(
            self._settings.election_timeout_min_s, self._settings.election_timeout_max_s
        )
        while True:
            contact_s = max(state.leader_contact_s, state.vote_granted_s)
            remaining_s = contact_s + timeout_s - clocks.get_now_s()
            if remaining_s <= 0:
                break
            await trio.sleep(remaining_s)
        await self._run_pre_vote()

    async def _run_pre_vote(self) -> None:
        """Collect pre-votes and, if a quorum grants them, start an election."""
        state = self._state
        state.become_follower(None)
        requests = {
            member: self._build_request(member, state.term + 1, is_pre_vote=True)
            for member in self._list_other_voters()
        }
        timeout_s = self._settings.election_timeout_min_s
        answers = await self._collect_votes(requests, timeout_s)
        if not self._has_quorum(answers):
            self._log_no_quorum(answers)
            await self._sleep_backoff()
            return
        self._logged_answers = ()
        if state.has_recent_leader(clocks.get_now_s()) or not state.is_voter:
            return
        if not await self._campaign({}):
            await self._sleep_backoff()

    async def _campaign(self, run_ids: typing.Mapping[str, str]) -> bool:
        """Request votes in a new term.

        Parameters
        ----------
        run_ids : mapping of str to str
            The run ids in the pre-votes of all voters, by member key, if none of
            the voters has had contact with a leader; else empty.

        Returns
        -------
        bool
            Whether no other attempt is needed: this host has become the leader, or
            the candidacy was ended by a leader or by a higher term.
        """
        state = self._state
        state.adopt_term(state.term + 1)
        state.role = _ROLE.CANDIDATE
        state.record_vote(state.key)
        term = state.term
        await state.writer.wait_until_synced()
        requests = {
            member: self._build_request(
                member, term, is_pre_vote=False, run_id=run_ids.get(member.key)
            )
            for member in self._list_other_voters()
        }
        timeout_s = self._settings.election_timeout_min_s
        answers = await self._collect_votes(requests, timeout_s)
        if state.role is not _ROLE.CANDIDATE or state.term != term:
            return True
        if self._has_quorum(answers):
            state.become_leader(clocks.get_now_s())
            return True
        state.become_follower(None)
        return False

    def _has_quorum(self, answers: dict[str, _VoteResult]) -> bool:
        granted = {key for key, answer in answers.items() if answer.is_granted}
        return self._state.log.voter_set.has_quorum(granted | {self._state.key})

    def _list_other_voters(self) -> list[voters.Member]:
        """Return the voters except this host."""
        state = self._state
        voter_set = state.log.voter_set
        return [peer for peer in state.peers if voter_set.is_voter(peer.key)]

    async def _collect_votes(
        self,
        requests: typing.Mapping[voters.Member, messages.VoteRequest],
        timeout_s: float,
        waits_for_all: bool = False,
    ) -> dict[str, _VoteResult]:
        """Send vote requests and return the answers by member key.

        Parameters
        ----------
        requests : mapping of voters.Member to messages.VoteRequest
        timeout_s : float
            Maximum wait for the answers.
        waits_for_all : bool
            Whether to wait for all answers; otherwise only until a quorum has
            granted its votes.

        Returns
        -------
        dict of str to _VoteResult
            A voter that has not answered counts as not granting its vote.
        """
        answers = {member.key: _VoteResult() for member in requests}
        with trio.move_on_after(timeout_s):
            async with trio.open_nursery() as nursery:

                async def ask(
                    member: voters.Member, request: messages.VoteRequest
                ) -> None:
                    answers[member.key] = await self._request_vote(member, request)
                    if not waits_for_all and self._has_quorum(answers):
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
        """Return the request for the vote of a member.

        Parameters
        ----------
        member : voters.Member
        term : int
        is_pre_vote : bool
        run_id : str or None
            Only in elections after a restart of all voters: the run id that the
            voter has reported, or empty in the pre-vote that asks for it. None in
            all other elections.
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

    async def _request_vote(
        self, member: voters.Member, request: messages.VoteRequest
    ) -> _VoteResult:
        try:
            reply = await self._network.call(
                member.address, request, self._settings.election_timeout_min_s
            )
        except failures.CallError as error:
            return _VoteResult(is_replaced=error.code == state_module.WRONG_INCARNATION)
        self._state.adopt_term(reply.term)
        return _VoteResult(
            is_granted=reply.is_granted,
            is_refused=not reply.is_granted,
            run_id=reply.unled_run_id,
        )

    def _log_no_quorum(self, answers: typing.Mapping[str, _VoteResult]) -> None:
        """Log which voters keep this host from becoming a candidate, once for each set.

        A voter that was replaced and whose log does not say so tries without end.
        """
        replaced = sorted(key for key, item in answers.items() if item.is_replaced)
        refused = sorted(key for key, item in answers.items() if item.is_refused)
        granted = sorted(key for key, item in answers.items() if item.is_granted)
        unanswered = sorted(answers.keys() - {*replaced, *refused, *granted})
        named = (replaced, refused, unanswered)
        if named == self._logged_answers:
            return
        self._logged_answers = named
        loguru.logger.info(
            "no quorum for a candidacy",
            term=self._state.term,
            last_index=self._state.log.last_index,
            granted=len(granted) + 1,
            refused=refused,
            replaced=replaced,
            unanswered=unanswered,
        )

    async def _sleep_backoff(self) -> None:
        """Sleep for a random time so that the next candidacies do not collide."""
        max_s = _BACKOFF_FRACTION * self._settings.election_timeout_min_s
        await self._sleep(self._rng.uniform(0.0, max_s))

    async def _sleep(self, duration_s: float) -> None:
        """Sleep for a time, or until the role of this host changes."""
        with trio.move_on_after(duration_s):
            await self._state.role_changed.wait()
