"""The Raft state of one host: term, role, log and replication progress of peers."""

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
# Code of the failure with which a host rejects a request that names another
# incarnation than its own.
WRONG_INCARNATION = "wrong_incarnation"


class Role(enum.Enum):
    """Role of a host in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Progress:
    """Replication progress of one peer, as recorded by the leader.

    Attributes
    ----------
    next_index : int
        Index of the next entry to send.
    match_index : int
        Highest index up to which the peer's synced log equals the leader's.
    needs_snapshot : bool
        Whether the peer has asked for a snapshot.
    contact_s : float
        Send time of the latest request that the peer has answered; `NEVER_S` if it
        has answered none.
    has_wrong_incarnation : bool
        Whether the host at the peer's address runs with another data folder than
        the member's.
    """

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.match_index = 0
        self.needs_snapshot = False
        self.contact_s = NEVER_S
        self.has_wrong_incarnation = False


class State:
    """The Raft state that the tasks of one host share.

    Parameters
    ----------
    settings : settings.NodeSettings
    incarnation : str
    log : log.Log
    writer : writer.Writer
    stored : storage.StoredState
    started_s : float
        Start time of the process. The host rejects candidates for the minimum
        election timeout from then on, because contacts with a leader before the
        restart are not stored.
    """

    def __init__(
        self,
        settings: settings_module.NodeSettings,
        incarnation: str,
        log: log_module.Log,
        writer: writer_module.Writer,
        stored: storage.StoredState,
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
        # Whether this host has had contact with a leader, or was the leader, since
        # the process started.
        self.has_seen_leader = False
        self.leader_id: str | None = None
        self.leader_contact_s = started_s
        self.vote_granted_s = started_s
        self.leader_since_s = NEVER_S
        self.term_start_index = 0
        self.commit_index = log.snapshot_index
        self.applied_index = log.snapshot_index
        self.progress: dict[str, Progress] = {}
        self.proposals = proposals.PendingProposals()
        # Tickets of the writer and indexes of the entries that this host appended
        # as leader and that are not recorded as synced yet.
        self._appended: list[tuple[int, int]] = []
        self._durable_index = 0
        self._is_stopped = False
        self.role_changed = _signals.Signal()
        self.log_appended = _signals.Signal()
        self.commit_advanced = _signals.Signal()
        self.applied_advanced = _signals.Signal()
        self.peer_replied = _signals.Signal()

    @property
    def is_voter(self) -> bool:
        """Whether this host is a voter in the latest set of voters in its log."""
        voter_set = self.log.voter_set
        return voter_set is not None and voter_set.is_voter(self.key)

    @property
    def peers(self) -> list[voters.Member]:
        """The other members of the cluster, learners included."""
        voter_set = self.log.voter_set
        if voter_set is None:
            return []
        return [member for member in voter_set.members if member.key != self.key]

    def is_leading(self, term: int) -> bool:
        """Return whether this host is the leader in the term."""
        return self.role is Role.LEADER and self.term == term

    def check_incarnation(self, incarnation: str) -> None:
        """Check that a request is meant for this data folder and for a running host.

        Raises
        ------
        failures.CallError
            ``stopped`` after `stop`; ``wrong_incarnation`` if the request names
            another incarnation. The request has not run in either case.
        """
        verdict = verdicts.Verdict.NOT_RUN
        if self._is_stopped:
            raise failures.CallError("stopped", f"{self.key} has stopped", verdict)
        if incarnation != self.incarnation:
            raise failures.CallError(WRONG_INCARNATION, f"this is {self.key}", verdict)

    def stop(self) -> None:
        """Reject all further requests, because the storage is about to be closed."""
        self._is_stopped = True
        self.become_follower(None)

    def check_leading(self) -> None:
        """Check that this host is the leader.

        Raises
        ------
        errors.NotLeaderError
            If it is not.
        """
        if self.role is not Role.LEADER:
            raise errors.NotLeaderError(self.leader_id)

    def has_recent_leader(self, now_s: float) -> bool:
        """Return whether the last contact with a leader forbids a vote for another.

        That is the case within the minimum election timeout after the contact,
        and while this host is the leader itself.
        """
        if self.role is Role.LEADER:
            return True
        return now_s - self.leader_contact_s < self.settings.election_timeout_min_s

    def adopt_term(self, term: int) -> None:
        """Become a follower in a higher term; other terms are ignored."""
        if term <= self.term:
            return
        self.term = term
        self.voted_for = ""
        self.writer.submit(storage.SaveVote(term, ""))
        self.become_follower(None)

    def become_follower(self, leader_id: str | None) -> None:
        """Become a follower of a leader, or of none if none is recorded yet.

        All pending proposals end with an unknown outcome.
        """
        if self.role is Role.LEADER:
            loguru.logger.info("{} no longer leads", self.key)
        is_change = self.role is not Role.FOLLOWER or self.leader_id != leader_id
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        if is_change:
            self.progress = {}
            self.proposals.fail_all()
            self.role_changed.send()
            self.peer_replied.send()

    def record_vote(self, candidate_key: str) -> None:
        """Store the vote of this host in its term."""
        self.voted_for = candidate_key
        self.writer.submit(storage.SaveVote(self.term, candidate_key))

    def record_leader_contact(self, term: int, leader_id: str, now_s: float) -> None:
        """Record contact with the leader of this host's term or a higher one."""
        self.adopt_term(term)
        self.become_follower(leader_id)
        self.leader_contact_s = now_s
        self.has_seen_leader = True

    def become_leader(self, now_s: float) -> None:
        """Become the leader of the current term and append a no-operation entry.

        Entries of earlier terms can be committed only together with an entry of
        this term.
        """
        self.role = Role.LEADER
        self.has_seen_leader = True
        self.leader_id = self.settings.node_id
        self.leader_since_s = now_s
        self.progress = {}
        self._appended = []
        self._durable_index = 0
        self.term_start_index = self.log.last_index + 1
        self.append_as_leader(storage.EntryKind.NO_OPERATION, b"")
        self.role_changed.send()
        loguru.logger.info("{} leads in term {}", self.key, self.term)

    def append_as_leader(self, kind: storage.EntryKind, body: bytes) -> int:
        """Append an entry as leader and return its index."""
        index = self.log.last_index + 1
        entry = storage.Entry(index, self.term, kind, body)
        self.log.append([entry])
        ticket = self.writer.submit(storage.Append((entry,)))
        self._appended.append((ticket, index))
        self._refresh_progress()
        self.log_appended.send()
        return index

    def get_quorum_contact_s(self) -> float:
        """Return the send time of the latest requests that a quorum has answered.

        It is the latest time such that each member of some quorum has answered a
        request sent then or later; this host itself always counts.
        """
        values = {key: peer.contact_s for key, peer in self.progress.items()}
        values[self.key] = math.inf
        return self.log.voter_set.get_quorum_value(values, NEVER_S)

    def advance_commit(self) -> None:
        """Advance the leader's commit index to what a quorum has synced."""
        values = {key: peer.match_index for key, peer in self.progress.items()}
        values[self.key] = self._get_durable_index()
        index = int(self.log.voter_set.get_quorum_value(values, 0))
        # An entry of an earlier term is committed only once an entry of this term
        # is: otherwise a later leader may still overwrite it.
        if index >= self.term_start_index:
            self.commit_to(index)

    def commit_to(self, index: int) -> None:
        """Record that the entries up to an index are committed."""
        if index > self.commit_index:
            self.commit_index = index
            self.commit_advanced.send()

    def mark_applied(self, index: int) -> None:
        """Record that the entries up to an index are applied."""
        self.applied_index = index
        self.applied_advanced.send()

    async def wait_applied(self, index: int) -> None:
        """Wait until the entry at an index is applied on this host."""
        while self.applied_index < index:
            await self.applied_advanced.wait()

    def _get_durable_index(self) -> int:
        """Return the last index that this leader has appended and synced itself."""
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
        previous = self.progress
        self.progress = {
            member.key: previous.get(member.key) or Progress(self.log.last_index)
            for member in self.peers
        }
