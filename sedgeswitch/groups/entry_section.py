"""The groups section of the heartbeat, on an entry host."""

import typing

import trio

from sedgeswitch.groups import acknowledged_positions
from sedgeswitch.groups import durations
from sedgeswitch.groups import instances
from sedgeswitch.groups import positions
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.groups import table as groups_table
from sedgeswitch.groups import timelines
from sedgeswitch.groups import watcher
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.transport import catalog
from sedgeswitch.utils import tasks

_GROUP_USE_RETENTION_S = 60.0


class ReplicaView(typing.NamedTuple):
    """The last observation of an instance, for routing reads to replicas.

    Attributes
    ----------
    instance : str
    is_usable : bool
        Whether reads may be sent there: the instance is reachable, has the
        expected role and is on the timeline of the group.
    position : positions.Position or None
        A position that it has reached; None if there was no recent report on it.
    age_s : float or None
        Maximum age of its data now; None if unknown.
    log_timeline : int or None
        See `instances.InstanceState`.
    """

    instance: str
    is_usable: bool
    position: positions.Position | None
    age_s: float | None
    log_timeline: int | None = None


class _ReceivedObservations(typing.NamedTuple):
    sent_s: float
    elapsed_s: float
    by_instance: dict[str, ttypes.Observation]


class EntrySection:
    """Entry side: receives the table and observations, sends the watchers' reports.

    Parameters
    ----------
    table : groups.table.GroupTable
    directory : groups.instances.Directory
    driver : object
        Backend driver, with ``connect(target, timeout_s)``.
    settings : groups.settings.GroupSettings
    reports_acknowledged : bool
        Whether `record_acknowledged` is called for each commit of this host. Only
        then do the reports include acknowledged positions, which the leader
        relies on.
    """

    def __init__(
        self,
        table: groups_table.GroupTable,
        directory: instances.Directory,
        driver: typing.Any,
        settings: groups_settings.GroupSettings,
        reports_acknowledged: bool = False,
    ):
        self._table = table
        self._directory = directory
        self._driver = driver
        self._settings = settings
        self._watchers: dict[str, watcher.Watcher] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._assigned_groups: set[str] = set()
        self._assignment_changed = trio.Event()
        self._last_used_s: dict[str, float] = {}
        self._reported_used_groups: list[str] | None = None
        self._observations: dict[str, _ReceivedObservations] = {}
        self._urgent = trio.Event()
        self._sent_s = 0.0
        self._round_trip_s = float("inf")
        self._acknowledged_tracker = acknowledged_positions.AcknowledgedTracker(table)
        self._reports_acknowledged = reports_acknowledged

    async def run(self) -> None:
        """Run the watchers that the leader assigns, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                changed = self._assignment_changed
                self._stop_unassigned()
                for group in sorted(self._assigned_groups - self._watchers.keys()):
                    self._start_watcher(nursery, group)
                await changed.wait()

    def record_group_use(self, group: str, now_s: float) -> None:
        """Record that a caller of this host uses a group."""
        self._last_used_s[group] = now_s

    def record_acknowledged(
        self,
        group: str,
        timeline: int,
        position: positions.Position | None,
        before_lsn: int = 0,
    ) -> None:
        """Record a commit that is about to be acknowledged.

        Parameters
        ----------
        group : str
        timeline : int
            Timeline of the permit under which it ran.
        position : positions.Position or None
            Log position that the primary reported after it, if any.
        before_lsn : int
            Log position that the primary had reported on that timeline before the
            commit was sent, 0 if none.
        """
        self._acknowledged_tracker.record_commit(group, timeline, position, before_lsn)

    async def wait_urgent(self) -> None:
        """Wait until the next report should be sent without delay.

        Notes
        -----
        This is the case when the table has changed, because a failover waits for
        this host to report the new version, and when a watched primary becomes
        suspect.
        """
        await self._urgent.wait()

    def build_report(self, now_s: float) -> bytes:
        """Return the section of the next heartbeat, sent at `now_s`."""
        self._sent_s = now_s
        self._urgent = trio.Event()
        report = ttypes.Report(
            acknowledged_version=self._table.get_version(),
            sent_ms=int(now_s * durations.MS_PER_S),
            round_trip_ms=self._get_round_trip_ms(),
            health=[item.build_health(now_s) for item in self._watchers.values()],
        )
        if self._reports_acknowledged:
            report.acknowledged = self._acknowledged_tracker.build_report()
        used = self._get_used_groups(now_s)
        if used != self._reported_used_groups:
            report.used_groups = used
            self._reported_used_groups = used
        return catalog.encode_struct(report)

    def receive_answer(self, body: bytes, now_s: float) -> None:
        """Apply the leader's answer; must be called before the lease is extended."""
        answer = catalog.decode_struct(ttypes.Answer, body)
        self._round_trip_s = min(self._round_trip_s, now_s - self._sent_s)
        if self._table.apply_changes(answer.version, answer.changed):
            self._urgent.set()
        self._acknowledged_tracker.record_leader_answer()
        if not answer.knows_used_groups:
            self._reported_used_groups = None
        if answer.watched_groups is not None:
            self._assigned_groups = set(answer.watched_groups)
            self._assignment_changed.set()
            self._assignment_changed = trio.Event()
        if answer.version == self._table.get_version():
            self._receive_observations(answer.observations or ())

    def get_replicas(self, group: str, now_s: float) -> list[ReplicaView]:
        """Return the last observation of each instance of a group, primary included."""
        state = self._table.get_group(group)
        observed = self._observations.get(group)
        if state is None or observed is None:
            return []
        return [
            _build_replica(state, name, item, observed, now_s)
            for name, item in observed.by_instance.items()
            if name in state.instances
        ]

    def get_primary_position(
        self, group: str, now_s: float
    ) -> tuple[positions.Position, float] | None:
        """Return the last observed log position of a group's primary.

        It comes from the probes of any entry host that watches the group.

        Returns
        -------
        tuple of positions.Position and float, or None
            The position, and the maximum time since the primary was probed for
            it, in seconds. None without a usable observation of the primary.
        """
        state = self._table.get_group(group)
        observed = self._observations.get(group)
        if state is None or observed is None:
            return None
        item = observed.by_instance.get(state.primary)
        if item is None:
            return None
        view = _build_replica(state, state.primary, item, observed, now_s)
        if not view.is_usable or view.age_s is None:
            return None
        position = positions.get_log_position(view.position, view.log_timeline)
        return position, view.age_s

    def _receive_observations(
        self, observations: typing.Iterable[ttypes.GroupObservation]
    ) -> None:
        """Store observations by instance id.

        An observation refers to its instance by index, which is valid only for
        the table version of the same answer.
        """
        for item in observations:
            names = self._table.get_group(item.group).instances
            by_instance = {
                names[observation.instance]: observation
                for observation in item.instances
            }
            elapsed_s = item.elapsed_ms / durations.MS_PER_S
            observed = _ReceivedObservations(self._sent_s, elapsed_s, by_instance)
            self._observations[item.group] = observed

    def _get_round_trip_ms(self) -> int:
        # Before the first answer the round trip is unknown, so report a long one.
        return (
            int(min(self._round_trip_s, _GROUP_USE_RETENTION_S) * durations.MS_PER_S)
            + 1
        )

    def _get_used_groups(self, now_s: float) -> list[str]:
        oldest_s = now_s - _GROUP_USE_RETENTION_S
        for group, used_s in list(self._last_used_s.items()):
            if used_s < oldest_s:
                del self._last_used_s[group]
        return sorted(self._last_used_s)

    def _stop_unassigned(self) -> None:
        for group in sorted(self._watchers.keys() - self._assigned_groups):
            del self._watchers[group]
            self._scopes.pop(group).cancel()

    def _start_watcher(self, nursery: trio.Nursery, group: str) -> None:
        self._watchers[group] = watcher.Watcher(
            group,
            self._table,
            self._directory,
            self._driver,
            self._settings,
            on_suspect=lambda: self._urgent.set(),
        )
        self._scopes[group] = trio.CancelScope()
        nursery.start_soon(
            self._run_watcher, self._watchers[group], self._scopes[group]
        )

    async def _run_watcher(
        self, item: watcher.Watcher, scope: trio.CancelScope
    ) -> None:
        with scope:
            await tasks.run_restarting(item.run)


def _build_replica(
    group: ttypes.Group,
    instance: str,
    item: ttypes.Observation,
    observed: _ReceivedObservations,
    now_s: float,
) -> ReplicaView:
    position = None
    if item.lsn is not None:
        position = positions.Position(item.timeline, item.lsn)
    is_current = position is not None and (
        position.timeline >= group.timeline or timelines.has_joined(group, position)
    )
    age_s = None
    if item.age_ms is not None:
        waited_s = now_s - observed.sent_s + observed.elapsed_s
        age_s = item.age_ms / durations.MS_PER_S + waited_s
    return ReplicaView(
        instance=instance,
        is_usable=item.is_usable and is_current,
        position=position,
        age_s=age_s,
        log_timeline=item.log_timeline,
    )
