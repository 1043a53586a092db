"""The procedure that changes the primary of one group."""

import contextlib
import typing

import loguru
import trio

from sedgeswitch.groups import instances
from sedgeswitch.groups import leader_context
from sedgeswitch.groups import primary_selection
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.utils import clocks

MOVE_REASON = "move"


class FailoverReport(typing.NamedTuple):
    """A change of primary and the time that each phase took.

    Attributes
    ----------
    group : str
    old_term : int
    new_term : int
    reason : str
    old_primary : str
    new_primary : str
        The same as `old_primary` if that was reinstated: it stays the primary,
        in a new term.
    detect_s : float
        Time from the start of the failure until the fence was replicated; 0 for
        a failover that this leader took over from another.
    lease_wait_s : float
        Time until no entry host could acknowledge a write in the old term.
    choose_s : float
        Time until the next primary was selected and replicated as a candidate.
    promote_s : float
        Time until it had been promoted and the new term was replicated.
    learn_s : float
        Time until every lease holder had acknowledged the new term.
    """

    group: str
    old_term: int
    new_term: int
    reason: str
    old_primary: str
    new_primary: str
    detect_s: float
    lease_wait_s: float
    choose_s: float
    promote_s: float
    learn_s: float


class Failover:
    """Fences a group, waits for leases to expire, promotes and starts a new term.

    Parameters
    ----------
    context : groups.leader_context.LeaderContext
    leadership_term : int
        The failover stops when this host no longer leads in that term.
    group : str
    reason : str
    started_s : float
        Start of the failure.
    target : str, optional
        Instance to promote, for a planned move.

    Notes
    -----
    Every step is idempotent and starts from the replicated state, so that the
    next leader can run a new `Failover` on a group that it finds fenced.
    """

    def __init__(
        self,
        context: leader_context.LeaderContext,
        leadership_term: int,
        group: str,
        reason: str,
        started_s: float,
        target: str | None = None,
    ):
        self._context = context
        self._settings = context.settings
        self._leadership_term = leadership_term
        self._group = group
        self._reason = reason
        self._phase_started_s = started_s
        self._target = target
        self._fences_replicas = target is None
        self._attempts: dict[str, int] = {}
        # States that the last decision was based on, by instance.
        self._states: dict[str, instances.InstanceState] = {}
        self._next_log_s = float("-inf")

    async def run(self) -> FailoverReport:
        """Change the primary and return the report, with `learn_s` still 0.

        Raises
        ------
        LeadershipLostError
            If this host stopped leading, or another change came first. The
            group may be left fenced, for the next leader to continue.
        """
        old = self._get_group_state()
        detect_s = await self._fence(old)
        await self._wait_for_lease_holders(self._get_group_state().version)
        lease_wait_s = self._end_phase()
        new_primary = await self._select_primary()
        choose_s = self._end_phase()
        new = await self._promote(new_primary)
        promote_s = self._end_phase()
        return FailoverReport(
            group=self._group,
            old_term=old.term,
            new_term=new.term,
            reason=self._reason,
            old_primary=old.primary,
            new_primary=new.primary,
            detect_s=detect_s,
            lease_wait_s=lease_wait_s,
            choose_s=choose_s,
            promote_s=promote_s,
            learn_s=0.0,
        )

    async def wait_until_acknowledged(self, report: FailoverReport) -> FailoverReport:
        """Wait until the lease holders have applied the new term; record the report.

        Notes
        -----
        The group already serves, so a further failover of the group may start
        before this returns.
        """
        state = self._context.machine.get_group(self._group)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._request_follow, state)
            with contextlib.suppress(leader_context.LeadershipLostError):
                await self._wait_for_lease_holders(state.version)
        report = report._replace(learn_s=self._end_phase())
        self._context.record_report(report)
        return report

    def _end_phase(self) -> float:
        """End the current phase and return its duration."""
        now_s = clocks.get_now_s()
        phase_s = now_s - self._phase_started_s
        self._phase_started_s = now_s
        return phase_s

    def _get_group_state(self) -> ttypes.Group:
        """Return the replicated state; raises once this host no longer leads."""
        return leader_context.get_group_state(
            self._context, self._leadership_term, self._group
        )

    async def _propose(self, command: typing.Any) -> ttypes.Group:
        return await leader_context.propose(
            self._context, self._leadership_term, command
        )

    async def _wait_for_lease_holders(self, version: int) -> None:
        await leader_context.wait_for_lease_holders(
            self._context, self._leadership_term, self._group, version
        )

    async def _fence(self, state: ttypes.Group) -> float:
        if state.phase == ttypes.GroupPhase.FENCED:
            self._phase_started_s = clocks.get_now_s()
            self._reason = state.reason
            return 0.0
        await self._propose(ttypes.Fence(self._group, state.term, self._reason))
        loguru.logger.info(
            "group fenced",
            group=self._group,
            term=state.term,
            primary=state.primary,
            reason=self._reason,
        )
        return self._end_phase()

    async def _select_primary(self) -> str:
        """Select the next primary and record it as a candidate where required."""
        deadline_s = clocks.get_now_s() + self._settings.catch_up_s
        while True:
            decision = await self._decide()
            if decision.step is primary_selection.FailoverStep.ADOPT:
                return decision.instance
            if decision.step is primary_selection.FailoverStep.PROMOTE:
                await self._record_candidate(decision.instance)
                return decision.instance
            if (
                decision.step is primary_selection.FailoverStep.CATCH_UP
                and self._fences_replicas
            ):
                # The old primary is live, and fenced replicas cannot catch up.
                await self._unfence()
            if clocks.get_now_s() >= deadline_s:
                self._target = None
                state = self._get_group_state()
                if (
                    decision.step is primary_selection.FailoverStep.CATCH_UP
                    and not state.candidates
                ):
                    return state.primary
                self._log_pending()
            await trio.sleep(self._settings.check_interval_s)

    def _log_pending(self) -> None:
        """Log what the selection waits for, at most once in `catch_up_s`."""
        now_s = clocks.get_now_s()
        if now_s >= self._next_log_s:
            self._next_log_s = now_s + self._settings.catch_up_s
            self._log_states("no primary selected yet")

    def _log_states(self, message: str) -> None:
        state = self._get_group_state()
        ends = {name: _format_log_end(item) for name, item in self._states.items()}
        loguru.logger.warning(
            message,
            group=self._group,
            term=state.term,
            primary=state.primary,
            acknowledged=str(
                self._context.get_acknowledged_position(self._group, state.version)
            ),
            acknowledged_after=str(self._context.get_acknowledged_after(self._group)),
            registered=len(state.instances),
            unregistered=" ".join(self._list_unregistered(state)),
            logs=" ".join(f"{name}={end}" for name, end in ends.items()),
        )

    async def _decide(self) -> primary_selection.Decision:
        """Read the instances until the decision is final or all reads have ended.

        Returning early avoids waiting `read_timeout_s` for a frozen instance.
        """
        group = self._get_group_state()
        states: dict[str, instances.InstanceState] = {}
        decision = primary_selection.Decision(primary_selection.FailoverStep.WAIT)
        announced = self._context.directory.get_instances(self._group)
        async with trio.open_nursery() as nursery:
            results = self._start_reads(nursery, announced, group)
            for _ in announced:
                name, state = await results.receive()
                if state is None:
                    continue
                states[name] = state
                decision = self._decide_from_states(group, states)
                if self._is_final(group, decision, states):
                    break
            nursery.cancel_scope.cancel()
        self._states = states
        self._get_group_state()
        return decision

    def _is_final(
        self,
        group: ttypes.Group,
        decision: primary_selection.Decision,
        states: typing.Mapping[str, instances.InstanceState],
    ) -> bool:
        """Return whether the instances still to answer cannot change the decision."""
        if decision.step is primary_selection.FailoverStep.ADOPT:
            return True
        if (
            decision.step is not primary_selection.FailoverStep.PROMOTE
            or self._target is not None
        ):
            return False
        # An earlier candidate may already have been promoted.
        return states.keys() >= set(group.candidates)

    def _start_reads(
        self,
        nursery: trio.Nursery,
        announced: typing.Sequence[instances.Instance],
        group: ttypes.Group,
    ) -> trio.MemoryReceiveChannel:
        """Start reading each instance; the channel yields its id and state or None."""
        sender, receiver = trio.open_memory_channel(len(announced))

        async def read(instance: instances.Instance) -> None:
            state = await self._fence_and_read(instance, group)
            sender.send_nowait((instance.instance, state))

        for instance in announced:
            nursery.start_soon(read, instance)
        return receiver

    async def _fence_and_read(
        self, instance: instances.Instance, group: ttypes.Group
    ) -> instances.InstanceState | None:
        """Fence a replica and return its state; only read the old primary.

        In a planned move nothing is fenced, so that replicas can catch up.
        """
        instance_control = self._context.instance_control
        timeout_s = self._settings.read_timeout_s
        if not self._fences_replicas or instance.instance == group.primary:
            return await instance_control.read_state(instance.target, timeout_s)
        return await instance_control.fence(
            instance.target, group.timeline + 1, timeout_s
        )

    async def _unfence(self) -> None:
        """Allow replication from the old primary again, which may be reinstated."""
        self._fences_replicas = False
        primary = self._get_group_state().primary
        async with trio.open_nursery() as nursery:
            for instance in self._context.directory.get_instances(self._group):
                if instance.instance != primary:
                    nursery.start_soon(
                        self._context.instance_control.unfence,
                        instance.target,
                        self._settings.read_timeout_s,
                    )

    async def _request_follow(self, group: ttypes.Group) -> None:
        """Make all others, including the old primary, replicate from the new one."""
        async with trio.open_nursery() as nursery:
            for instance in self._context.directory.get_instances(self._group):
                if instance.instance != group.primary:
                    nursery.start_soon(
                        self._context.instance_control.follow,
                        instance.target,
                        group.timeline,
                        self._settings.read_timeout_s,
                    )

    def _decide_from_states(
        self,
        group: ttypes.Group,
        states: typing.Mapping[str, instances.InstanceState],
    ) -> primary_selection.Decision:
        return primary_selection.decide_next_step(
            group,
            states,
            self._settings.ack_instances,
            self._rank_candidate,
            self._target,
            self._context.get_acknowledged_position(self._group, group.version),
            self._context.may_promote,
            self._list_unregistered(group),
            self._context.get_acknowledged_after(self._group),
        )

    def _list_unregistered(self, group: ttypes.Group) -> list[str]:
        """Return the unregistered instances that may have confirmed writes.

        A new replica confirms writes from its start on, and is registered later.
        """
        if not self._settings.any_replica_confirms:
            return []
        return [
            announced.instance
            for announced in self._context.directory.get_instances(self._group)
            if announced.instance not in group.instances
        ]

    def _rank_candidate(self, instance: str) -> tuple:
        """Return the rank of an instance for promotion; the lowest is preferred.

        An existing candidate comes first, so that no second instance is promoted.
        A candidate that has used up its promotion attempts comes last.
        """
        candidates = self._context.machine.get_group(self._group).candidates
        attempts = self._attempts.get(instance, 0)
        is_exhausted = attempts >= self._settings.promote_attempts
        is_new = instance not in candidates
        rank = self._context.get_promotion_rank(self._group, instance)
        return is_exhausted, is_new, rank, instance

    async def _record_candidate(self, instance: str) -> None:
        state = self._get_group_state()
        loguru.logger.info(
            "primary chosen",
            group=self._group,
            instance=instance,
            log=_format_log_end(self._states[instance]),
            leases_waited_s=round(clocks.get_now_s() - self._phase_started_s, 3),
            acknowledged=str(
                self._context.get_acknowledged_position(self._group, state.version)
            ),
        )
        if instance not in state.candidates:
            # None unless true, so that other commands are as in earlier releases.
            is_unregistered = instance not in state.instances or None
            await self._propose(
                ttypes.Choose(self._group, state.term, instance, is_unregistered)
            )

    async def _promote(self, instance: str) -> ttypes.Group:
        """Promote an instance, or another one if its promotion times out."""
        while True:
            state = self._get_group_state()
            if instance == state.primary and not state.candidates:
                return await self._reinstate(state)
            promoted = await self._request_promotion(instance, state)
            if promoted is not None:
                return await self._propose(
                    ttypes.Promoted(
                        self._group,
                        state.term + 1,
                        instance,
                        promoted.position.timeline,
                        promoted.position.lsn,
                        promoted.log_timeline,
                    )
                )
            instance = await self._select_primary()

    async def _reinstate(self, state: ttypes.Group) -> ttypes.Group:
        self._log_states("primary reinstated")
        await self._unfence()
        return await self._propose(
            ttypes.Promoted(
                self._group, state.term + 1, state.primary, state.timeline, 0
            )
        )

    async def _request_promotion(
        self, instance: str, group: ttypes.Group
    ) -> instances.InstanceState | None:
        """Send a promotion command; return the promoted state, None on timeout."""
        self._attempts[instance] = self._attempts.get(instance, 0) + 1
        target = self._get_target(instance)
        if target is None:
            return None
        timeout_s = self._settings.promote_timeout_s
        state = None
        order = instances.PromotionOrder(
            self._group, instance, target, self._leadership_term
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._context.instance_control.promote, order, timeout_s)
            with trio.move_on_after(timeout_s):
                state = await self._wait_promoted(target, group.timeline)
            nursery.cancel_scope.cancel()
        self._get_group_state()
        return state

    async def _wait_promoted(
        self, target: typing.Any, old_timeline: int
    ) -> instances.InstanceState:
        while True:
            state = await self._context.instance_control.read_state(
                target, self._settings.read_timeout_s
            )
            if state is not None and _is_promoted(state, old_timeline):
                return state
            await trio.sleep(self._settings.check_interval_s)

    def _get_target(self, instance: str) -> typing.Any | None:
        for announced in self._context.directory.get_instances(self._group):
            if announced.instance == instance:
                return announced.target
        return None


def _format_log_end(state: instances.InstanceState) -> str:
    """Return the end of an instance's log as timeline and LSN, for the log."""
    timeline, lsn = state.log_position
    return f"{timeline}/{lsn}"


def _is_promoted(state: instances.InstanceState, old_timeline: int) -> bool:
    return not state.in_recovery and state.position.timeline > old_timeline
