"""Components and observed state that all sessions of a host share."""

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
from sedgeswitch.observability import startup
from sedgeswitch.relay import access as accesses
from sedgeswitch.relay import connections
from sedgeswitch.relay import failure_backoff
from sedgeswitch.relay import freshness
from sedgeswitch.relay import open_transactions as transaction_registry
from sedgeswitch.relay import steps
from sedgeswitch.routing import eligibility
from sedgeswitch.scheduling import work as works
from sedgeswitch.statements import backends
from sedgeswitch.statements import interruption
from sedgeswitch.utils import backoff
from sedgeswitch.utils import clocks

# Delays before a statement is sent again to an instance that had no free slot, in
# seconds. The first is about the duration of a statement; each further one is twice
# as long, up to the maximum.
FIRST_RETRY_DELAY_S = 0.03
MAX_RETRY_DELAY_S = 0.2
# Longest time between two statements that find a group without a primary for both to
# count towards the same outage, in seconds.
OUTAGE_RESET_S = 2.0

Admit = collections.abc.Callable[[str, float], collections.abc.Awaitable[None]]


class Components(typing.NamedTuple):
    """The components of a host that sessions use.

    Attributes
    ----------
    databases : databases.sections.EntrySection
    groups : table.GroupTable
    observations : entry_section.EntrySection
        Records the groups that callers use and the positions of acknowledged commits;
        returns positions of primaries that probes of any entry host observed.
    backends : backends.Backends
    connector : connections.Connector
    interrupter : interruption.Interrupter
    local_observations : LocalObservations
    decisions : decisions.DecisionLog
    startup_times : startup.StartupTimes
    admit : callable
        ``await admit(organisation, deadline_s)`` returns once the organisation's rate
        limit allows one more operation; raises `verdicts.RefusedError` if it does not
        by the deadline.
    rng : random.Random
        Adds jitter to retry delays.
    get_restrictions : callable
        Returns the restrictions of all statements that are in force on this host;
        `build_restrictions` adds those of one operation.
    open_transactions : open_transactions.OpenTransactions
        The transactions of this host's callers, which evacuations end.
    reads_near_primary : bool
        Whether reads that a replica may run are sent to a primary in this host's
        region if no replica is expected to answer sooner.
    is_scheduling : bool
        Whether statements are scheduled by class and urgency.
    """

    databases: database_sections.EntrySection
    groups: table.GroupTable
    observations: entry_section.EntrySection
    backends: backends.Backends
    connector: connections.Connector
    interrupter: interruption.Interrupter
    local_observations: "LocalObservations"
    decisions: decisions.DecisionLog
    startup_times: startup.StartupTimes
    admit: Admit
    rng: random.Random
    get_restrictions: collections.abc.Callable[[], eligibility.Restrictions] = (
        eligibility.Restrictions
    )
    open_transactions: transaction_registry.OpenTransactions = (
        transaction_registry.build_unrestricted()
    )
    reads_near_primary: bool = False
    is_scheduling: bool = False


class LocalObservations:
    """State of instances as observed in their replies to this host's statements.

    Parameters
    ----------
    groups : table.GroupTable
    """

    def __init__(self, groups: table.GroupTable):
        self._groups = groups
        self._histories: dict[str, freshness.PositionHistory] = {}
        self._primary_states: dict[str, tuple[instances.InstanceState, float]] = {}
        self._outages: dict[str, tuple[float, float]] = {}
        self.replicas = freshness.ReplicaPositions()
        self.failure_backoff = failure_backoff.FailureBackoff()

    def record_primary_reply(
        self, permit: table.WritePermit, sent_s: float, reply: sessions.Reply
    ) -> None:
        """Record the position in a primary's reply if `permit` is still valid.

        Parameters
        ----------
        permit : table.WritePermit
            Permit under which the statement was sent.
        sent_s : float
            When the statement was sent.
        reply : sessions.Reply
        """
        position = reply.position
        # Until the first commit of a term the log ends in an earlier timeline, so that
        # a lower timeline is valid; a higher one belongs to a later primary.
        if position is None or position.timeline > permit.timeline:
            return
        now_s = clocks.get_now_s()
        if self._groups.is_permit_valid(permit, now_s):
            self.get_history(permit.group).record(sent_s, position, permit.timeline)
            state = instances.InstanceState(
                False,
                positions.Position(permit.timeline, position.lsn),
                log_timeline=position.timeline,
            )
            self._primary_states[permit.primary] = (state, sent_s)

    def get_primary_state(
        self, instance: str, max_age_s: float
    ) -> instances.InstanceState | None:
        """Return the state of a primary as shown by its last recorded reply.

        None if there is none, or its statement was sent more than `max_age_s` ago.
        """
        state, sent_s = self._primary_states.get(instance, (None, float("-inf")))
        age_s = clocks.get_now_s() - sent_s
        if state is None or age_s > max_age_s:
            return None
        return state._replace(requested_s=trio.current_time() - age_s)

    def get_primary_lsn(self, permit: table.WritePermit) -> int:
        """Return the LSN in the last recorded reply of a primary.

        It is 0 without such a reply, or if the log then ended in an earlier timeline.
        """
        state, _ = self._primary_states.get(permit.primary, (None, 0.0))
        if state is None or state.log_timeline != permit.timeline:
            return 0
        return state.position.lsn

    def record_reply(self, instance: str, reply: sessions.Reply) -> None:
        """Record the outcome and the position of a reply of any instance."""
        outcome = "done" if reply.failure is None else reply.failure.value[0]
        exposition.REPLIES.labels(outcome).inc()
        if reply.position is not None:
            self.replicas.record(instance, reply.position, clocks.get_now_s())
        if reply.failure is None:
            self.failure_backoff.record_success(instance)
        elif reply.failure is sessions.Failure.FAILED:
            self.failure_backoff.record_failure(instance, clocks.get_now_s())

    def record_no_answer(self, instance: str) -> None:
        """Record that an instance was unreachable or did not answer in time."""
        self.failure_backoff.record_failure(instance, clocks.get_now_s())

    def record_outage(self, group: str, now_s: float) -> float:
        """Record that there is no permit for a group; return the outage in seconds.

        An outage begins with the first call and ends with `end_outage`, or when no
        call is made for ``OUTAGE_RESET_S``.
        """
        since_s, seen_s = self._outages.get(group, (now_s, now_s))
        if now_s - seen_s > OUTAGE_RESET_S:
            since_s = now_s
        self._outages[group] = (since_s, now_s)
        return now_s - since_s

    def end_outage(self, group: str) -> None:
        """Record that there is a permit for the primary of a group."""
        self._outages.pop(group, None)

    def get_history(self, group: str) -> freshness.PositionHistory:
        """Return the position history of a group's primary, empty at first."""
        history = self._histories.get(group)
        if history is None:
            history = self._histories[group] = freshness.PositionHistory()
        return history


def build_backoff(components: Components) -> backoff.Backoff:
    """Return the retry delays of one statement."""
    return backoff.Backoff(FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S, components.rng)


def build_restrictions(
    components: Components, access: accesses.Access
) -> eligibility.Restrictions:
    """Return what limits the choice of an instance for an operation."""
    return components.get_restrictions()._replace(
        allowed_regions=access.allowed_regions
    )


def find_refusal(
    components: Components, acquired: connections.AcquiredConnection
) -> str | None:
    """Return why a statement may not be sent on a connection, None if it may.

    The restrictions of all statements and the lease may have changed during the wait
    for it; those of the operation were checked before.
    """
    reason = eligibility.find_exclusion(acquired.server, components.get_restrictions())
    if reason is not None:
        return f"{acquired.server.instance} may not run it: {reason}"
    return find_missing_lease(components, acquired)


def find_missing_lease(
    components: Components, acquired: connections.AcquiredConnection
) -> str | None:
    """Return the reason if this host may send nothing to instances, else None.

    A holder that a statement is forwarded to checks its own lease.
    """
    if acquired.is_forwarded or components.groups.has_lease(clocks.get_now_s()):
        return None
    return "this host has no lease"


def find_evacuation_end(
    components: Components, server: directory.BackendServer, now_s: float
) -> str | None:
    """Return the reason if an evacuation ends open transactions on a server now."""
    zone = server.availability_zone
    if now_s < components.open_transactions.get_end_s(zone):
        return None
    return f"availability zone {zone} is evacuated"


def log_evacuation_end(
    components: Components, server: directory.BackendServer, host_role: str
) -> None:
    """Log that an evacuation has ended a transaction on a server.

    Parameters
    ----------
    components : Components
    server : directory.BackendServer
    host_role : str
        ``caller's host`` or ``holder``; both may end the same transaction.
    """
    components.decisions.note(
        "evacuation ended a transaction",
        trio.current_time(),
        zone=server.availability_zone,
        instance=server.instance,
        role=host_role,
    )


def is_group_evacuated(components: Components, group: str) -> bool:
    """Return whether all announced instances of a group are in evacuated zones."""
    restrictions = components.get_restrictions()
    if not restrictions.evacuated_zones:
        return False
    servers = components.backends.get_servers(group)
    return bool(servers) and all(
        eligibility.is_evacuated(server, restrictions) for server in servers
    )


def is_primary_evacuated(components: Components, permit: table.WritePermit) -> bool:
    """Return whether the primary that a permit names is in an evacuated zone."""
    server = components.backends.get_server(permit.primary)
    if server is None:
        return False
    return eligibility.is_evacuated(server, components.get_restrictions())


def check_any_eligible(components: Components, access: accesses.Access) -> None:
    """Check that at least one instance of the group may run an operation.

    Raises
    ------
    steps.FailedError
        ``OVERLOADED`` if every announced instance is excluded. No statement has run.
    """
    if access.allowed_regions is not None and not access.allowed_regions:
        raise _build_exclusion(access, "no region is allowed for it")
    restrictions = build_restrictions(components, access)
    if restrictions.allowed_regions is None and not restrictions.evacuated_zones:
        return
    servers = components.backends.get_servers(access.database.group)
    reasons = [eligibility.find_exclusion(server, restrictions) for server in servers]
    if reasons and None not in reasons:
        reason = " or ".join(sorted(set(reasons)))
        group = access.database.group
        raise _build_exclusion(
            access, f"all instances of group {group} are excluded: {reason}"
        )


def _build_exclusion(access: accesses.Access, detail: str) -> steps.FailedError:
    """Return the failure of an operation that no present instance may run."""
    exposition.EXCLUSIONS.inc()
    regions = access.allowed_regions
    if regions is not None:
        detail = f"{detail}; allowed regions: {', '.join(sorted(regions)) or 'none'}"
    return steps.FailedError(sessions.Failure.OVERLOADED, detail)


def build_work(
    components: Components, access: accesses.Access, kind: works.Kind, deadline_s: float
) -> works.Work | None:
    """Return the description of an operation, None if statements are not scheduled.

    Parameters
    ----------
    components : Components
    access : access.Access
    kind : work.Kind
    deadline_s : float
        End of the operation's statement timeout, on trio's clock.
    """
    if not components.is_scheduling:
        return None
    database = access.database
    started_s = deadline_s - database.statement_timeout_s
    return works.build_work(
        kind,
        database.priority,
        access.organisation_priority,
        started_s + database.target_latency_s,
    )


def get_primary_server(
    components: Components, permit: table.WritePermit, access: accesses.Access
) -> directory.BackendServer:
    """Return the backend server of the primary that a permit names.

    Raises
    ------
    steps.FailedError
        ``OVERLOADED`` if the operation may not run there; retryable if the instance
        is not announced as part of the group. No statement has run.
    """
    server = components.backends.get_server(permit.primary)
    if server is None or server.group != permit.group:
        raise steps.FailedError(
            sessions.Failure.OVERLOADED,
            "the primary is not announced to this host; retry after 500 ms",
            is_retryable=True,
        )
    reason = eligibility.find_exclusion(server, build_restrictions(components, access))
    if reason is not None:
        raise _build_exclusion(
            access, f"the primary {server.instance} may not run it: {reason}"
        )
    return server


def merge_floors(
    first: positions.Position | None, second: positions.Position | None
) -> positions.Position | None:
    """Return the higher of two floors; None counts as lowest.

    A floor is the lowest log position that an instance must have reached to run a
    statement.
    """
    if first is None or second is None:
        return first or second
    return max(first, second)
