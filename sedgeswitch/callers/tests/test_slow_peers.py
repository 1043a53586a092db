"""Tests of one HTTP connection with slow peers."""

import socket
import unittest

import trio
import trio.testing

from sedgeswitch.callers import connection as connections
from sedgeswitch.callers import http
from sedgeswitch.callers.tests import builders

REQUEST = b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"
LIMITS = connections.Limits(request_timeout_s=5.0, idle_timeout_s=60.0)


def _run(body, handler_s=0.0):
    """Run `body` with the client's stream; return the bodies that were handled."""
    handled = []

    async def handle(request):
        await trio.sleep(handler_s)
        handled.append(request.body)
        return http.Response(200, b"done")

    async def run():
        server_stream, client_stream = trio.testing.memory_stream_pair()
        connection = connections.HttpConnection(
            server_stream, handle, LIMITS, lambda: False
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(builders.serve, connection)
            await body(client_stream)
            nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(run, clock=clock)
    return handled


class HttpConnectionTest(unittest.TestCase):
    def test_incomplete_request_gets_408_and_is_not_run(self):
        async def body(client_stream):
            await client_stream.send_all(REQUEST[:-1])
            received = await client_stream.receive_some(4096)
            self.assertIn(b"408", received[:20])
            self.assertIn(b"not_run", received)
            self.assertEqual(await client_stream.receive_some(4096), b"")

        self.assertEqual(_run(body), [])

    def test_handler_slower_than_all_timeouts_gets_200(self):
        async def body(client_stream):
            await client_stream.send_all(REQUEST)
            self.assertIn(b"200", (await client_stream.receive_some(4096))[:20])

        self.assertEqual(_run(body, handler_s=100.0), [b"ab"])

    def test_request_received_during_shutdown_gets_503_not_run(self):
        async def run():
            server_stream, client_stream = trio.testing.memory_stream_pair()
            connection = connections.HttpConnection(
                server_stream, None, LIMITS, lambda: True
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.run)
                await trio.testing.wait_all_tasks_blocked()
                server_stream.receive_stream.put_data(REQUEST)
                connection.stop()
                received = await client_stream.receive_some(4096)
            self.assertIn(b"503", received[:20])
            self.assertIn(b"not_run", received)

        trio.run(run)

    def test_request_that_arrives_just_before_shutdown_gets_503_not_run(self):
        # Guards against a reset in place of an answer.
        async def run():
            near, far = socket.socketpair()
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(far))
            connection = connections.HttpConnection(stream, None, LIMITS, lambda: True)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.run)
                await trio.testing.wait_all_tasks_blocked()
                near.sendall(REQUEST)
                connection.stop()
                with trio.fail_after(5.0):
                    received = await trio.to_thread.run_sync(near.recv, 4096)
                near.close()
            self.assertIn(b"503", received[:20])
            self.assertIn(b"not_run", received)

        trio.run(run)

    def test_idle_connection_is_closed_without_response(self):
        async def body(client_stream):
            await client_stream.send_all(REQUEST)
            self.assertIn(b"200", (await client_stream.receive_some(4096))[:20])
            self.assertEqual(await client_stream.receive_some(4096), b"")
            self.assertGreaterEqual(trio.current_time(), 60.0)

        self.assertEqual(_run(body), [b"ab"])


if __name__ == "__main__":
    unittest.main()
