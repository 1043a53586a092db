"""What every task of the leader needs: the agreed state, proposals and leases."""

import typing

import trio

from sedgeswitch.agreement import errors
from sedgeswitch.groups import instances
from sedgeswitch.groups import leases as groups_leases
from sedgeswitch.groups import machine as groups_machine
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.utils import clocks

SLICE_NAME = "groups"
_SUCCESS_OUTCOMES = (ttypes.Outcome.ACCEPTED, ttypes.Outcome.UNCHANGED)


class LeadershipLostError(Exception):
    """The host no longer leads, or the group moved on without this task."""


def _get_no_position(group: str, version: int) -> None:  # noqa: ARG001
    """Return None: nobody reports acknowledged positions."""


class LeaderContext(typing.NamedTuple):
    """What a control host gives to a failover.

    Attributes
    ----------
    machine : groups.machine.GroupsMachine
        The agreed state as this host has applied it.
    propose : callable
        ``await propose(machine_name, body, timeout_s)`` returns the result.
    get_leadership : callable
        ``get_leadership(now_s)``: the confirmed leadership of this host or None.
    leases : groups.leases.LeaseView
    directory : groups.instances.Directory
    driver : object
        Backend driver, with ``connect(target, timeout_s)``.
    settings : groups.settings.GroupSettings
    get_promotion_rank : callable
        ``get_promotion_rank(group, instance)``: a tuple, lowest first, that tells which
        of several equally advanced instances should become the primary.
    record_report : callable
        Takes each `FailoverReport`.
    instance_control_override : groups.instances.InstanceControl or None
        Reads and orders instances; by SQL over `driver` if None.
    get_acknowledged_position : callable
        ``get_acknowledged_position(group, version)``: the highest position of a commit
        that entry hosts have answered as done, None if a host that may have
        answered one has not reported since it obeys that version of the table.
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

    @property
    def instance_control(self) -> instances.InstanceControl:
        """How instances are read and ordered."""
        return self.instance_control_override or instances.SqlInstanceControl(
            self.driver
        )


def get_group_state(
    context: LeaderContext, leadership_term: int, group: str
) -> ttypes.Group:
    """Return the agreed state of a group.

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
    """Agree on a command and return the state of its group after it.

    Raises
    ------
    LeadershipLostError
        If this host no longer leads, or another change came first.
    """
    body = groups_machine.encode_command(command)
    while True:
        get_group_state(context, leadership_term, command.group)
        try:
            answer = await context.propose(
                SLICE_NAME, body, context.settings.propose_timeout_s
            )
        except errors.OutcomeUnknownError:
            # Commands name their term, so one that did run changes nothing.
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
    """Wait until no entry host works under a table older than `version`.

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
