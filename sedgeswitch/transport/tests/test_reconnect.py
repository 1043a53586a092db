"""Tests of how soon a path is used again after a cut, in virtual time."""

import unittest
from unittest import mock

import trio
import trio.testing

from sedgeswitch.transport import peer
from sedgeswitch.utils.tests import virtual_time

# What callers behind a cut are owed once the cut has healed.
CONNECTED_WITHIN_S = 0.9


class Path:
    """A network path whose opening packets are lost until it heals.

    A lost packet is repeated after 1 s and 3 s, as the kernel does.
    """

    def __init__(self, heals_s):
        self.heals_s = heals_s
        self.others = []

    async def open(self, _host, _port):
        started_s = trio.current_time()
        for sent_s in (0.0, 1.0, 3.0, 7.0):
            await trio.sleep_until(started_s + sent_s)
            if trio.current_time() >= self.heals_s:
                ours, other = trio.testing.memory_stream_pair()
                self.others.append(other)
                return ours
        raise OSError("unreachable")


class HealedPathTest(unittest.TestCase):
    def test_healed_path_is_used_before_lost_packets_are_repeated(self):
        async def body(heals_s):
            path = Path(heals_s)
            calling = peer.Peer(peer.Address("10.0.0.1", 1))
            with mock.patch.object(trio, "open_tcp_stream", path.open):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(calling.run)
                    with trio.fail_after(heals_s + CONNECTED_WITHIN_S):
                        await calling.wait_connected()
                    nursery.cancel_scope.cancel()

        for heals_s in (1.1, 2.3, 3.1, 3.9, 5.5, 5.9):
            with self.subTest(heals_s=heals_s):
                virtual_time.run(body, heals_s)


if __name__ == "__main__":
    unittest.main()
