"""Settings of health watching and failover."""

import typing

from sedgeswitch.utils import checks


class GroupSettings(typing.NamedTuple):
    """Settings of the groups slice; every time in seconds.

    Attributes
    ----------
    group_size : int
        Instances that a group is planned with.
    ack_instances : int
        Instances, the primary among them, that must hold a write before it is
        acknowledged.
    watcher_count : int
        Entry hosts that watch each group.
    probe_interval_s : float
        Time from one probe of an instance to the next.
    probe_timeout_s : float
        Longest wait for the answer to a probe.
    replica_interval_s : float
        Time from one probe of a replica to the next.
    refused_interval_s : float
        Time from a refused probe to the next, until the instance is suspect.
    refused_limit : int
        Refused connections in a row that make an instance suspect.
    silence_limit_s : float
        Silence that makes an instance suspect, if it answers fast otherwise.
    max_silence_limit_s : float
        Silence that makes any instance suspect.
    stall_limit_s : float
        Time without movement of the replicas, while the primary moves, after
        which the primary is replaced.
    report_age_s : float
        Age at which a watcher's report stops counting.
    observation_interval_s : float
        Least time between two observations of a group for one entry host.
    observed_groups : int
        Groups whose observations one answer holds at most; the groups that a
        host uses take turns.
    check_interval_s : float
        Time between two looks at groups in trouble.
    read_timeout_s : float
        Longest wait for an instance's position during a failover.
    promote_timeout_s : float
        Longest wait for one order to promote.
    promote_attempts : int
        Orders to one candidate before another is considered.
    catch_up_s : float
        Longest wait for a replica to reach the position of a live primary.
    removal_delay_s : float
        Time without announcement after which an instance that has been replaced
        leaves its group.
    propose_timeout_s : float
        Longest wait for one agreement.
    """

    group_size: int = 3
    ack_instances: int = 2
    watcher_count: int = 3
    probe_interval_s: float = 0.5
    probe_timeout_s: float = 5.0
    replica_interval_s: float = 0.5
    refused_interval_s: float = 0.1
    refused_limit: int = 3
    silence_limit_s: float = 1.5
    max_silence_limit_s: float = 4.0
    stall_limit_s: float = 3.0
    report_age_s: float = 2.0
    observation_interval_s: float = 1.0
    observed_groups: int = 5
    check_interval_s: float = 0.05
    read_timeout_s: float = 0.5
    promote_timeout_s: float = 2.0
    promote_attempts: int = 2
    catch_up_s: float = 2.0
    removal_delay_s: float = 30.0
    propose_timeout_s: float = 1.0


_LONGEST_S = 60.0
_LARGEST_GROUP = 15


def check_settings(settings: GroupSettings) -> GroupSettings:
    """Return `settings` if they fit together.

    Raises
    ------
    sedgeswitch.utils.checks.CheckError
        If a time is not above 0, or a count does not fit the group.
    """
    for field, value in settings._asdict().items():
        if field.endswith("_s"):
            checks.check_range(f"groups.{field}", value, 0.001, _LONGEST_S)
    checks.check_range("groups.group_size", settings.group_size, 1, _LARGEST_GROUP)
    checks.check_range(
        "groups.ack_instances", settings.ack_instances, 1, settings.group_size
    )
    checks.check_range("groups.watcher_count", settings.watcher_count, 1)
    checks.check_range("groups.refused_limit", settings.refused_limit, 1)
    checks.check_range("groups.observed_groups", settings.observed_groups, 1)
    checks.check_range("groups.promote_attempts", settings.promote_attempts, 1)
    checks.check_range(
        "groups.max_silence_limit_s",
        settings.max_silence_limit_s,
        settings.silence_limit_s,
        _LONGEST_S,
    )
    return settings
