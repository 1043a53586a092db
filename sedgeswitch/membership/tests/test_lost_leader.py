"""Tests of how an entry host uses a hint that names the leader.

After a change of leader many hosts connect to the new one at the same time. A host
that does not wait for its connection would turn to the other control hosts again.
"""

import unittest
import unittest.mock

import trio

from sedgeswitch import verdicts
from sedgeswitch.membership import heartbeat_client
from sedgeswitch.membership import messages
from sedgeswitch.transport import failures
from sedgeswitch.transport import leader_hints
from sedgeswitch.transport import peer
from sedgeswitch.utils.tests import virtual_time

FOLLOWER = peer.Address("10.0.0.1", 1)
LEADER = peer.Address("10.0.0.2", 1)
CONNECT_S = 0.05


class Follower:
    """A control host that does not lead and names the leader."""

    is_connected = True

    async def wait_connected(self):
        pass

    async def call(self, message, timeout_s, expects_prompt_reply=True):  # noqa: ARG002
        detail = leader_hints.encode_hint("c2", LEADER)
        verdict = verdicts.Verdict.NOT_RUN
        raise failures.CallError(leader_hints.NOT_LEADER, detail, verdict)

    async def run(self):
        await trio.sleep_forever()


class Leader:
    """The leading control host, whose connection takes `CONNECT_S` seconds."""

    def __init__(self, address):
        self.address = address
        self.is_connected = False

    async def run(self):
        await trio.sleep(CONNECT_S)
        self.is_connected = True
        await trio.sleep_forever()

    async def wait_connected(self):
        while not self.is_connected:
            await trio.sleep(0.001)

    async def call(self, message, timeout_s, expects_prompt_reply=True):  # noqa: ARG002
        if not self.is_connected:
            raise failures.CallError("unreachable", "", verdicts.Verdict.NOT_RUN)
        return "answer"


class NamedLeaderTest(unittest.TestCase):
    def test_call_after_hint_waits_for_connection(self):
        async def body():
            control = heartbeat_client.ControlPeers({"c1": FOLLOWER})
            control._peers = {"c1": Follower()}
            with unittest.mock.patch.object(peer, "Peer", Leader):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(control.run)
                    await trio.sleep(0)
                    with self.assertRaises(failures.CallError):
                        await control.call(messages.Heartbeat(), 1.0)
                    answer = await control.call(messages.Heartbeat(), 1.0)
                    self.assertEqual("answer", answer)
                    nursery.cancel_scope.cancel()

        virtual_time.run(body)


if __name__ == "__main__":
    unittest.main()
