"""A host of the replicated log."""

import random
import secrets
import typing

import loguru
import trio

from sedgeswitch.agreement import election
from sedgeswitch.agreement import errors
from sedgeswitch.agreement import formation
from sedgeswitch.agreement import log as log_module
from sedgeswitch.agreement import messages
from sedgeswitch.agreement import network as network_module
from sedgeswitch.agreement import reconfiguration
from sedgeswitch.agreement import replication
from sedgeswitch.agreement import settings as settings_module
from sedgeswitch.agreement import snapshots
from sedgeswitch.agreement import state as state_module
from sedgeswitch.agreement import state_machines
from sedgeswitch.agreement import storage as storage_module
from sedgeswitch.agreement import writer as writer_module
from sedgeswitch.transport import leader_hints
from sedgeswitch.transport import peer
from sedgeswitch.utils import checks
from sedgeswitch.utils import clocks

_INCARNATION_BYTES = 8
# Number of entries that are applied before other tasks may run.
_APPLY_BATCH_ENTRIES = 64


class Leadership(typing.NamedTuple):
    """A leadership of this host that is protected by a lease.

    Attributes
    ----------
    term : int
    started_s : float
        Time when this host had applied all entries that earlier leaders committed.
    """

    term: int
    started_s: float


class PeerStatus(typing.NamedTuple):
    """Replication status of another member, as recorded by the leader.

    Attributes
    ----------
    id : str
    is_voter : bool
    match_index : int
        Highest index up to which the member's synced log equals the leader's.
    contact_age_s : float or None
        Time since the latest request that the member has answered was sent; None
        if it has answered none.
    is_replaced : bool
        Whether the host runs with another data folder than the member's, and so
        must be made a voter again by `Node.replace_voter`.
    """

    id: str
    is_voter: bool
    match_index: int
    contact_age_s: float | None
    is_replaced: bool


class NodeStatus(typing.NamedTuple):
    """The state of a host, as shown to operators.

    Attributes
    ----------
    node_id : str
    role : str
        ``follower``, ``candidate`` or ``leader``.
    is_admitted : bool
        Whether this host, with this data folder, is a voter.
    term : int
    leader_id : str or None
    commit_index, applied_index, last_index, snapshot_index : int
    voters : tuple of str
        Ids of the voters.
    is_changing_voters : bool
        Whether a change of the voters is in joint consensus.
    damage : str
        Description of the data folder's corruption found at the start; empty if it
        was intact.
    peers : tuple of PeerStatus
        Empty unless this host is the leader.
    """

    node_id: str
    role: str
    is_admitted: bool
    term: int
    leader_id: str | None
    commit_index: int
    applied_index: int
    last_index: int
    snapshot_index: int
    voters: tuple[str, ...]
    is_changing_voters: bool
    damage: str
    peers: tuple[PeerStatus, ...]


class Node:
    """A host of the replicated log; `run` must run in a task of its own.

    Parameters
    ----------
    settings : settings.NodeSettings
    storage : storage.Storage
    network : network.Network
    registry : state_machines.Registry
        All state machines must be registered before `run`.
    rng : random.Random
        Source of the election timeouts.
    run_in_thread : callable
        ``await run_in_thread(function, *args)`` runs a blocking function.
    get_uptime_s : callable
        Returns a lower bound of the time for which this process has run before
        `run`. It has given no vote and had no contact with a leader in that time,
        so that it needs to reject candidates for a shorter time after the start.

    Examples
    --------
    See ``examples/agreement_embedded.py``.
    """

    def __init__(
        self,
        settings: settings_module.NodeSettings,
        storage: storage_module.Storage,
        network: network_module.Network,
        registry: state_machines.Registry,
        rng: random.Random,
        run_in_thread: writer_module.RunInThread = trio.to_thread.run_sync,
        get_uptime_s: typing.Callable[[], float] = lambda: 0.0,
    ):
        self._settings = settings_module.check_settings(settings)
        self._storage = storage
        self._network = network
        self._registry = registry
        self._rng = rng
        self._run_in_thread = run_in_thread
        self._get_uptime_s = get_uptime_s
        self._proposal_slots = trio.Semaphore(settings.max_inflight_proposals)
        self._damage = ""
        self._leadership = Leadership(0, 0.0)
        self._state: state_module.State | None = None
        self._found_leader: leader_hints.Hint | None = None
        self._replication: replication.Replication | None = None
        self._reconfiguration: reconfiguration.Reconfiguration | None = None

    @property
    def leader_id(self) -> str | None:
        """Id of the leader last recorded on this host; None if there is none.

        A host that hears from no leader, since it is no voter, returns the one that it
        has found itself.
        """
        recorded_id = self._state.leader_id if self._state else None
        if recorded_id is None and self._found_leader is not None:
            return self._found_leader.host_id
        return recorded_id

    @property
    def is_leader(self) -> bool:
        """Whether this host is the leader of its term, with or without a lease."""
        return self._state is not None and self.leader_id == self._settings.node_id

    @property
    def leader_address(self) -> peer.Address | None:
        """Address of the leader with `leader_id`; None if it is not known."""
        leader_id, found = self.leader_id, self._found_leader
        if found is not None and found.host_id == leader_id:
            return found.address
        if self._state is None or self._state.log.voter_set is None:
            return None
        for member in self._state.log.voter_set.members:
            if member.id == leader_id:
                return member.address
        return None

    def record_found_leader(self, leader: leader_hints.Hint | None) -> None:
        """Record the leader that a request of this host has reached, None without one.

        Other hosts that ask this one are directed to it.
        """
        self._found_leader = leader

    @property
    def commit_index(self) -> int:
        """Index up to which this host has recorded the entries as committed."""
        return self._state.commit_index if self._state else 0

    @property
    def applied_index(self) -> int:
        """Index up to which the entries are applied on this host."""
        return self._state.applied_index if self._state else 0

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run this host until cancelled; reports started once the disk is read.

        Raises
        ------
        errors.StorageError
            If the disk cannot be read or written. The host then stops, because it
            must not acknowledge what it cannot store.
        """
        try:
            stored = await self._open_storage()
            writer = writer_module.Writer(self._storage, self._run_in_thread)
            state = self._state = state_module.State(
                self._settings,
                stored.incarnation,
                log_module.Log(stored.snapshot, stored.entries),
                writer,
                stored,
                clocks.get_now_s() - self._get_uptime_s(),
            )
            if stored.snapshot is not None:
                self._registry.load_snapshot(stored.snapshot.body)
            _log_stored_state(state)
            async with trio.open_nursery() as nursery:
                await nursery.start(self._network.run)
                self._start_tasks(state, writer, nursery)
                task_status.started()
        finally:
            if self._state is not None:
                self._state.stop()
            self._storage.close()

    async def propose(self, machine_name: str, body: bytes, timeout_s: float) -> bytes:
        """Append a command to the log and return the result of applying it.

        Parameters
        ----------
        machine_name : str
            Name under which the state machine is registered.
        body : bytes
            The command in the encoding of that state machine.
        timeout_s : float

        Raises
        ------
        errors.NotLeaderError
            If the command has not run and will not run.
        errors.OutcomeUnknownError
            If the command may have run, or may still run later.
        errors.UnknownStateMachineError
            If no such state machine is registered; the command has not run.
        errors.StateMachineFailedError
            If the state machine raised an exception.
        """
        checks.check_range("timeout_s", timeout_s, 0.0)
        state = self._get_leading_state()
        if not self._registry.has_machine(machine_name):
            raise errors.UnknownStateMachineError(machine_name)
        command = state_machines.encode_command(
            state_machines.Command(machine_name, body)
        )
        deadline_s = trio.current_time() + timeout_s
        await self._acquire_proposal_slot(deadline_s)
        try:
            state.check_leading()
            index = state.append_as_leader(storage_module.EntryKind.COMMAND, command)
            waiter = state.proposals.add(index, state.term)
            try:
                with trio.fail_at(deadline_s):
                    result = await waiter.wait()
            except trio.TooSlowError:
                raise errors.OutcomeUnknownError(
                    f"the command was not applied within {timeout_s} s"
                ) from None
            finally:
                state.proposals.remove(index)
        finally:
            self._proposal_slots.release()
        return state_machines.unwrap_result(machine_name, result)

    async def read_barrier(self, timeout_s: float) -> None:
        """Wait until a read of this host's state is linearizable.

        All entries that any host had committed before the call are then applied on
        this host. As with ReadIndex in Raft, a round of heartbeats confirms that no
        other leader exists.

        Raises
        ------
        errors.NotLeaderError
            If this host is not the leader, or no quorum confirms its leadership
            within the timeout.
        """
        checks.check_range("timeout_s", timeout_s, 0.0)
        state = self._get_leading_state()
        started_s = clocks.get_now_s()
        term = state.term
        index = max(state.commit_index, state.term_start_index)
        self._replication.request_heartbeats()
        with trio.move_on_after(timeout_s):
            while state.is_leading(term) and state.get_quorum_contact_s() < started_s:
                await state.peer_replied.wait()
            state.check_leading()
            await state.wait_applied(index)
            return
        raise errors.NotLeaderError(None)

    async def wait_applied(self, index: int) -> None:
        """Wait until the entry at an index is applied on this host."""
        await self._get_state().wait_applied(index)

    def get_leadership(self, now_s: float) -> Leadership | None:
        """Return the leadership of this host if no other leader can exist at `now_s`.

        Parameters
        ----------
        now_s : float
            Current time of `clocks.get_now_s`.

        Returns
        -------
        Leadership or None
            Not None only while this host is the leader, has applied an entry of its
            own term, and holds the leader's lease.
        """
        state = self._state
        if state is None or state.role is not state_module.Role.LEADER:
            return None
        if self._leadership.term != state.term:
            return None
        lease_s = self._settings.election_timeout_min_s - self._settings.drift_margin_s
        # The lease starts when the requests were sent. Voters reject other candidates
        # from when they received them, which is later, so the lease ends first.
        if now_s >= state.get_quorum_contact_s() + lease_s:
            return None
        return self._leadership

    def get_status(self, now_s: float) -> NodeStatus:
        """Return the state of this host.

        Parameters
        ----------
        now_s : float
            Current time of `clocks.get_now_s`.
        """
        state = self._get_state()
        voter_set = state.log.voter_set
        ids = tuple(voter.id for voter in voter_set.voters) if voter_set else ()
        return NodeStatus(
            node_id=self._settings.node_id,
            role=state.role.value,
            is_admitted=state.is_voter,
            term=state.term,
            leader_id=state.leader_id,
            commit_index=state.commit_index,
            applied_index=state.applied_index,
            last_index=state.log.last_index,
            snapshot_index=state.log.snapshot_index,
            voters=ids,
            is_changing_voters=bool(voter_set and voter_set.old_voters),
            damage=self._damage,
            peers=self._build_peer_statuses(state, now_s),
        )

    def get_voter_addresses(self) -> dict[str, peer.Address]:
        """Return the addresses of the voters in this host's log, by host id."""
        state = self._state
        if state is None or state.log.voter_set is None:
            return {}
        return {voter.id: voter.address for voter in state.log.voter_set.voters}

    def get_voter_set_version(self) -> int:
        """Return a number that changes with the voters in this host's log."""
        return 0 if self._state is None else self._state.log.voter_set_index

    def is_active_voter(self, now_s: float) -> bool:
        """Return whether this host is a voter with recent contact with a leader.

        It counts as such until its state is loaded from disk.
        """
        state = self._state
        if state is None:
            return True
        return state.is_voter and state.has_recent_leader(now_s)

    async def replace_voter(
        self, old_id: str, new_id: str, new_address: peer.Address, timeout_s: float
    ) -> None:
        """Replace a voter by a host with an empty data folder.

        The new host receives the log as a learner before it becomes a voter, and
        the old one stays a voter until then. Returns once the change is committed
        and stored on the new host. The call is idempotent and may be repeated after
        a failure.

        Parameters
        ----------
        old_id : str
            Id of the voter to remove.
        new_id : str
            Id of the host to add; the same as `old_id` for a host that has lost its
            disk.
        new_address : peer.Address
        timeout_s : float

        Raises
        ------
        errors.NotLeaderError, errors.ReplacementError
            If nothing has been changed.
        errors.ChangeInProgressError
            If the previous change is not committed yet.
        errors.OutcomeUnknownError
            If the change may have been made, or may still be made later.
        """
        checks.check_name("new_id", new_id)
        checks.check_range("timeout_s", timeout_s, 0.0)
        self._get_leading_state()
        try:
            with trio.fail_after(timeout_s):
                await self._reconfiguration.replace_voter(old_id, new_id, new_address)
        except trio.TooSlowError:
            raise errors.OutcomeUnknownError(
                f"voter {old_id} was not replaced by {new_id} within {timeout_s} s"
            ) from None

    async def add_voter(
        self, new_id: str, new_address: peer.Address, timeout_s: float
    ) -> None:
        """Add a host with an empty data folder to the voters.

        It receives the log as a learner before it becomes a voter. The call is
        idempotent and may be repeated after a failure.

        Raises
        ------
        errors.AgreementError
            See `replace_voter`.
        """
        checks.check_name("new_id", new_id)
        self._get_leading_state()
        try:
            with trio.fail_after(timeout_s):
                await self._reconfiguration.add_voter(new_id, new_address)
        except trio.TooSlowError:
            raise errors.OutcomeUnknownError(
                f"voter {new_id} was not added within {timeout_s} s"
            ) from None

    async def _open_storage(self) -> storage_module.StoredState:
        stored = await self._run_in_thread(self._storage.open)
        self._damage = stored.damage
        if stored.damage:
            loguru.logger.error(
                "data folder is damaged, starting with an empty one: {}", stored.damage
            )
        if not stored.incarnation:
            incarnation = secrets.token_hex(_INCARNATION_BYTES)
            await self._run_in_thread(self._storage.reset, incarnation)
            stored = storage_module.StoredState(incarnation)
        return stored

    def _start_tasks(
        self,
        state: state_module.State,
        writer: writer_module.Writer,
        nursery: trio.Nursery,
    ) -> None:
        voting = election.Election(state, self._network, self._rng)
        self._replication = replication.Replication(state, self._network)
        self._reconfiguration = reconfiguration.Reconfiguration(state, self._network)
        self._register_handlers(state, voting)
        nursery.start_soon(writer.run)
        nursery.start_soon(self._apply_entries, state)
        nursery.start_soon(voting.run)
        nursery.start_soon(self._replication.run)
        if self._settings.bootstrap_voters and not state.log.is_formed:
            nursery.start_soon(formation.form_cluster, state, self._network)

    def _register_handlers(
        self, state: state_module.State, voting: election.Election
    ) -> None:
        async def answer_identify(_request):
            return formation.answer_identify(state)

        follower = replication.Follower(state)
        receiver = snapshots.SnapshotReceiver(state, self._registry)
        register = self._network.register_handler
        register(messages.IdentifyRequest, answer_identify)
        register(messages.VoteRequest, voting.answer_vote)
        register(messages.HeartbeatRequest, follower.answer_heartbeat)
        register(messages.AppendRequest, follower.answer_append)
        register(messages.SnapshotRequest, receiver.answer_snapshot)

    async def _apply_entries(self, state: state_module.State) -> None:
        while True:
            count = 0
            while state.applied_index < state.commit_index:
                self._apply_entry(state)
                count += 1
                if count % _APPLY_BATCH_ENTRIES == 0:
                    await trio.lowlevel.checkpoint()
            await state.commit_advanced.wait()

    def _apply_entry(self, state: state_module.State) -> None:
        index = state.applied_index + 1
        entry = state.log.get_entry(index)
        if entry.kind is storage_module.EntryKind.COMMAND:
            result = self._registry.apply(index, entry.body)
            state.proposals.resolve(index, entry.term, result)
        state.mark_applied(index)
        if state.role is state_module.Role.LEADER and index == state.term_start_index:
            self._leadership = Leadership(state.term, clocks.get_now_s())
        entry_count = index - state.log.snapshot_index
        if entry_count >= self._settings.snapshot_every_entries:
            snapshots.take_snapshot(state, self._registry)

    async def _acquire_proposal_slot(self, deadline_s: float) -> None:
        try:
            with trio.fail_at(deadline_s):
                await self._proposal_slots.acquire()
        except trio.TooSlowError:
            raise errors.OverloadedError(self._settings.node_id) from None

    def _get_state(self) -> state_module.State:
        if self._state is None:
            raise errors.AgreementError("the node is not running")
        return self._state

    def _get_leading_state(self) -> state_module.State:
        if self._state is None:
            raise errors.NotLeaderError(None)
        self._state.check_leading()
        return self._state

    def _build_peer_statuses(
        self, state: state_module.State, now_s: float
    ) -> tuple[PeerStatus, ...]:
        statuses = []
        for member in state.peers:
            progress = state.progress.get(member.key)
            if progress is None:
                continue
            is_known = progress.contact_s != state_module.NEVER_S
            age_s = now_s - progress.contact_s if is_known else None
            is_voter = state.log.voter_set.is_voter(member.key)
            statuses.append(
                PeerStatus(
                    member.id,
                    is_voter,
                    progress.match_index,
                    age_s,
                    progress.has_wrong_incarnation,
                )
            )
        return tuple(statuses)


def _log_stored_state(state: state_module.State) -> None:
    voter_set = state.log.voter_set
    loguru.logger.info(
        "log read from disk",
        key=state.key,
        term=state.term,
        snapshot_index=state.log.snapshot_index,
        last_index=state.log.last_index,
        is_voter=state.is_voter,
        voters=[voter.id for voter in voter_set.voters] if voter_set else [],
    )
