"""Tests of the leader's decisions where the primary of a group should be."""

import tempfile
import unittest

from sedgeswitch.daemon import relay_control
from sedgeswitch.daemon.tests import relay_builders
from sedgeswitch.draining import primary_mover
from sedgeswitch.groups import positions
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.membership import machine as members_machine
from sedgeswitch.transport import catalog


class MoveTest(unittest.TestCase):
    SERVERS = (
        relay_builders.build_server("a", "bagmati-a"),
        relay_builders.build_server("b", "koshi-a"),
        relay_builders.build_server("c", "koshi-b"),
    )

    def build(self, regions_by_database=None, servers=SERVERS, primary="a"):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        document = relay_builders.build_document(1, regions_by_database or {})
        return relay_builders.build_control(folder.name, document, servers, primary)

    def list_targets(self, *arguments, **options):
        return [
            move.instance for move in self.build(*arguments, **options)._find_moves(0.0)
        ]

    def change(self, instance, **changes):
        return tuple(
            item._replace(**changes) if item.instance == instance else item
            for item in self.SERVERS
        )

    def test_primary_stays_without_allowed_regions(self):
        self.assertEqual([], self.list_targets({"draw": ()}))

    def test_primary_outside_regions_moves_into_them(self):
        control = self.build({"draw": ("koshi",), "lots": ()})
        move = primary_mover.PrimaryMove(
            relay_builders.GROUP,
            "b",
            "outside allowed regions",
            relay_control.REGION_MOVE_RETRY_S,
            ("c",),
        )
        self.assertEqual([move], control._find_moves(0.0))
        self.assertEqual(1, control._count_groups_outside_regions())

    def test_target_is_in_regions_of_all_databases(self):
        both = {"draw": ("koshi", "mechi"), "lots": ("bagmati", "koshi")}
        self.assertEqual(["b"], self.list_targets(both))
        self.assertEqual([], self.list_targets(both, primary="c"))

    def test_regions_without_a_common_one_cause_no_move(self):
        apart = {"draw": ("bagmati",), "lots": ("koshi",)}
        for primary in ("a", "b"):
            with self.subTest(primary):
                self.assertEqual([], self.list_targets(apart, primary=primary))

    def test_primary_stays_while_no_instance_is_in_regions(self):
        leaving = self.change("a", is_leaving=True)
        only_leaving = {"draw": ("bagmati",)}
        self.assertEqual([], self.list_targets(only_leaving, leaving, "b"))

    def test_leaving_primary_prefers_instance_in_regions(self):
        leaving = self.change("b", is_leaving=True)
        regions = {"draw": ("koshi",)}
        self.assertEqual(["c"], self.list_targets(regions, leaving, "b"))

    def test_leaving_primary_moves_out_of_regions_if_it_must(self):
        leaving = self.change("a", is_leaving=True)
        self.assertEqual(["b"], self.list_targets({"draw": ("bagmati",)}, leaving))

    def test_leaving_primary_moves_to_first_by_name(self):
        leaving = self.change("a", is_leaving=True)
        self.assertEqual(["b"], self.list_targets(servers=leaving))

    def test_other_instances_are_alternatives_of_a_move(self):
        (move,) = self.build(servers=self.change("a", is_leaving=True))._find_moves(0.0)
        self.assertEqual(("c",), move.alternatives)

    def test_cold_instances_rank_last_for_promotion(self):
        control = self.build(servers=self.change("b", is_cold=True), primary="a")
        ranked = sorted(
            ("a", "b", "c"), key=lambda name: control._get_promotion_rank("lots", name)
        )
        self.assertEqual(["a", "c", "b"], ranked)

    def test_warm_instance_is_preferred_as_target(self):
        cold = self.change("b", is_cold=True)
        self.assertEqual(["c"], self.list_targets({"draw": ("koshi",)}, cold))

    def test_rank_of_warm_instances_is_by_name_before_position(self):
        """The first two items of a rank take precedence over the position."""
        control = self.build()
        ranks = [control._get_promotion_rank("lots", name)[:2] for name in ("b", "c")]
        self.assertLess(*ranks)

    def test_promotion_prefers_instances_in_regions(self):
        control = self.build({"draw": ("koshi",)})
        ranked = sorted(
            ("a", "b", "c"), key=lambda name: control._get_promotion_rank("lots", name)
        )
        self.assertEqual(["b", "c", "a"], ranked)


class FloorTest(unittest.TestCase):
    # Guards against a group that never gets a primary: where no replica has to confirm
    # a write, the primary alone may have had the acknowledged ones.
    def test_writes_that_no_replica_confirms_do_not_bound_a_promotion(self):
        after = positions.Position(1, 40)
        for sync_replicas, expected in ((0, None), (1, after)):
            with self.subTest(sync_replicas=sync_replicas):
                folder = tempfile.TemporaryDirectory()
                self.addCleanup(folder.cleanup)
                document = relay_builders.build_document()
                group = document.groups["lots"]._replace(sync_replicas=sync_replicas)
                document = document._replace(groups={"lots": group})
                control = relay_builders.build_control(
                    folder.name, document, MoveTest.SERVERS, "a"
                )
                control.node.get_leadership = lambda now_s: None
                report = ttypes.Report(0, 0, 1, [])
                report.acknowledged = [ttypes.Acknowledged("lots", 1, 41, 40)]
                body = catalog.encode_struct(report)
                control.groups_section.answer_report("e1", body, 0.0)
                self.assertEqual(expected, control._get_acknowledged_after("lots"))

    # Guards against the promotion of a replica that lacks what a removed host's callers
    # wrote: the other hosts report that they have acknowledged nothing.
    def test_floor_is_unknown_after_a_host_was_removed(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        control = relay_builders.build_control(
            folder.name,
            relay_builders.build_document(1, {}),
            MoveTest.SERVERS,
            "a",
        )
        control.node.get_leadership = lambda now_s: None
        members = [
            members_machine.Member(host_id, "1", "bagmati-a", "10.0.0.1", 7000)
            for host_id in ("e1", "e2")
        ]
        for member in members:
            command = members_machine.build_command(member, False)
            control.members.apply(2, catalog.encode_struct(command))
        version = control.groups.get_version()
        report = ttypes.Report(version, 0, 1, [])
        report.acknowledged = [ttypes.Acknowledged(relay_builders.GROUP, 1, 7)]
        body = catalog.encode_struct(report)
        for member in members:
            control.groups_section.answer_report(member.host_id, body, 0.0)
        arguments = (relay_builders.GROUP, version)
        self.assertIsNotNone(control._get_acknowledged_position(*arguments))
        command = members_machine.build_command(members[0], True)
        control.members.apply(3, catalog.encode_struct(command))
        self.assertIsNone(control._get_acknowledged_position(*arguments))


if __name__ == "__main__":
    unittest.main()
