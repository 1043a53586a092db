"""What the tasks of one host share: term, role, log and progress of the peers."""

import enum
import math
import secrets

import loguru

from sedgeswitch import verdicts
from sedgeswitch.agreement import _signals
from sedgeswitch.agreement import errors
from sedgeswitch.agreement import log as log_module
from sedgeswitch.agreement import proposals
from sedgeswitch.agreement import settings as settings_module
from sedgeswitch.agreement import storage
from sedgeswitch.agreement import voters
from sedgeswitch.agreement import writer as writer_module
from sedgeswitch.transport import failures

NEVER_S = -math.inf
_RUN_ID_BYTES = 8
WRONG_INCARNATION = "wrong_incarnation"


class Role(enum.Enum):
    """What a host is in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Progress:
    """What the leader knows of one peer."""

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.match_index = 0
        self.needs_snapshot = False
        # When the last request that the peer has answered was sent.
        self.confirmed_s = NEVER_S
        # Whether the host runs on another disk than the member.
        self.is_replaced = False


class State:
    """What the tasks of one host share.

    Parameters
    ----------
    settings : settings.NodeSettings
    incarnation : str
    log : log.Log
    writer : writer.Writer
    stored : storage.Stored
    started_s : float
        Start of the process. The host hears no candidate for the shortest election
        timeout from then, since it does not know whom it heard before.
    """

    def __init__(
        self,
        settings: settings_module.NodeSettings,
        incarnation: str,
        log: log_module.Log,
        writer: writer_module.Writer,
        stored: storage.Stored,
        started_s: float,
    ):
        self.settings = settings
        self.incarnation = incarnation
        self.key = f"{settings.node_id}/{incarnation}"
        self.log = log
        self.writer = writer
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.role = Role.FOLLOWER
        self.run_id = secrets.token_hex(_RUN_ID_BYTES)
        # Whether any leader, also itself, was known since the process started.
        self.has_known_leader = False
        self.leader_id: str | None = None
        self.leader_heard_s = started_s
        self.vote_granted_s = started_s
        self.led_since_s = NEVER_S
        self.term_start_index = 0
        self.commit_index = log.snapshot_index
        self.applied_index = log.snapshot_index
        self.progress: dict[str, Progress] = {}
        self.proposals = proposals.Proposals()
        self._appended: list[tuple[int, int]] = []
        self._durable_index = 0
        self._is_stopped = False
        self.role_moved = _signals.Signal()
        self.log_grown = _signals.Signal()
        self.commit_moved = _signals.Signal()
        self.applied_moved = _signals.Signal()
        self.peer_answered = _signals.Signal()

    @property
    def is_voter(self) -> bool:
        """Whether this host counts, by the set of voters it knows."""
        voter_set = self.log.voter_set
        return voter_set is not None and voter_set.is_voter(self.key)

    @property
    def peers(self) -> list[voters.Member]:
        """The other members."""
        voter_set = self.log.voter_set
        if voter_set is None:
            return []
        return [member for member in voter_set.members if member.key != self.key]

    def is_leading(self, term: int) -> bool:
        """Return whether this host leads in the term."""
        return self.role is Role.LEADER and self.term == term

    def check_incarnation(self, incarnation: str) -> None:
        """Refuse a request that was meant for another disk, or comes too late.

        Raises
        ------
        failures.CallError
        """
        verdict = verdicts.Verdict.NOT_RUN
        if self._is_stopped:
            raise failures.CallError("stopped", f"{self.key} has stopped", verdict)
        if incarnation != self.incarnation:
            raise failures.CallError(WRONG_INCARNATION, f"this is {self.key}", verdict)

    def stop(self) -> None:
        """Answer nobody from now on; the disk is about to be closed."""
        self._is_stopped = True
        self.become_follower(None)

    def check_leading(self) -> None:
        """Refuse if this host does not lead.

        Raises
        ------
        errors.NotLeaderError
        """
        if self.role is not Role.LEADER:
            raise errors.NotLeaderError(self.leader_id)

    def is_leader_live(self, now_s: float) -> bool:
        """Return whether a leader was heard too recently to vote for another."""
        if self.role is Role.LEADER:
            return True
        return now_s - self.leader_heard_s < self.settings.election_timeout_min_s

    def adopt_term(self, term: int) -> None:
        """Become a follower in a higher term; a lower one changes nothing."""
        if term <= self.term:
            return
        self.term = term
        self.voted_for = ""
        self.writer.submit(storage.SaveVote(term, ""))
        self.become_follower(None)

    def become_follower(self, leader_id: str | None) -> None:
        """Follow a leader, or nobody yet."""
        if self.role is Role.LEADER:
            loguru.logger.info("{} no longer leads", self.key)
        is_change = self.role is not Role.FOLLOWER or self.leader_id != leader_id
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        if is_change:
            self.progress = {}
            self.proposals.abandon()
            self.role_moved.send()
            self.peer_answered.send()

    def vote(self, candidate_key: str) -> None:
        """Record the vote of this host in its term."""
        self.voted_for = candidate_key
        self.writer.submit(storage.SaveVote(self.term, candidate_key))

    def hear_leader(self, term: int, leader_id: str, now_s: float) -> None:
        """Note that the leader of a term not below ours was heard."""
        self.adopt_term(term)
        self.become_follower(leader_id)
        self.leader_heard_s = now_s
        self.has_known_leader = True

    def become_leader(self, now_s: float) -> None:
        """Lead in the present term, starting with an entry of it."""
        self.role = Role.LEADER
        self.has_known_leader = True
        self.leader_id = self.settings.node_id
        self.led_since_s = now_s
        self.progress = {}
        self._appended = []
        self._durable_index = 0
        self.term_start_index = self.log.last_index + 1
        self.append_own(storage.EntryKind.NO_OPERATION, b"")
        self.role_moved.send()
        loguru.logger.info("{} leads in term {}", self.key, self.term)

    def append_own(self, kind: storage.EntryKind, body: bytes) -> int:
        """Append an entry as leader and return its index."""
        index = self.log.last_index + 1
        entry = storage.Entry(index, self.term, kind, body)
        self.log.append([entry])
        ticket = self.writer.submit(storage.Append((entry,)))
        self._appended.append((ticket, index))
        self._refresh_progress()
        self.log_grown.send()
        return index

    def get_confirmed_s(self) -> float:
        """Return when the last round that a quorum answered was sent."""
        values = {key: peer.confirmed_s for key, peer in self.progress.items()}
        values[self.key] = math.inf
        return self.log.voter_set.get_quorum_value(values, NEVER_S)

    def advance_commit(self) -> None:
        """Commit, as leader, what a quorum holds on disk."""
        values = {key: peer.match_index for key, peer in self.progress.items()}
        values[self.key] = self._get_durable_index()
        index = int(self.log.voter_set.get_quorum_value(values, 0))
        # Entries of earlier terms are committed by one of this term only.
        if index >= self.term_start_index:
            self.commit_to(index)

    def commit_to(self, index: int) -> None:
        """Note that the entries up to an index are committed."""
        if index > self.commit_index:
            self.commit_index = index
            self.commit_moved.send()

    def note_applied(self, index: int) -> None:
        """Note that the entries up to an index are applied."""
        self.applied_index = index
        self.applied_moved.send()

    async def wait_applied(self, index: int) -> None:
        """Wait until the entry at an index is applied here."""
        while self.applied_index < index:
            await self.applied_moved.wait()

    def _get_durable_index(self) -> int:
        durable_ticket = self.writer.durable_ticket
        count = 0
        for ticket, index in self._appended:
            if ticket > durable_ticket:
                break
            self._durable_index = index
            count += 1
        del self._appended[:count]
        return self._durable_index

    def _refresh_progress(self) -> None:
        known = self.progress
        self.progress = {
            member.key: known.get(member.key) or Progress(self.log.last_index)
            for member in self.peers
        }
