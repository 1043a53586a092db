"""The endpoints for transactions of callers.

The host that begins a transaction owns it. Any other host forwards requests to it.
"""

import typing

import msgspec
import trio

from sedgeswitch import verdicts
from sedgeswitch.callers import http
from sedgeswitch.callers import routes
from sedgeswitch.drivers import base
from sedgeswitch.groups import positions
from sedgeswitch.groups import table
from sedgeswitch.observability import traces
from sedgeswitch.pools import transactions
from sedgeswitch.sessions import floors
from sedgeswitch.sessions import tokens
from sedgeswitch.statements import authorisation
from sedgeswitch.statements import context
from sedgeswitch.statements import forwarding
from sedgeswitch.statements import pooled as pooled_statements
from sedgeswitch.statements import primaries
from sedgeswitch.statements import refusals
from sedgeswitch.statements import requests
from sedgeswitch.statements import service
from sedgeswitch.statements import writes
from sedgeswitch.utils import clocks

PATH = "/v1/transactions"
STATEMENTS_PATH = PATH + "/{transaction}/statements"
COMMIT_PATH = PATH + "/{transaction}/commit"
ROLLBACK_PATH = PATH + "/{transaction}/rollback"
# Lifetime of transactions whose begin request has no field ``lifetime_ms``.
DEFAULT_LIFETIME_MS = 10_000
COMMIT_TIMEOUT_S = 5.0
NOT_FOUND_STATUS = 404

_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
_Lifetime = typing.Annotated[int, msgspec.Meta(ge=100, le=30_000)]


class _BeginBody(typing.TypedDict, total=False):
    group: typing.Required[_Name]
    work: typing.Required[_Name]
    lifetime_ms: _Lifetime


class _StatementBody(typing.TypedDict, total=False):
    sql: typing.Required[typing.Annotated[str, msgspec.Meta(min_length=1)]]
    parameters: list[str | int | float | bool | None]


_BEGIN_FIELDS = frozenset(_BeginBody.__annotations__)
_STATEMENT_FIELDS = frozenset(_StatementBody.__annotations__)


class Begun(typing.NamedTuple):
    """Body of the response to a begin: the transaction id and its primary."""

    transaction: str
    instance: str


class Ended(typing.NamedTuple):
    """Body of the response to a commit or rollback; see `transactions.Ending`."""

    transaction: str
    ending: str


class _Context(typing.NamedTuple):
    """Data of a begun transaction that its commit needs."""

    permit: table.WritePermit
    work: context.AuthorisedWork
    session: str
    seen_positions: dict[str, positions.Position]


class TransactionService:
    """Serves requests to transactions of this host; forwards those of other hosts.

    Parameters
    ----------
    authoriser : authorisation.Authoriser
    admission : service.Admission
    components : context.Components
    writer : writes.Writer
    transaction_table : transactions.TransactionTable
    forwarder : forwarding.Forwarder
    tracer : traces.Tracer
    """

    def __init__(
        self,
        authoriser: authorisation.Authoriser,
        admission: service.Admission,
        components: context.Components,
        writer: writes.Writer,
        transaction_table: transactions.TransactionTable,
        forwarder: forwarding.Forwarder,
        tracer: traces.Tracer,
    ):
        self._authoriser = authoriser
        self._admission = admission
        self._components = components
        self._transaction_table = transaction_table
        self._forwarder = forwarder
        self._tracer = tracer
        self._writer = writer

    def register_routes(self, router: routes.Router) -> None:
        """Register the endpoints for callers of this host."""
        router.register_route("POST", PATH, self._begin)
        router.register_route(
            "POST", STATEMENTS_PATH, self._build_caller_endpoint(self._execute)
        )
        router.register_route(
            "POST", COMMIT_PATH, self._build_caller_endpoint(self._commit)
        )
        router.register_route(
            "POST", ROLLBACK_PATH, self._build_caller_endpoint(self._roll_back)
        )

    def register_forwarded_routes(self, router: routes.Router) -> None:
        """Register the endpoints for requests that other hosts forward to this one."""
        router.register_route(
            "POST", STATEMENTS_PATH, self._build_owner_endpoint(self._execute)
        )
        router.register_route(
            "POST", COMMIT_PATH, self._build_owner_endpoint(self._commit)
        )
        router.register_route(
            "POST", ROLLBACK_PATH, self._build_owner_endpoint(self._roll_back)
        )

    def _build_caller_endpoint(self, endpoint: typing.Callable) -> routes.Endpoint:
        """Return an endpoint that checks the key, then serves or forwards a request."""

        async def handle(
            request: http.Request, values: tuple[str, ...]
        ) -> http.Response:
            organisation = self._check_caller(request)
            with self._start_span("entry.transaction", request) as span:
                if self._forwarder.is_local(transactions.get_owner(values[0])):
                    return await endpoint(request, values[0], organisation)
                received_traceparent = request.headers.get("traceparent", "")
                traceparent = span.traceparent or received_traceparent
                return await self._forwarder.forward(
                    request, values[0], organisation, traceparent
                )

        return handle

    def _build_owner_endpoint(self, endpoint: typing.Callable) -> routes.Endpoint:
        """Return an endpoint for forwarded requests; another host checked the key."""

        async def handle(
            request: http.Request, values: tuple[str, ...]
        ) -> http.Response:
            organisation = request.headers.get(forwarding.ORGANISATION_HEADER, "")
            with self._start_span("owner.transaction", request):
                return await endpoint(request, values[0], organisation)

        return handle

    def _start_span(
        self, name: str, request: http.Request
    ) -> typing.ContextManager[traces.Span | traces.NoSpan]:
        traceparent = request.headers.get("traceparent", "")
        return traces.end_on_exit(self._tracer.start_span(name, traceparent))

    def _check_caller(self, request: http.Request) -> str:
        authorization = request.headers.get("authorization")
        now_s = trio.current_time()
        return self._authoriser.check_caller(authorization, now_s) or ""

    async def _begin(
        self,
        request: http.Request,
        values: tuple[str, ...],  # noqa: ARG002
    ) -> http.Response:
        organisation = self._check_caller(request)
        if requests.IDEMPOTENCY_HEADER in request.headers:
            raise requests.build_bad_request(
                f"{requests.IDEMPOTENCY_HEADER}: expected no such header, because a"
                " transaction is not idempotent"
            )
        body = requests.decode_fields(request.body, _BEGIN_FIELDS, _BeginBody)
        seen_positions = requests.decode_position_token(request)
        session = requests.get_session(request)
        lifetime_s = body.get("lifetime_ms", DEFAULT_LIFETIME_MS) / 1000
        expires_s = trio.current_time() + lifetime_s
        selector_fields = authorisation.SelectorFields(
            body["group"], body["work"], requests.WRITE
        )
        self._authoriser.authorise(organisation or None, selector_fields)
        with self._start_span("entry.begin", request):
            await self._admit(organisation, expires_s)
            key = floors.SessionKey(organisation, session, body["group"])
            await self._components.floors.wait_ready(key, expires_s)
            permit = await self._components.groups.wait_serving(
                body["group"], expires_s
            )
            # The configuration may have changed during the waits above.
            work = self._authoriser.authorise(organisation or None, selector_fields)
            transaction_context = _Context(permit, work, session, seen_positions)
            transaction = await self._begin_on_primary(transaction_context, expires_s)
        begun = Begun(transaction.transaction_id, transaction.context.permit.primary)
        return http.build_json(begun)

    async def _begin_on_primary(
        self, transaction_context: _Context, expires_s: float
    ) -> transactions.Transaction:
        work = transaction_context.work
        server = primaries.get_primary(transaction_context.permit, work)
        instance_pool = self._components.backends.get_pool(server, work.database)
        pooled = await context.acquire(instance_pool, work, expires_s)
        # Its zone may have been evacuated during the wait for a connection.
        if self._components.groups.is_primary_excluded(transaction_context.permit):
            await instance_pool.release(pooled, trio.current_time())
            raise primaries.build_not_eligible()
        try:
            return await self._transaction_table.begin(
                instance_pool, pooled, transaction_context, expires_s
            )
        except base.DriverError as error:
            raise refusals.build_rolled_back(error) from error

    async def _execute(
        self, request: http.Request, transaction_id: str, organisation: str
    ) -> http.Response:
        body = requests.decode_fields(request.body, _STATEMENT_FIELDS, _StatementBody)
        requests.check_sql(body["sql"])
        transaction = self._transaction_table.get(transaction_id, organisation)
        await self._admit(organisation, transaction.expires_s)
        # Another statement may have started during the wait for admission.
        transaction = self._transaction_table.get(transaction_id, organisation)
        await self._check_may_send(transaction)
        parameters = requests.encode_parameters(body.get("parameters", []))
        try:
            with trio.move_on_at(transaction.expires_s) as scope:
                rows = await self._transaction_table.execute(
                    transaction, body["sql"], parameters
                )
        except base.DriverError as error:
            ending = self._transaction_table.get_ending(transaction_id, organisation)
            if ending is transactions.Ending.UNKNOWN:
                raise refusals.build_driver_refusal(error) from error
            raise refusals.build_rolled_back(error) from error
        if scope.cancelled_caught:
            # The cancelled statement closed its connection, so that the server rolls
            # the transaction back.
            raise refusals.build_deadline_passed(verdicts.Verdict.NOT_RUN)
        instance = transaction.context.permit.primary
        return http.build_json(requests.Answer(*rows, instance, False))

    async def _commit(
        self,
        request: http.Request,  # noqa: ARG002
        transaction_id: str,
        organisation: str,
    ) -> http.Response:
        ending = self._transaction_table.get_ending(transaction_id, organisation)
        if ending is not None:
            return _build_repeated_commit_response(transaction_id, ending)
        transaction = self._get_for_commit(transaction_id, organisation)
        await self._check_may_send(transaction)
        transaction_context = transaction.context
        if not self._components.groups.is_permit_valid(
            transaction_context.permit, clocks.get_now_s()
        ):
            await self._transaction_table.close(transaction)
            raise refusals.build_lease_lost(verdicts.Verdict.NOT_RUN)
        deadline_s = trio.current_time() + COMMIT_TIMEOUT_S
        position = await service.run_with_deadline(
            deadline_s, self._commit_and_read, transaction
        )
        position = await self._writer.wait_acknowledged(
            transaction_context.permit,
            transaction_context.work,
            transaction_context.session,
            position,
            deadline_s,
        )
        seen_positions = tokens.add_floor(
            transaction_context.seen_positions, transaction_context.work.group, position
        )
        ended = Ended(transaction_id, transactions.Ending.COMMITTED.value)
        headers = (("Sedge-Position", tokens.encode_token(seen_positions)),)
        return http.build_json(ended, headers)

    async def _check_may_send(self, transaction: transactions.Transaction) -> None:
        """Roll back and refuse if nothing may be sent to the transaction's instance.

        Raises
        ------
        verdicts.RefusedError
            410, not run, after an evacuation; 503, not run, without a lease.
        """
        if await self._transaction_table.end_if_evacuated(transaction):
            raise verdicts.build_not_run(
                410,
                "transaction_ended",
                "the availability zone of the primary is evacuated; the transaction"
                " was rolled back",
            )
        if not self._components.groups.has_lease(clocks.get_now_s()):
            await self._transaction_table.discard(transaction)
            raise refusals.build_lease_lost(verdicts.Verdict.NOT_RUN)

    def _get_for_commit(
        self, transaction_id: str, organisation: str
    ) -> transactions.Transaction:
        try:
            return self._transaction_table.get(transaction_id, organisation)
        except verdicts.RefusedError as error:
            if error.refusal.status != NOT_FOUND_STATUS:
                raise
            # An earlier commit may have run here before a restart of this host.
            refusal = error.refusal._replace(verdict=verdicts.Verdict.MAY_HAVE_RUN)
            raise verdicts.RefusedError(refusal) from error

    async def _commit_and_read(
        self, transaction: transactions.Transaction
    ) -> positions.Position:
        """Commit, and return a log position that covers the transaction."""
        is_committed = False
        try:
            pooled = await self._transaction_table.commit(transaction)
            is_committed = True
            return await pooled_statements.read_position(pooled)
        except base.DriverError as error:
            if is_committed:
                raise refusals.build_not_replicated() from error
            raise refusals.build_driver_refusal(error) from error
        finally:
            await self._transaction_table.close(transaction)

    async def _roll_back(
        self,
        request: http.Request,  # noqa: ARG002
        transaction_id: str,
        organisation: str,
    ) -> http.Response:
        transaction = self._transaction_table.get(transaction_id, organisation)
        if not await self._transaction_table.end_if_evacuated(transaction):
            await self._transaction_table.close(transaction)
        ended = Ended(transaction_id, transactions.Ending.ROLLED_BACK.value)
        return http.build_json(ended)

    async def _admit(self, organisation: str, deadline_s: float) -> None:
        if organisation:
            await self._admission.admit(organisation, deadline_s)


def _build_repeated_commit_response(
    transaction_id: str, ending: transactions.Ending
) -> http.Response:
    """Return the response to a commit of a transaction that has ended."""
    if ending is transactions.Ending.UNKNOWN:
        raise verdicts.build_may_have_run(
            502, "connection_lost", "the outcome of the commit is not known"
        )
    if ending is transactions.Ending.ROLLED_BACK:
        raise verdicts.build_not_run(
            410, "transaction_ended", "the transaction was rolled back"
        )
    # It is committed, but this host has not recorded whether enough replicas have it.
    raise verdicts.build_may_have_run(
        409, "already_committed", f"{transaction_id} was committed by another request"
    )
