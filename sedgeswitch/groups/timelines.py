"""Start of a group's timeline in the logs of its instances.

A promotion starts a timeline, but only the first write after it appears in the log.
Until then the logs of the primary and of its replicas end in an earlier timeline.
"""

from sedgeswitch.groups import positions
from sedgeswitch.groups.generated import ttypes


def get_start(group: ttypes.Group) -> positions.Position | None:
    """Return the end of the primary's log when the timeline of a group began.

    Every write that was acknowledged on an earlier timeline is at or before it. None
    if it is unknown.
    """
    if group.start_timeline is None or group.start_lsn is None:
        return None
    return positions.Position(group.start_timeline, group.start_lsn)


def has_joined(group: ttypes.Group, log_position: positions.Position) -> bool:
    """Return whether a log has reached the timeline of a group.

    Parameters
    ----------
    group : Group
    log_position : positions.Position
        The end of the log; see `positions.get_log_position`.
    """
    if log_position.timeline >= group.timeline:
        return log_position.timeline == group.timeline
    start = get_start(group)
    return start is not None and log_position >= start
