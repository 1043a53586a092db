"""One HTTP/1.1 connection, with limits on sizes and times.

`httptools` parses the requests.
"""

import collections.abc
import contextlib
import math
import typing

import httptools
import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.callers import http
from sedgeswitch.transport import sockets

RECEIVE_BYTES = 8 * 1024
# Maximum time for which input is read and discarded after the last response, in
# seconds.
LINGER_S = 1.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Limits(typing.NamedTuple):
    """Limits of one connection.

    Attributes
    ----------
    max_header_bytes : int
        Maximum size of a request's URL and headers.
    max_body_bytes : int
        Maximum size of a request's body.
    request_timeout_s : float
        Maximum time from the first byte of a request to its last, in seconds.
    idle_timeout_s : float
        Maximum time between two requests, in seconds.
    send_timeout_s : float
        Maximum time for the peer to receive a response, in seconds.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 1024 * 1024
    request_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    send_timeout_s: float = 10.0


Handler = collections.abc.Callable[
    [http.Request], collections.abc.Awaitable[http.Response]
]


class _RequestBuilder:
    """Builds requests from the parser's callbacks."""

    __slots__ = (
        "_body",
        "_header_bytes",
        "_headers",
        "_limits",
        "_url",
        "awaits_continue",
        "finished",
        "is_started",
        "parser",
        "refusal",
    )

    def __init__(self, limits: Limits):
        self._limits = limits
        self.finished: list[tuple[http.Request, bool]] = []
        self.refusal: verdicts.RefusedError | None = None
        self.is_started = False
        self.parser = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self._url = b""
        self._headers: dict[str, str] = {}
        self._header_bytes = 0
        self._body = bytearray()
        self.awaits_continue = False

    def on_message_begin(self) -> None:
        self.is_started = True
        self._reset()

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_header(len(name) + len(value))
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        # RFC 9110: repeated headers form one list. Two Authorization headers
        # therefore give a value that is not a valid key.
        given = self._headers.get(key)
        self._headers[key] = text if given is None else f"{given}, {text}"

    def on_headers_complete(self) -> None:
        expected = self._headers.get("expect", "").lower()
        self.awaits_continue = expected == "100-continue"

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > self._limits.max_body_bytes:
            self.refusal = verdicts.build_not_run(
                413,
                "body_too_large",
                f"body: expected at most {self._limits.max_body_bytes} bytes",
            )
            return
        self._body += body

    def on_message_complete(self) -> None:
        self.is_started = False
        self.awaits_continue = False
        if self.refusal is not None:
            return
        url = httptools.parse_url(self._url)
        request = http.Request(
            self.parser.get_method().decode(),
            (url.path or b"/").decode("latin-1"),
            self._headers,
            bytes(self._body),
        )
        self.finished.append((request, self.parser.should_keep_alive()))

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._limits.max_header_bytes:
            self.refusal = verdicts.build_not_run(
                431,
                "headers_too_large",
                f"headers: expected at most {self._limits.max_header_bytes} bytes",
            )


_REQUEST_TIMEOUT = verdicts.Refusal(
    verdicts.Verdict.NOT_RUN,
    408,
    "request_timeout",
    "the request did not arrive in time",
)
_SHUTTING_DOWN = verdicts.Refusal(
    verdicts.Verdict.NOT_RUN, 503, "leaving", "this host is shutting down", 500
)


class HttpConnection:
    """Serves the requests of one connection in order.

    Parameters
    ----------
    stream : trio.abc.Stream
    handler : callable
        Takes a `Request`, returns a `Response` or raises
        `verdicts.RefusedError`.
    limits : Limits
    is_draining : callable
        Returns whether the connection is to be closed after its current request.
    """

    __slots__ = (
        "_builder",
        "_deadline_s",
        "_handler",
        "_is_answering",
        "_is_draining",
        "_is_timed_out",
        "_is_sending",
        "_limits",
        "_scope",
        "_stream",
    )

    def __init__(
        self,
        stream: trio.abc.Stream,
        handler: Handler,
        limits: Limits,
        is_draining: collections.abc.Callable[[], bool],
    ):
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._is_draining = is_draining
        self._builder = _RequestBuilder(limits)
        self._scope = trio.CancelScope()
        self._is_sending = False
        self._is_timed_out = False
        self._is_answering = False
        self._deadline_s = math.inf

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or handled."""
        is_waiting = self._builder.is_started or bool(self._builder.finished)
        return self._is_answering or is_waiting

    async def run(self) -> None:
        """Serve until the peer closes, exceeds a limit or the host drains."""
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async with self._stream:
                with self._scope:
                    while await self._serve_one():
                        pass
                if self._scope.cancel_called and not self._is_sending:
                    await self._refuse_unfinished()

    def stop(self) -> None:
        """Close the connection; call this only while no request is being handled."""
        self._scope.cancel()

    def check_deadline(self, now_s: float) -> None:
        """Close the connection if its current deadline has passed.

        Notes
        -----
        One task calls this for all connections, because a cancel scope for each wait
        costs more than parsing a request.
        """
        if now_s >= self._deadline_s:
            self._is_timed_out = True
            self._scope.cancel()

    async def _refuse_unfinished(self) -> None:
        """Refuse a request that was received, in part or in full, but not handled."""
        if data := sockets.receive_nonblocking(self._stream, RECEIVE_BYTES):
            self._parse(data)
        if not self._builder.is_started and not self._builder.finished:
            return
        refusal = _SHUTTING_DOWN
        if self._is_timed_out:
            refusal = _REQUEST_TIMEOUT
        response = http.encode_response(http.build_problem(refusal), is_closing=True)
        with trio.move_on_after(self._limits.send_timeout_s):
            await self._stream.send_all(response)
            await discard_input(self._stream)

    async def _serve_one(self) -> bool:
        try:
            is_open = await self._receive_request()
        except verdicts.RefusedError as error:
            self._is_answering = True
            await self._send(http.build_problem(error.refusal), is_closing=True)
            await discard_input(self._stream)
            return False
        if not is_open:
            return False
        request, is_kept_alive = self._builder.finished.pop(0)
        self._is_answering = True
        response = await self._answer(request)
        is_closing = not is_kept_alive or self._is_draining()
        await self._send(response, is_closing, has_body=request.method != "HEAD")
        self._is_answering = False
        return not is_closing

    async def _answer(self, request: http.Request) -> http.Response:
        try:
            return http.check_headers(await self._handler(request))
        except verdicts.RefusedError as error:
            return http.build_problem(error.refusal)
        except Exception:
            loguru.logger.exception("request handler failed")
            refusal = verdicts.Refusal(
                verdicts.Verdict.MAY_HAVE_RUN,
                500,
                "internal_error",
                "the request handler failed; see the logs of this host",
            )
            return http.build_problem(refusal)

    async def _send(
        self, response: http.Response, is_closing: bool, has_body: bool = True
    ) -> None:
        data = http.encode_response(response, is_closing, has_body)
        self._is_sending = True
        sent_bytes = sockets.send_nonblocking(self._stream, data)
        if sent_bytes < len(data):
            self._deadline_s = trio.current_time() + self._limits.send_timeout_s
            await self._stream.send_all(data[sent_bytes:])
        self._is_sending = False

    async def _receive_request(self) -> bool:
        """Wait until a complete request is received.

        Returns
        -------
        bool
            False if the peer closed its side, or the connection was stopped.

        Raises
        ------
        verdicts.RefusedError
            If the request is malformed or exceeds a limit.
        """
        builder = self._builder
        # Part of the next request may have arrived together with the previous one.
        is_request_started = builder.is_started
        if builder.finished:
            # Pipelined requests must not delay the tasks of other connections.
            await trio.lowlevel.checkpoint()
        else:
            self._set_deadline(is_request_started)
        while not builder.finished:
            if builder.refusal is not None:
                raise builder.refusal
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                return False
            self._parse(data)
            if builder.awaits_continue:
                await self._send_continue()
            if not is_request_started:
                is_request_started = True
                self._set_deadline(is_request_started)
        # No limit applies while the handler runs; it enforces the request's deadline.
        self._deadline_s = math.inf
        # If the scope was cancelled meanwhile, the handler would be interrupted at its
        # first wait, so it must not start.
        return not self._scope.cancel_called

    def _set_deadline(self, is_started: bool) -> None:
        limits = self._limits
        timeout_s = limits.request_timeout_s if is_started else limits.idle_timeout_s
        self._deadline_s = trio.current_time() + timeout_s

    async def _send_continue(self) -> None:
        """Send 100 Continue, unless the request is already refused."""
        if self._builder.refusal is None:
            self._builder.awaits_continue = False
            await self._stream.send_all(CONTINUE)

    def _parse(self, data: bytes) -> None:
        """Parse received data.

        A refusal is stored, so that earlier pipelined requests are answered first.
        """
        builder = self._builder
        try:
            builder.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Raised after the request that asks for the upgrade is complete.
            if builder.finished:
                builder.finished.pop()
            builder.refusal = builder.refusal or verdicts.build_not_run(
                400,
                "upgrade_refused",
                "upgrade: expected no request to switch protocols",
            )
        except httptools.HttpParserError as error:
            builder.refusal = builder.refusal or verdicts.build_not_run(
                400, "malformed_http", f"malformed HTTP/1.1: {error}"
            )


async def discard_input(stream: trio.abc.Stream) -> None:
    """Read and discard input for up to LINGER_S, so that the peer can read a refusal.

    Closing a TCP connection with unread data resets it, which can make the peer lose
    the response.
    """
    with trio.move_on_after(LINGER_S):
        if isinstance(stream, trio.abc.HalfCloseableStream):
            await stream.send_eof()
        while await stream.receive_some(RECEIVE_BYTES):
            pass
