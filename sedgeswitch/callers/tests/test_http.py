"""Tests of the HTTP server with malformed requests, limits and draining."""

import random
import unittest

import hypothesis
import loguru
import trio
import trio.testing
from hypothesis import strategies

from sedgeswitch import verdicts
from sedgeswitch.callers import connection as connections
from sedgeswitch.callers import http
from sedgeswitch.callers import routes
from sedgeswitch.callers.tests import builders
from sedgeswitch.keys import key_format
from sedgeswitch.keys import lookup
from sedgeswitch.utils.tests import virtual_time

FRAGMENTS = [
    builders.GET,
    builders.GET[:-2],
    builders.build_post(b"x" * 20),
    b"POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    b"HEAD / HTTP/1.1\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\n\r\n",
    b"Upgrade: websocket\r\nConnection: upgrade\r\n\r\n",
    b"Expect: 100-continue\r\n",
    b"GET http://[::1 HTTP/1.1\r\n\r\n",
    b"\r\n",
    b"\x00\xff",
]


class MalformedTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.sampled_from(FRAGMENTS), strategies.binary(max_size=60)
            ),
            max_size=6,
        )
    )
    def test_arbitrary_bytes_never_raise(self, chunks):
        builders.exchange(*chunks)

    def test_malformed_request_gets_400_after_earlier_responses(self):
        data = builders.exchange(builders.GET * 2 + b"\x00\x00\r\n\r\n")
        self.assertEqual(builders.get_statuses(data), [200, 200, 400])

    def test_upgrade_gets_one_refusal(self):
        upgrade = builders.GET[:-2] + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n"
        self.assertEqual(builders.get_statuses(builders.exchange(upgrade)), [400])

    def test_too_long_headers_get_431(self):
        data = builders.exchange(builders.GET[:-2] + b"A: %s\r\n\r\n" % (b"x" * 1000))
        self.assertEqual(builders.get_statuses(data), [431])

    def test_too_long_body_gets_413(self):
        data = builders.exchange(builders.build_post(b"x" * 1001))
        self.assertEqual(builders.get_statuses(data), [413])

    def test_request_truncated_by_close_gets_no_response(self):
        self.assertEqual(builders.exchange(builders.GET[:-2]), b"")

    def test_stalled_request_gets_408(self):
        data = builders.exchange(builders.GET[:-2], is_ending=False)
        self.assertEqual(builders.get_statuses(data), [408])

    def test_stalled_pipelined_request_ends_within_request_timeout(self):
        async def run():
            server_stream, client_stream = trio.testing.memory_stream_pair()
            connection = connections.HttpConnection(
                server_stream, builders.echo, builders.LIMITS, lambda: False
            )
            await client_stream.send_all(builders.GET + builders.GET[:-2])
            await builders.serve(connection)
            return trio.current_time()

        passed_s = virtual_time.run(run)
        limits = builders.LIMITS
        self.assertLess(passed_s, limits.request_timeout_s + 2 * connections.LINGER_S)


class ProtocolTest(unittest.TestCase):
    def setUp(self):
        loguru.logger.disable("sedgeswitch.callers")
        self.addCleanup(loguru.logger.enable, "sedgeswitch.callers")

    def test_pipelined_requests_are_answered_in_order(self):
        data = builders.exchange(builders.build_post(b"1") + builders.build_post(b"22"))
        self.assertLess(data.index(b"POST /p 1"), data.index(b"POST /p 2"))

    def test_chunked_body_is_joined(self):
        data = builders.exchange(FRAGMENTS[3])
        self.assertTrue(data.endswith(b"POST /p 5"))

    def test_repeated_authorization_header_is_malformed(self):
        rng = random.Random(0)
        keys = [key_format.generate_key(rng.randbytes).plain for _ in range(2)]
        headers = "".join(f"Authorization: Bearer {key}\r\n" for key in keys)
        seen = []

        async def record_key(request):
            presented = lookup.get_bearer(request.headers["authorization"])
            seen.append(lookup.check_key({}, presented))
            return http.Response(200, b"")

        request = builders.GET[:-2] + headers.encode() + b"\r\n"
        builders.exchange(request, handler=record_key)
        self.assertEqual(seen, [lookup.KeyProblem.MALFORMED])

    def test_head_gets_no_body(self):
        data = builders.exchange(b"HEAD / HTTP/1.1\r\n\r\n" + builders.GET)
        self.assertTrue(data.split(b"\r\n\r\n")[1].startswith(b"HTTP/1.1 200"))

    def test_expect_continue_gets_100_before_the_body(self):
        head = b"POST /p HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
        self.assertEqual(builders.get_statuses(builders.exchange(head)), [100])
        data = builders.exchange(head, b"ab")
        self.assertEqual(builders.get_statuses(data), [100, 200])

    def test_unknown_path_gets_404_and_unsupported_method_405(self):
        router = routes.Router()
        router.register_route("POST", "/known", None)
        router.register_route("POST", "/known/{name}", None)
        for path, status in ((b"/other", 404), (b"/known", 405), (b"/known/a", 405)):
            request = b"GET %s HTTP/1.1\r\n\r\n" % path
            data = builders.exchange(request, handler=router.handle)
            self.assertEqual(builders.get_statuses(data), [status])

    def test_header_with_line_break_is_not_sent(self):
        async def inject(request):  # noqa: ARG001
            return http.Response(200, b"", headers=(("A", "b\r\nSet-Cookie: c"),))

        data = builders.exchange(builders.GET, handler=inject)
        self.assertEqual(builders.get_statuses(data), [500])
        self.assertNotIn(b"Set-Cookie", data)

    def test_unhandled_exception_may_have_run_and_hides_its_text(self):
        async def fail(request):
            raise RuntimeError(request.headers["authorization"])

        request = builders.GET[:-2] + b"Authorization: Bearer secret\r\n\r\n"
        data = builders.exchange(request, handler=fail)
        self.assertEqual(builders.get_statuses(data), [500])
        self.assertIn(verdicts.Verdict.MAY_HAVE_RUN.value.encode(), data)
        self.assertNotIn(b"secret", data)

    def test_draining_connection_answers_and_closes(self):
        data = builders.exchange(builders.GET, is_ending=False, is_draining=True)
        self.assertIn(b"Connection: close", data)


class ServerTest(unittest.TestCase):
    def _run(self, body, handler=builders.echo, max_connections=2):
        async def run():
            server = routes.HttpServer(handler, builders.LIMITS, max_connections)
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(server.serve, "127.0.0.1", 0)
                address = listeners[0].socket.getsockname()
                await body(server, address)
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_connection_beyond_the_limit_gets_503(self):
        async def body(server, address):
            streams = [await trio.open_tcp_stream(*address) for _ in range(2)]
            while server.open_connections < 2:
                await trio.sleep(0.001)
            extra = await trio.open_tcp_stream(*address)
            await extra.send_all(builders.GET)
            answer = await extra.receive_some()
            self.assertEqual(builders.get_statuses(answer), [503])
            await extra.aclose()
            for stream in streams:
                await stream.send_all(builders.GET)
                answer = await stream.receive_some()
                self.assertEqual(builders.get_statuses(answer), [200])

        self._run(body)

    def test_refusal_to_closed_peer_does_not_raise(self):
        async def body():
            server_stream, client_stream = trio.testing.memory_stream_pair()
            await client_stream.aclose()
            server = routes.HttpServer(builders.echo, builders.LIMITS, 0)
            await server._serve_connection(server_stream)

        trio.run(body)

    def test_draining_answers_running_and_arriving_requests(self):
        async def slow(request):
            await trio.sleep(0.2)
            return await builders.echo(request)

        async def body(server, address):
            idle, running, arriving = [
                await trio.open_tcp_stream(*address) for _ in range(3)
            ]
            while server.open_connections < 3:
                await trio.sleep(0.001)
            await running.send_all(builders.GET)
            await arriving.send_all(builders.GET[:-2])
            await trio.sleep(0.05)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.drain, 0.01)
                self.assertEqual(await idle.receive_some(), b"")
                await arriving.send_all(b"\r\n")
                for stream in (running, arriving):
                    answer = await stream.receive_some()
                    self.assertIn(b"Connection: close", answer)
            self.assertEqual(server.open_connections, 0)

        self._run(body, slow, max_connections=5)


if __name__ == "__main__":
    unittest.main()
