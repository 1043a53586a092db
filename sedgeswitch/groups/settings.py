"""Settings of health checks and failover."""

import typing

from sedgeswitch.utils import checks


class GroupSettings(typing.NamedTuple):
    """Settings of the groups; all times are in seconds.

    Attributes
    ----------
    group_size : int
        Planned number of instances in a group.
    ack_instances : int
        Number of instances, including the primary, that must have a write before
        it is acknowledged.
    any_replica_confirms : bool
        Whether any replica that follows the primary may confirm a write, registered
        or not. This is so where the primaries themselves acknowledge writes.
    watcher_count : int
        Number of entry hosts that watch each group.
    probe_interval_s : float
        Interval between probes of a primary.
    probe_timeout_s : float
        Timeout of a probe.
    replica_interval_s : float
        Interval between probes of a replica.
    refused_interval_s : float
        Interval after a refused probe, until the instance is suspect.
    refused_limit : int
        Consecutive refused connections that make an instance suspect.
    silence_limit_s : float
        Time without an answer that makes an instance suspect, if its recent
        answers were fast.
    max_silence_limit_s : float
        Time without an answer that makes any instance suspect.
    stall_limit_s : float
        Time without progress of the replicas, while the primary advances, after
        which the primary is replaced.
    report_age_s : float
        Maximum age of a watcher's report; older ones are ignored.
    observation_interval_s : float
        Minimum interval between two observations of a group sent to one entry
        host.
    observed_groups : int
        Maximum number of groups whose observations are sent in one answer. The
        groups that a host uses are sent in rotation.
    observes_replicas : bool
        Whether observations of replicas are sent to entry hosts, besides those of
        primaries.
    check_interval_s : float
        Interval at which states and conditions are polled.
    read_timeout_s : float
        Timeout for reading the state of an instance during a failover.
    promote_timeout_s : float
        Timeout of one promotion command.
    promote_attempts : int
        Promotion commands sent to one candidate before another is considered.
    catch_up_s : float
        Maximum time that a replica is given to reach the position of a live
        primary.
    removal_delay_s : float
        Time without an announcement after which a replaced instance is removed
        from its group.
    propose_timeout_s : float
        Timeout for replicating one command.
    """

    group_size: int = 3
    ack_instances: int = 2
    any_replica_confirms: bool = False
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
    observes_replicas: bool = True
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
    """Return `settings` if they are valid and consistent.

    Raises
    ------
    sedgeswitch.utils.checks.CheckError
        If a time or count is out of its range: times are 0.001 s to 60 s,
        `group_size` is 1 to 15, `ack_instances` is at most `group_size`, and
        `max_silence_limit_s` is at least `silence_limit_s`.
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
