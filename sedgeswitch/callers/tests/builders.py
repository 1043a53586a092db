"""HTTP requests, and an HTTP connection over a stream in memory."""

import contextlib
import re

import trio
import trio.testing

from sedgeswitch.callers import connection as connections
from sedgeswitch.callers import http
from sedgeswitch.utils.tests import virtual_time

LIMITS = connections.Limits(max_header_bytes=1000, max_body_bytes=1000)
GET = b"GET /echo HTTP/1.1\r\nHost: a\r\n\r\n"


async def echo(request):
    """Return the request's method, path and body size as text."""
    text = f"{request.method} {request.path} {len(request.body)}"
    return http.Response(200, text.encode(), "text/plain")


def build_post(body):
    return b"POST /p HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


async def check_deadlines(connection):
    """Check the deadline of a connection at intervals, as the server does."""
    while True:
        connection.check_deadline(trio.current_time())
        await trio.sleep(0.25)


async def serve(connection):
    """Run a connection until it closes."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(check_deadlines, connection)
        await connection.run()
        nursery.cancel_scope.cancel()


def exchange(*chunks, handler=echo, is_ending=True, is_draining=False):
    """Send chunks to a new connection and return all bytes that it answers."""

    async def run():
        server_stream, client_stream = trio.testing.memory_stream_pair()
        connection = connections.HttpConnection(
            server_stream, handler, LIMITS, lambda: is_draining
        )
        received = bytearray()

        async def collect():
            while data := await client_stream.receive_some(1000):
                received.extend(data)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, connection)
            nursery.start_soon(collect)
            # The connection may be closed already, as after HTTP/1.0.
            with contextlib.suppress(trio.BrokenResourceError):
                for chunk in chunks:
                    await client_stream.send_all(chunk)
                    await trio.sleep(0.1)
                if is_ending:
                    await client_stream.send_eof()
        return bytes(received)

    return virtual_time.run(run)


def get_statuses(data):
    """Return the status codes of responses in order."""
    return [int(code) for code in re.findall(rb"HTTP/1.1 (\d+) ", data)]
