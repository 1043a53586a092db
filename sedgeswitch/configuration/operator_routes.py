"""The HTTP API for operators: routes, JSON bodies and problem documents."""

import typing

from sedgeswitch import verdicts
from sedgeswitch.configuration import changes
from sedgeswitch.configuration import operators
from sedgeswitch.keys import key_format
from sedgeswitch.utils import checks
from sedgeswitch.utils import records

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"


class OperatorRequest(typing.NamedTuple):
    """An HTTP request of an operator.

    Attributes
    ----------
    method : str
    path : str
        Path without the query string.
    authorization : str or None
        Value of the ``Authorization`` header.
    body : bytes
    """

    method: str
    path: str
    authorization: str | None = None
    body: bytes = b""


class OperatorResponse(typing.NamedTuple):
    """The HTTP response to an operator.

    Attributes
    ----------
    status : int
    content_type : str
    body : bytes
    """

    status: int
    content_type: str
    body: bytes


class Problem(typing.NamedTuple):
    """A problem document (RFC 9457).

    Attributes
    ----------
    status : int
        HTTP status code.
    code : str
        Machine-readable reason.
    detail : str
        Explanation for people.
    verdict : str
        ``not_run`` or ``may_have_run``, see `verdicts.Verdict`.
    """

    status: int
    code: str
    detail: str
    verdict: str = verdicts.Verdict.NOT_RUN.value


Handler = typing.Callable[..., typing.Awaitable[OperatorResponse]]
_HANDLER_BY_ROUTE: dict[tuple[str, tuple[str, ...]], Handler] = {}


def register_route(method: str, path: str) -> typing.Callable[[Handler], Handler]:
    """Return a decorator that registers the handler of a route.

    A segment of the path in braces matches any text, which is passed to the handler
    as a positional argument.
    """

    def register(handler: Handler) -> Handler:
        _HANDLER_BY_ROUTE[method, tuple(path.split("/"))] = handler
        return handler

    return register


async def handle(
    services: operators.Services, request: OperatorRequest, now_s: float
) -> OperatorResponse:
    """Authenticate and serve a request; refusals become problem documents.

    Parameters
    ----------
    services : operators.Services
    request : OperatorRequest
    now_s : float
    """
    try:
        operators.check_operator(services, request.authorization)
        handler, arguments = _find_handler(request.method, request.path)
        return await handler(services, request, now_s, *arguments)
    except checks.CheckError as error:
        return _build_problem(Problem(400, "invalid", key_format.redact(str(error))))
    except verdicts.RefusedError as error:
        return _build_refusal(services, error.refusal)


@register_route("GET", "/v1/configuration")
async def get_configuration(
    services: operators.Services,
    request: OperatorRequest,  # noqa: ARG001
    now_s: float,
) -> OperatorResponse:
    """Return the current version and document of the configuration."""
    return _build_json(await operators.read_configuration(services, now_s))


@register_route("POST", "/v1/configuration/changes")
async def post_change(
    services: operators.Services, request: OperatorRequest, now_s: float
) -> OperatorResponse:
    """Propose a change: 200 if accepted, 409 on a version conflict, 422 if rejected."""
    # Decoding validates the change before it is proposed. An invalid change may
    # contain an API key in plain text, which must not get into the replicated log.
    change = changes.decode_change(request.body)
    answer = await operators.change_configuration(services, change, now_s)
    if isinstance(answer, changes.Accepted):
        return _build_json(changes.answer_to_plain(answer))
    return _build_change_problem(answer)


@register_route("GET", "/v1/configuration/in-force")
async def get_in_force(
    services: operators.Services,
    request: OperatorRequest,  # noqa: ARG001
    now_s: float,
) -> OperatorResponse:
    """Return the configuration version in force on each entry host."""
    return _build_json(await operators.read_in_force(services, now_s))


@register_route("GET", "/v1/status/{kind}")
async def get_status(
    services: operators.Services,
    request: OperatorRequest,  # noqa: ARG001
    now_s: float,
    kind: str,
) -> OperatorResponse:
    """Return the status of groups, control hosts, entry hosts or instances."""
    return _build_json(await operators.read_status(services, kind, now_s))


@register_route("POST", "/v1/groups/{group}/primary")
async def post_primary(
    services: operators.Services, request: OperatorRequest, now_s: float, group: str
) -> OperatorResponse:
    """Move the primary of a group to another instance."""
    plain = {**_decode_object(request.body), "group": group}
    move = records.build_record(operators.MovePrimary, plain)
    return _build_json(await operators.move_primary(services, move, now_s))


@register_route("POST", "/v1/control/voters")
async def post_voter(
    services: operators.Services, request: OperatorRequest, now_s: float
) -> OperatorResponse:
    """Replace a control host by a new one."""
    plain = _decode_object(request.body)
    replacement = records.build_record(operators.ReplaceVoter, plain)
    return _build_json(await operators.replace_voter(services, replacement, now_s))


@register_route("GET", "/v1/evacuations")
async def get_evacuations(
    services: operators.Services,
    request: OperatorRequest,  # noqa: ARG001
    now_s: float,
) -> OperatorResponse:
    """Return the evacuated availability zones."""
    return _build_json(await operators.list_evacuations(services, now_s))


@register_route("POST", "/v1/evacuations/{zone}")
async def post_evacuation(
    services: operators.Services,
    request: OperatorRequest,  # noqa: ARG001
    now_s: float,
    zone: str,
) -> OperatorResponse:
    """Start the evacuation of an availability zone."""
    change = operators.Evacuation(zone, True)
    return _build_json(await operators.change_evacuation(services, change, now_s))


@register_route("DELETE", "/v1/evacuations/{zone}")
async def delete_evacuation(
    services: operators.Services,
    request: OperatorRequest,  # noqa: ARG001
    now_s: float,
    zone: str,
) -> OperatorResponse:
    """End the evacuation of an availability zone."""
    change = operators.Evacuation(zone, False)
    return _build_json(await operators.change_evacuation(services, change, now_s))


def _find_handler(method: str, path: str) -> tuple[Handler, list[str]]:
    parts = path.split("/")
    for (route_method, route_parts), handler in _HANDLER_BY_ROUTE.items():
        if route_method == method and _matches(route_parts, parts):
            arguments = [
                part
                for expected, part in zip(route_parts, parts, strict=True)
                if expected.startswith("{")
            ]
            return handler, arguments
    raise verdicts.build_not_run(404, "no_such_route", f"{method} {path} is unknown")


def _matches(route_parts: typing.Sequence[str], parts: typing.Sequence[str]) -> bool:
    return len(route_parts) == len(parts) and all(
        expected.startswith("{") or expected == part
        for expected, part in zip(route_parts, parts, strict=True)
    )


def _decode_object(body: bytes) -> dict[str, typing.Any]:
    plain = records.decode_json(body, "body")
    if not isinstance(plain, dict):
        raise checks.CheckError("body", "an object", plain)
    return plain


def _build_json(value: typing.Any) -> OperatorResponse:
    return OperatorResponse(200, JSON_TYPE, records.encode_json(value))


def _build_problem(problem: Problem, **members: typing.Any) -> OperatorResponse:
    body = records.encode_json({**problem._asdict(), **members})
    return OperatorResponse(problem.status, PROBLEM_TYPE, body)


def _build_refusal(
    services: operators.Services, refusal: verdicts.Refusal
) -> OperatorResponse:
    problem = Problem(
        refusal.status, refusal.code, refusal.detail, refusal.verdict.value
    )
    if refusal.status == operators.NOT_LEADER_STATUS:
        return _build_problem(problem, leader=services.get_leader_address())
    return _build_problem(problem)


def _build_change_problem(
    answer: changes.VersionConflict | changes.Rejected,
) -> OperatorResponse:
    members = answer._asdict()
    if isinstance(answer, changes.VersionConflict):
        detail = (
            f"the change was made from version {answer.base_version}, "
            f"but version {answer.version} is in force"
        )
        return _build_problem(Problem(409, "version_conflict", detail), **members)
    detail = f"{answer.field}: expected {answer.allowed}, got {answer.given}"
    return _build_problem(Problem(422, "rejected", detail), **members)
