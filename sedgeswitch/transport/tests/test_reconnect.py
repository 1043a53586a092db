"""Tests of how soon a path is used again after a cut, in virtual time."""

import unittest
from unittest import mock

import trio
import trio.testing

from sedgeswitch import verdicts
from sedgeswitch.transport import failures
from sedgeswitch.transport import peer
from sedgeswitch.utils.tests import virtual_time

# What callers behind a cut are owed once the cut has healed.
CONNECTED_WITHIN_S = 0.9
FAILURE = failures.CallError("none", "", verdicts.Verdict.NOT_RUN)


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


class SilentHost:
    """Takes connections and answers nothing."""

    def __init__(self):
        self.others = []

    async def open(self, _host, _port):
        ours, other = trio.testing.memory_stream_pair()
        self.others.append(other)
        return ours


class SilentConnectionTest(unittest.TestCase):
    """An open connection goes silent for good, without a reset; new ones work."""

    def test_silent_connection_is_replaced_soon(self):
        async def body():
            silent = SilentHost()

            async def give_up_early(calling):
                # As callers do that have a shorter time of their own.
                with trio.move_on_after(0.15):
                    await calling.call(failures.build_failure(FAILURE), 0.5)

            calling = peer.Peer(peer.Address("10.0.0.1", 1))
            with mock.patch.object(trio, "open_tcp_stream", silent.open):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(calling.run)
                    await calling.wait_connected()
                    started_s = trio.current_time()
                    while len(silent.others) < 2:
                        await give_up_early(calling)
                        await trio.sleep(0.05)
                    replaced_s = trio.current_time() - started_s
                    nursery.cancel_scope.cancel()
            self.assertLess(replaced_s, 2 * peer.SILENCE_LIMIT_S)

        virtual_time.run(body)

    def test_late_answer_by_design_is_no_silence(self):
        async def body():
            silent = SilentHost()
            calling = peer.Peer(peer.Address("10.0.0.1", 1))
            with mock.patch.object(trio, "open_tcp_stream", silent.open):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(calling.run)
                    await calling.wait_connected()
                    with self.assertRaises(failures.CallError):
                        await calling.call(
                            failures.build_failure(FAILURE),
                            3.0,
                            expects_prompt_reply=False,
                        )
                    self.assertTrue(calling.is_connected)
                    self.assertEqual(1, len(silent.others))
                    nursery.cancel_scope.cancel()

        virtual_time.run(body)


if __name__ == "__main__":
    unittest.main()
