"""HTTP/1.1 server and client over trio streams, parsed by httptools."""

import contextlib
import typing

import httptools
import trio

RECEIVE_BYTES = 65536
JSON_TYPE = "application/json"

_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found"}


class HttpError(Exception):
    """The peer sent an invalid or incomplete HTTP message."""


class Request(typing.NamedTuple):
    """A request; names of received headers are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Response(typing.NamedTuple):
    """A response; names of received headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


Handler = typing.Callable[[Request], typing.Awaitable[Response]]


def build_json_response(body: bytes, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status, {"content-type": JSON_TYPE}, body)


class _Collector:
    """Collects one message from the callbacks of an httptools parser."""

    def __init__(self):
        self.path = ""
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.is_complete = False

    def on_message_begin(self) -> None:
        if self.is_complete:
            raise HttpError("received another message after the complete one")

    def on_url(self, url: bytes) -> None:
        self.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.is_complete = True


async def _collect(
    stream: trio.abc.Stream, parser: typing.Any, collector: _Collector
) -> bool:
    """Read and parse one message.

    Returns
    -------
    bool
        False if the peer closed the connection before the first byte.
    """
    is_started = False
    while not collector.is_complete:
        data = await stream.receive_some(RECEIVE_BYTES)
        if not data:
            if is_started:
                raise HttpError("connection closed before the message was complete")
            return False
        is_started = True
        try:
            parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise HttpError(str(error)) from error
    return True


def _encode_message(first_line: str, headers: dict[str, str], body: bytes) -> bytes:
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines += [f"content-length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def serve_connection(stream: trio.abc.Stream, handler: Handler) -> None:
    """Answer the requests of one connection with `handler` until it is closed.

    A connection that breaks or sends invalid HTTP is closed without an answer.
    """
    with contextlib.suppress(HttpError, trio.BrokenResourceError):
        async with stream:
            while True:
                collector = _Collector()
                parser = httptools.HttpRequestParser(collector)
                if not await _collect(stream, parser, collector):
                    return
                request = Request(
                    parser.get_method().decode(),
                    collector.path,
                    collector.headers,
                    bytes(collector.body),
                )
                response = await handler(request)
                reason = _REASONS.get(response.status, "Status")
                first_line = f"HTTP/1.1 {response.status} {reason}"
                data = _encode_message(first_line, response.headers, response.body)
                await stream.send_all(data)


async def call(stream: trio.abc.Stream, host: str, request: Request) -> Response:
    """Send a request on an open connection and return the response.

    Raises
    ------
    HttpError
        If the response is invalid or incomplete.
    trio.BrokenResourceError
        If the connection breaks.
    """
    headers = {"host": host, "content-type": JSON_TYPE, **request.headers}
    first_line = f"{request.method} {request.path} HTTP/1.1"
    await stream.send_all(_encode_message(first_line, headers, request.body))
    collector = _Collector()
    parser = httptools.HttpResponseParser(collector)
    if not await _collect(stream, parser, collector):
        raise HttpError("connection closed before the response")
    return Response(parser.get_status_code(), collector.headers, bytes(collector.body))
