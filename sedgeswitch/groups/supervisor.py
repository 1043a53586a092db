"""Supervision of all groups by the leader: registration, failover and removal."""

import typing

import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.agreement import errors
from sedgeswitch.groups import control_section
from sedgeswitch.groups import failover
from sedgeswitch.groups import instance_removal
from sedgeswitch.groups import instances
from sedgeswitch.groups import leader_context
from sedgeswitch.groups import machine as groups_machine
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.groups import timelines
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.utils import clocks

_REGISTER_INTERVAL_S = 1.0
_RETRY_AFTER_MS = 1000
_CONFLICT_STATUS = 409
_UNAVAILABLE_STATUS = 503


class Supervisor:
    """Registers groups and replaces their primaries while this host leads.

    Parameters
    ----------
    context : groups.leader_context.LeaderContext
    section : groups.control_section.ControlSection
        Receives the reports of the watchers.

    Notes
    -----
    All state in this class is kept in memory only: a new leader finds fenced
    groups in the replicated state, and suspected primaries in the reports that
    it receives.
    """

    def __init__(
        self,
        context: leader_context.LeaderContext,
        section: control_section.ControlSection,
    ):
        self._context = context
        self._section = section
        self._changing_groups: set[str] = set()
        self._groups_with_removal: set[str] = set()
        self._announcements = instance_removal.AnnouncementTracker(context.settings)

    async def run(self) -> None:
        """Supervise whenever this host leads, until cancelled."""
        while True:
            leadership = self._context.get_leadership(clocks.get_now_s())
            if leadership is not None:
                await self._supervise_term(leadership.term)
            await trio.sleep(self._context.settings.check_interval_s)

    async def move_primary(self, group: str, instance: str) -> failover.FailoverReport:
        """Make an instance the primary of a group, for an operator or a drain.

        Returns
        -------
        failover.FailoverReport
            `new_primary` is the instance that became the primary. It is the old
            primary if the requested instance did not catch up in time.

        Raises
        ------
        verdicts.RefusedError
            With verdict "not run", if this host does not lead, the group is
            already changing, or the instance is not in the group or already its
            primary. With verdict "may have run", if this host lost its
            leadership during the move.
        """
        leadership = self._context.get_leadership(clocks.get_now_s())
        if leadership is None:
            raise _build_not_leader()
        self._check_move(group, instance)
        task = failover.Failover(
            self._context,
            leadership.term,
            group,
            failover.MOVE_REASON,
            clocks.get_now_s(),
            target=instance,
        )
        self._changing_groups.add(group)
        try:
            report = await task.run()
        except leader_context.LeadershipLostError as error:
            raise verdicts.build_may_have_run(
                _UNAVAILABLE_STATUS,
                "leadership_lost",
                f"the control host lost its leadership while the primary of group"
                f" {group} was being moved",
                _RETRY_AFTER_MS,
            ) from error
        finally:
            self._changing_groups.discard(group)
        return await task.wait_until_acknowledged(report)

    def _check_move(self, group: str, instance: str) -> None:
        state = self._context.machine.get_group(group)
        if state is None or instance not in state.instances:
            raise verdicts.build_not_run(
                _CONFLICT_STATUS,
                "unknown_instance",
                f"group {group} has no instance {instance}",
            )
        if not self._context.may_promote(instance):
            raise verdicts.build_not_run(
                _CONFLICT_STATUS,
                "instance_evacuated",
                f"the availability zone of {instance} is evacuated",
            )
        is_fenced = state.phase == ttypes.GroupPhase.FENCED
        if is_fenced or group in self._changing_groups or state.primary == instance:
            raise verdicts.build_not_run(
                _CONFLICT_STATUS,
                "group_changing" if state.primary != instance else "primary_already",
                f"group {group} is changing its primary, or {instance} already is"
                f" its primary",
                _RETRY_AFTER_MS,
            )

    def _is_leading_in(self, term: int) -> bool:
        leadership = self._context.get_leadership(clocks.get_now_s())
        return leadership is not None and leadership.term == term

    async def _supervise_term(self, term: int) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._maintain_instances, nursery, term)
            while self._is_leading_in(term):
                self._start_due_failovers(nursery, term)
                await trio.sleep(self._context.settings.check_interval_s)
            nursery.cancel_scope.cancel()

    def _start_due_failovers(self, nursery: trio.Nursery, term: int) -> None:
        """Start a failover for each fenced group and each suspected primary."""
        now_s = clocks.get_now_s()
        for state in self._context.machine.get_fenced():
            self._start_failover(nursery, term, state.group, state.reason, now_s)
        for name in self._section.health_reports.take_groups_to_check():
            state = self._context.machine.get_group(name)
            if state is None:
                continue
            suspicion = self._section.get_suspicion(state, now_s)
            if suspicion is not None:
                self._start_failover(
                    nursery, term, name, suspicion.reason, suspicion.since_s
                )

    def _start_failover(
        self,
        nursery: trio.Nursery,
        term: int,
        group: str,
        reason: str,
        started_s: float,
    ) -> None:
        if group in self._changing_groups:
            return
        self._changing_groups.add(group)
        task = failover.Failover(self._context, term, group, reason, started_s)
        nursery.start_soon(self._run_failover, group, task)

    async def _run_failover(self, group: str, task: failover.Failover) -> None:
        try:
            report = await task.run()
        except leader_context.LeadershipLostError:
            loguru.logger.info("failover stopped", group=group)
            return
        finally:
            self._changing_groups.discard(group)
        report = await task.wait_until_acknowledged(report)
        loguru.logger.info("primary changed", **report._asdict())

    async def _maintain_instances(self, nursery: trio.Nursery, term: int) -> None:
        """Register new groups and instances, and remove replaced ones, repeatedly."""
        self._announcements.clear()
        while True:
            for group in list(self._context.directory.get_groups()):
                command = await self._build_registration(group)
                if command is not None:
                    await self._propose(command)
                self._start_removal(nursery, term, group)
            await trio.sleep(_REGISTER_INTERVAL_S)

    def _start_removal(self, nursery: trio.Nursery, term: int, group: str) -> None:
        state = self._context.machine.get_group(group)
        if state is None or group in self._groups_with_removal:
            return
        announced = self._context.directory.get_instances(group)
        instance = self._announcements.find_removable_instance(
            state, {item.instance for item in announced}, clocks.get_now_s()
        )
        if instance is not None:
            self._groups_with_removal.add(group)
            nursery.start_soon(self._run_removal, term, group, instance)

    async def _run_removal(self, term: int, group: str, instance: str) -> None:
        try:
            await instance_removal.remove_instance(self._context, term, group, instance)
            loguru.logger.info("instance removed", group=group, instance=instance)
        except leader_context.LeadershipLostError:
            loguru.logger.info("removal stopped", group=group, instance=instance)
        finally:
            self._groups_with_removal.discard(group)

    async def _propose(self, command: typing.Any) -> None:
        try:
            await self._context.propose(
                leader_context.MACHINE_NAME,
                groups_machine.encode_command(command),
                self._context.settings.propose_timeout_s,
            )
        except (errors.NotLeaderError, errors.OutcomeUnknownError):
            loguru.logger.info("registration not replicated", group=command.group)

    async def _build_registration(self, group: str) -> typing.Any | None:
        """Return the command that registers newly announced instances, if any."""
        state = self._context.machine.get_group(group)
        announced = self._context.directory.get_instances(group)
        registered = [] if state is None else state.instances
        new = [item for item in announced if item.instance not in registered]
        if not new:
            return None
        states = await instances.read_states(
            self._context.instance_control,
            announced if state is None else new,
            self._context.settings.read_timeout_s,
        )
        if state is None:
            return build_register_group(group, states, self._context.settings)
        return build_add_instance(state, states)


def build_register_group(
    group: str,
    states: typing.Mapping[str, instances.InstanceState],
    settings: groups_settings.GroupSettings,
) -> ttypes.RegisterGroup | None:
    """Return the command that registers a new group.

    Returns
    -------
    RegisterGroup or None
        None if there is no primary among the states, or fewer states than
        ``group_size - ack_instances + 1``. Any set of that many instances overlaps
        with each set of instances that confirmed a write.
    """
    needed = settings.group_size - settings.ack_instances + 1
    primaries = [
        (state.position.timeline, name)
        for name, state in states.items()
        if not state.in_recovery
    ]
    if len(states) < needed or not primaries:
        return None
    timeline, primary = max(primaries)
    return ttypes.RegisterGroup(
        group,
        primary,
        timeline,
        sorted(states),
        states[primary].position.lsn,
        states[primary].log_timeline,
    )


def build_add_instance(
    group: ttypes.Group, states: typing.Mapping[str, instances.InstanceState]
) -> ttypes.AddInstance | None:
    """Return the command that adds a replica that follows the primary, if any."""
    for name, state in states.items():
        if state.in_recovery and timelines.has_joined(group, state.log_position):
            return ttypes.AddInstance(group.group, group.term, name)
    return None


def _build_not_leader() -> verdicts.RefusedError:
    return verdicts.build_not_run(
        _UNAVAILABLE_STATUS,
        "not_leader",
        "this control host does not lead",
        _RETRY_AFTER_MS,
    )
