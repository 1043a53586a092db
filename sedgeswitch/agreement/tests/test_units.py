"""Unit tests of voter sets, state machines, settings, proposals and messages."""

import unittest

import loguru
import trio

from sedgeswitch.agreement import errors
from sedgeswitch.agreement import log
from sedgeswitch.agreement import messages
from sedgeswitch.agreement import settings
from sedgeswitch.agreement import state_machines
from sedgeswitch.agreement import storage
from sedgeswitch.agreement import voters
from sedgeswitch.agreement.tests import builders
from sedgeswitch.transport import frames
from sedgeswitch.utils import checks

MAX_HEARTBEAT_BYTES = 64


def build_member(node_id):
    return voters.Member(node_id, "127.0.0.1", 7000, "aa")


def build_keys(*node_ids):
    return {build_member(node_id).key for node_id in node_ids}


class _FailingMachine:
    def apply(self, _index, _body):
        raise ValueError("no such lot")


class VoterSetTest(unittest.TestCase):
    def test_joint_quorum_requires_both_majorities(self):
        before = tuple(build_member(name) for name in ("c1", "c2", "c3"))
        new_voters = tuple(build_member(name) for name in ("c1", "c2", "c4"))
        joint = voters.VoterSet(new_voters, old_voters=before)
        self.assertTrue(joint.has_quorum(build_keys("c1", "c2")))
        self.assertFalse(joint.has_quorum(build_keys("c1", "c4")))
        self.assertFalse(joint.has_quorum(build_keys("c1", "c3")))
        self.assertTrue(joint.has_quorum(build_keys("c1", "c3", "c4")))

    def test_voter_with_another_incarnation_does_not_count(self):
        voter_set = voters.VoterSet(tuple(build_member(f"c{n}") for n in (1, 2, 3)))
        self.assertFalse(voter_set.has_quorum({"c1/aa", "c2/bb"}))


class LogTest(unittest.TestCase):
    """Guards against wrong entries in place of those that are compacted away."""

    def setUp(self):
        voter_set = voters.VoterSet((build_member("c1"),))
        self.log = log.Log(storage.Snapshot(0, 0, voter_set, b""))
        self.log.append(
            [
                storage.Entry(index, 1, storage.EntryKind.COMMAND, b"%d" % index)
                for index in range(1, 7)
            ]
        )
        self.snapshot = storage.Snapshot(5, 1, voter_set, b"state")

    def test_start_of_the_log_is_known_until_the_first_entry_is_compacted(self):
        self.assertEqual(0, self.log.get_term(0))
        self.log.compact(self.snapshot, keep_from_index=4)
        self.assertIsNone(self.log.get_term(0))
        self.assertEqual([None, 1], [self.log.get_term(index) for index in (3, 4)])

    def test_compacted_entries_are_not_returned(self):
        self.log.compact(self.snapshot, keep_from_index=4)
        self.assertEqual(b"4", self.log.get_entry(4).body)
        for index in (0, 1, 3):
            with self.subTest(index=index):
                with self.assertRaises(LookupError):
                    self.log.get_entry(index)
                with self.assertRaises(LookupError):
                    self.log.get_entries(index, 1000)


class RegistryTest(unittest.TestCase):
    def test_unknown_state_machine_raises_its_own_error(self):
        command = state_machines.encode_command(state_machines.Command("unknown", b"x"))
        result = state_machines.Registry().apply(1, command)
        with self.assertRaises(errors.UnknownStateMachineError):
            state_machines.unwrap_result("unknown", result)

    def test_failed_state_machine_raises_its_own_error(self):
        registry = state_machines.Registry()
        registry.register_machine("lots", _FailingMachine())
        command = state_machines.encode_command(state_machines.Command("lots", b"x"))
        loguru.logger.disable("sedgeswitch.agreement")
        self.addCleanup(loguru.logger.enable, "sedgeswitch.agreement")
        result = registry.apply(1, command)
        with self.assertRaisesRegex(errors.StateMachineFailedError, "no such lot"):
            state_machines.unwrap_result("lots", result)

    def test_state_of_an_unregistered_state_machine_is_kept_in_snapshots(self):
        full, lacking = state_machines.Registry(), state_machines.Registry()
        state_machine = builders.RecordingStateMachine({})
        full.register_machine("lots", state_machine)
        state_machine.apply(1, b"lot 7")
        lacking.load_snapshot(full.save_snapshot())
        again = state_machines.Registry()
        restored = builders.RecordingStateMachine({})
        again.register_machine("lots", restored)
        again.load_snapshot(lacking.save_snapshot())
        self.assertEqual(restored.bodies, [b"lot 7"])


class SettingsTest(unittest.TestCase):
    def test_two_bootstrap_voters_are_rejected(self):
        pair = tuple(builders.build_voter(name) for name in ("c1", "c2"))
        with self.assertRaisesRegex(checks.CheckError, "bootstrap_voters"):
            settings.check_settings(settings.NodeSettings("c1", pair))


class ProposalTest(unittest.TestCase):
    def test_proposals_beyond_the_limit_are_rejected(self):
        async def body(cluster):
            leader = await cluster.bootstrap("c1", "c2", "c3")
            cluster.network.isolate(leader)
            async with trio.open_nursery() as nursery:
                for number in range(2):
                    nursery.start_soon(
                        self._propose_without_quorum, cluster, leader, number
                    )
                await trio.sleep(0.01)
                with self.assertRaises(errors.OverloadedError):
                    await cluster.propose(leader, b"third", 0.1)
            cluster.network.heal()
            await cluster.wait_until_caught_up(("c1", "c2", "c3"))
            cluster.check_outcomes(("c1", "c2", "c3"))

        builders.run_cluster(body, max_inflight_proposals=2)

    async def _propose_without_quorum(self, cluster, leader, number):
        with self.assertRaises(errors.OutcomeUnknownError):
            await cluster.propose(leader, b"%d" % number, 0.3)

    def test_read_barrier_waits_for_entries_committed_before(self):
        async def body(cluster):
            leader = await cluster.bootstrap("c1", "c2", "c3")
            await cluster.propose_many(3)
            host = cluster.hosts[leader]
            await host.node.read_barrier(1.0)
            self.assertEqual(len(host.state_machine.bodies), 3)

        builders.run_cluster(body)


class MessageTest(unittest.TestCase):
    def test_heartbeat_frame_is_below_64_bytes(self):
        request = messages.HeartbeatRequest(9, "control-1", "0123456789abcdef", 10**6)
        frame = frames.Frame(frames.KIND_REQUEST, 10**6, request)
        self.assertLess(len(frames.encode_frame(frame)), MAX_HEARTBEAT_BYTES)


if __name__ == "__main__":
    unittest.main()
