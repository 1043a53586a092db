"""Shared context of the leader's tasks: replicated state, proposals and leases."""

import typing

import trio

from sedgeswitch.agreement import errors
from sedgeswitch.groups import instances
from sedgeswitch.groups import leases as groups_leases
from sedgeswitch.groups import machine as groups_machine
from sedgeswitch.groups import positions
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.utils import clocks

MACHINE_NAME = "groups"
_SUCCESS_OUTCOMES = (ttypes.Outcome.ACCEPTED, ttypes.Outcome.UNCHANGED)


class LeadershipLostError(Exception):
    """Raised if this host no longer leads or another change of the group came first."""


def _get_no_position(group: str, version: int) -> None:  # noqa: ARG001
    """Return None, for entry hosts that report no acknowledged positions."""


def _get_no_bound(group: str) -> None:  # noqa: ARG001
    """Return None, for entry hosts that report no acknowledged positions."""


def _may_promote_any(instance: str) -> bool:  # noqa: ARG001
    """Return True, for control hosts that exclude no instance from promotion."""
    return True


class LeaderContext(typing.NamedTuple):
    """The parts of a control host that failovers and other leader tasks use.

    Attributes
    ----------
    machine : groups.machine.GroupsMachine
        The replicated state, as far as this host has applied it.
    propose : callable
        ``await propose(machine_name, body, timeout_s)`` replicates a command and
        returns its encoded result.
    get_leadership : callable
        ``get_leadership(now_s)`` returns the confirmed leadership of this host,
        or None if it does not lead.
    leases : groups.leases.LeaseView
    directory : groups.instances.Directory
    driver : object
        Backend driver, with ``connect(target, timeout_s)``.
    settings : groups.settings.GroupSettings
    get_promotion_rank : callable
        ``get_promotion_rank(group, instance)`` returns a tuple. Of several
        equally advanced instances, the one with the lowest tuple is promoted.
    record_report : callable
        Called with each `failover.FailoverReport`.
    instance_control_override : groups.instances.InstanceControl or None
        Reads the state of instances and sends them commands; None for SQL over
        `driver`.
    get_acknowledged_position : callable
        ``get_acknowledged_position(group, version)`` returns the highest
        position of a commit that entry hosts have acknowledged. None if a host
        that may have acknowledged a commit has not sent a report since it
        applied that version of the group table.
    may_promote : callable
        ``may_promote(instance)`` returns whether an instance may become a primary.
    get_acknowledged_after : callable
        ``get_acknowledged_after(group)`` returns a position that an acknowledged
        commit is after, on the timeline of the group. None if no such commit is
        known, or if the instances may acknowledge commits that no replica has.
    """

    machine: groups_machine.GroupsMachine
    propose: typing.Callable
    get_leadership: typing.Callable
    leases: groups_leases.LeaseView
    directory: instances.Directory
    driver: typing.Any
    settings: groups_settings.GroupSettings
    get_promotion_rank: typing.Callable
    record_report: typing.Callable
    instance_control_override: instances.InstanceControl | None = None
    get_acknowledged_position: typing.Callable = _get_no_position
    may_promote: typing.Callable[[str], bool] = _may_promote_any
    get_acknowledged_after: typing.Callable[[str], positions.Position | None] = (
        _get_no_bound
    )

    @property
    def instance_control(self) -> instances.InstanceControl:
        """The interface for reading and commanding instances."""
        return self.instance_control_override or instances.SqlInstanceControl(
            self.driver
        )


def get_group_state(
    context: LeaderContext, leadership_term: int, group: str
) -> ttypes.Group:
    """Return the replicated state of a group.

    Raises
    ------
    LeadershipLostError
        If this host does not lead under `leadership_term`.
    """
    leadership = context.get_leadership(clocks.get_now_s())
    if leadership is None or leadership.term != leadership_term:
        raise LeadershipLostError(group)
    return context.machine.get_group(group)


async def propose(
    context: LeaderContext, leadership_term: int, command: typing.Any
) -> ttypes.Group:
    """Replicate a command and return the state of its group after it.

    Retries for as long as the outcome is unknown and this host leads.

    Raises
    ------
    LeadershipLostError
        If this host no longer leads, or the command was rejected because another
        change of the group came first.
    """
    body = groups_machine.encode_command(command)
    while True:
        get_group_state(context, leadership_term, command.group)
        try:
            answer = await context.propose(
                MACHINE_NAME, body, context.settings.propose_timeout_s
            )
        except errors.OutcomeUnknownError:
            # The retry is safe: commands carry the term that they expect, so a
            # command that is applied twice changes nothing the second time.
            continue
        except errors.NotLeaderError as error:
            raise LeadershipLostError(command.group) from error
        result = groups_machine.decode_result(answer)
        if result.outcome not in _SUCCESS_OUTCOMES:
            raise LeadershipLostError(command.group)
        return result.group


async def wait_for_lease_holders(
    context: LeaderContext, leadership_term: int, group: str, version: int
) -> None:
    """Wait until no lease holder may still use a table older than `version`.

    Raises
    ------
    LeadershipLostError
        If this host no longer leads.
    """
    get_group_state(context, leadership_term, group)
    while groups_leases.list_outdated_hosts(
        context.leases, version, clocks.get_now_s()
    ):
        await trio.sleep(context.settings.check_interval_s)
        get_group_state(context, leadership_term, group)
