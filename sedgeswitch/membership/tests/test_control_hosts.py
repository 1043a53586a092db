"""Tests of how entry hosts follow the control hosts as these are replaced."""

import unittest
import unittest.mock

import trio

from sedgeswitch import verdicts
from sedgeswitch.membership import control_hosts
from sedgeswitch.membership import heartbeat_client
from sedgeswitch.membership import messages
from sedgeswitch.transport import failures
from sedgeswitch.transport import peer
from sedgeswitch.utils.tests import virtual_time

ADDRESSES = {f"c{number}": peer.Address("10.0.0.1", number) for number in range(1, 8)}


def select(*host_ids):
    return {host_id: ADDRESSES[host_id] for host_id in host_ids}


class Fleet:
    """Control hosts of which one leads; the others answer nothing."""

    def __init__(self):
        self.leader = None
        self.peers = []

    def build_peer(self, address):
        self.peers.append(FakePeer(self, address))
        return self.peers[-1]


class FakePeer:
    is_connected = True

    def __init__(self, fleet, address):
        self.fleet = fleet
        self.address = address
        self.is_closed = False

    async def run(self):
        await trio.sleep_forever()

    async def wait_connected(self):
        pass

    def close(self):
        self.is_closed = True

    async def call(self, message, timeout_s, expects_prompt_reply=True):  # noqa: ARG002
        if self.fleet.leader != self.address:
            verdict = verdicts.Verdict.NOT_RUN
            raise failures.CallError("unreachable", str(self.address), verdict)
        return "answer"


class ReplacedControlHostsTest(unittest.TestCase):
    """Guards against an entry host that knows replaced control hosts only.

    It would get no lease until its settings change.
    """

    def run_with_peers(self, settings, scenario):
        fleet = Fleet()

        async def main():
            with unittest.mock.patch.object(peer, "Peer", fleet.build_peer):
                control = heartbeat_client.ControlPeers(settings)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(control.run)
                    await trio.sleep(0)
                    await scenario(fleet, control)
                    nursery.cancel_scope.cancel()

        virtual_time.run(main)

    async def _call_until_answered(self, control):
        for _ in range(10):
            try:
                return await control.call(messages.Heartbeat(), 1.0)
            except failures.CallError:
                await trio.sleep(0.05)
        return None

    def exchange(self, control, voters, version):
        entry = control_hosts.EntrySection(control.learn_addresses)
        leader = control_hosts.ControlSection(lambda: voters, lambda: version)
        body = leader.answer_report("e1", entry.build_report(0.0), 0.0)
        entry.receive_answer(body, 0.0)
        return leader.answer_report("e1", entry.build_report(0.0), 0.0)

    def test_voter_that_no_setting_names_is_found_after_loss_of_the_leader(self):
        async def scenario(fleet, control):
            fleet.leader = ADDRESSES["c1"]
            await self._call_until_answered(control)
            self.exchange(control, select("c1", "c4", "c5"), 7)
            fleet.leader = ADDRESSES["c5"]
            self.assertEqual("answer", await self._call_until_answered(control))

        self.run_with_peers(select("c1", "c2", "c3"), scenario)

    def test_addresses_are_sent_once_for_each_version(self):
        async def scenario(fleet, control):  # noqa: ARG001
            again = self.exchange(control, select("c1", "c4", "c5"), 7)
            self.assertLess(len(again), 16)

        self.run_with_peers(select("c1"), scenario)

    def test_replaced_hosts_are_dropped_but_for_those_in_the_settings(self):
        async def scenario(fleet, control):
            self.exchange(control, select("c4", "c5"), 7)
            self.exchange(control, select("c5", "c6"), 9)
            closed = [item.address for item in fleet.peers if item.is_closed]
            self.assertEqual([ADDRESSES["c4"]], closed)
            fleet.leader = ADDRESSES["c4"]
            self.assertIsNone(await self._call_until_answered(control))
            fleet.leader = ADDRESSES["c2"]
            self.assertEqual("answer", await self._call_until_answered(control))

        self.run_with_peers(select("c1", "c2"), scenario)


if __name__ == "__main__":
    unittest.main()
