"""Health reports of all watchers, as evaluated by the leader."""

import typing

from sedgeswitch.groups import durations
from sedgeswitch.groups import positions
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.groups.generated import ttypes

UNREACHABLE_REASON = "primary_unreachable"
STALLED_REASON = "replication_stalled"


class Suspicion(typing.NamedTuple):
    """Why the primary of a group should be replaced.

    Attributes
    ----------
    reason : str
    since_s : float
        Estimated start of the failure.
    """

    reason: str
    since_s: float


class InstanceView(typing.NamedTuple):
    """The most advanced state of one instance in the recent reports.

    Attributes
    ----------
    in_recovery : bool
    position : positions.Position
    age_s : float or None
        Maximum age of the instance's data, now; None if unknown.
    is_reachable : bool
        Whether at least one watcher with a recent report does not suspect the
        instance.
    log_timeline : int or None
        See `instances.InstanceState`.
    """

    in_recovery: bool
    position: positions.Position
    age_s: float | None
    is_reachable: bool
    log_timeline: int | None = None


class _Report(typing.NamedTuple):
    received_s: float
    delay_s: float
    health: ttypes.GroupHealth


class HealthReports:
    """Stores the last report of each watcher on each group; leader only.

    Parameters
    ----------
    settings : groups.settings.GroupSettings
    """

    def __init__(self, settings: groups_settings.GroupSettings):
        self._settings = settings
        self._reports: dict[str, dict[str, _Report]] = {}
        self._groups_to_check: set[str] = set()

    def clear(self) -> None:
        """Remove all reports, at the start of a leadership."""
        self._reports.clear()
        self._groups_to_check.clear()

    def record_report(
        self, host_id: str, health: ttypes.GroupHealth, delay_s: float, now_s: float
    ) -> None:
        """Store the report of one watcher on one group.

        Parameters
        ----------
        host_id : str
        health : GroupHealth
        delay_s : float
            Maximum network delay of the report.
        now_s : float
        """
        reports = self._reports.setdefault(health.group, {})
        reports[host_id] = _Report(now_s, delay_s, health)
        if health.is_stalled or any(_is_suspect(item) for item in health.instances):
            self._groups_to_check.add(health.group)

    def take_groups_to_check(self) -> set[str]:
        """Return the groups with a suspect or stalled report since the last call."""
        groups_to_check, self._groups_to_check = self._groups_to_check, set()
        return groups_to_check

    def get_suspicion(
        self,
        group: ttypes.Group,
        watchers: typing.Sequence[str],
        now_s: float,
    ) -> Suspicion | None:
        """Return the reason to replace a group's primary, None without one.

        Parameters
        ----------
        group : Group
        watchers : sequence of str
            The entry hosts assigned to the group.
        now_s : float

        Notes
        -----
        A majority of the assigned watchers must suspect the primary. A network
        partition between a minority of entry hosts and the primary, or watchers
        that stop reporting, therefore cause no failover.
        """
        needed = len(watchers) // 2 + 1
        reports = self._get_recent_reports(group.group, watchers, now_s)
        unreachable = [
            report for report in reports if _reports_suspect(report, group.primary)
        ]
        if len(unreachable) >= needed:
            silence_s = max(_get_silence_s(item, group.primary) for item in unreachable)
            return Suspicion(UNREACHABLE_REASON, now_s - silence_s)
        if sum(report.health.is_stalled for report in reports) >= needed:
            return Suspicion(STALLED_REASON, now_s - self._settings.stall_limit_s)
        return None

    def get_instance_view(
        self, group: str, instance: str, now_s: float
    ) -> InstanceView | None:
        """Return the most advanced recent report on an instance, None without one.

        Reports of all hosts are used, also of those no longer assigned as watchers.
        """
        most_advanced = None
        is_reachable = False
        for report in self._get_recent_reports(group, None, now_s):
            item = _find_instance(report.health, instance)
            if item is None or item.lsn is None:
                continue
            is_reachable = is_reachable or not _is_suspect(item)
            view = _build_view(report, item, now_s)
            if most_advanced is None or view.position >= most_advanced.position:
                most_advanced = view
        return (
            None
            if most_advanced is None
            else most_advanced._replace(is_reachable=is_reachable)
        )

    def _get_recent_reports(
        self, group: str, hosts: typing.Sequence[str] | None, now_s: float
    ) -> list[_Report]:
        oldest_s = now_s - self._settings.report_age_s
        return [
            report
            for host_id, report in self._reports.get(group, {}).items()
            if (hosts is None or host_id in hosts) and report.received_s >= oldest_s
        ]


def _find_instance(
    health: ttypes.GroupHealth, instance: str
) -> ttypes.InstanceHealth | None:
    return next((item for item in health.instances if item.instance == instance), None)


def _is_suspect(item: ttypes.InstanceHealth) -> bool:
    return item.condition == ttypes.Condition.SUSPECT


def _reports_suspect(report: _Report, instance: str) -> bool:
    item = _find_instance(report.health, instance)
    return item is not None and _is_suspect(item)


def _get_silence_s(report: _Report, instance: str) -> float:
    return _find_instance(report.health, instance).silence_ms / durations.MS_PER_S


def _build_view(
    report: _Report, item: ttypes.InstanceHealth, now_s: float
) -> InstanceView:
    age_s = None
    if item.age_ms is not None:
        waited_s = now_s - report.received_s
        age_s = item.age_ms / durations.MS_PER_S + report.delay_s + waited_s
    position = positions.Position(item.timeline, item.lsn)
    return InstanceView(
        item.in_recovery,
        position,
        age_s,
        is_reachable=False,
        log_timeline=item.log_timeline,
    )
