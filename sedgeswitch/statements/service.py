"""The endpoint for single statements."""

import collections.abc
import typing

import msgspec
import trio

from sedgeswitch import verdicts
from sedgeswitch.callers import http
from sedgeswitch.groups import positions
from sedgeswitch.observability import traces
from sedgeswitch.sessions import floors
from sedgeswitch.sessions import tokens
from sedgeswitch.statements import authorisation
from sedgeswitch.statements import context
from sedgeswitch.statements import reads
from sedgeswitch.statements import refusals
from sedgeswitch.statements import requests
from sedgeswitch.statements import writes

PATH = "/v1/statements"


class Admission(typing.Protocol):
    """Limits the requests of each organisation to its rate and burst."""

    async def admit(self, organisation: str, deadline_s: float) -> None:
        """Wait until a request may run.

        Raises
        ------
        verdicts.RefusedError
            If the request may not run before its deadline.
        """


class StatementService:
    """Runs single statements of callers.

    Parameters
    ----------
    authoriser : authorisation.Authoriser
    admission : Admission
    components : context.Components
    writer : writes.Writer
    tracer : traces.Tracer
    default_deadline_ms : int
        Deadline of requests that name none.
    """

    def __init__(
        self,
        authoriser: authorisation.Authoriser,
        admission: Admission,
        components: context.Components,
        writer: writes.Writer,
        tracer: traces.Tracer,
        default_deadline_ms: int,
    ):
        self._authoriser = authoriser
        self._admission = admission
        self._components = components
        self._tracer = tracer
        self._default_deadline_ms = default_deadline_ms
        self._reader = reads.Reader(components)
        self._writer = writer

    async def handle(
        self,
        request: http.Request,
        values: tuple[str, ...],  # noqa: ARG002
    ) -> http.Response:
        """Return the response to ``POST /v1/statements``."""
        now_s = trio.current_time()
        authorization = request.headers.get("authorization")
        organisation = self._authoriser.check_caller(authorization, now_s)
        statement = requests.build_statement(request, self._default_deadline_ms, now_s)
        span = self._tracer.start_span("entry.statement", statement.traceparent)
        try:
            span.set_field("group", statement.group)
            work = self._get_work(organisation, authorization, statement)
            return await self._run(organisation, work, statement, span)
        except verdicts.RefusedError as error:
            span.set_field("refusal", error.refusal.code)
            self._components.metrics.count(f"refusals.{error.refusal.code}")
            raise
        finally:
            span.end()

    def _get_work(
        self,
        organisation: str | None,
        authorization: str | None,
        statement: requests.Statement,
    ) -> context.AuthorisedWork:
        selector_fields = authorisation.SelectorFields(
            statement.group, statement.work, statement.access
        )
        return self._authoriser.authorise(organisation, selector_fields, authorization)

    async def _run(
        self,
        organisation: str | None,
        work: context.AuthorisedWork,
        statement: requests.Statement,
        span: traces.Span | traces.NoSpan,
    ) -> http.Response:
        seen_positions = statement.seen_positions
        if organisation is not None:
            with span.start_child("entry.admission"):
                await self._admission.admit(organisation, statement.deadline_s)
        with span.start_child(f"instance.{statement.access}") as child:
            answer, seen_positions = await self._execute(
                work, statement, seen_positions
            )
            child.set_field("instance", answer.instance)
        headers = ()
        if seen_positions:
            headers = (("Sedge-Position", tokens.encode_token(seen_positions)),)
        # Encoded without conversion of the rows, which would copy many of them.
        body = msgspec.json.encode(answer._asdict())
        return http.Response(200, body, headers=headers)

    async def _execute(
        self,
        work: context.AuthorisedWork,
        statement: requests.Statement,
        seen_positions: dict[str, positions.Position],
    ) -> tuple[requests.Answer, dict[str, positions.Position]]:
        if statement.access == requests.WRITE:
            answer, position = await self._writer.run(work, statement)
            return answer, tokens.add_floor(seen_positions, statement.group, position)
        floor = await self._get_floor(work, statement, seen_positions)
        answer = await run_with_deadline(
            statement.deadline_s, self._reader.run, work, statement, floor
        )
        return answer, seen_positions

    async def _get_floor(
        self,
        work: context.AuthorisedWork,
        statement: requests.Statement,
        seen_positions: dict[str, positions.Position],
    ) -> floors.Floor:
        key = floors.SessionKey(work.organisation, statement.session, work.group)
        floor = await self._components.floors.get_floor(key, statement.deadline_s)
        position = tokens.merge_floor(floor.position, seen_positions.get(work.group))
        return floors.Floor(position, floor.is_known)


async def run_with_deadline(
    deadline_s: float,
    function: collections.abc.Callable[..., collections.abc.Awaitable],
    *arguments: typing.Any,
) -> typing.Any:
    """Return the result of an async function unless the deadline passes first.

    Raises
    ------
    verdicts.RefusedError
        504, may have run, if the deadline passes first.
    """
    with trio.move_on_at(deadline_s):
        return await function(*arguments)
    raise refusals.build_deadline_passed(verdicts.Verdict.MAY_HAVE_RUN)
