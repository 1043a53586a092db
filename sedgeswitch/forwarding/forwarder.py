"""The caller's side: sends statements to the holders of an instance's connections."""

import collections.abc
import math
import random
import secrets
import typing

import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import sessions
from sedgeswitch.forwarding import delays
from sedgeswitch.forwarding import encoding
from sedgeswitch.forwarding import host_calls
from sedgeswitch.forwarding import loads
from sedgeswitch.forwarding import messages
from sedgeswitch.forwarding import placement
from sedgeswitch.groups import positions
from sedgeswitch.membership import directory
from sedgeswitch.observability import exposition
from sedgeswitch.observability import stages
from sedgeswitch.pools import pool
from sedgeswitch.relay import cold_instances
from sedgeswitch.relay import connections
from sedgeswitch.relay import steps
from sedgeswitch.routing import router
from sedgeswitch.scheduling import backlogs
from sedgeswitch.scheduling import work as works
from sedgeswitch.statements import backends
from sedgeswitch.transport import catalog
from sedgeswitch.transport import failures
from sedgeswitch.utils import clocks

# The holder gives up this long before the caller's host does, so that its answer says
# whether the statement was sent to the instance, in seconds and as a share of the
# time left. It is longer than the round trip between two regions.
ANSWER_MARGIN_S = 0.05
ANSWER_MARGIN_SHARE = 0.1
MAX_MARGIN_SHARE = 0.5
# Shortest time of a call, and its longest time if the caller sets no limit, in seconds.
MIN_CALL_S = 0.001
MAX_CALL_S = 30.0
DISCARD_TIMEOUT_S = 1.0
# Bits of the ids of transactions, which their callers' hosts draw.
_ID_BITS = 62
# Service time recorded for an instance that had no free slot, in seconds.
BUSY_SERVICE_S = 0.2
# A statement that is forwarded needs no free connection at this host.
_UNLIMITED_CAPACITY = 1_000_000
_MS_PER_S = 1000
# Largest time to a target that is sent, in seconds.
_MAX_TARGET_S = 86_400.0


class Options(typing.NamedTuple):
    """What a forwarder knows of its host.

    Attributes
    ----------
    host_id : str
    reserved_connections : int
        Connections of each instance that are not divided among its holders.
    get_transaction_idle_s : callable
        Returns the time after which an idle transaction is rolled back, in seconds.
    is_scheduling : bool
        Whether statements that a holder's backlog delays beyond their deadline are
        refused here.
    """

    host_id: str
    reserved_connections: int
    get_transaction_idle_s: collections.abc.Callable[[], float]
    is_scheduling: bool = False


class Forwarder:
    """Acquires connections at the holders of an instance; implements `Connector`.

    If this host is the first available holder itself, or no holder is available, the
    connection is one of this host's own pool.

    Parameters
    ----------
    options : Options
    places : placement.Placement
    hosts : host_calls.HostCalls
    local : connections.Connector
        Acquires connections of this host's own pools.
    load_router : router.Router or None
        Keeps the reports of holders and bounds the load on them; with None, the first
        available holder takes every statement.
    rng : random.Random, optional
        Draws the statements that a holder above its bound does not get.
    """

    def __init__(
        self,
        options: Options,
        places: placement.Placement,
        hosts: host_calls.HostCalls,
        local: connections.Connector,
        load_router: router.Router | None = None,
        rng: random.Random | None = None,
    ):
        self._router = load_router
        self._rng = rng or random.Random(options.host_id)
        self._options = options
        self._placement = places
        self._hosts = hosts
        self._local = local
        self._delays = delays.ServiceDelays()
        # Number of connections acquired at cold instances.
        self._cold_turns = 0
        self._backlogs = backlogs.Backlogs() if options.is_scheduling else None
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Discard transactions that callers have given up, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    def get_holding(self, server: directory.BackendServer) -> backends.Holding:
        """Return this host's part of the connections to an instance."""
        selection = self._placement.select(self._build_location(server))
        if self._options.host_id in selection.holders:
            return backends.Holding(len(selection.holders))
        if self._options.host_id in selection.substitutes:
            return backends.Holding(len(selection.holders), is_substitute=True)
        return backends.Holding(0)

    async def acquire(
        self,
        server: directory.BackendServer,
        organisation: str,
        deadline_s: float,
        allowed_regions: frozenset[str] | None = None,
        work: works.Work | None = None,
    ) -> connections.AcquiredConnection:
        """Acquire a connection; see `connections.Connector.acquire`.

        A forwarded connection is acquired by the holder, with the first statement. It
        is refused here if the holder has reported a backlog that is too long.
        """
        host_id = self._choose_bounded(
            server, organisation, clocks.get_now_s(), allowed_regions
        )
        self._cold_turns += server.is_cold
        if host_id == self._options.host_id:
            return await self._local.acquire(
                server, organisation, deadline_s, work=work
            )
        await trio.lowlevel.checkpoint()
        if self._backlogs is not None and work is not None:
            self._check_backlog(server.instance, host_id, work, deadline_s)
        return ForwardedConnection(self, host_id, server, organisation, work)

    def get_load(
        self,
        server: directory.BackendServer,
        organisation: str,
        allowed_regions: frozenset[str] | None = None,
    ) -> pool.PoolLoad:
        """Return the load of this host's pool, or what holders' answers show of it."""
        now_s = clocks.get_now_s()
        host_id = self._choose_host(server, organisation, now_s, allowed_regions)
        if host_id == self._options.host_id:
            return self._local.get_load(server, organisation)
        service_s = self._delays.get_service_s(server.instance, now_s)
        return pool.PoolLoad(_UNLIMITED_CAPACITY, 0, 0, 1, service_s, 0.0)

    async def call(
        self, host_id: str, request: messages.ForwardRequest, timeout_s: float
    ) -> messages.ForwardAnswer:
        """Send a request to a holder and return its answer.

        Raises
        ------
        steps.FailedError
            ``OVERLOADED``, retryable, if the request was not sent.
        sessions.ConnectionLostError
            If there is no answer, so that the statement may have run.
        """
        sent_s = trio.current_time()
        answer = None
        try:
            answer = await self._hosts.call(host_id, request, timeout_s)
        except failures.CallError as error:
            raise _build_call_failure(host_id, error) from error
        finally:
            holder_ms = getattr(answer, "service_ms", None) or 0
            elapsed_s = trio.current_time() - sent_s
            stages.add_call(elapsed_s, holder_ms / _MS_PER_S)
        if not isinstance(answer, messages.ForwardAnswer):
            raise sessions.ConnectionLostError(f"malformed answer of {host_id}")
        self._record_answer(request.instance, host_id, answer)
        if self._backlogs is not None and answer.load is not None:
            now_s = trio.current_time()
            self._backlogs.record(request.instance, host_id, answer.load, now_s)
        return answer

    def discard(self, host_id: str, request: messages.ForwardRequest) -> None:
        """Have a holder discard a transaction, without waiting for its answer."""
        self._nursery.start_soon(self._discard, host_id, request)

    def get_transaction_idle_s(self) -> float:
        """Return the time after which an idle transaction is rolled back."""
        return self._options.get_transaction_idle_s()

    async def _discard(self, host_id: str, request: messages.ForwardRequest) -> None:
        try:
            await self._hosts.call(host_id, request, DISCARD_TIMEOUT_S)
        except failures.CallError as error:
            # The holder rolls the transaction back after its idle timeout.
            loguru.logger.debug("{} did not discard a transaction: {}", host_id, error)
        except Exception:
            # An error here must not end the tasks of the host.
            loguru.logger.exception("discarding a transaction at {} failed", host_id)

    def _choose_host(
        self,
        server: directory.BackendServer,
        organisation: str,
        now_s: float,
        allowed_regions: frozenset[str] | None,
    ) -> str:
        """Return the first available host of an instance, by default this one."""
        own_id = self._options.host_id
        location = self._build_location(server)
        hosts = self._placement.order_hosts(location, organisation, allowed_regions)
        if server.is_cold:
            hosts = self._rotate_holders(location, hosts)
        for host_id in hosts:
            if host_id == own_id or self._hosts.is_available(host_id, now_s):
                return host_id
        return own_id

    def _rotate_holders(
        self, location: placement.Location, hosts: list[str]
    ) -> list[str]:
        """Return the holders among hosts, beginning with another one each time.

        Only holders send to a cold instance, each a part of its rate, so that an
        organisation that used one holder alone would get only this part.
        """
        holders = [
            host_id
            for host_id in hosts
            if host_id in self._placement.select(location).holders
        ]
        first = self._cold_turns % len(holders) if holders else 0
        return holders[first:] + holders[:first]

    def _check_backlog(
        self, instance: str, host_id: str, work: works.Work, deadline_s: float
    ) -> None:
        retry_after_ms = self._backlogs.find_retry_after_ms(
            instance, host_id, work, deadline_s, trio.current_time()
        )
        if retry_after_ms is not None:
            exposition.FORWARDS.labels("refused_by_backlog").inc()
            raise steps.FailedError(
                sessions.Failure.OVERLOADED,
                f"{instance}: overloaded, the backlog of {host_id} passes the deadline;"
                f" retry after {retry_after_ms} ms",
            )

    def _choose_bounded(
        self,
        server: directory.BackendServer,
        organisation: str,
        now_s: float,
        allowed_regions: frozenset[str] | None,
    ) -> str:
        """Return the host that takes a statement; beyond a bound, not the first."""
        first = self._choose_host(server, organisation, now_s, allowed_regions)
        # Statements for a cold instance already go to its holders in turn.
        if self._router is None or server.is_cold:
            return first
        location = self._build_location(server)
        holders = self._placement.select(location).holders
        if first not in holders:
            return first
        own_id = self._options.host_id
        available = [
            host_id
            for host_id in self._placement.order_hosts(
                location, organisation, allowed_regions
            )
            if host_id in holders
            and (host_id == own_id or self._hosts.is_available(host_id, now_s))
        ]
        return self._router.choose_holder(
            server.instance, server.slots, available, self._rng.random, now_s
        )

    def _build_location(self, server: directory.BackendServer) -> placement.Location:
        shared = server.max_connections - self._options.reserved_connections
        return placement.Location(
            server.instance, server.availability_zone, max(shared, 0)
        )

    def _record_answer(
        self, instance: str, host_id: str, answer: messages.ForwardAnswer
    ) -> None:
        exposition.FORWARDS.labels(_OUTCOME_LABELS[answer.outcome]).inc()
        if self._router is not None and answer.load is not None:
            report = loads.decode_load(answer.load)
            if report is not None:
                self._router.reports.record(
                    instance, host_id, report, clocks.get_now_s()
                )
        if answer.is_host_unavailable:
            return
        service_s = (answer.service_ms or 0) / _MS_PER_S
        if answer.failure == sessions.Failure.OVERLOADED.name or answer.is_cold:
            service_s = max(service_s, BUSY_SERVICE_S)
        self._delays.record(instance, service_s, clocks.get_now_s())


class ForwardedConnection:
    """A connection at a holder; implements `AcquiredConnection`, `SessionConnection`.

    Outside a transaction, each statement is one call, for which the holder acquires a
    connection of its pool. A transaction keeps that connection until it ends.
    """

    is_forwarded = True

    def __init__(
        self,
        forwarder: Forwarder,
        host_id: str,
        server: directory.BackendServer,
        organisation: str,
        work: works.Work | None = None,
    ):
        self.server = server
        self.connection = self
        self.position: positions.Position | None = None
        self._forwarder = forwarder
        self._host_id = host_id
        self._organisation = organisation
        self._work = work
        self._values: dict[bytes, bytes] = {}
        self._sent_values: dict[bytes, bytes] = {}
        # Id of the transaction that the holder keeps a connection for, if any.
        self._transaction: int | None = None
        self._is_in_transaction = False

    @property
    def is_usable(self) -> bool:
        """Whether the connection is outside any transaction."""
        return self._transaction is None

    async def set_session_values(
        self, values: collections.abc.Mapping[bytes, bytes]
    ) -> None:
        """Set the session values that the holder sets before the next statement."""
        self._values = dict(values)

    async def run(
        self,
        statement: sessions.Statement,
        shape: sessions.StatementShape | None = None,
        floor: positions.Position | None = None,
    ) -> sessions.Reply:
        """Run one statement; see `sessions.SessionConnection.run`.

        Raises
        ------
        steps.FailedError
            If the statement was not sent to the instance.
        sessions.ConnectionLostError
            If it may have run.
        """
        return await self._call(
            messages.Operation.RUN,
            statement=encoding.encode_statement(statement, shape),
            floor=encoding.encode_position(floor),
        )

    async def begin(
        self, is_read_only: bool, floor: positions.Position | None = None
    ) -> sessions.Reply:
        """Begin a transaction; see `run` for the errors."""
        idle_timeout_s = self._forwarder.get_transaction_idle_s()
        # Drawn here, so that a transaction whose answer is lost can be discarded.
        self._transaction = secrets.randbits(_ID_BITS)
        return await self._call(
            messages.Operation.BEGIN,
            is_read_only=is_read_only,
            floor=encoding.encode_position(floor),
            idle_timeout_ms=round(idle_timeout_s * _MS_PER_S),
        )

    async def roll_back(self) -> sessions.Reply:
        """Roll back the open transaction; see `run` for the errors."""
        try:
            return await self._call(messages.Operation.ROLL_BACK)
        except steps.FailedError as error:
            raise sessions.ConnectionLostError(error.detail) from error

    async def release(self, is_observed: bool = True) -> None:  # noqa: ARG002
        """Discard a transaction that is still open."""
        await self.close()

    async def discard(self, is_observed: bool = True) -> None:  # noqa: ARG002
        """Roll back an open transaction by closing its connection."""
        await self.close()

    async def close(self) -> None:
        """Roll back an open transaction by closing its connection."""
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            request = self._build_request(messages.Operation.DISCARD, DISCARD_TIMEOUT_S)
            request.transaction = transaction
            self._forwarder.discard(self._host_id, request)

    async def _call(
        self, operation: messages.Operation, **fields: typing.Any
    ) -> sessions.Reply:
        left_s = trio.current_effective_deadline() - trio.current_time()
        left_s = min(max(left_s, MIN_CALL_S), MAX_CALL_S)
        margin_s = max(ANSWER_MARGIN_S, ANSWER_MARGIN_SHARE * left_s)
        margin_s = min(margin_s, MAX_MARGIN_SHARE * left_s)
        request = self._build_request(operation, left_s - margin_s)
        request.transaction = self._transaction
        if self._work is not None and not self._is_in_transaction:
            _describe_work(request, self._work, trio.current_time())
        if not self._is_in_transaction or self._values != self._sent_values:
            request.session_values = self._values or None
            self._sent_values = self._values
        for name, value in fields.items():
            setattr(request, name, value)
        answer = await self._forwarder.call(self._host_id, request, left_s)
        return self._process_answer(answer)

    def _build_request(
        self, operation: messages.Operation, timeout_s: float
    ) -> messages.ForwardRequest:
        return messages.ForwardRequest(
            self.server.instance,
            self._organisation,
            operation,
            max(math.ceil(timeout_s * _MS_PER_S), 1),
        )

    def _process_answer(self, answer: messages.ForwardAnswer) -> sessions.Reply:
        was_in_transaction = self._is_in_transaction
        # The holder names a transaction in its answers for as long as it keeps it.
        self._transaction = answer.transaction
        self._is_in_transaction = answer.transaction is not None
        detail = answer.detail or ""
        if answer.outcome == messages.Outcome.NOT_RUN and was_in_transaction:
            raise steps.FailedError(sessions.Failure.ABORTED, detail)
        if answer.is_cold:
            raise cold_instances.ColdInstanceError(
                sessions.Failure.OVERLOADED, detail, bool(answer.is_retryable)
            )
        if answer.outcome == messages.Outcome.NOT_RUN:
            raise steps.FailedError(
                sessions.Failure.OVERLOADED, detail, bool(answer.is_retryable)
            )
        if answer.outcome != messages.Outcome.ANSWERED:
            raise sessions.ConnectionLostError(detail)
        try:
            reply = encoding.decode_reply(answer)
        except catalog.MessageError as error:
            raise sessions.ConnectionLostError(str(error)) from error
        if reply.position is not None:
            self.position = reply.position
        return reply


def _describe_work(
    request: messages.ForwardRequest, work: works.Work, now_s: float
) -> None:
    """Set the fields of a request from which the holder schedules it."""
    request.priority = work.priority
    request.organisation_priority = work.organisation_priority
    # Clipped to a day, which an i32 holds.
    left_s = min(max(work.target_s - now_s, -_MAX_TARGET_S), _MAX_TARGET_S)
    request.target_ms = round(left_s * _MS_PER_S)
    request.is_write = work.kind is works.Kind.WRITE or None


def _build_call_failure(
    host_id: str, error: failures.CallError
) -> steps.FailedError | sessions.ConnectionLostError:
    if error.verdict is verdicts.Verdict.NOT_RUN:
        return steps.FailedError(
            sessions.Failure.OVERLOADED,
            f"{host_id} holds the connections and is unreachable ({error.code});"
            " retry after 50 ms",
            is_retryable=True,
        )
    return sessions.ConnectionLostError(f"no answer of {host_id}: {error.code}")


# Labels of the metric of forwarded statements.
_OUTCOME_LABELS = {
    messages.Outcome.ANSWERED: "answered",
    messages.Outcome.NOT_RUN: "not_run",
    messages.Outcome.NO_ANSWER: "no_answer",
}
