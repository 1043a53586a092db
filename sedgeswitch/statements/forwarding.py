"""Forwarding of requests to the entry host that owns their transaction."""

import collections.abc
import typing

from sedgeswitch import verdicts
from sedgeswitch.callers import http
from sedgeswitch.callers import routes
from sedgeswitch.pools import messages
from sedgeswitch.pools import transactions
from sedgeswitch.transport import failures

ORGANISATION_HEADER = "sedge-organisation"
# Longer than the longest lifetime of a transaction, which is 30 s.
TIMEOUT_S = 35.0
_COMMIT = "/commit"
# The caller's key is not forwarded: it stays on the host that checked it.
_FORWARDED_HEADERS = ("sedge-session", "sedge-position")

CallHost = collections.abc.Callable[
    [str, typing.Any, float], collections.abc.Awaitable[typing.Any]
]


class Forwarder:
    """Forwards requests to the owner of their transaction and serves forwarded ones.

    Parameters
    ----------
    host_id : str
        Id of this host.
    call_host : async callable
        ``await call_host(host_id, message, timeout_s)`` sends a message to a host
        and returns its answer; raises `failures.CallError`.

    Attributes
    ----------
    router : routes.Router
        Routes of the endpoints that serve forwarded requests.
    """

    def __init__(self, host_id: str, call_host: CallHost):
        self._host_id = host_id
        self._call_host = call_host
        self.router = routes.Router()

    def is_local(self, owner: str) -> bool:
        """Return whether `owner` is the id of this host."""
        return owner == self._host_id

    async def forward(
        self,
        request: http.Request,
        transaction_id: str,
        organisation: str,
        traceparent: str,
    ) -> http.Response:
        """Send a request to the owner of its transaction and return the response.

        Raises
        ------
        verdicts.RefusedError
            410 if the owner did not answer. Work that was not committed is rolled
            back when the connections of the owner close.
        """
        owner = transactions.get_owner(transaction_id)
        headers = {
            name: request.headers[name]
            for name in _FORWARDED_HEADERS
            if name in request.headers
        }
        headers["traceparent"] = traceparent
        message = messages.ForwardedRequest(
            request.method, request.path, headers, request.body, organisation
        )
        try:
            answer = await self._call_host(owner, message, TIMEOUT_S)
        except failures.CallError as error:
            raise _build_owner_lost(request, error) from error
        return http.Response(
            answer.status,
            answer.body,
            answer.content_type,
            tuple(sorted(answer.headers.items())),
        )

    async def answer(
        self, message: messages.ForwardedRequest
    ) -> messages.ForwardedResponse:
        """Return the response to a request that another host has forwarded."""
        headers = {**message.headers, ORGANISATION_HEADER: message.organisation or ""}
        request = http.Request(message.method, message.path, headers, message.body)
        try:
            response = await self.router.handle(request)
        except verdicts.RefusedError as error:
            response = http.build_problem(error.refusal)
        return messages.ForwardedResponse(
            response.status,
            response.content_type,
            dict(response.headers),
            response.body,
        )


def _build_owner_lost(
    request: http.Request, error: failures.CallError
) -> verdicts.RefusedError:
    detail = f"the host that owns the transaction did not answer: {error.code}"
    # An earlier commit may have reached the owner, so that NOT_RUN would be wrong.
    if request.path.endswith(_COMMIT):
        return verdicts.build_may_have_run(410, "transaction_lost", detail)
    if error.verdict is verdicts.Verdict.MAY_HAVE_RUN:
        return verdicts.build_may_have_run(410, "transaction_lost", detail)
    return verdicts.build_not_run(410, "transaction_lost", detail)
