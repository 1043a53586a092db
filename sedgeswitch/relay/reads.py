"""Runs reads and begins transactions, on replicas or the primary."""

import collections.abc
import typing

import trio

from sedgeswitch.databases import documents
from sedgeswitch.drivers import sessions
from sedgeswitch.groups import positions
from sedgeswitch.groups import table
from sedgeswitch.membership import directory
from sedgeswitch.observability import stages
from sedgeswitch.relay import access as accesses
from sedgeswitch.relay import connections
from sedgeswitch.relay import context
from sedgeswitch.relay import steps
from sedgeswitch.routing import eligibility
from sedgeswitch.scheduling import work as works
from sedgeswitch.utils import clocks

# Share of the remaining time of a read that one attempt may take before the read is
# retried on another instance or connection.
ATTEMPT_TIME_SHARE = 0.45
# Least time for one attempt, in seconds; most reads take a tenth of it.
MIN_ATTEMPT_S = 0.15
# Length of an outage of a primary after which statements fail at once instead of
# waiting for a primary, in seconds. Most changes of primary take less.
OUTAGE_TIMEOUT_S = 3.0

# ``await run(acquired, floor)`` sends a statement over an acquired connection and
# returns the reply. The instance rejects it if its log has not reached `floor`.
Run = collections.abc.Callable[
    [connections.AcquiredConnection, positions.Position | None],
    collections.abc.Awaitable[sessions.Reply],
]

# Failures after which the read may succeed on another instance.
_RETRYABLE_ELSEWHERE = frozenset(
    [
        sessions.Failure.OVERLOADED,
        sessions.Failure.BEHIND,
        sessions.Failure.READ_ONLY,
        sessions.Failure.WRONG_INSTANCE,
        sessions.Failure.TOO_MANY_CONNECTIONS,
        sessions.Failure.FAILED,
        sessions.Failure.TIMED_OUT,
    ]
)


class ReadResult(typing.NamedTuple):
    """The reply to a read, and the connection that it ran on.

    Attributes
    ----------
    acquired : connections.AcquiredConnection
        Already released, unless `keeps_connection` was given and the read succeeded.
    reply : sessions.Reply
    permit : table.WritePermit or None
        Permit under which the read ran on the primary; None on a replica.
    """

    acquired: connections.AcquiredConnection
    reply: sessions.Reply
    permit: table.WritePermit | None


class _ReadRequest(typing.NamedTuple):
    """The parameters of `Reader.run`."""

    access: accesses.Access
    session_floor: positions.Position | None
    deadline_s: float
    run: Run
    keeps_connection: bool


class Reader:
    """Runs reads on a replica that is fresh enough, otherwise on the primary.

    A primary in the region of this host may come before replicas in other regions;
    see `context.Components.reads_near_primary`.

    Parameters
    ----------
    components : context.Components
    """

    def __init__(self, components: context.Components):
        self._components = components

    async def run(
        self,
        access: accesses.Access,
        session_floor: positions.Position | None,
        deadline_s: float,
        run: Run,
        keeps_connection: bool = False,
    ) -> ReadResult:
        """Run a read on a replica if one is fresh enough, otherwise on the primary.

        Parameters
        ----------
        access : access.Access
        session_floor : positions.Position or None
            Highest position that the session has committed, if any.
        deadline_s : float
            On trio's clock.
        run : callable
            Sends the read; see `Run`.
        keeps_connection : bool
            Whether the connection of a successful read is not released, so that the
            code that called this method must release it.

        Raises
        ------
        steps.FailedError
            If no instance ran the read by the deadline; earlier if the failure is not
            retryable, every instance is excluded, or the group has had no primary for
            ``OUTAGE_TIMEOUT_S``.
        """
        context.check_any_eligible(self._components, access)
        read = _ReadRequest(access, session_floor, deadline_s, run, keeps_connection)
        result = await self._run_on_replicas(read)
        return result or await self._run_on_primary(read)

    async def _run_on_replicas(self, read: _ReadRequest) -> ReadResult | None:
        """Try eligible instances in turn; return None if none could run the read."""
        if read.access.database.freshness is documents.Freshness.PRIMARY:
            return None
        tried: set[str] = set()
        while True:
            floor = self._get_floor(read)
            permit = self._find_near_permit(read.access, tried)
            server = self._choose_replica(read.access, floor, tried, permit)
            if server is None:
                return None
            tried.add(server.instance)
            if permit is not None and server.instance == permit.primary:
                result = await self._try_near_primary(read, permit)
            else:
                result = await self._try_replica(read, server, floor)
            if result is not None:
                return result

    def _find_near_permit(
        self, access: accesses.Access, tried: set[str]
    ) -> table.WritePermit | None:
        """Return a permit for an untried primary in this host's region, if any."""
        components = self._components
        if not components.reads_near_primary:
            return None
        permit = components.groups.get_write_permit(
            access.database.group, clocks.get_now_s()
        )
        if permit is None or permit.primary in tried:
            return None
        server = components.backends.get_server(permit.primary)
        is_near = server is not None and components.backends.is_near(server)
        return permit if is_near else None

    def _get_floor(self, read: _ReadRequest) -> positions.Position | None:
        """Return the position that a replica must have reached, None if unknown."""
        database = read.access.database
        required = self._get_required(database)
        if required is None:
            return None
        if database.freshness is documents.Freshness.SESSION:
            return context.merge_floors(required, read.session_floor)
        return required

    def _get_required(self, database: documents.Database) -> positions.Position | None:
        """Return a position of the primary within the database's maximum staleness.

        Positions in replies to this host's statements take precedence over those that
        probes of any entry host observed. None if there is neither.
        """
        now_s = clocks.get_now_s()
        history = self._components.local_observations.get_history(database.group)
        required = history.get_required(now_s, database.max_staleness_s)
        if required is not None:
            return required
        shared = self._components.observations.get_primary_position(
            database.group, now_s
        )
        if shared is None:
            return None
        position, age_s = shared
        return position if age_s <= database.max_staleness_s else None

    def _get_attempt_deadline_s(self, deadline_s: float) -> float:
        now_s = trio.current_time()
        attempt_s = max((deadline_s - now_s) * ATTEMPT_TIME_SHARE, MIN_ATTEMPT_S)
        return min(now_s + attempt_s, deadline_s)

    def _choose_replica(
        self,
        access: accesses.Access,
        floor: positions.Position | None,
        tried: set[str],
        permit: table.WritePermit | None,
    ) -> directory.BackendServer | None:
        """Return the best untried replica, None if none is eligible.

        With a permit, its primary is a candidate, too.
        """
        group = self._components.groups.get_group(access.database.group)
        if floor is None or group is None:
            return None
        now_s = clocks.get_now_s()
        local_observations = self._components.local_observations
        restrictions = context.build_restrictions(self._components, access)
        eligible = [
            server
            for server in self._components.backends.get_servers(group.group)
            if server.instance not in tried
            and eligibility.find_exclusion(server, restrictions) is None
            and not server.is_leaving
            and not local_observations.failure_backoff.is_in_backoff(
                server.instance, now_s
            )
            and (
                (permit is not None and server.instance == permit.primary)
                or not local_observations.replicas.is_behind(
                    server.instance, floor, now_s
                )
            )
        ]
        ordered = self._components.backends.order_replicas(
            eligible,
            group.primary if permit is None else "",
            lambda server: self._components.connector.get_load(
                server, access.organisation, access.allowed_regions
            ),
        )
        # `min` keeps the order of the policy among warm and among cold instances.
        return min(ordered, key=lambda server: server.is_cold, default=None)

    async def _try_replica(
        self,
        read: _ReadRequest,
        server: directory.BackendServer,
        floor: positions.Position,
    ) -> ReadResult | None:
        """Run a read on a replica; return None if it should run elsewhere instead."""
        reply = None
        started_s = trio.current_time()
        deadline_s = self._get_attempt_deadline_s(read.deadline_s)
        with trio.move_on_at(deadline_s):
            try:
                result = await self._run_once(read, server, floor, deadline_s)
                elapsed_s = trio.current_time() - started_s
                self._components.backends.record_read(server, elapsed_s)
                return result
            except _RetryElsewhereError as rejected:
                reply = rejected.reply
            except steps.FailedError:
                return None
        if reply is None:
            self._components.local_observations.record_no_answer(server.instance)
        return None

    async def _try_near_primary(
        self, read: _ReadRequest, permit: table.WritePermit
    ) -> ReadResult | None:
        """Run a read on a primary; return None if it should run elsewhere instead."""
        started_s = trio.current_time()
        deadline_s = self._get_attempt_deadline_s(read.deadline_s)
        with trio.move_on_at(deadline_s):
            try:
                result = await self._run_under_permit(read, permit, deadline_s)
            except (_RetryElsewhereError, steps.FailedError):
                return None
            if result is not None:
                elapsed_s = trio.current_time() - started_s
                backends = self._components.backends
                backends.record_read(result.acquired.server, elapsed_s)
            return result
        self._components.local_observations.record_no_answer(permit.primary)
        return None

    async def _run_under_permit(
        self, read: _ReadRequest, permit: table.WritePermit, deadline_s: float
    ) -> ReadResult | None:
        """Run a read on the primary; return None if the permit ended meanwhile.

        Raises
        ------
        _RetryElsewhereError
            If the primary rejected the read.
        steps.FailedError
        """
        components = self._components
        server = context.get_primary_server(components, permit, read.access)
        observations = components.local_observations
        with components.interrupter.interruptible(permit):
            sent_s = clocks.get_now_s()
            try:
                result = await self._run_once(read, server, None, deadline_s)
            except _RetryElsewhereError as rejected:
                # A busy primary reports its position too, which may make replicas
                # eligible.
                observations.record_primary_reply(permit, sent_s, rejected.reply)
                raise
            observations.record_primary_reply(permit, sent_s, result.reply)
            if components.groups.is_permit_valid(permit, clocks.get_now_s()):
                return result._replace(permit=permit)
            if read.keeps_connection:
                await result.acquired.discard()
        return None

    async def _run_on_primary(self, read: _ReadRequest) -> ReadResult:
        last_error = steps.FailedError(
            sessions.Failure.OVERLOADED, "no primary; retry after 500 ms"
        )
        components = self._components
        group, deadline_s = read.access.database.group, read.deadline_s
        backoff = context.build_backoff(components)
        with trio.move_on_at(deadline_s):
            while True:
                permit = await wait_for_permit(components, group, deadline_s)
                try:
                    result = await self._run_under_permit(read, permit, deadline_s)
                    if result is not None:
                        return result
                except _RetryElsewhereError as rejected:
                    if result := await self._run_on_replicas(read):
                        return result
                    last_error = steps.FailedError(
                        rejected.reply.failure, rejected.reply.detail
                    )
                except steps.FailedError as error:
                    last_error = error
                    if not error.is_retryable:
                        raise
                    if result := await self._run_on_replicas(read):
                        return result
                pause_s = backoff.next_delay_s()
                if trio.current_time() + pause_s >= deadline_s:
                    break
                await stages.sleep(pause_s)
            raise last_error
        # A read may have run although no answer arrived. Since a read changes nothing,
        # the failure is still one that had no effect.
        raise steps.FailedError(
            sessions.Failure.OVERLOADED,
            f"no answer within the timeout; last failure: {last_error.detail}",
        )

    async def _run_once(
        self,
        read: _ReadRequest,
        server: directory.BackendServer,
        floor: positions.Position | None,
        deadline_s: float,
    ) -> ReadResult:
        """Run a read on one instance; a `floor` is given for replicas only."""
        kind = works.Kind.TRANSACTION if read.keeps_connection else works.Kind.READ
        # A cold primary may have no token for long; replicas are tried again meanwhile.
        is_limited = floor is None and server.is_cold
        acquired = await self._components.connector.acquire(
            server,
            read.access.organisation,
            self._get_attempt_deadline_s(deadline_s) if is_limited else deadline_s,
            read.access.allowed_regions,
            context.build_work(self._components, read.access, kind, read.deadline_s),
        )
        is_handed_over = False
        reply = None
        try:
            # On a replica, `deadline_s` is already that of the attempt.
            is_on_replica = floor is not None
            attempt_deadline_s = (
                deadline_s
                if is_on_replica
                else self._get_attempt_deadline_s(deadline_s)
            )
            refusal = context.find_refusal(self._components, acquired)
            if refusal is not None:
                raise steps.FailedError(
                    sessions.Failure.OVERLOADED, refusal, is_retryable=True
                )
            with trio.move_on_at(attempt_deadline_s):
                reply = await read.run(acquired, floor)
            if reply is None:
                self._components.local_observations.record_no_answer(server.instance)
                raise steps.FailedError(
                    sessions.Failure.OVERLOADED,
                    f"no answer from {server.instance} in time; retry after 100 ms",
                    is_retryable=True,
                )
            self._components.local_observations.record_reply(server.instance, reply)
            if reply.failure in _RETRYABLE_ELSEWHERE:
                raise _RetryElsewhereError(reply)
            is_handed_over = read.keeps_connection and reply.failure is None
            return ReadResult(acquired, reply, None)
        except sessions.ConnectionLostError as error:
            self._components.local_observations.record_no_answer(server.instance)
            raise steps.FailedError(
                sessions.Failure.OVERLOADED,
                f"the connection to {server.instance} was lost; retry after 100 ms",
                is_retryable=True,
            ) from error
        finally:
            if not is_handed_over:
                await acquired.release()


class _RetryElsewhereError(Exception):
    """Raised when an instance rejected a read that another one may run."""

    def __init__(self, reply: sessions.Reply):
        super().__init__(reply.detail)
        self.reply = reply


async def wait_for_permit(
    components: context.Components, group: str, deadline_s: float
) -> table.WritePermit:
    """Wait until this host has a permit for a group's primary, and return it.

    There is none while the group has no primary or this host has no lease. The permit
    for a primary in an evacuated zone counts as missing.

    Raises
    ------
    steps.FailedError
        ``OVERLOADED`` if there is no permit by `deadline_s`, on trio's clock, or the
        outage has lasted for ``OUTAGE_TIMEOUT_S``; at once if all instances of the
        group are in evacuated zones. No statement has run.
    """
    while True:
        if context.is_group_evacuated(components, group):
            raise steps.FailedError(
                sessions.Failure.OVERLOADED,
                f"the availability zones of all instances of group {group} are"
                " evacuated",
            )
        now_s = clocks.get_now_s()
        permit = components.groups.get_write_permit(group, now_s)
        is_evacuated = permit is not None and context.is_primary_evacuated(
            components, permit
        )
        if permit is not None and not is_evacuated:
            components.local_observations.end_outage(group)
            return permit
        outage_s = components.local_observations.record_outage(group, now_s)
        if outage_s >= OUTAGE_TIMEOUT_S or trio.current_time() >= deadline_s:
            reason = (
                "the availability zone of its primary is evacuated"
                if is_evacuated
                else "or this host no lease"
            )
            raise steps.FailedError(
                sessions.Failure.OVERLOADED,
                f"group {group} currently has no primary, {reason}; retry after 500 ms",
            )
        with trio.move_on_at(deadline_s), stages.measure(stages.PERMIT):
            await components.groups.wait_changed()
