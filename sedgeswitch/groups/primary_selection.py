"""Choice of the instance that becomes the primary of a fenced group."""

import enum
import typing

from sedgeswitch.groups import instances
from sedgeswitch.groups import positions
from sedgeswitch.groups.generated import ttypes


class FailoverStep(enum.Enum):
    """What a failover does next."""

    WAIT = "wait"
    ADOPT = "adopt"
    PROMOTE = "promote"
    CATCH_UP = "catch_up"


class Decision(typing.NamedTuple):
    """The next step of a failover.

    Attributes
    ----------
    step : Step
        ``WAIT`` for more instances to answer; ``ADOPT`` an instance that is the
        new primary already; ``PROMOTE`` an instance; wait for a replica to
        ``CATCH_UP`` with the old primary, which is live.
    instance : str
        Empty where the step concerns no instance.
    """

    step: FailoverStep
    instance: str = ""


class ClassifiedStates(typing.NamedTuple):
    """The readings of a group, by what they may be used for.

    Attributes
    ----------
    promoted : dict of str to InstanceState
        Chosen candidates that have become a primary.
    replicas : dict of str to InstanceState
        May be promoted.
    former_primaries : dict of str to InstanceState
        Former primaries that have not rejoined; they hold acknowledged writes,
        but cannot be promoted.
    old_primary : InstanceState or None
        The primary of the term that has ended, if it is still one.
    """

    promoted: dict[str, instances.InstanceState]
    replicas: dict[str, instances.InstanceState]
    former_primaries: dict[str, instances.InstanceState]
    old_primary: instances.InstanceState | None


def classify_states(
    group: ttypes.Group, states: typing.Mapping[str, instances.InstanceState]
) -> ClassifiedStates:
    """Sort what the agreed instances of a group say about themselves.

    Notes
    -----
    A timeline above the group's is explained only by a candidate that was
    chosen since the fence. Without one it is somebody else's promotion, of
    which nobody knows whether it holds the acknowledged writes: such an
    instance counts for nothing.
    """
    classified = ClassifiedStates({}, {}, {}, states.get(group.primary))
    for name in group.instances:
        state = states.get(name)
        if state is None:
            continue
        timeline = state.position.timeline
        if timeline > group.timeline and not group.candidates:
            continue
        if state.in_recovery:
            classified.replicas[name] = state
        elif timeline > group.timeline and name in group.candidates:
            classified.promoted[name] = state
        elif timeline < group.timeline:
            classified.former_primaries[name] = state
    old = classified.old_primary
    if old is not None and (old.in_recovery or old.position.timeline != group.timeline):
        return classified._replace(old_primary=None)
    return classified


def decide_next_step(
    group: ttypes.Group,
    states: typing.Mapping[str, instances.InstanceState],
    ack_instances: int,
    get_promotion_rank: typing.Callable[[str], tuple],
    target: str | None = None,
    acknowledged: positions.Position | None = None,
) -> Decision:
    """Return the next step for a fenced group that nobody may write to.

    Parameters
    ----------
    group : Group
    states : mapping of str to InstanceState
        The instances that answered after the last lease on the term ended.
    ack_instances : int
        Instances that hold each acknowledged write, counted with the primary.
    get_promotion_rank : callable
        Rank of an instance by name; the lowest is preferred among instances
        that hold the same position.
    target : str, optional
        The instance that an operator wants; waits for it to catch up.
    acknowledged : positions.Position, optional
        A position that holds every acknowledged write, if the entry hosts have
        told it.

    Notes
    -----
    ``n - ack_instances + 1`` of n instances meet each set that has acknowledged
    a write, so the highest of them holds every such write. The old primary
    alone holds every such write too.
    """
    classified = classify_states(group, states)
    for name in group.candidates:
        if name in classified.promoted:
            return Decision(FailoverStep.ADOPT, name)
    if _has_promotion_in_progress(group, states):
        return Decision(FailoverStep.WAIT)
    floor = _get_promotion_floor(group, classified, ack_instances, target is not None)
    if acknowledged is not None and target is None:
        # Each of the two holds every acknowledged write, so the lower one will do.
        floor = acknowledged if floor is None else min(floor, acknowledged)
    if floor is None:
        return Decision(FailoverStep.WAIT)
    fit = [
        name for name, state in classified.replicas.items() if state.position >= floor
    ]
    if target is not None:
        fit = [name for name in fit if name == target]
    if fit:
        # The obedient first, then whoever holds most.
        def rank(name: str) -> tuple:
            position = classified.replicas[name].position
            return (
                get_promotion_rank(name)[:2],
                -position.timeline,
                -position.lsn,
                get_promotion_rank(name),
            )

        return Decision(FailoverStep.PROMOTE, min(fit, key=rank))
    if classified.old_primary is not None:
        return Decision(FailoverStep.CATCH_UP)
    return Decision(FailoverStep.WAIT)


def _has_promotion_in_progress(
    group: ttypes.Group, states: typing.Mapping[str, instances.InstanceState]
) -> bool:
    """Return whether a candidate left recovery but shows no new timeline yet.

    A server shows its new timeline only after the checkpoint that follows its
    promotion.
    """
    chosen = [states[name] for name in group.candidates if name in states]
    return any(
        not state.in_recovery and state.position.timeline <= group.timeline
        for state in chosen
    )


def _get_promotion_floor(
    group: ttypes.Group, classified: ClassifiedStates, ack_instances: int, is_move: bool
) -> positions.Position | None:
    """Return a position that holds every acknowledged write, None if unknown."""
    others = [*classified.replicas.values(), *classified.former_primaries.values()]
    needed = len(group.instances) - ack_instances + 1
    old = classified.old_primary
    if old is not None and (is_move or len(others) < needed):
        return old.position
    if len(others) < needed:
        return None
    return max(state.position for state in others)
