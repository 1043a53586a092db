"""Tests of primary positions and acknowledged positions sent in heartbeats."""

import types
import unittest

import trio

from sedgeswitch.groups import assignment
from sedgeswitch.groups import control_section
from sedgeswitch.groups import entry_section
from sedgeswitch.groups import machine
from sedgeswitch.groups import positions
from sedgeswitch.groups import settings
from sedgeswitch.groups import table
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.transport import catalog
from sedgeswitch.utils.tests import virtual_time

SERVING = ttypes.GroupPhase.SERVING


def build_section(**changes):
    section = entry_section.EntrySection(
        table.GroupTable(), None, None, settings.GroupSettings()
    )
    values = {"instance": 0, "is_usable": True, "timeline": 2, "lsn": 25, "age_ms": 100}
    observation = ttypes.Observation(**(values | changes))
    group = ttypes.Group("g", 2, 2, "a", SERVING, 1, ["a", "b"], "", [], [])
    answer = ttypes.Answer(
        version=1,
        changed=[group],
        knows_used_groups=True,
        observations=[ttypes.GroupObservation("g", [observation], 50)],
    )
    section.build_report(10.0)
    section.receive_answer(catalog.encode_struct(answer), 10.1)
    return section


class SharedPositionTest(unittest.TestCase):
    def test_age_includes_time_since_heartbeat_was_sent(self):
        position, age_s = build_section().get_primary_position("g", 10.3)
        self.assertEqual(positions.Position(2, 25), position)
        self.assertAlmostEqual(0.1 + 0.05 + 0.3, age_s)

    def test_position_of_new_primary_uses_log_timeline(self):
        section = build_section(log_timeline=1)
        position, _ = section.get_primary_position("g", 10.3)
        self.assertEqual(positions.Position(1, 25), position)

    def test_unusable_primary_gives_no_position(self):
        section = build_section(is_usable=False)
        self.assertIsNone(section.get_primary_position("g", 10.3))

    def test_position_of_earlier_timeline_is_ignored(self):
        section = build_section(timeline=1)
        self.assertIsNone(section.get_primary_position("g", 10.3))

    def test_position_without_age_is_ignored(self):
        section = build_section(age_ms=None)
        self.assertIsNone(section.get_primary_position("g", 10.3))


class ObservedInstancesTest(unittest.TestCase):
    """Answers to hosts that need positions of primaries only.

    Observations of replicas made up a third of the bytes of each answer.
    """

    def list_observed(self, **changes):
        group = ttypes.Group("g", 2, 2, "b", SERVING, 1, ["a", "b"], "", [], [])
        machine = types.SimpleNamespace(
            get_version=lambda: 1,
            get_changed=lambda version: [],
            get_groups=lambda: [group],
            get_group=lambda name: group,
        )
        section = control_section.ControlSection(
            machine, lambda now_s: [], settings.GroupSettings(**changes)
        )
        report = ttypes.Report(1, 0, 1, [], used_groups=["g"])
        body = section.answer_report("host-1", catalog.encode_struct(report), 10.0)
        (observed,) = catalog.decode_struct(ttypes.Answer, body).observations
        return [item.instance for item in observed.instances]

    def test_all_instances_are_observed_by_default(self):
        self.assertEqual([0, 1], self.list_observed())

    def test_primary_alone_keeps_its_place_in_the_group(self):
        self.assertEqual([1], self.list_observed(observes_replicas=False))


class RestartedHostTest(unittest.TestCase):
    """A process that starts again under the same leader as its earlier one.

    Guards against groups that nobody watches: a process was not told which groups it
    watches if its earlier one had been, so that failed primaries were not replaced.
    """

    def setUp(self):
        groups = machine.GroupsMachine()
        command = ttypes.RegisterGroup("g", "a", 1, ["a", "b", "c"])
        groups.apply(1, machine.encode_command(command))
        live = [assignment.EntryHost(name, "z") for name in ("e1", "e2")]
        self.control = control_section.ControlSection(
            groups, lambda now_s: live, settings.GroupSettings()
        )

    def list_watched(self, section, now_s):
        body = self.control.answer_report("e1", section.build_report(now_s), now_s)
        section.receive_answer(body, now_s)
        return section._assigned_groups

    def test_restarted_host_is_told_again_which_groups_it_watches(self):
        for start_s in (1.0, 3.0):
            with self.subTest(start_s=start_s):
                section = entry_section.EntrySection(
                    table.GroupTable(), None, None, settings.GroupSettings()
                )
                for now_s in (start_s, start_s + 0.5):
                    watched = self.list_watched(section, now_s)
                self.assertEqual({"g"}, watched)

    def test_delay_of_a_host_whose_clock_began_anew_is_small(self):
        body = catalog.encode_struct(ttypes.Report(1, 900_000, 10, []))
        self.control.answer_report("e1", body, 1.0)
        health = ttypes.GroupHealth(
            "g",
            [
                ttypes.InstanceHealth(
                    "a", ttypes.Condition.LIVE, 0, 0, 5, False, 1, 9, age_ms=20
                )
            ],
            False,
        )
        body = catalog.encode_struct(ttypes.Report(0, 2_000, 10, [health]))
        self.control.answer_report("e1", body, 5.0)
        view = self.control.health_reports.get_instance_view("g", "a", 5.0)
        self.assertLess(view.age_s, 0.1)


class FailingWatcherTest(unittest.TestCase):
    """Guards against one group whose error ends the process, and so all sessions."""

    def test_watcher_starts_again_after_an_error(self):
        class Directory:
            failures = 2
            calls = 0

            def get_instances(self, group):
                self.calls += 1
                if self.calls <= self.failures:
                    raise KeyError(group)
                return []

        instances = Directory()

        async def main():
            section = entry_section.EntrySection(
                table.GroupTable(), instances, None, settings.GroupSettings()
            )
            answer = ttypes.Answer(
                version=0, changed=[], knows_used_groups=True, watched_groups=["g"]
            )
            with trio.move_on_after(3.0):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(section.run)
                    section.receive_answer(catalog.encode_struct(answer), 0.1)

        virtual_time.run(main)
        self.assertGreater(instances.calls, 2)


class AcknowledgedTest(unittest.TestCase):
    """Reports of hosts that do and do not record their commits."""

    def build_report(self, **options):
        section = build_section()
        section = entry_section.EntrySection(
            section._table, None, None, settings.GroupSettings(), **options
        )
        answer = ttypes.Answer(version=1, changed=[], knows_used_groups=True)
        section._acknowledged_tracker._incomplete_timelines = {}
        section.receive_answer(catalog.encode_struct(answer), 10.1)
        return catalog.decode_struct(ttypes.Report, section.build_report(10.2))

    def test_host_without_commit_recording_reports_no_positions(self):
        self.assertIsNone(self.build_report().acknowledged)

    def test_host_with_commit_recording_reports_zero_position(self):
        reported = self.build_report(reports_acknowledged=True).acknowledged
        self.assertEqual([ttypes.Acknowledged("g", 2, 0)], reported)


if __name__ == "__main__":
    unittest.main()
