"""Tests of fencing replicas and of acknowledged positions, without a network."""

import random
import unittest

import trio

from sedgeswitch.groups import acknowledged_positions
from sedgeswitch.groups import control_section
from sedgeswitch.groups import failover
from sedgeswitch.groups import instances
from sedgeswitch.groups import leader_context
from sedgeswitch.groups import machine
from sedgeswitch.groups import positions
from sedgeswitch.groups import primary_selection
from sedgeswitch.groups import settings
from sedgeswitch.groups import table
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.groups.tests import builders
from sedgeswitch.transport import catalog
from sedgeswitch.utils.tests import virtual_time

NAMES = ["a", "b", "c"]
FLOOR = positions.Position(1, 50)


def build_group(phase=ttypes.GroupPhase.FENCED):
    return ttypes.Group("g", 1, 1, "a", phase, 2, NAMES, "", [], [])


def build_state(lsn, in_recovery=True):
    return instances.InstanceState(in_recovery, positions.Position(1, lsn))


class FakeInstanceControl:
    """Fake instances that can be fenced; records each call."""

    def __init__(self, states, next_timeline=2):
        self.states = states
        self.next_timeline = next_timeline
        self.fenced = set()
        self.calls = []

    async def read_state(self, target, timeout_s):
        await trio.sleep(0.01)
        return self.states.get(target)

    async def fence(self, target, timeline, timeout_s):
        self.fenced.add(target)
        self.calls.append(("fence", target, timeline))
        return await self.read_state(target, timeout_s)

    async def unfence(self, target, timeout_s):
        await trio.sleep(0.01)
        self.fenced.discard(target)
        self.calls.append(("unfence", target))

    async def follow(self, target, timeline, timeout_s):
        await trio.sleep(0.01)
        self.fenced.discard(target)
        self.calls.append(("follow", target, timeline))

    async def promote(self, order, timeout_s):
        await trio.sleep(0.01)
        self.calls.append(("promote", order.instance, order.leadership_term))
        lsn = self.states[order.target].position.lsn
        promoted = positions.Position(self.next_timeline, lsn)
        self.states[order.target] = instances.InstanceState(False, promoted)


class World:
    """One group of fake instances and the leader that fails it over."""

    def __init__(self, states, floor, waits_for_acknowledgement=False):
        self.waits_for_acknowledgement = waits_for_acknowledgement
        self.instance_control = FakeInstanceControl(states)
        self.machine = machine.GroupsMachine()
        register = ttypes.RegisterGroup("g", "a", 1, NAMES)
        self.machine.apply(1, machine.encode_command(register))
        self.floor = floor

    def get_instances(self, group):
        return [instances.Instance(name, name, "z") for name in NAMES]

    def get_holders(self, now_s):
        return {}

    async def propose(self, machine_name, body, timeout_s):
        await trio.sleep(0.01)
        return self.machine.apply(2, body)

    async def run_failover(self):
        context = leader_context.LeaderContext(
            self.machine, self.propose, lambda now_s: builders.Leadership(7, 0.0),
            self, self, None, settings.GroupSettings(catch_up_s=0.3),
            lambda group, name: (name,), lambda report: None, self.instance_control,
            lambda group, version: self.floor,
        )  # fmt: skip
        task = failover.Failover(context, 7, "g", "test", 0.0)
        report = await task.run()
        return (
            await task.wait_until_acknowledged(report)
            if self.waits_for_acknowledgement
            else report
        )


class FailoverTest(unittest.TestCase):
    def test_promotion_fences_replicas_first(self):
        world = World({"b": build_state(60), "c": build_state(55)}, FLOOR)
        report = virtual_time.run(world.run_failover)
        kinds = [call[0] for call in world.instance_control.calls]
        self.assertEqual("b", report.new_primary)
        self.assertEqual({"b", "c"}, world.instance_control.fenced)
        self.assertLess(kinds.index("fence"), kinds.index("promote"))
        self.assertIn(("promote", "b", 7), world.instance_control.calls)

    def test_other_instances_are_requested_to_follow_new_primary(self):
        states = {"b": build_state(60), "c": build_state(55)}
        world = World(states, FLOOR, waits_for_acknowledgement=True)
        virtual_time.run(world.run_failover)
        requests = [
            call[1:] for call in world.instance_control.calls if call[0] == "follow"
        ]
        self.assertEqual([("a", 2), ("c", 2)], sorted(requests))

    def test_single_replica_with_all_acknowledged_writes_is_promoted(self):
        world = World({"c": build_state(50)}, FLOOR)
        self.assertEqual("c", virtual_time.run(world.run_failover).new_primary)

    def test_reinstated_primary_unfences_replicas(self):
        states = {"a": build_state(80, False), "b": build_state(40)}
        world = World(states, FLOOR)
        report = virtual_time.run(world.run_failover)
        self.assertEqual("a", report.new_primary)
        self.assertEqual(set(), world.instance_control.fenced)


class PrimarySelectionTest(unittest.TestCase):
    def decide_next_step(self, states, floor):
        return primary_selection.decide_next_step(
            build_group(), states, 2, lambda n: (False, False, n), None, floor
        )

    def test_single_replica_below_the_floor_is_not_promoted(self):
        decision = self.decide_next_step({"b": build_state(49)}, FLOOR)
        self.assertIs(primary_selection.FailoverStep.WAIT, decision.step)

    def test_single_replica_without_a_floor_is_not_promoted(self):
        decision = self.decide_next_step({"b": build_state(90)}, None)
        self.assertIs(primary_selection.FailoverStep.WAIT, decision.step)

    def test_two_replicas_below_the_floor_are_sufficient(self):
        # The floor may be the end of the primary's log, which may include writes
        # that no replica has and that were never acknowledged.
        states = {"b": build_state(45), "c": build_state(48)}
        decision = self.decide_next_step(states, FLOOR)
        self.assertIs(primary_selection.FailoverStep.PROMOTE, decision.step)
        self.assertEqual("c", decision.instance)

    def test_most_advanced_replica_is_preferred(self):
        states = {"b": build_state(50), "c": build_state(70)}
        self.assertEqual("c", self.decide_next_step(states, FLOOR).instance)


class AcknowledgedTest(unittest.TestCase):
    def setUp(self):
        self.machine = machine.GroupsMachine()
        register = ttypes.RegisterGroup("g", "a", 1, NAMES)
        self.register = machine.encode_command(register)
        self.section = control_section.ControlSection(
            self.machine, lambda now_s: [], settings.GroupSettings()
        )
        self.rng = random.Random(0)

    def build_host(self):
        groups = table.GroupTable()
        return groups, acknowledged_positions.AcknowledgedTracker(groups)

    def report(self, host_id, groups, tracker):
        report = ttypes.Report(groups.get_version(), 0, 1, [])
        report.acknowledged = tracker.build_report()
        body = catalog.encode_struct(report)
        self.section.answer_report(host_id, body, 0.0)
        groups.apply_changes(self.machine.get_version(), self.machine.get_groups())
        tracker.record_leader_answer()

    def test_floor_requires_reports_of_all_hosts_at_the_version(self):
        first, second = self.build_host(), self.build_host()
        for host_id, host in (("e1", first), ("e2", second)):
            self.report(host_id, *host)
        self.machine.apply(1, self.register)
        for host_id, host in (("e1", first), ("e2", second)):
            self.report(host_id, *host)
        first[1].record_commit("g", 1, positions.Position(1, 30))
        second[1].record_commit("g", 1, positions.Position(1, 40))
        version = self.machine.get_version()
        self.report("e1", *first)
        get_position = self.section.get_acknowledged_position
        self.assertIsNone(get_position("g", version, ["e1", "e2"]))
        self.report("e2", *second)
        self.assertEqual(
            positions.Position(1, 40), get_position("g", version, ["e1", "e2"])
        )

    # Guards against a floor below the commits of a host that was removed since.
    def test_floor_is_unknown_until_the_next_timeline_after_a_removal(self):
        host = self.build_host()
        self.report("e1", *host)
        self.machine.apply(1, self.register)
        for _ in range(2):
            self.report("e1", *host)
        host[1].record_commit("g", 1, positions.Position(1, 30))
        self.report("e1", *host)
        version = self.machine.get_version()
        get_position = self.section.get_acknowledged_position
        self.assertIsNotNone(get_position("g", version, ["e1"]))
        self.assertIsNone(get_position("g", version, ["e1"], removal_index=2))
        self.promote("b")
        for _ in range(2):
            self.report("e1", *host)
        version = self.machine.get_version()
        self.assertEqual(
            positions.Position(1, 30),
            get_position("g", version, ["e1"], removal_index=2),
        )

    # Guards against a floor below a commit whose answer had no usable position.
    def test_no_position_is_reported_after_a_commit_of_unknown_position(self):
        for position in (None, positions.Position(2, 9)):
            with self.subTest(position=position):
                self.setUp()
                host = self.build_host()
                self.report("e1", *host)
                self.machine.apply(1, self.register)
                self.report("e1", *host)
                host[1].record_commit("g", 1, positions.Position(1, 30))
                host[1].record_commit("g", 1, position)
                self.report("e1", *host)
                version = self.machine.get_version()
                self.assertIsNone(
                    self.section.get_acknowledged_position("g", version, ["e1"])
                )

    # Guards against the promotion of a replica that lacks a commit of a host whose
    # report of an upper bound is missing.
    def test_restarted_host_reports_that_a_commit_is_after_a_position(self):
        self.machine.apply(1, self.register)
        host = self.build_host()
        self.report("e1", *host)
        self.assertIsNone(self.section.get_acknowledged_after("g"))
        for before_lsn in (28, 27):
            host[1].record_commit("g", 1, positions.Position(1, 30), before_lsn)
        self.report("e1", *host)
        version = self.machine.get_version()
        self.assertIsNone(self.section.get_acknowledged_position("g", version, ["e1"]))
        after = positions.Position(1, 28)
        self.assertEqual(after, self.section.get_acknowledged_after("g"))
        self.report("e1", *self.build_host())
        self.assertEqual(after, self.section.get_acknowledged_after("g"))

    def test_position_before_a_commit_is_forgotten_with_its_timeline(self):
        host = self.build_host()
        self.report("e1", *host)
        self.machine.apply(1, self.register)
        self.report("e1", *host)
        host[1].record_commit("g", 1, positions.Position(1, 30), 28)
        self.report("e1", *host)
        self.promote("b")
        self.report("e1", *host)
        self.report("e1", *host)
        self.assertIsNone(self.section.get_acknowledged_after("g"))
        version = self.machine.get_version()
        self.assertEqual(
            positions.Position(1, 30),
            self.section.get_acknowledged_position("g", version, ["e1"]),
        )

    def test_leader_of_an_earlier_release_takes_no_floor_from_an_unknown_bound(self):
        self.machine.apply(1, self.register)
        host = self.build_host()
        self.report("e1", *host)
        host[1].record_commit("g", 1, None, 28)
        (reported,) = host[1].build_report()
        self.assertEqual(acknowledged_positions.UNKNOWN_LSN, reported.lsn)

    def promote(self, name):
        commands = (
            ttypes.Fence("g", 1, "test"),
            ttypes.Choose("g", 1, name),
            ttypes.Promoted("g", 2, name, 2, 30, 1),
        )
        for index, command in enumerate(commands, start=3):
            self.machine.apply(index, machine.encode_command(command))

    def reinstate_primary(self):
        commands = (
            ttypes.Fence("g", 1, "test"),
            ttypes.Promoted("g", 2, "a", 1, 0),
        )
        for index, command in enumerate(commands, start=2):
            self.machine.apply(index, machine.encode_command(command))

    # Guards against a floor below the commits that the host's earlier process had
    # acknowledged, after its primary was reinstated: writes were lost.
    def test_process_started_before_a_reinstatement_reports_no_position(self):
        self.machine.apply(1, self.register)
        host = self.build_host()
        self.report("e1", *host)
        self.reinstate_primary()
        self.report("e1", *host)
        self.report("e1", *host)
        version = self.machine.get_version()
        self.assertIsNone(self.section.get_acknowledged_position("g", version, ["e1"]))

    def test_process_started_during_the_term_reports_no_position(self):
        self.machine.apply(1, self.register)
        host = self.build_host()
        self.report("e1", *host)
        self.report("e1", *host)
        version = self.machine.get_version()
        self.assertIsNone(self.section.get_acknowledged_position("g", version, ["e1"]))
