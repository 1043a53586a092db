"""The holder's side: runs the statements that other hosts forward to it."""

import collections.abc
import math

import trio

from sedgeswitch.drivers import sessions
from sedgeswitch.forwarding import encoding
from sedgeswitch.forwarding import loads
from sedgeswitch.forwarding import messages
from sedgeswitch.groups import positions
from sedgeswitch.membership import directory
from sedgeswitch.observability import exposition
from sedgeswitch.observability import stages
from sedgeswitch.relay import cold_instances
from sedgeswitch.relay import connections
from sedgeswitch.relay import context
from sedgeswitch.relay import steps
from sedgeswitch.routing import eligibility
from sedgeswitch.scheduling import work as works
from sedgeswitch.utils import clocks

# Added to the idle timeout of a transaction, in seconds. The caller's host normally
# ends it; this timeout is for a caller's host that has disappeared.
IDLE_MARGIN_S = 1.0
EXPIRE_INTERVAL_S = 0.5
# Interval at which `wait_idle` checks whether the last statement has ended, in seconds.
POLL_INTERVAL_S = 0.02
_MS_PER_S = 1000

Answer = collections.abc.Awaitable[messages.ForwardAnswer]
Handler = collections.abc.Callable[..., Answer]
_HANDLERS: dict[int, Handler] = {}


def _register_operation(
    operation: messages.Operation,
) -> collections.abc.Callable[[Handler], Handler]:
    """Return a decorator that registers the handler of an operation."""

    def register(handler: Handler) -> Handler:
        _HANDLERS[operation] = handler
        return handler

    return register


class _Transaction:
    """A transaction of another host's caller, and the connection that it is bound to.

    Attributes
    ----------
    acquired : connections.AcquiredConnection or None
        None until the transaction has begun.
    scope : trio.CancelScope
        Scope of the request that runs now.
    is_running : bool
        Whether a request of the transaction runs now.
    expires_s : float
        Time on trio's clock at which it is rolled back unless a request runs.
    """

    def __init__(self, idle_timeout_s: float):
        self.idle_timeout_s = idle_timeout_s
        self.acquired: connections.AcquiredConnection | None = None
        self.scope = trio.CancelScope()
        self.is_running = False
        self.expires_s = math.inf


class Holder:
    """Runs forwarded statements over this host's pools.

    Parameters
    ----------
    components : context.Components
        Its connector acquires connections of this host's own pools.
    instance_loads : loads.HolderLoads or None
        Measures the instances; with None, answers carry no load.
    """

    def __init__(
        self,
        components: context.Components,
        instance_loads: loads.HolderLoads | None = None,
    ):
        self._components = components
        self._loads = instance_loads
        self._transactions: dict[int, _Transaction] = {}
        self._running = 0
        self._is_leaving = False

    @property
    def open_transactions(self) -> int:
        """Number of transactions that this host keeps connections for."""
        return len(self._transactions)

    async def run(self) -> None:
        """Roll back transactions whose caller's host has disappeared."""
        while True:
            await trio.sleep(EXPIRE_INTERVAL_S)
            await self._expire(trio.current_time())

    def leave(self) -> None:
        """Accept no further statements, except those of open transactions."""
        self._is_leaving = True

    async def wait_idle(self) -> None:
        """Wait until no statement runs and no transaction is open."""
        while self._running or self._transactions:
            await trio.sleep(POLL_INTERVAL_S)

    async def answer(self, request: messages.ForwardRequest) -> messages.ForwardAnswer:
        """Answer a request; every failure is an answer that says whether it has run."""
        started_s = trio.current_time()
        deadline_s = started_s + request.timeout_ms / _MS_PER_S
        handler = _HANDLERS.get(request.operation)
        if handler is None:
            return _build_not_run("unknown operation")
        self._running += 1
        try:
            with stages.run_operation(stages.HELD_KIND):
                stages.identify(stages.HELD_KIND, request.organisation)
                answer = await handler(self, request, deadline_s)
        finally:
            self._running -= 1
        answer.service_ms = round((trio.current_time() - started_s) * _MS_PER_S)
        answer.load = self._build_load(request.instance)
        exposition.HELD.labels(_OUTCOME_LABELS[answer.outcome]).inc()
        if answer.outcome != messages.Outcome.ANSWERED:
            self._log_failure(request, answer)
        return answer

    @_register_operation(messages.Operation.RUN)
    async def _run(
        self, request: messages.ForwardRequest, deadline_s: float
    ) -> messages.ForwardAnswer:
        if request.transaction is not None:
            return await self._run_in_transaction(request, deadline_s)
        try:
            acquired = await self._acquire(request, deadline_s)
        except steps.FailedError as error:
            return _build_refusal(error)
        try:
            return await self._send(acquired, request, deadline_s)
        finally:
            await acquired.release()

    @_register_operation(messages.Operation.BEGIN)
    async def _begin(
        self, request: messages.ForwardRequest, deadline_s: float
    ) -> messages.ForwardAnswer:
        transaction_id = request.transaction
        if transaction_id is None or transaction_id in self._transactions:
            return _build_not_run("transaction: expected a new id")
        idle_timeout_s = (request.idle_timeout_ms or 0) / _MS_PER_S
        transaction = _Transaction(idle_timeout_s)
        transaction.is_running = True
        self._transactions[transaction_id] = transaction
        answer = None
        try:
            with transaction.scope:
                transaction.acquired = await self._acquire(request, deadline_s)
                answer = await self._run_bound(
                    transaction_id, transaction, request, deadline_s
                )
        except steps.FailedError as error:
            answer = _build_refusal(error)
        finally:
            if answer is None or answer.transaction is None:
                await self._discard(transaction_id)
        return answer or _build_no_answer("the caller's host discarded the transaction")

    @_register_operation(messages.Operation.ROLL_BACK)
    async def _roll_back(
        self, request: messages.ForwardRequest, deadline_s: float
    ) -> messages.ForwardAnswer:
        return await self._run_in_transaction(request, deadline_s)

    @_register_operation(messages.Operation.DISCARD)
    async def _discard_requested(
        self,
        request: messages.ForwardRequest,
        deadline_s: float,  # noqa: ARG002
    ) -> messages.ForwardAnswer:
        transaction = self._transactions.get(request.transaction)
        if transaction is not None and transaction.is_running:
            # The request that runs discards the transaction.
            transaction.scope.cancel()
        else:
            await self._discard(request.transaction)
        return messages.ForwardAnswer(messages.Outcome.ANSWERED)

    async def _run_in_transaction(
        self, request: messages.ForwardRequest, deadline_s: float
    ) -> messages.ForwardAnswer:
        transaction = self._transactions.get(request.transaction)
        if transaction is None:
            return _build_not_run("the transaction is unknown or was rolled back")
        if transaction.is_running:
            return _build_not_run("another statement of the transaction is running")
        reason = self._find_evacuation_end(transaction) or context.find_missing_lease(
            self._components, transaction.acquired
        )
        if reason is not None:
            await self._discard(request.transaction)
            return _build_not_run(f"{reason}; transaction rolled back")
        transaction.scope = trio.CancelScope()
        answer = None
        try:
            with transaction.scope:
                answer = await self._run_bound(
                    request.transaction, transaction, request, deadline_s
                )
        except steps.FailedError as error:
            answer = _build_refusal(error)
        finally:
            if answer is None or answer.outcome == messages.Outcome.NOT_RUN:
                await self._discard(request.transaction)
        return answer or _build_no_answer("the caller's host discarded the transaction")

    async def _run_bound(
        self,
        transaction_id: int,
        transaction: _Transaction,
        request: messages.ForwardRequest,
        deadline_s: float,
    ) -> messages.ForwardAnswer:
        """Run a request of a transaction; release the connection at its end."""
        acquired = transaction.acquired
        transaction.is_running = True
        try:
            answer = await self._send(acquired, request, deadline_s)
        finally:
            transaction.is_running = False
        if answer.outcome != messages.Outcome.ANSWERED:
            await self._discard(transaction_id)
        elif answer.is_in_transaction:
            answer.transaction = transaction_id
            idle_s = transaction.idle_timeout_s + IDLE_MARGIN_S
            transaction.expires_s = trio.current_time() + idle_s
        else:
            self._transactions.pop(transaction_id, None)
            await acquired.release(is_observed=False)
        return answer

    async def _acquire(
        self, request: messages.ForwardRequest, deadline_s: float
    ) -> connections.AcquiredConnection:
        """Acquire a connection of this host's pool.

        Raises
        ------
        steps.FailedError
            If there is none. Nothing was sent to the instance.
        """
        components = self._components
        server = components.backends.get_server(request.instance)
        if self._is_leaving:
            raise _HolderUnavailableError("the holder is shutting down")
        if components.backends.share.divisor == 0:
            raise _HolderUnavailableError("the holder has no lease")
        if server is None:
            raise _HolderUnavailableError(
                f"{request.instance} is not announced to the holder"
            )
        self._check_not_excluded(server)
        work = _build_work(request, deadline_s) if components.is_scheduling else None
        meter = self._loads and self._loads.get_meter(server.instance)
        if meter is not None:
            meter.arrive(clocks.get_now_s())
        acquired = None
        try:
            acquired = await components.connector.acquire(
                server, request.organisation, deadline_s, work=work
            )
            # An evacuation may have come into force, or the lease may have expired,
            # during the wait for a connection.
            self._check_not_excluded(server)
            self._check_lease(acquired)
        except BaseException:
            if meter is not None:
                meter.give_up(clocks.get_now_s())
            if acquired is not None:
                await acquired.release(is_observed=False)
            raise
        return acquired

    def _build_load(self, instance: str) -> messages.InstanceLoad | None:
        """Return the load of an instance at this host, None if it is not measured."""
        load = None
        if self._loads is not None:
            load = self._loads.build_load(instance, clocks.get_now_s())
        if self._components.is_scheduling:
            load = self._add_backlog(instance, load)
        return load

    def _add_backlog(
        self, instance: str, load: messages.InstanceLoad | None
    ) -> messages.InstanceLoad | None:
        """Return the load with the waiting statements by class of the scheduler."""
        backends = self._components.backends
        server = backends.get_server(instance)
        if server is None:
            return load
        scheduler = backends.get_pool(server, server.group).scheduler
        if scheduler is None:
            return load
        limit = scheduler.limit
        if load is None:
            load = messages.InstanceLoad(
                running=scheduler.running_statements,
                service_ms=max(round(scheduler.service_s * _MS_PER_S), 1),
            )
        load.slots = limit.slots
        load.waiting = scheduler.waiting
        load.holders = limit.holders
        load.waiting_by_priority = scheduler.get_waiting_by_priority() or None
        return load

    def _check_not_excluded(self, server: directory.BackendServer) -> None:
        """Raise a retryable refusal if nothing may be sent to an instance."""
        restrictions = self._components.get_restrictions()
        reason = eligibility.find_exclusion(server, restrictions)
        if reason is not None:
            raise steps.FailedError(
                sessions.Failure.OVERLOADED,
                f"{server.instance} may not run it: {reason}",
                is_retryable=True,
            )

    def _check_lease(self, acquired: connections.AcquiredConnection) -> None:
        if context.find_missing_lease(self._components, acquired) is not None:
            raise _HolderUnavailableError("the holder has no lease")

    def _find_evacuation_end(self, transaction: _Transaction) -> str | None:
        """Return the reason, and log it, if an evacuation ends a transaction now."""
        server = transaction.acquired.server
        reason = context.find_evacuation_end(
            self._components, server, clocks.get_now_s()
        )
        if reason is not None:
            context.log_evacuation_end(self._components, server, "holder")
        return reason

    async def _send(
        self,
        acquired: connections.AcquiredConnection,
        request: messages.ForwardRequest,
        deadline_s: float,
    ) -> messages.ForwardAnswer:
        """Send a request, measured if `instance_loads` was given."""
        if self._loads is None:
            return await self._send_unmeasured(acquired, request, deadline_s)
        instance, sent_s = acquired.server.instance, clocks.get_now_s()
        meter, judge = self._loads.get_meter(instance), self._loads.judge
        is_begin = request.operation == messages.Operation.BEGIN
        if request.transaction is not None and not is_begin:
            # Its connection was acquired with the first statement.
            meter.arrive(sent_s)
        meter.send(sent_s)
        number = judge.start(instance, sent_s)
        answer = None
        try:
            answer = await self._send_unmeasured(acquired, request, deadline_s)
        finally:
            now_s = clocks.get_now_s()
            meter.end(now_s)
            judge.end(instance, number)
            if answer is not None:
                self._judge(instance, answer, sent_s, now_s)
        return answer

    def _judge(
        self,
        instance: str,
        answer: messages.ForwardAnswer,
        sent_s: float,
        now_s: float,
    ) -> None:
        if answer.outcome == messages.Outcome.NO_ANSWER:
            self._loads.judge.record_no_answer(instance, sent_s, now_s)
        elif answer.failure is None or answer.failure in _INSTANCE_FAILURES:
            is_failure = answer.failure is not None
            self._loads.judge.record(instance, is_failure, now_s, now_s - sent_s)

    async def _send_unmeasured(
        self,
        acquired: connections.AcquiredConnection,
        request: messages.ForwardRequest,
        deadline_s: float,
    ) -> messages.ForwardAnswer:
        """Send a request to the instance and return the answer of either."""
        server = acquired.server
        observations = self._components.local_observations
        permit = self._components.groups.get_write_permit(
            server.group, clocks.get_now_s()
        )
        sent_s = clocks.get_now_s()
        reply = None
        with trio.move_on_at(deadline_s):
            try:
                with stages.measure(stages.INSTANCE):
                    reply = await _send_operation(acquired.connection, request)
            except sessions.ConnectionLostError as error:
                observations.record_no_answer(server.instance)
                return _build_no_answer(f"{server.instance}: {error}")
            except steps.FailedError as error:
                return _build_refusal(error)
        if reply is None:
            observations.record_no_answer(server.instance)
            return _build_no_answer(f"{server.instance} did not answer in time")
        observations.record_reply(server.instance, reply)
        if permit is not None and permit.primary == server.instance:
            observations.record_primary_reply(permit, sent_s, reply)
        return encoding.encode_reply(reply)

    async def _expire(self, now_s: float) -> None:
        for transaction_id, transaction in list(self._transactions.items()):
            if transaction.is_running:
                continue
            if transaction.expires_s <= now_s or self._find_evacuation_end(transaction):
                await self._discard(transaction_id)

    async def _discard(self, transaction_id: int | None) -> None:
        """Close the connection of a transaction, which rolls it back."""
        transaction = self._transactions.pop(transaction_id, None)
        if transaction is not None and transaction.acquired is not None:
            with trio.CancelScope(shield=True):
                await transaction.acquired.discard(is_observed=False)

    def _log_failure(
        self, request: messages.ForwardRequest, answer: messages.ForwardAnswer
    ) -> None:
        statement_id = request.statement.statement_id if request.statement else b""
        self._components.decisions.note(
            f"forwarded statement {_OUTCOME_LABELS[answer.outcome]}",
            trio.current_time(),
            request=statement_id.decode(errors="replace"),
            instance=request.instance,
            timeout_ms=request.timeout_ms,
            waited_ms=answer.service_ms,
            detail=answer.detail,
        )


class _HolderUnavailableError(steps.FailedError):
    """Raised when this host runs no statement, while another holder may."""

    def __init__(self, detail: str):
        super().__init__(sessions.Failure.OVERLOADED, detail, is_retryable=True)


def _build_work(request: messages.ForwardRequest, deadline_s: float) -> works.Work:
    """Return the description of forwarded work.

    A host of an earlier release sends no priority and no target: its work is of the
    highest class, as priorities are by default, and due by its deadline.
    """
    kind = works.Kind.WRITE if request.is_write else works.Kind.READ
    if request.operation == messages.Operation.BEGIN:
        kind = works.Kind.TRANSACTION
    target_s = deadline_s
    if request.target_ms is not None:
        target_s = trio.current_time() + request.target_ms / _MS_PER_S
    return works.build_work(
        kind, request.priority or 0, request.organisation_priority or 0, target_s
    )


async def _send_operation(
    connection: sessions.SessionConnection, request: messages.ForwardRequest
) -> sessions.Reply:
    """Send a request, and before it the session values that it names."""
    floor: positions.Position | None = encoding.decode_position(request.floor)
    if request.operation == messages.Operation.ROLL_BACK:
        return await connection.roll_back()
    is_begin = request.operation == messages.Operation.BEGIN
    is_first = request.transaction is None or is_begin
    # Within a transaction, values are sent only if they have changed.
    if is_first or request.session_values is not None:
        failed = await connection.set_session_values(request.session_values or {})
        if failed is not None:
            return failed
    if is_begin:
        return await connection.begin(bool(request.is_read_only), floor)
    statement, shape = encoding.decode_statement(request.statement)
    return await connection.run(statement, shape, floor)


def _build_not_run(detail: str) -> messages.ForwardAnswer:
    return messages.ForwardAnswer(messages.Outcome.NOT_RUN, detail=detail)


def _build_refusal(error: steps.FailedError) -> messages.ForwardAnswer:
    answer = _build_not_run(error.detail)
    answer.is_retryable = error.is_retryable
    answer.is_host_unavailable = isinstance(error, _HolderUnavailableError) or None
    answer.is_cold = isinstance(error, cold_instances.ColdInstanceError) or None
    return answer


def _build_no_answer(detail: str) -> messages.ForwardAnswer:
    return messages.ForwardAnswer(messages.Outcome.NO_ANSWER, detail=detail)


_INSTANCE_FAILURES = frozenset(item.name for item in loads.INSTANCE_FAILURES)
# Labels of the metric of forwarded statements, and the ends of their log lines.
_OUTCOME_LABELS = {
    messages.Outcome.ANSWERED: "answered",
    messages.Outcome.NOT_RUN: "not run",
    messages.Outcome.NO_ANSWER: "not answered",
}
