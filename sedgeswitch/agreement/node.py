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
from sedgeswitch.transport import peer
from sedgeswitch.utils import checks
from sedgeswitch.utils import clocks

_INCARNATION_BYTES = 8
_APPLY_BATCH = 64


class Leadership(typing.NamedTuple):
    """A confirmed leadership of this host.

    Attributes
    ----------
    term : int
    started_s : float
        When this host had applied everything that earlier leaders committed.
    """

    term: int
    started_s: float


class PeerStatus(typing.NamedTuple):
    """What the leader knows of another member.

    Attributes
    ----------
    id : str
    is_voter : bool
    match_index : int
        Last index that the member is known to hold on disk.
    contact_age_s : float or None
        How long ago the last request it has answered was sent; None if never.
    is_replaced : bool
        Whether the host runs on another disk than the one that was admitted, and
        so needs `Node.replace_voter`.
    """

    id: str
    is_voter: bool
    match_index: int
    contact_age_s: float | None
    is_replaced: bool


class NodeStatus(typing.NamedTuple):
    """The state of a host, for operators.

    Attributes
    ----------
    node_id : str
    role : str
        ``follower``, ``candidate`` or ``leader``.
    is_admitted : bool
        Whether this host, on this disk, is a voter.
    term : int
    leader_id : str or None
    commit_index, applied_index, last_index, snapshot_index : int
    voters : tuple of str
    is_changing_voters : bool
    damage : str
        What was wrong with the data folder at the start; empty if nothing.
    peers : tuple of PeerStatus
        Empty unless this host leads.
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
        Filled before `run`.
    rng : random.Random
        Draws election timeouts.
    run_in_thread : callable
        ``await run_in_thread(function, *args)`` runs a blocking function.
    get_uptime_s : callable
        Returns for how long this process is known to have run: it has voted for
        nobody and heard no leader in that time.

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
        self._slots = trio.Semaphore(settings.max_inflight_proposals)
        self._damage = ""
        self._ready = Leadership(0, 0.0)
        self._state: state_module.State | None = None
        self._replication: replication.Replication | None = None
        self._reconfiguration: reconfiguration.Reconfiguration | None = None

    @property
    def leader_id(self) -> str | None:
        """The host that leads, as far as this one knows."""
        return self._state.leader_id if self._state else None

    @property
    def is_leader(self) -> bool:
        """Whether this host takes itself for the leader, confirmed or not."""
        return self._state is not None and self.leader_id == self._settings.node_id

    @property
    def leader_address(self) -> peer.Address | None:
        """Where the leader takes messages, as far as this host knows."""
        if self._state is None or self._state.log.voter_set is None:
            return None
        for member in self._state.log.voter_set.members:
            if member.id == self._state.leader_id:
                return peer.Address(member.host, member.port)
        return None

    @property
    def commit_index(self) -> int:
        """Index up to which entries are known to be committed."""
        return self._state.commit_index if self._state else 0

    @property
    def applied_index(self) -> int:
        """Index up to which entries are applied here."""
        return self._state.applied_index if self._state else 0

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Take part until cancelled; reports started once the disk is read.

        Raises
        ------
        errors.StorageError
            If the disk cannot be read or written; the host then stops, since it
            could not keep what it acknowledges.
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
            async with trio.open_nursery() as nursery:
                await nursery.start(self._network.run)
                self._start_tasks(state, writer, nursery)
                task_status.started()
        finally:
            if self._state is not None:
                self._state.stop()
            self._storage.close()

    async def propose(self, machine_name: str, body: bytes, timeout_s: float) -> bytes:
        """Put a command into the log and return the result of applying it.

        Parameters
        ----------
        machine_name : str
            Name that the state machine is registered under.
        body : bytes
            The slice's own encoding of the command.
        timeout_s : float

        Raises
        ------
        errors.NotLeaderError
            If the command has not run and will not.
        errors.OutcomeUnknownError
            If it may have run, or may yet.
        errors.UnknownStateMachineError
            If the slice is unknown; the command has not run.
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
        await self._acquire_slot(deadline_s)
        try:
            state.check_leading()
            index = state.append_own(storage_module.EntryKind.COMMAND, command)
            waiter = state.proposals.add(index, state.term)
            try:
                with trio.fail_at(deadline_s):
                    result = await waiter.wait()
            except trio.TooSlowError:
                raise errors.OutcomeUnknownError("not committed in time") from None
            finally:
                state.proposals.remove(index)
        finally:
            self._slots.release()
        return state_machines.read_result(machine_name, result)

    async def read_barrier(self, timeout_s: float) -> None:
        """Return once this host's state is known to be the latest.

        What was committed anywhere before the call is then applied here.

        Raises
        ------
        errors.NotLeaderError
            If this host does not lead, or no quorum confirms it in time.
        """
        checks.check_range("timeout_s", timeout_s, 0.0)
        state = self._get_leading_state()
        started_s = clocks.get_now_s()
        term = state.term
        index = max(state.commit_index, state.term_start_index)
        self._replication.request_heartbeats()
        with trio.move_on_after(timeout_s):
            while state.is_leading(term) and state.get_confirmed_s() < started_s:
                await state.peer_answered.wait()
            state.check_leading()
            await state.wait_applied(index)
            return
        raise errors.NotLeaderError(None)

    async def wait_applied(self, index: int) -> None:
        """Wait until the entry at an index is applied here."""
        await self._get_state().wait_applied(index)

    def get_leadership(self, now_s: float) -> Leadership | None:
        """Return the leadership of this host if no other can exist at `now_s`.

        Parameters
        ----------
        now_s : float
            Present time, of `clocks.get_now_s`.

        Returns
        -------
        Leadership or None
            Not None only while this host leads, has applied an entry of its own
            term, and holds the leader's lease.
        """
        state = self._state
        if state is None or state.role is not state_module.Role.LEADER:
            return None
        if self._ready.term != state.term:
            return None
        lease_s = self._settings.election_timeout_min_s - self._settings.drift_margin_s
        # The lease runs from when the round was sent: voters refuse other
        # candidates from when they received it, which is later.
        if now_s >= state.get_confirmed_s() + lease_s:
            return None
        return self._ready

    def get_status(self, now_s: float) -> NodeStatus:
        """Return the state of this host.

        Parameters
        ----------
        now_s : float
            Present time, of `clocks.get_now_s`.
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
        """Return where the voters that this host knows take messages, by id."""
        state = self._state
        if state is None or state.log.voter_set is None:
            return {}
        return {voter.id: voter.address for voter in state.log.voter_set.voters}

    def has_place(self, now_s: float) -> bool:
        """Return whether this host, on this disk, is a voter that hears a leader."""
        state = self._state
        if state is None:
            return True
        return state.is_voter and state.is_leader_live(now_s)

    async def replace_voter(
        self, old_id: str, new_id: str, new_address: peer.Address, timeout_s: float
    ) -> None:
        """Replace a voter by a host that runs on an empty disk.

        The new host receives the log before it counts, and the old one counts
        until the new one does. Returns once the new one holds the change itself.
        May be repeated after a failure.

        Parameters
        ----------
        old_id : str
            The voter that leaves.
        new_id : str
            The host that joins; the same as `old_id` for a host that has lost its
            disk.
        new_address : peer.Address
        timeout_s : float

        Raises
        ------
        errors.NotLeaderError, errors.ReplacementError
            If nothing has been changed.
        errors.ChangeInProgressError
            If the last change is not committed yet.
        errors.OutcomeUnknownError
            If the change may have been made, or may yet be.
        """
        checks.check_name("new_id", new_id)
        checks.check_range("timeout_s", timeout_s, 0.0)
        self._get_leading_state()
        try:
            with trio.fail_after(timeout_s):
                await self._reconfiguration.replace_voter(old_id, new_id, new_address)
        except trio.TooSlowError:
            raise errors.OutcomeUnknownError("not replaced in time") from None

    async def add_voter(
        self, new_id: str, new_address: peer.Address, timeout_s: float
    ) -> None:
        """Add a host that runs on an empty disk to the voters.

        It receives the log before it counts. May be repeated after a failure.

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
            raise errors.OutcomeUnknownError("not added in time") from None

    async def _open_storage(self) -> storage_module.Stored:
        stored = await self._run_in_thread(self._storage.open)
        self._damage = stored.damage
        if stored.damage:
            loguru.logger.error("starting on an empty disk: {}", stored.damage)
        if not stored.incarnation:
            incarnation = secrets.token_hex(_INCARNATION_BYTES)
            await self._run_in_thread(self._storage.reset, incarnation)
            stored = storage_module.Stored(incarnation)
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
                if count % _APPLY_BATCH == 0:
                    await trio.lowlevel.checkpoint()
            await state.commit_moved.wait()

    def _apply_entry(self, state: state_module.State) -> None:
        index = state.applied_index + 1
        entry = state.log.get_entry(index)
        if entry.kind is storage_module.EntryKind.COMMAND:
            result = self._registry.apply(index, entry.body)
            state.proposals.settle(index, entry.term, result)
        state.note_applied(index)
        if state.role is state_module.Role.LEADER and index == state.term_start_index:
            self._ready = Leadership(state.term, clocks.get_now_s())
        unsaved = index - state.log.snapshot_index
        if unsaved >= self._settings.snapshot_every_entries:
            snapshots.take_snapshot(state, self._registry)

    async def _acquire_slot(self, deadline_s: float) -> None:
        try:
            with trio.fail_at(deadline_s):
                await self._slots.acquire()
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
            is_known = progress.confirmed_s != state_module.NEVER_S
            age_s = now_s - progress.confirmed_s if is_known else None
            is_voter = state.log.voter_set.is_voter(member.key)
            statuses.append(
                PeerStatus(
                    member.id,
                    is_voter,
                    progress.match_index,
                    age_s,
                    progress.is_replaced,
                )
            )
        return tuple(statuses)
