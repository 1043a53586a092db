"""Removal of replaced instances from their group."""

import trio

from sedgeswitch.groups import instances
from sedgeswitch.groups import leader_context
from sedgeswitch.groups import positions
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.groups.generated import ttypes


class AnnouncementTracker:
    """Records when each instance was last announced.

    The records are kept in the leader's memory and are lost with the leadership.

    Parameters
    ----------
    settings : groups.settings.GroupSettings
    """

    def __init__(self, settings: groups_settings.GroupSettings):
        self._settings = settings
        self._last_announced_s: dict[tuple[str, str], float] = {}

    def clear(self) -> None:
        """Remove all records, at the start of a leadership."""
        self._last_announced_s.clear()

    def find_removable_instance(
        self, group: ttypes.Group, announced: set[str], now_s: float
    ) -> str | None:
        """Return an instance that should be removed from its group, if any.

        Notes
        -----
        An instance without announcements stays in the group until another has
        replaced it: it may return, and it may have the only copy of an
        acknowledged write. For instances that were not announced to this leader,
        `removal_delay_s` counts from the first call.
        """
        for name in group.instances:
            key = (group.group, name)
            if name in announced:
                self._last_announced_s[key] = now_s
            self._last_announced_s.setdefault(key, now_s)
        if group.phase != ttypes.GroupPhase.SERVING:
            return None
        if len(group.instances) <= self._settings.group_size:
            return None
        oldest_s = now_s - self._settings.removal_delay_s
        for name in group.instances:
            is_expired = self._last_announced_s[(group.group, name)] < oldest_s
            if is_expired and name != group.primary:
                return name
        return None


async def remove_instance(
    context: leader_context.LeaderContext,
    leadership_term: int,
    group: str,
    instance: str,
) -> None:
    """Remove an instance from its group without losing acknowledged writes.

    Raises
    ------
    groups.leader_context.LeadershipLostError
        If this host no longer leads, or the primary has changed.

    Notes
    -----
    First the instance is marked as leaving, so that it no longer counts towards
    the acknowledgement of writes, and every lease holder has to report that it
    applied this. Then the remaining instances must catch up with the primary, so
    that enough of them have each write that this instance helped to acknowledge.
    """
    state = leader_context.get_group_state(context, leadership_term, group)
    term = state.term
    state = await leader_context.propose(
        context, leadership_term, ttypes.RetireInstance(group, term, instance)
    )
    await leader_context.wait_for_lease_holders(
        context, leadership_term, group, state.version
    )
    await _wait_replicated(context, leadership_term, state)
    await leader_context.propose(
        context, leadership_term, ttypes.RemoveInstance(group, term, instance)
    )


async def _wait_replicated(
    context: leader_context.LeaderContext, leadership_term: int, state: ttypes.Group
) -> None:
    """Wait until enough remaining replicas reach the primary's first read position."""
    floor = None
    while True:
        leader_context.get_group_state(context, leadership_term, state.group)
        states = await _read_remaining(context, state)
        primary = states.pop(state.primary, None)
        if floor is None and primary is not None:
            floor = primary.log_position
        if floor is not None and _count_reached(states, floor) >= (
            context.settings.ack_instances - 1
        ):
            return
        await trio.sleep(context.settings.probe_interval_s)


async def _read_remaining(
    context: leader_context.LeaderContext, state: ttypes.Group
) -> dict[str, instances.InstanceState]:
    remaining = [
        item
        for item in context.directory.get_instances(state.group)
        if item.instance in state.instances and item.instance not in state.leaving
    ]
    return await instances.read_states(
        context.instance_control, remaining, context.settings.read_timeout_s
    )


def _count_reached(
    states: dict[str, instances.InstanceState], floor: positions.Position
) -> int:
    return sum(
        positions.has_reached(state.log_position, floor) for state in states.values()
    )
