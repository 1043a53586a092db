"""The groups section of the heartbeat, on the leader.

A section is the part of a heartbeat that belongs to one package; see
`groups.entry_section` for the other side.
"""

import typing

from sedgeswitch.groups import acknowledged_positions
from sedgeswitch.groups import assignment
from sedgeswitch.groups import durations
from sedgeswitch.groups import health
from sedgeswitch.groups import machine as groups_machine
from sedgeswitch.groups import positions
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.groups import staleness
from sedgeswitch.groups import timelines
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.transport import catalog

_ASSIGN_INTERVAL_S = 0.5


class _HostState:
    """The last report of one entry host, and what was sent to it."""

    def __init__(self):
        self.acknowledged_version = 0
        self.acknowledged: dict[str, positions.Position] = {}
        self.used_groups: list[str] | None = None
        self.sent_watched_groups: list[str] | None = None
        self.next_observation_s = float("-inf")
        self.delays = staleness.ReportDelayEstimator()
        self._next_index = 0

    def take_next_groups(self, count: int) -> list[str]:
        """Return the next used groups in rotation, at most `count`."""
        start = self._next_index % len(self.used_groups)
        rotated = self.used_groups[start:] + self.used_groups[:start]
        self._next_index = start + count
        return rotated[:count]


class _CachedObservation(typing.NamedTuple):
    built_s: float
    group: ttypes.Group
    items: list[ttypes.Observation]

    def is_current(
        self,
        group: ttypes.Group,
        settings: groups_settings.GroupSettings,
        now_s: float,
    ) -> bool:
        """Return whether the observations are recent and match the group's state."""
        until_s = self.built_s + settings.observation_interval_s
        return self.group is group and now_s < until_s


class ControlSection:
    """Leader side: sends the table, watcher assignments and observations.

    Parameters
    ----------
    machine : groups.machine.GroupsMachine
    get_live_hosts : callable
        ``get_live_hosts(now_s)`` returns the entry hosts that hold a lease, as
        `groups.assignment.EntryHost`.
    settings : groups.settings.GroupSettings

    Attributes
    ----------
    health_reports : groups.health.HealthReports
    """

    def __init__(
        self,
        machine: groups_machine.GroupsMachine,
        get_live_hosts: typing.Callable,
        settings: groups_settings.GroupSettings,
    ):
        self.health_reports = health.HealthReports(settings)
        self._machine = machine
        self._get_live_hosts = get_live_hosts
        self._settings = settings
        self._hosts: dict[str, _HostState] = {}
        # By group, the highest position that an acknowledged commit is known to be
        # after, on any timeline. Kept when the host that reported it restarts.
        self._acknowledged_after: dict[str, positions.Position] = {}
        self._assignments = assignment.WatcherAssignments(settings.watcher_count)
        self._observations: dict[str, _CachedObservation] = {}
        self._next_assign_s = float("-inf")

    def start_leadership(self, now_s: float) -> None:  # noqa: ARG002
        """Remove everything recorded in an earlier leadership."""
        self.health_reports.clear()
        self._hosts.clear()
        self._acknowledged_after.clear()
        self._observations.clear()
        self._next_assign_s = float("-inf")

    def get_version(self) -> int:
        """Return the version of the replicated table."""
        return self._machine.get_version()

    def get_acknowledged_version(self, host_id: str) -> int:
        """Return the table version that an entry host last reported as applied."""
        host = self._hosts.get(host_id)
        return 0 if host is None else host.acknowledged_version

    def get_acknowledged_position(
        self,
        group: str,
        version: int,
        host_ids: typing.Iterable[str],
        removal_index: int = 0,
    ) -> positions.Position | None:
        """Return the highest position of an acknowledged commit of a group.

        Parameters
        ----------
        group : str
        version : int
            Version of the group table that the hosts must have applied.
        host_ids : iterable of str
            Every registered entry host.
        removal_index : int
            Index of the log entry that last removed an entry host.

        Returns
        -------
        positions.Position or None
            The start of the timeline if no commit has been acknowledged on it. None
            if that is unknown, one of the entry hosts has not reported its position
            since it applied that version of the table, or one has been removed since
            the timeline began: it may have acknowledged commits.
        """
        state = self._machine.get_group(group)
        if state.timeline_index is None or removal_index > state.timeline_index:
            return None
        highest = timelines.get_start(state)
        for host_id in host_ids:
            host = self._hosts.get(host_id)
            if host is None or host.acknowledged_version < version:
                return None
            position = host.acknowledged.get(group)
            if position is None or position.timeline != state.timeline:
                return None
            if position.lsn > 0:
                highest = position if highest is None else max(highest, position)
        return highest

    def get_acknowledged_after(self, group: str) -> positions.Position | None:
        """Return a position on a group's timeline that an acknowledged commit is after.

        None if no entry host has reported an acknowledged commit on that timeline.
        Unlike `get_acknowledged_position` it needs no report of any particular host.
        """
        position = self._acknowledged_after.get(group)
        timeline = self._machine.get_group(group).timeline
        return position if position and position.timeline == timeline else None

    def get_suspicion(
        self, group: ttypes.Group, now_s: float
    ) -> health.Suspicion | None:
        """Return the reason to replace a group's primary, None without one."""
        watchers = self._assignments.get_watchers(group.group)
        return self.health_reports.get_suspicion(group, watchers, now_s)

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:
        """Record an entry host's section and return the answer to it."""
        report = catalog.decode_struct(ttypes.Report, body)
        host = self._get_host(host_id, report.acknowledged_version)
        host.acknowledged_version = report.acknowledged_version
        if report.used_groups is not None:
            host.used_groups = report.used_groups
        self._receive_acknowledged(host, report.acknowledged or ())
        self._receive_health(host_id, host, report, now_s)
        self._update_assignments(now_s)
        answer = ttypes.Answer(
            version=self._machine.get_version(),
            changed=self._machine.get_changed(report.acknowledged_version),
            knows_used_groups=host.used_groups is not None,
            watched_groups=self._take_changed_assignment(host_id, host),
            observations=self._take_observations(host, now_s),
        )
        return catalog.encode_struct(answer)

    def _get_host(self, host_id: str, acknowledged_version: int) -> _HostState:
        """Return the state of the process that has sent a report.

        The version of a process's table never decreases. After a lower one the state is
        that of an earlier process: the present one has received nothing yet.
        """
        host = self._hosts.get(host_id)
        if host is None or acknowledged_version < host.acknowledged_version:
            host = self._hosts[host_id] = _HostState()
        return host

    def _receive_acknowledged(
        self, host: _HostState, acknowledged: typing.Iterable[ttypes.Acknowledged]
    ) -> None:
        host.acknowledged = {}
        for item in acknowledged:
            if item.lsn != acknowledged_positions.UNKNOWN_LSN:
                position = positions.Position(item.timeline, item.lsn)
                host.acknowledged[item.group] = position
            if item.after_lsn is not None:
                after = positions.Position(item.timeline, item.after_lsn)
                known = self._acknowledged_after.get(item.group, after)
                self._acknowledged_after[item.group] = max(known, after)

    def _receive_health(
        self, host_id: str, host: _HostState, report: ttypes.Report, now_s: float
    ) -> None:
        delay_s = host.delays.get_max_delay_s(
            report.sent_ms / durations.MS_PER_S,
            report.round_trip_ms / durations.MS_PER_S,
            now_s,
        )
        for item in report.health:
            self.health_reports.record_report(host_id, item, delay_s, now_s)

    def _update_assignments(self, now_s: float) -> None:
        """Update the watcher assignments, at most once per interval."""
        if now_s < self._next_assign_s:
            return
        self._next_assign_s = now_s + _ASSIGN_INTERVAL_S
        groups = [group.group for group in self._machine.get_groups()]
        self._assignments.update(groups, self._get_live_hosts(now_s))

    def _take_changed_assignment(
        self, host_id: str, host: _HostState
    ) -> list[str] | None:
        watched = self._assignments.get_groups(host_id)
        if watched == host.sent_watched_groups:
            return None
        host.sent_watched_groups = watched
        return watched

    def _take_observations(
        self, host: _HostState, now_s: float
    ) -> list[ttypes.GroupObservation] | None:
        if not host.used_groups or now_s < host.next_observation_s:
            return None
        names = host.take_next_groups(self._settings.observed_groups)
        share = len(names) / len(host.used_groups)
        wait_s = self._settings.observation_interval_s * share
        host.next_observation_s = now_s + wait_s
        groups = [self._machine.get_group(name) for name in names]
        return [self._observe(group, now_s) for group in groups if group is not None]

    def _observe(self, group: ttypes.Group, now_s: float) -> ttypes.GroupObservation:
        """Return a group's observations, which all hosts that use it share."""
        cached = self._observations.get(group.group)
        if cached is None or not cached.is_current(group, self._settings, now_s):
            cached = _CachedObservation(now_s, group, self._build_items(group, now_s))
            self._observations[group.group] = cached
        elapsed_ms = durations.get_ms(now_s - cached.built_s)
        return ttypes.GroupObservation(group.group, cached.items, elapsed_ms)

    def _build_items(
        self, group: ttypes.Group, now_s: float
    ) -> list[ttypes.Observation]:
        return [
            self._observe_instance(group, index, name, now_s)
            for index, name in enumerate(group.instances)
            if self._settings.observes_replicas or name == group.primary
        ]

    def _observe_instance(
        self, group: ttypes.Group, index: int, name: str, now_s: float
    ) -> ttypes.Observation:
        view = self.health_reports.get_instance_view(group.group, name, now_s)
        if view is None:
            return ttypes.Observation(index, False)
        has_role = view.in_recovery == (name != group.primary)
        is_current = timelines.has_joined(group, view.position)
        age_ms = None if view.age_s is None else durations.get_ms(view.age_s)
        return ttypes.Observation(
            instance=index,
            is_usable=view.is_reachable and has_role and is_current,
            timeline=view.position.timeline,
            lsn=view.position.lsn,
            age_ms=age_ms,
            log_timeline=view.log_timeline,
        )
