"""The groups' part of the heartbeat, on entry hosts and on the leader."""

import typing

import trio

from sedgeswitch.groups import assignment
from sedgeswitch.groups import health
from sedgeswitch.groups import instances
from sedgeswitch.groups import machine as groups_machine
from sedgeswitch.groups import observation
from sedgeswitch.groups import positions
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.groups import table as groups_table
from sedgeswitch.groups import watcher
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.transport import catalog

_MS_PER_S = 1000
_USE_KEPT_S = 60.0
_ASSIGN_INTERVAL_S = 0.25


class ReplicaView(typing.NamedTuple):
    """What an entry host knows of an instance, for the choice of a replica.

    Attributes
    ----------
    instance : str
    is_usable : bool
        Whether reads may go there: it answers and follows the agreed timeline.
    position : positions.Position or None
        A position that it has reached; None if it never answered.
    age_s : float or None
        Greatest age of its data now; None if it is not known.
    """

    instance: str
    is_usable: bool
    position: positions.Position | None
    age_s: float | None


class _Observed(typing.NamedTuple):
    sent_s: float
    instances: list[ttypes.Observation]


class EntrySection:
    """Entry side: carries the table, the watchers' reports and observations.

    Parameters
    ----------
    table : groups.table.GroupTable
    directory : groups.instances.Directory
    driver : object
        Backend driver, with ``connect(target, timeout_s)``.
    settings : groups.settings.GroupSettings
    """

    def __init__(
        self,
        table: groups_table.GroupTable,
        directory: instances.Directory,
        driver: typing.Any,
        settings: groups_settings.GroupSettings,
    ):
        self._table = table
        self._directory = directory
        self._driver = driver
        self._settings = settings
        self._watchers: dict[str, watcher.Watcher] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._wanted: set[str] = set()
        self._wanted_changed = trio.Event()
        self._last_used_s: dict[str, float] = {}
        self._sent_used: list[str] | None = None
        self._observed: dict[str, _Observed] = {}
        self._sent_s = 0.0
        self._round_trip_s = float("inf")

    async def run(self) -> None:
        """Run the watchers that the leader assigns, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                changed = self._wanted_changed
                self._stop_unwanted()
                for group in sorted(self._wanted - self._watchers.keys()):
                    self._start_watcher(nursery, group)
                await changed.wait()

    def note_use(self, group: str, now_s: float) -> None:
        """Say that a caller of this host uses a group."""
        self._last_used_s[group] = now_s

    def build_report(self, now_s: float) -> bytes:
        """Return the section of the next heartbeat, sent at `now_s`."""
        self._sent_s = now_s
        report = ttypes.Report(
            acknowledged_version=self._table.get_version(),
            sent_ms=int(now_s * _MS_PER_S),
            round_trip_ms=self._get_round_trip_ms(),
            health=[item.build_health(now_s) for item in self._watchers.values()],
        )
        used = self._get_used(now_s)
        if used != self._sent_used:
            report.used_groups = used
            self._sent_used = used
        return catalog.encode_struct(report)

    def receive_answer(self, body: bytes, now_s: float) -> None:
        """Take in the leader's answer; call before the lease is extended."""
        answer = catalog.decode_struct(ttypes.Answer, body)
        self._round_trip_s = min(self._round_trip_s, now_s - self._sent_s)
        self._table.apply_changes(answer.version, answer.changed)
        if not answer.knows_used_groups:
            self._sent_used = None
        if answer.watched_groups is not None:
            self._wanted = set(answer.watched_groups)
            self._wanted_changed.set()
            self._wanted_changed = trio.Event()
        for item in answer.observations or ():
            self._observed[item.group] = _Observed(self._sent_s, item.instances)

    def get_replicas(self, group: str, now_s: float) -> list[ReplicaView]:
        """Return what is known of each agreed instance of a group."""
        state = self._table.get_group(group)
        observed = self._observed.get(group)
        if state is None or observed is None:
            return []
        return [
            _build_replica(state, item, now_s - observed.sent_s)
            for item in observed.instances
            if item.instance < len(state.instances)
        ]

    def _get_round_trip_ms(self) -> int:
        # Before the first answer nothing is known, so claim a long round trip.
        return int(min(self._round_trip_s, _USE_KEPT_S) * _MS_PER_S) + 1

    def _get_used(self, now_s: float) -> list[str]:
        oldest_s = now_s - _USE_KEPT_S
        for group, used_s in list(self._last_used_s.items()):
            if used_s < oldest_s:
                del self._last_used_s[group]
        return sorted(self._last_used_s)

    def _stop_unwanted(self) -> None:
        for group in sorted(self._watchers.keys() - self._wanted):
            del self._watchers[group]
            self._scopes.pop(group).cancel()

    def _start_watcher(self, nursery: trio.Nursery, group: str) -> None:
        self._watchers[group] = watcher.Watcher(
            group, self._table, self._directory, self._driver, self._settings
        )
        self._scopes[group] = trio.CancelScope()
        nursery.start_soon(
            self._run_watcher, self._watchers[group], self._scopes[group]
        )

    async def _run_watcher(
        self, item: watcher.Watcher, scope: trio.CancelScope
    ) -> None:
        with scope:
            await item.run()


class _HostState:
    """What the leader keeps for one entry host."""

    def __init__(self):
        self.acknowledged_version = 0
        self.used_groups: list[str] | None = None
        self.sent_watched: list[str] | None = None
        self.next_observation_s = float("-inf")
        self.delays = observation.DelayTracker()


class ControlSection:
    """Leader side: spreads the table, assignments and observations.

    Parameters
    ----------
    machine : groups.machine.GroupsMachine
    get_live_hosts : callable
        ``get_live_hosts(now_s)`` returns the entry hosts that hold a lease, as
        `groups.assignment.EntryHost`.
    settings : groups.settings.GroupSettings

    Attributes
    ----------
    board : groups.health.HealthBoard
    """

    def __init__(
        self,
        machine: groups_machine.GroupsMachine,
        get_live_hosts: typing.Callable,
        settings: groups_settings.GroupSettings,
    ):
        self.board = health.HealthBoard(settings)
        self._machine = machine
        self._get_live_hosts = get_live_hosts
        self._settings = settings
        self._hosts: dict[str, _HostState] = {}
        self._watchers: dict[str, list[str]] = {}
        self._watched: dict[str, list[str]] = {}
        self._assigned_for: tuple = ()
        self._assigned_version = -1
        self._next_assign_s = float("-inf")

    def start_leadership(self, now_s: float) -> None:  # noqa: ARG002
        """Forget what an earlier leadership knew."""
        self.board.clear()
        self._hosts.clear()
        self._assigned_for = ()
        self._next_assign_s = float("-inf")

    def get_version(self) -> int:
        """Return the version of the agreed table."""
        return self._machine.get_version()

    def get_acknowledged_version(self, host_id: str) -> int:
        """Return the table version that an entry host last said it obeys."""
        host = self._hosts.get(host_id)
        return 0 if host is None else host.acknowledged_version

    def get_suspicion(
        self, group: ttypes.Group, now_s: float
    ) -> health.Suspicion | None:
        """Return why a group's primary should be replaced, if it should."""
        watchers = self._watchers.get(group.group, [])
        return self.board.get_suspicion(group, watchers, now_s)

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:
        """Take in an entry host's section and return the answer to it."""
        report = catalog.decode_struct(ttypes.Report, body)
        host = self._hosts.setdefault(host_id, _HostState())
        host.acknowledged_version = report.acknowledged_version
        if report.used_groups is not None:
            host.used_groups = report.used_groups
        self._receive_health(host_id, host, report, now_s)
        self._assign(now_s)
        answer = ttypes.Answer(
            version=self._machine.get_version(),
            changed=self._machine.get_changed(report.acknowledged_version),
            knows_used_groups=host.used_groups is not None,
            watched_groups=self._take_watched(host_id, host),
            observations=self._take_observations(host, now_s),
        )
        return catalog.encode_struct(answer)

    def _receive_health(
        self, host_id: str, host: _HostState, report: ttypes.Report, now_s: float
    ) -> None:
        delay_s = host.delays.get_delay_s(
            report.sent_ms / _MS_PER_S, report.round_trip_ms / _MS_PER_S, now_s
        )
        for item in report.health:
            self.board.receive(host_id, item, delay_s, now_s)

    def _assign(self, now_s: float) -> None:
        """Assign watchers anew if the live hosts or the groups have changed."""
        # Every heartbeat comes here; to list all hosts each time is quadratic.
        version = self._machine.get_version()
        if version == self._assigned_version and now_s < self._next_assign_s:
            return
        self._assigned_version = version
        self._next_assign_s = now_s + _ASSIGN_INTERVAL_S
        hosts = sorted(self._get_live_hosts(now_s))
        groups = [group.group for group in self._machine.get_groups()]
        basis = (hosts, groups)
        if basis == self._assigned_for:
            return
        self._assigned_for = basis
        self._watched = {}
        for group in groups:
            watchers = assignment.assign_watchers(
                group, hosts, self._settings.watcher_count
            )
            self._watchers[group] = watchers
            for host_id in watchers:
                self._watched.setdefault(host_id, []).append(group)

    def _take_watched(self, host_id: str, host: _HostState) -> list[str] | None:
        watched = self._watched.get(host_id, [])
        if watched == host.sent_watched:
            return None
        host.sent_watched = watched
        return watched

    def _take_observations(
        self, host: _HostState, now_s: float
    ) -> list[ttypes.GroupObservation] | None:
        if not host.used_groups or now_s < host.next_observation_s:
            return None
        host.next_observation_s = now_s + self._settings.observation_interval_s
        groups = [self._machine.get_group(name) for name in host.used_groups]
        return [self._observe(group, now_s) for group in groups if group is not None]

    def _observe(self, group: ttypes.Group, now_s: float) -> ttypes.GroupObservation:
        items = [
            self._observe_instance(group, place, name, now_s)
            for place, name in enumerate(group.instances)
        ]
        return ttypes.GroupObservation(group.group, items)

    def _observe_instance(
        self, group: ttypes.Group, place: int, name: str, now_s: float
    ) -> ttypes.Observation:
        view = self.board.get_view(group.group, name, now_s)
        if view is None:
            return ttypes.Observation(place, False)
        has_role = view.in_recovery == (name != group.primary)
        is_current = view.position.timeline == group.timeline
        age_ms = None if view.age_s is None else int(view.age_s * _MS_PER_S) + 1
        return ttypes.Observation(
            instance=place,
            is_usable=view.is_reachable and has_role and is_current,
            timeline=view.position.timeline,
            lsn=view.position.lsn,
            age_ms=age_ms,
        )


def _build_replica(
    group: ttypes.Group, item: ttypes.Observation, elapsed_s: float
) -> ReplicaView:
    position = None
    if item.lsn is not None:
        position = positions.Position(item.timeline, item.lsn)
    is_current = position is not None and position.timeline >= group.timeline
    age_s = None if item.age_ms is None else item.age_ms / _MS_PER_S + elapsed_s
    return ReplicaView(
        instance=group.instances[item.instance],
        is_usable=item.is_usable and is_current,
        position=position,
        age_s=age_s,
    )
