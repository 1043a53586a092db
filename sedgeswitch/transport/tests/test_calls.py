"""Tests of calls over a loopback connection, and of decoding frames."""

import contextlib
import unittest
from unittest import mock

import hypothesis
import loguru
import trio
import trio.testing
from hypothesis import strategies

from sedgeswitch import verdicts
from sedgeswitch.membership import messages as membership_messages
from sedgeswitch.transport import catalog
from sedgeswitch.transport import failures
from sedgeswitch.transport import frames
from sedgeswitch.transport import peer
from sedgeswitch.transport import server
from sedgeswitch.transport.generated import ttypes


async def _echo_after_delay(request):
    await trio.sleep(float(request.detail))
    return ttypes.Failure(request.code, "answered", False)


async def _run_against(handler, body):
    async with trio.open_nursery() as nursery:
        serving = server.Server()
        serving.register_handler(ttypes.Failure, handler)
        listeners = await nursery.start(serving.serve, "127.0.0.1", 0)
        port = listeners[0].socket.getsockname()[1]
        client = peer.Peer(peer.Address("127.0.0.1", port))
        nursery.start_soon(client.run)
        while not client.is_connected:
            await trio.sleep(0.001)
        await body(client)
        nursery.cancel_scope.cancel()


class CallTest(unittest.TestCase):
    def test_answers_out_of_order_reach_their_own_callers(self):
        answers = {}

        async def call(client, name, delay_s):
            request = ttypes.Failure(name, str(delay_s), False)
            answers[name] = (await client.call(request, 5.0)).code

        async def body(client):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(call, client, "slow", 0.05)
                nursery.start_soon(call, client, "fast", 0.0)

        trio.run(_run_against, _echo_after_delay, body)
        self.assertEqual(answers, {"slow": "slow", "fast": "fast"})

    def test_late_answer_is_dropped_and_its_call_may_have_run(self):
        async def body(client):
            with self.assertRaises(failures.CallError) as caught:
                await client.call(ttypes.Failure("late", "0.05", False), 0.01)
            self.assertIs(caught.exception.verdict, verdicts.Verdict.MAY_HAVE_RUN)
            await trio.sleep(0.06)
            reply = await client.call(ttypes.Failure("next", "0", False), 5.0)
            self.assertEqual(reply.code, "next")

        trio.run(_run_against, _echo_after_delay, body)

    def test_connection_is_replaced_after_consecutive_timeouts(self):
        async def body(client):
            for _ in range(peer.RECONNECT_AFTER_TIMEOUTS):
                with self.assertRaises(failures.CallError):
                    await client.call(ttypes.Failure("lost", "60", False), 0.01)
            self.assertFalse(client.is_connected)
            await client.wait_connected()
            reply = await client.call(ttypes.Failure("next", "0", False), 5.0)
            self.assertEqual(reply.code, "next")

        trio.run(_run_against, _echo_after_delay, body)

    def test_reply_that_cannot_be_encoded_fails_only_its_own_call(self):
        async def answer(request):
            return ttypes.Failure("x", "0", False) if request.code == "good" else None

        async def body(client):
            with self.assertRaises(failures.CallError) as caught:
                await client.call(ttypes.Failure("bad", "0", False), 5.0)
            self.assertIs(caught.exception.verdict, verdicts.Verdict.MAY_HAVE_RUN)
            await client.call(ttypes.Failure("good", "0", False), 5.0)

        loguru.logger.disable("sedgeswitch.transport")
        self.addCleanup(loguru.logger.enable, "sedgeswitch.transport")
        trio.run(_run_against, answer, body)

    def test_failure_frame_with_a_wrong_message_fails_as_may_have_run(self):
        async def answer_with_wrong_message(stream):
            frame = await frames.FrameReader(stream).read()
            message = membership_messages.WatchAnswer(True)
            answer = frames.Frame(frames.KIND_FAILURE, frame.request_id, message)
            await stream.send_all(frames.encode_frame(answer))

        async def body():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    trio.serve_tcp, answer_with_wrong_message, 0
                )
                port = listeners[0].socket.getsockname()[1]
                client = peer.Peer(peer.Address("127.0.0.1", port))
                nursery.start_soon(client.run)
                await client.wait_connected()
                with self.assertRaises(failures.CallError) as caught:
                    await client.call(ttypes.Failure("x", "0", False), 5.0)
                self.assertIs(caught.exception.verdict, verdicts.Verdict.MAY_HAVE_RUN)
                nursery.cancel_scope.cancel()

        trio.run(body)

    def test_reconnects_to_a_peer_that_closes_each_connection_are_limited(self):
        opened = []

        async def open_closed_stream(host, port):  # noqa: ARG001
            ours, theirs = trio.testing.memory_stream_pair()
            opened.append(trio.current_time())
            await theirs.aclose()
            return ours

        async def body():
            with trio.move_on_after(1.0):
                await peer.Peer(peer.Address("127.0.0.1", 1)).run()

        with mock.patch.object(trio, "open_tcp_stream", open_closed_stream):
            trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertLessEqual(len(opened), 1.0 / peer.RECONNECT_MIN_S + 1)

    def test_unreachable_peer_fails_as_not_run(self):
        async def body():
            with self.assertRaises(failures.CallError) as caught:
                await peer.Peer(peer.Address("127.0.0.1", 1)).call(
                    ttypes.Failure("x", "0", False), 1.0
                )
            self.assertIs(caught.exception.verdict, verdicts.Verdict.NOT_RUN)

        trio.run(body)


class FrameTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_message_error(self, data):
        async def body():
            ours, theirs = trio.testing.memory_stream_pair()
            await theirs.send_all(data)
            await theirs.aclose()
            reader = frames.FrameReader(ours)
            try:
                while await reader.read():
                    pass
            except catalog.MessageError:
                pass

        trio.run(body)

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_struct_bytes_raise_only_message_error(self, data):
        with contextlib.suppress(catalog.MessageError):
            catalog.decode_struct(ttypes.Failure, data)


if __name__ == "__main__":
    unittest.main()
