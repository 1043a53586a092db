"""What every session of a host shares."""

import collections.abc
import random
import typing

import trio

from sedgeswitch.databases import sections as database_sections
from sedgeswitch.drivers import sessions
from sedgeswitch.groups import entry_section
from sedgeswitch.groups import instances
from sedgeswitch.groups import positions
from sedgeswitch.groups import table
from sedgeswitch.membership import directory
from sedgeswitch.observability import decisions
from sedgeswitch.observability import exposition
from sedgeswitch.relay import failure_backoff
from sedgeswitch.relay import freshness
from sedgeswitch.relay import steps
from sedgeswitch.statements import backends
from sedgeswitch.statements import interruption
from sedgeswitch.utils import backoff
from sedgeswitch.utils import clocks

# Pauses before a statement that an instance had no slot for is sent there again, in
# seconds: the first is about the time of a statement and doubles up to the last.
RETRY_DELAY_S = 0.03
LONGEST_RETRY_DELAY_S = 0.2
# Time without a request after which an outage is taken for a new one, in seconds.
OUTAGE_MEMORY_S = 2.0

Admit = collections.abc.Callable[[str, float], collections.abc.Awaitable[None]]


class Components(typing.NamedTuple):
    """The parts of a host that sessions use.

    Attributes
    ----------
    databases : databases.sections.EntrySection
    groups : table.GroupTable
    observations : entry_section.EntrySection
        Learns which commits are answered as done.
    backends : backends.Backends
    interrupter : interruption.Interrupter
    local_observations : LocalObservations
    decisions : decisions.DecisionLog
    admit : callable
        ``await admit(organisation, deadline_s)`` returns once one more operation
        fits into the organisation's rate; raises `verdicts.RefusedError`.
    rng : random.Random
    """

    databases: database_sections.EntrySection
    groups: table.GroupTable
    observations: entry_section.EntrySection
    backends: backends.Backends
    interrupter: interruption.Interrupter
    local_observations: "LocalObservations"
    decisions: decisions.DecisionLog
    admit: Admit
    rng: random.Random


class LocalObservations:
    """What the answers of instances have shown to this host.

    Parameters
    ----------
    groups : table.GroupTable
    """

    def __init__(self, groups: table.GroupTable):
        self._groups = groups
        self._histories: dict[str, freshness.PositionHistory] = {}
        self._evidence: dict[str, tuple[instances.InstanceState, float]] = {}
        self._outages: dict[str, tuple[float, float]] = {}
        self.replicas = freshness.ReplicaPositions()
        self.failure_backoff = failure_backoff.FailureBackoff()

    def record_primary_reply(
        self, permit: table.WritePermit, sent_s: float, reply: sessions.Reply
    ) -> None:
        """Note what a primary told, if it still was the primary then."""
        position = reply.position
        # Before the first commit of a term the log still ends in an earlier one.
        if position is None or position.timeline > permit.timeline:
            return
        now_s = clocks.get_now_s()
        if self._groups.is_permit_valid(permit, now_s):
            self.get_history(permit.group).note(sent_s, position, permit.timeline)
            state = instances.InstanceState(
                False,
                positions.Position(permit.timeline, position.lsn),
                log_timeline=position.timeline,
            )
            self._evidence[permit.primary] = (state, sent_s)

    def get_primary_state(
        self, instance: str, max_age_s: float
    ) -> instances.InstanceState | None:
        """Return the state that a primary's answers show, None if it is too old."""
        state, sent_s = self._evidence.get(instance, (None, float("-inf")))
        age_s = clocks.get_now_s() - sent_s
        if state is None or age_s > max_age_s:
            return None
        return state._replace(asked_s=trio.current_time() - age_s)

    def record_reply(self, instance: str, reply: sessions.Reply) -> None:
        """Note what any instance told."""
        outcome = "done" if reply.failure is None else reply.failure.value[0]
        exposition.REPLIES.labels(outcome).inc()
        if reply.position is not None:
            self.replicas.note(instance, reply.position, clocks.get_now_s())
        if reply.failure is None:
            self.failure_backoff.record_success(instance)
        elif reply.failure is sessions.Failure.FAILED:
            self.failure_backoff.record_failure(instance, clocks.get_now_s())

    def record_no_answer(self, instance: str) -> None:
        """Note that an instance was unreachable or gave no answer in time."""
        self.failure_backoff.record_failure(instance, clocks.get_now_s())

    def record_outage(self, group: str, now_s: float) -> float:
        """Return for how long a group has been seen without a primary, in seconds."""
        since_s, seen_s = self._outages.get(group, (now_s, now_s))
        if now_s - seen_s > OUTAGE_MEMORY_S:
            since_s = now_s
        self._outages[group] = (since_s, now_s)
        return now_s - since_s

    def end_outage(self, group: str) -> None:
        """Note that a group has a primary."""
        self._outages.pop(group, None)

    def get_history(self, group: str) -> freshness.PositionHistory:
        """Return the positions of a group's primary."""
        history = self._histories.get(group)
        if history is None:
            history = self._histories[group] = freshness.PositionHistory()
        return history


def build_pauses(components: Components) -> backoff.Backoff:
    """Return the pauses of one statement that is tried again."""
    return backoff.Backoff(RETRY_DELAY_S, LONGEST_RETRY_DELAY_S, components.rng)


def get_primary(
    components: Components, permit: table.WritePermit
) -> directory.BackendServer:
    """Return the primary that a permit names.

    Raises
    ------
    steps.FailedError
        If it is not announced; nothing has run.
    """
    server = components.backends.get_server(permit.primary)
    if server is None or server.group != permit.group:
        raise steps.FailedError(
            sessions.Failure.OVERLOADED,
            "the primary is not known; retry after 500 ms",
            is_retryable=True,
        )
    return server


def merge_floors(
    first: positions.Position | None, second: positions.Position | None
) -> positions.Position | None:
    """Return the higher of two floors."""
    if first is None or second is None:
        return first or second
    return max(first, second)
