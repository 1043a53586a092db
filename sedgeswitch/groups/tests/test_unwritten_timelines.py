"""Tests of groups whose primary has not committed a write since its promotion.

Its log ends in an earlier timeline, as those of its replicas do. Guards against
replicas that count as behind for as long as callers only read: the primary could be
neither moved nor replaced, and instances neither added nor removed.
"""

import unittest

import loguru
import trio

from sedgeswitch.groups import control_section
from sedgeswitch.groups import failover
from sedgeswitch.groups import instance_removal
from sedgeswitch.groups import instances
from sedgeswitch.groups import leader_context
from sedgeswitch.groups import machine
from sedgeswitch.groups import positions
from sedgeswitch.groups import settings
from sedgeswitch.groups import supervisor
from sedgeswitch.groups import timelines
from sedgeswitch.groups import watcher
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.groups.tests import builders
from sedgeswitch.groups.tests import test_fencing
from sedgeswitch.transport import catalog
from sedgeswitch.utils.tests import virtual_time

# End of the log of every instance: that of the first timeline.
END = positions.Position(1, 60)
REPLICA = instances.InstanceState(True, END)
PRIMARY = instances.InstanceState(False, positions.Position(2, 60), log_timeline=1)
LEADERSHIP_TERM = 7


class World:
    """A group on its second timeline, of which the primary is ``b``."""

    def __init__(self, **states):
        self.control = test_fencing.FakeInstanceControl(states, 3)
        self.machine = machine.GroupsMachine()
        self.apply(
            ttypes.RegisterGroup("g", "a", 1, ["a", "b", "c"], 20, 1),
            ttypes.Fence("g", 1, "test"),
            ttypes.Choose("g", 1, "b"),
            ttypes.Promoted("g", 2, "b", 2, 60, 1),
        )
        self.section = control_section.ControlSection(
            self.machine, lambda now_s: [], settings.GroupSettings()
        )
        self.context = leader_context.LeaderContext(
            self.machine,
            self.propose,
            lambda now_s: builders.Leadership(LEADERSHIP_TERM, 0.0),
            self,
            self,
            None,
            settings.GroupSettings(catch_up_s=0.3),
            lambda group, name: (name,),
            lambda report: None,
            self.control,
            lambda group, version: self.get_acknowledged_position(),
        )

    def apply(self, *commands):
        for index, command in enumerate(commands, start=1):
            body = self.machine.apply(index, machine.encode_command(command))
        return body

    async def propose(self, machine_name, body, timeout_s):
        await trio.lowlevel.checkpoint()
        return self.machine.apply(9, body)

    def get_instances(self, group):
        return [instances.Instance(name, name, "z") for name in "abcd"]

    def get_holders(self, now_s):
        return {}

    def get_acknowledged_position(self):
        """Return the leader's floor if the only entry host acknowledged nothing."""
        version = self.machine.get_version()
        report = ttypes.Report(version, 0, 1, [])
        report.acknowledged = [ttypes.Acknowledged("g", 2, 0)]
        self.section.answer_report("e1", catalog.encode_struct(report), 0.0)
        return self.section.get_acknowledged_position("g", version, ["e1"])

    def run_failover(self, target=None):
        """Return the primary after a failover, or after a time without an end."""
        task = failover.Failover(
            self.context, LEADERSHIP_TERM, "g", "test", 0.0, target
        )
        run_limited(task.run)
        return self.machine.get_group("g").primary


def run_limited(function, *arguments):
    async def main():
        with trio.move_on_after(5.0):
            await function(*arguments)

    virtual_time.run(main)


class UnwrittenTimelineTest(unittest.TestCase):
    def test_planned_move_promotes_a_replica_with_the_same_log(self):
        world = World(a=REPLICA, b=PRIMARY, c=REPLICA)
        self.assertEqual("c", world.run_failover("c"))

    def test_planned_move_waits_for_a_replica_with_a_shorter_log(self):
        behind = instances.InstanceState(True, positions.Position(1, 59))
        world = World(a=REPLICA, b=PRIMARY, c=behind)
        self.assertEqual("b", world.run_failover("c"))

    def test_lost_primary_is_replaced_by_the_only_replica(self):
        self.assertEqual("c", World(c=REPLICA).run_failover())

    def test_replica_behind_the_start_of_the_timeline_is_not_promoted(self):
        behind = instances.InstanceState(True, positions.Position(1, 59))
        self.assertEqual("b", World(c=behind).run_failover())

    def test_log_says_what_a_group_without_a_primary_waits_for(self):
        records = []
        sink = loguru.logger.add(lambda message: records.append(message.record))
        self.addCleanup(loguru.logger.remove, sink)
        behind = instances.InstanceState(True, positions.Position(1, 59))
        World(c=behind).run_failover()
        pending = [
            record["extra"]
            for record in records
            if record["message"] == "no primary selected yet"
        ]
        self.assertEqual("c=1/59", pending[0]["logs"])
        self.assertEqual(str(END), pending[0]["acknowledged"])

    def test_new_replica_is_registered(self):
        world = World()
        command = supervisor.build_add_instance(
            world.machine.get_group("g"), {"d": REPLICA}
        )
        self.assertEqual(ttypes.AddInstance("g", 2, "d"), command)

    def test_replica_that_is_still_being_filled_is_not_registered(self):
        empty = instances.InstanceState(True, positions.Position(1, 0))
        group = World().machine.get_group("g")
        self.assertIsNone(supervisor.build_add_instance(group, {"d": empty}))

    def test_replaced_instance_is_removed(self):
        world = World(b=PRIMARY, c=REPLICA, d=REPLICA)
        world.apply(ttypes.AddInstance("g", 2, "d"))
        run_limited(
            instance_removal.remove_instance, world.context, LEADERSHIP_TERM, "g", "a"
        )
        self.assertEqual(["b", "c", "d"], world.machine.get_group("g").instances)

    def test_reinstated_primary_keeps_the_start_of_its_timeline(self):
        world = World()
        world.apply(ttypes.Fence("g", 2, "test"), ttypes.Promoted("g", 3, "b", 2, 0))
        self.assertEqual(END, timelines.get_start(world.machine.get_group("g")))

    def test_start_of_a_group_of_an_earlier_release_is_unknown(self):
        world = World()
        world.apply(ttypes.RegisterGroup("old", "a", 1, ["a", "b"]))
        self.assertIsNone(timelines.get_start(world.machine.get_group("old")))

    def build_watcher(self, world, **states):
        """Return a watcher that the instances have answered at 1.0 s and 5.0 s."""
        observer = watcher.Watcher(
            "g", world.machine, world, None, settings.GroupSettings(), lambda: None
        )
        for name, state in states.items():
            results = observer._results[name] = watcher._ProbeResults()
            for sent_s in (1.0, 5.0):
                results.record_answer(state, sent_s, sent_s + 0.1)
                observer._add_sample(name, state, sent_s)
        return observer

    # Guards against a primary that is kept although no replica gets its first write.
    def test_first_write_that_reaches_no_replica_is_reported_as_stalled(self):
        primary = instances.InstanceState(False, positions.Position(2, 61))
        behind = instances.InstanceState(True, positions.Position(1, 59))
        for replica, is_stalled in ((REPLICA, True), (behind, False)):
            with self.subTest(replica=replica):
                states = {"a": replica, "b": primary, "c": replica}
                observer = self.build_watcher(World(), **states)
                self.assertEqual(is_stalled, observer.build_health(5.2).is_stalled)

    def test_replica_with_the_same_log_has_a_known_age_and_is_usable(self):
        world = World()
        observer = self.build_watcher(world, b=PRIMARY, c=REPLICA)
        world.section.answer_report(
            "e1",
            catalog.encode_struct(ttypes.Report(0, 0, 1, [observer.build_health(5.2)])),
            2.0,
        )
        group = world.machine.get_group("g")
        observed = world.section._build_items(group, 2.0)[2]
        self.assertTrue(observed.is_usable)
        self.assertIsNotNone(observed.age_ms)


if __name__ == "__main__":
    unittest.main()
