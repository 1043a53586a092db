"""Request routing, and the HTTP server that accepts connections."""

import collections.abc
import contextlib
import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.callers import connection as connections
from sedgeswitch.callers import http
from sedgeswitch.transport import sockets

Endpoint = collections.abc.Callable[
    [http.Request, tuple[str, ...]], collections.abc.Awaitable[http.Response]
]

DRAIN_POLL_S = 0.02
DEADLINE_POLL_S = 0.25


class _Route(typing.NamedTuple):
    method: str
    segments: tuple[str, ...]
    endpoint: Endpoint


class Router:
    """Dispatches requests to endpoints by method and path."""

    def __init__(self):
        self._endpoints_by_path: dict[str, dict[str, Endpoint]] = {}
        self._routes: list[_Route] = []
        self._fallback: connections.Handler | None = None

    def register_fallback(self, handler: connections.Handler) -> None:
        """Register the handler for paths that match no route."""
        self._fallback = handler

    def register_route(self, method: str, path: str, endpoint: Endpoint) -> None:
        """Register an endpoint.

        Parameters
        ----------
        method : str
        path : str
            Segments of the form ``{name}`` match any text, which is passed to the
            endpoint, in order.
        endpoint : callable
            ``await endpoint(request, values)`` returns the response.
        """
        if "{" not in path:
            self._endpoints_by_path.setdefault(path, {})[method] = endpoint
            return
        self._routes.append(_Route(method, tuple(path.split("/")), endpoint))

    async def handle(self, request: http.Request) -> http.Response:
        """Return the endpoint's response.

        Raises
        ------
        verdicts.RefusedError
            404 for an unknown path, 405 for a method that the path does not support.
        """
        methods = self._endpoints_by_path.get(request.path)
        if methods is not None:
            endpoint = methods.get(request.method)
            if endpoint is None:
                raise _build_wrong_method(request, methods)
            return await endpoint(request, ())
        return await self._handle_pattern(request)

    async def _handle_pattern(self, request: http.Request) -> http.Response:
        segments = tuple(request.path.split("/"))
        matching = [
            route for route in self._routes if _matches(route.segments, segments)
        ]
        for route in matching:
            if route.method == request.method:
                pairs = zip(route.segments, segments, strict=True)
                values = tuple(given for name, given in pairs if name.startswith("{"))
                return await route.endpoint(request, values)
        if matching:
            raise _build_wrong_method(request, [route.method for route in matching])
        if self._fallback is not None:
            return await self._fallback(request)
        raise verdicts.build_not_run(
            404,
            "unknown_route",
            f"path: expected the path of an endpoint, got {request.path!r}",
        )


def _build_wrong_method(
    request: http.Request, allowed: collections.abc.Iterable[str]
) -> verdicts.RefusedError:
    names = ", ".join(sorted(allowed))
    detail = f"method: expected one of {names}, got {request.method!r}"
    return verdicts.build_not_run(405, "wrong_method", detail)


def _matches(pattern: tuple[str, ...], segments: tuple[str, ...]) -> bool:
    if len(pattern) != len(segments):
        return False
    pairs = zip(pattern, segments, strict=True)
    return all(name.startswith("{") or name == part for name, part in pairs)


class HttpServer:
    """Accepts HTTP connections and serves each in its own task.

    Parameters
    ----------
    handler : callable
        Handles each request; see `connections.HttpConnection`.
    limits : connections.Limits
    max_connections : int
        Further connections receive a 503 response and are closed.
    """

    def __init__(
        self,
        handler: connections.Handler,
        limits: connections.Limits,
        max_connections: int,
    ):
        self._handler = handler
        self._limits = limits
        self._max_connections = max_connections
        self._connections: set[connections.HttpConnection] = set()
        self._is_draining = False
        self._accept_scope = trio.CancelScope()

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until the task is cancelled or `drain` stops it."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._check_deadlines)
            await sockets.accept_until(
                self._accept_scope, self._serve_connection, host, port, task_status
            )

    async def _check_deadlines(self) -> None:
        while not (self._accept_scope.cancel_called and not self._connections):
            now_s = trio.current_time()
            for connection in self._connections:
                connection.check_deadline(now_s)
            await trio.sleep(DEADLINE_POLL_S)

    async def drain(self, linger_s: float) -> None:
        """Let running requests finish, then close every connection.

        Parameters
        ----------
        linger_s : float
            Time during which requests are still accepted, in seconds. Each response
            closes its connection. This serves requests that callers sent before they
            could detect the shutdown.
        """
        self._is_draining = True
        await trio.sleep(linger_s)
        self._accept_scope.cancel()
        while self._connections:
            for connection in self._connections:
                if not connection.is_busy:
                    connection.stop()
            await trio.sleep(DRAIN_POLL_S)

    async def _serve_connection(self, stream: trio.abc.Stream) -> None:
        connection = connections.HttpConnection(
            stream, self._handler, self._limits, self._get_is_draining
        )
        if len(self._connections) >= self._max_connections:
            await _refuse_connection(stream, self._max_connections)
            return
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    def _get_is_draining(self) -> bool:
        return self._is_draining


async def _refuse_connection(stream: trio.abc.Stream, max_connections: int) -> None:
    detail = f"this host serves at most {max_connections} connections"
    refusal = verdicts.Refusal(
        verdicts.Verdict.NOT_RUN, 503, "too_many_connections", detail, 1000
    )
    response = http.encode_response(http.build_problem(refusal), is_closing=True)
    with (
        trio.move_on_after(2 * connections.LINGER_S),
        contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError),
    ):
        async with stream:
            await stream.send_all(response)
            await connections.discard_input(stream)
