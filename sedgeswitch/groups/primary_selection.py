"""Selection of the instance that becomes the primary of a fenced group."""

import enum
import typing

from sedgeswitch.groups import instances
from sedgeswitch.groups import positions
from sedgeswitch.groups.generated import ttypes


class FailoverStep(enum.Enum):
    """The possible next steps of a failover."""

    WAIT = "wait"
    ADOPT = "adopt"
    PROMOTE = "promote"
    CATCH_UP = "catch_up"


class Decision(typing.NamedTuple):
    """The next step of a failover.

    Attributes
    ----------
    step : FailoverStep
        ``WAIT`` for more instances to answer; ``ADOPT`` an instance that has
        already been promoted; ``PROMOTE`` an instance; wait for a replica to
        ``CATCH_UP`` with the old primary, which is live.
    instance : str
        Instance to adopt or promote; empty for the other steps.
    """

    step: FailoverStep
    instance: str = ""


class ClassifiedStates(typing.NamedTuple):
    """The states of a group's instances, grouped by their role in a failover.

    Attributes
    ----------
    promoted : dict of str to InstanceState
        Candidates whose promotion has completed.
    replicas : dict of str to InstanceState
        Replicas, which may be promoted.
    former_primaries : dict of str to InstanceState
        Primaries of earlier terms that have not rejoined as replicas. They have
        acknowledged writes, but cannot be promoted.
    old_primary : InstanceState or None
        The primary of the term that has ended; None if it did not answer or is
        no longer a primary on the timeline of that term.
    """

    promoted: dict[str, instances.InstanceState]
    replicas: dict[str, instances.InstanceState]
    former_primaries: dict[str, instances.InstanceState]
    old_primary: instances.InstanceState | None


def classify_states(
    group: ttypes.Group,
    states: typing.Mapping[str, instances.InstanceState],
    unregistered: typing.Collection[str] = (),
) -> ClassifiedStates:
    """Group the states of a group's instances by role.

    Parameters
    ----------
    group : Group
    states : mapping of str to InstanceState
        States of other instances than those of the group are ignored.
    unregistered : collection of str, optional
        See `decide_next_step`.

    Notes
    -----
    Only the promotion of a candidate recorded since the fence explains a
    timeline above that of the group. If there is no candidate, the instance was
    promoted from outside, and it is unknown whether it has the acknowledged
    writes. Such an instance is ignored.
    """
    classified = ClassifiedStates({}, {}, {}, states.get(group.primary))
    for name in (*group.instances, *unregistered):
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
    may_promote: typing.Callable[[str], bool] = lambda name: True,  # noqa: ARG005
    unregistered: typing.Collection[str] = (),
    acknowledged_after: positions.Position | None = None,
) -> Decision:
    """Return the next step for a fenced group to which no host may write.

    Parameters
    ----------
    group : Group
    states : mapping of str to InstanceState
        States of the instances that answered, read after each entry host had
        applied the fence or its lease had expired.
    ack_instances : int
        Number of instances that have each acknowledged write, including the
        primary.
    get_promotion_rank : callable
        ``get_promotion_rank(name)`` returns the rank of an instance as a tuple;
        the lowest rank is preferred. Its first two items take precedence over
        the position of the instance, the others only decide between instances
        at the same position.
    target : str, optional
        The only instance to promote, as requested by an operator; the failover
        waits for it to catch up.
    acknowledged : positions.Position, optional
        A position that covers every acknowledged write, if all entry hosts have
        reported theirs.
    may_promote : callable, optional
        ``may_promote(name)`` returns whether an instance may be promoted. The
        positions of the others still count towards the acknowledged writes.
    unregistered : collection of str, optional
        Further instances that may have confirmed writes. They count as instances of
        the group, and one of them may be the instance to promote.
    acknowledged_after : positions.Position, optional
        A position that an acknowledged write is after. The write may have been
        confirmed by an instance that is not known, or has lost it.

    Notes
    -----
    Any ``n - ack_instances + 1`` of the n instances that may have confirmed a write
    overlap with each set of instances that confirmed one, so the most advanced of
    them has every acknowledged write. The old primary has every acknowledged write
    as well.
    """
    classified = classify_states(group, states, unregistered)
    for name in group.candidates:
        if name in classified.promoted:
            return Decision(FailoverStep.ADOPT, name)
    if _has_promotion_in_progress(group, states):
        return Decision(FailoverStep.WAIT)
    needed = len(group.instances) + len(unregistered) - ack_instances + 1
    floor = _get_promotion_floor(classified, needed, target is not None)
    if acknowledged is not None and target is None:
        # Either position covers every acknowledged write: the lower one suffices.
        floor = acknowledged if floor is None else min(floor, acknowledged)
    if floor is None:
        return Decision(FailoverStep.WAIT)
    eligible = [
        name
        for name, state in classified.replicas.items()
        if state.log_position >= floor
        and (acknowledged_after is None or state.log_position > acknowledged_after)
        and may_promote(name)
    ]
    if target is not None:
        eligible = [name for name in eligible if name == target]
    if eligible:
        # Instances with promotion attempts left come first, then those already
        # recorded as candidates, then the most advanced.
        def get_preference(name: str) -> tuple:
            position = classified.replicas[name].log_position
            return (
                get_promotion_rank(name)[:2],
                -position.timeline,
                -position.lsn,
                get_promotion_rank(name),
            )

        return Decision(FailoverStep.PROMOTE, min(eligible, key=get_preference))
    if classified.old_primary is not None:
        return Decision(FailoverStep.CATCH_UP)
    return Decision(FailoverStep.WAIT)


def _has_promotion_in_progress(
    group: ttypes.Group, states: typing.Mapping[str, instances.InstanceState]
) -> bool:
    """Return whether a candidate has left recovery without a new timeline yet.

    PostgreSQL reports the new timeline only after the checkpoint that follows
    the promotion.
    """
    candidate_states = [states[name] for name in group.candidates if name in states]
    return any(
        not state.in_recovery and state.position.timeline <= group.timeline
        for state in candidate_states
    )


def _get_promotion_floor(
    classified: ClassifiedStates, needed: int, is_move: bool
) -> positions.Position | None:
    """Return a position that covers every acknowledged write, None if unknown.

    A replica that has reached this position can be promoted without data loss.
    A planned move requires the position of the old primary, if that is live.

    Parameters
    ----------
    classified : ClassifiedStates
    needed : int
        Number of instances, without the old primary, whose most advanced log has
        every acknowledged write.
    is_move : bool
    """
    others = [*classified.replicas.values(), *classified.former_primaries.values()]
    old = classified.old_primary
    if old is not None and (is_move or len(others) < needed):
        return old.log_position
    if len(others) < needed:
        return None
    return max(state.log_position for state in others)
