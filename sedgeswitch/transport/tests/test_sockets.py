"""Tests of frames that do not fit into the socket's buffer."""

import unittest

import trio

from sedgeswitch.transport import peer
from sedgeswitch.transport import server
from sedgeswitch.transport.generated import ttypes

LARGE = "x" * 500_000


async def _echo(request):
    return ttypes.Failure(request.code, request.detail, False)


class SocketsTest(unittest.TestCase):
    def test_frames_larger_than_the_socket_buffer_arrive_complete(self):
        answers = {}

        async def call(client, number):
            request = ttypes.Failure(str(number), f"{number}{LARGE}", False)
            answers[number] = (await client.call(request, 30.0)).detail

        async def run():
            serving = server.Server()
            serving.register_handler(ttypes.Failure, _echo)
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(serving.serve, "127.0.0.1", 0)
                port = listeners[0].socket.getsockname()[1]
                client = peer.Peer(peer.Address("127.0.0.1", port))
                nursery.start_soon(client.run)
                await client.wait_connected()
                async with trio.open_nursery() as calls:
                    for number in range(4):
                        calls.start_soon(call, client, number)
                nursery.cancel_scope.cancel()

        trio.run(run)
        self.assertEqual(answers, {number: f"{number}{LARGE}" for number in range(4)})


if __name__ == "__main__":
    unittest.main()
