"""Unit tests of the rules and parts that failover depends on."""

import random
import unittest

import trio
import trio.testing

from sedgeswitch import verdicts
from sedgeswitch.groups import assignment
from sedgeswitch.groups import control_section
from sedgeswitch.groups import durations
from sedgeswitch.groups import instances
from sedgeswitch.groups import machine
from sedgeswitch.groups import positions
from sedgeswitch.groups import primary_selection
from sedgeswitch.groups import settings
from sedgeswitch.groups import staleness
from sedgeswitch.groups import table
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.transport import catalog
from sedgeswitch.utils import checks

NAMES = ["a", "b", "c"]


def build_machine(*commands):
    built = machine.GroupsMachine()
    built.apply(1, machine.encode_command(ttypes.RegisterGroup("g", "a", 1, NAMES)))
    for command in commands:
        built.apply(2, machine.encode_command(command))
    return built


def build_state(in_recovery, timeline, lsn):
    return instances.InstanceState(in_recovery, positions.Position(timeline, lsn))


def decide_next_step(candidates, **states):
    chosen = [ttypes.Choose("g", 1, name) for name in candidates]
    group = build_machine(ttypes.Fence("g", 1, "test"), *chosen).get_group("g")
    return primary_selection.decide_next_step(group, states, 2, lambda name: (name,))


class MachineTest(unittest.TestCase):
    def apply(self, target, command):
        body = target.apply(3, machine.encode_command(command))
        return machine.decode_result(body).outcome

    def test_repeated_commands_change_nothing(self):
        fenced = build_machine(ttypes.Fence("g", 1, "test"))
        before = fenced.save_snapshot()
        outcome = self.apply(fenced, ttypes.Fence("g", 1, "again"))
        self.assertEqual(ttypes.Outcome.UNCHANGED, outcome)
        self.assertEqual(before, fenced.save_snapshot())

    def test_command_of_an_old_term_is_rejected(self):
        served = build_machine(
            ttypes.Fence("g", 1, "test"),
            ttypes.Choose("g", 1, "b"),
            ttypes.Promoted("g", 2, "b", 2, 0),
        )
        self.assertEqual("b", served.get_group("g").primary)
        stale = (
            ttypes.Fence("g", 1, ""),
            ttypes.Choose("g", 1, "c"),
            ttypes.Promoted("g", 2, "c", 2, 0),
        )
        for command in stale:
            outcome = self.apply(served, command)
            self.assertEqual(ttypes.Outcome.STALE_TERM, outcome)

    def test_promotion_of_non_candidate_is_rejected(self):
        fenced = build_machine(ttypes.Fence("g", 1, "test"), ttypes.Choose("g", 1, "b"))
        for name, timeline in (("c", 2), ("a", 1), ("b", 1)):
            outcome = self.apply(fenced, ttypes.Promoted("g", 2, name, timeline, 0))
            self.assertEqual(ttypes.Outcome.NOT_ALLOWED, outcome)

    def test_snapshot_restores_the_state(self):
        fenced = build_machine(ttypes.Fence("g", 1, "test"), ttypes.Choose("g", 1, "b"))
        restored = machine.GroupsMachine()
        restored.load_snapshot(fenced.save_snapshot())
        self.assertEqual(fenced.get_group("g"), restored.get_fenced()[0])
        self.assertEqual(fenced.get_version(), restored.get_version())


class PrimarySelectionTest(unittest.TestCase):
    def test_single_replica_of_three_is_not_promoted(self):
        decision = decide_next_step([], b=build_state(True, 1, 80))
        self.assertIs(primary_selection.FailoverStep.WAIT, decision.step)

    def test_most_advanced_replica_is_promoted(self):
        decision = decide_next_step(
            [], b=build_state(True, 1, 80), c=build_state(True, 1, 88)
        )
        self.assertEqual(
            primary_selection.Decision(primary_selection.FailoverStep.PROMOTE, "c"),
            decision,
        )

    def test_replica_behind_live_old_primary_must_catch_up(self):
        decision = decide_next_step(
            [], a=build_state(False, 1, 88), b=build_state(True, 1, 80)
        )
        self.assertIs(primary_selection.FailoverStep.CATCH_UP, decision.step)

    def test_promoted_candidate_is_adopted(self):
        decision = decide_next_step(["b"], b=build_state(False, 2, 80))
        self.assertEqual(
            primary_selection.Decision(primary_selection.FailoverStep.ADOPT, "b"),
            decision,
        )

    def test_candidate_without_new_timeline_delays_the_decision(self):
        decision = decide_next_step(
            ["b"],
            a=build_state(True, 1, 80),
            b=build_state(False, 1, 80),
            c=build_state(True, 1, 80),
        )
        self.assertIs(primary_selection.FailoverStep.WAIT, decision.step)

    def test_instance_promoted_from_outside_is_ignored(self):
        decision = decide_next_step(
            [], b=build_state(False, 2, 99), c=build_state(True, 1, 80)
        )
        self.assertIs(primary_selection.FailoverStep.WAIT, decision.step)

    def test_newer_timeline_is_preferred_to_higher_lsn(self):
        decision = decide_next_step(
            ["a"], b=build_state(True, 2, 80), c=build_state(True, 1, 88)
        )
        self.assertEqual("b", decision.instance)


class TableTest(unittest.TestCase):
    def setUp(self):
        self.machine = build_machine()
        self.table = table.GroupTable()
        self.update_table()
        self.table.set_lease(10.0)

    def update_table(self):
        version = self.machine.get_version()
        changed = self.machine.get_changed(self.table.get_version())
        self.table.apply_changes(version, changed)

    def fence(self):
        self.machine.apply(4, machine.encode_command(ttypes.Fence("g", 1, "test")))
        self.update_table()

    def test_fence_invalidates_permits(self):
        permit = self.table.get_write_permit("g", 1.0)
        self.fence()
        self.assertFalse(self.table.is_permit_valid(permit, 1.0))
        self.assertIsNone(self.table.get_write_permit("g", 1.0))

    def test_lease_expiry_invalidates_permits(self):
        permit = self.table.get_write_permit("g", 9.99)
        self.assertFalse(self.table.is_permit_valid(permit, 10.0))

    def test_released_lease_invalidates_permits(self):
        permit = self.table.get_write_permit("g", 1.0)
        self.table.set_lease(float("-inf"))
        self.assertFalse(self.table.is_permit_valid(permit, 1.0))

    def test_older_table_is_ignored(self):
        self.fence()
        older = build_machine()
        self.assertFalse(self.table.apply_changes(1, older.get_groups()))
        self.assertIsNone(self.table.get_write_permit("g", 1.0))

    def test_primary_in_an_evacuated_zone_is_waited_for_until_it_is_replaced(self):
        async def wait():
            excluded = {"a"}
            self.table.set_exclusion(lambda permit: permit.primary in excluded)
            found = []

            async def find():
                found.append(await self.table.wait_serving("g", 5.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(find)
                await trio.sleep(1.0)
                self.assertEqual([], found)
                for command in (
                    ttypes.Fence("g", 1, "test"),
                    ttypes.Choose("g", 1, "b"),
                    ttypes.Promoted("g", 2, "b", 2, 0),
                ):
                    self.machine.apply(4, machine.encode_command(command))
                self.update_table()
            return found[0].primary

        clock = trio.testing.MockClock(autojump_threshold=0)
        self.assertEqual("b", trio.run(wait, clock=clock))

    def test_write_during_failover_is_rejected_not_run_at_its_deadline(self):
        self.fence()

        async def wait():
            with self.assertRaises(verdicts.RefusedError) as caught:
                await self.table.wait_serving("g", trio.current_time() + 2.0)
            return caught.exception.refusal

        clock = trio.testing.MockClock(autojump_threshold=0)
        refusal = trio.run(wait, clock=clock)
        self.assertIs(verdicts.Verdict.NOT_RUN, refusal.verdict)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_write_during_failover_continues_in_the_new_term(self):
        self.fence()

        async def wait():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(promote)
                return await self.table.wait_serving("g", 9.0)

        async def promote():
            await trio.sleep(1.0)
            for command in (
                ttypes.Choose("g", 1, "b"),
                ttypes.Promoted("g", 2, "b", 2, 0),
            ):
                self.machine.apply(5, machine.encode_command(command))
            self.update_table()

        permit = trio.run(wait, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(table.WritePermit("g", 2, "b", 2), permit)


class StalenessTest(unittest.TestCase):
    def test_age_is_never_below_the_true_age(self):
        rng = random.Random(5)
        history = staleness.PrimaryPositionHistory()
        writes = []
        lsn = 0
        for tick in range(1, 400):
            now_s = tick * 0.1
            lsn += rng.choice((0, 8, 64))
            writes.append((now_s, lsn))
            if tick % 5 == 0:
                history.add_sample(positions.Position(1, lsn), now_s)
            done_s, held = rng.choice(writes)
            newer_s = [time_s for time_s, other in writes if other > held]
            age_s = history.get_age_s(positions.Position(1, held), now_s)
            if newer_s and age_s is not None:
                self.assertGreaterEqual(age_s, now_s - newer_s[0])

    def test_delay_bound_covers_delayed_report(self):
        tracker = staleness.ReportDelayEstimator()
        tracker.get_max_delay_s(sent_s=1000.0, round_trip_s=0.02, now_s=5.01)
        delay_s = tracker.get_max_delay_s(sent_s=1001.0, round_trip_s=0.02, now_s=6.51)
        self.assertGreaterEqual(delay_s, 0.51)
        self.assertLess(delay_s, 0.53)


class DurationsTest(unittest.TestCase):
    def test_duration_of_months_is_capped_to_the_field(self):
        item = ttypes.InstanceHealth("a", 4, 9, durations.get_ms(90 * 86400.0))
        catalog.encode_struct(item)
        self.assertEqual(2, durations.get_ms(0.0012))


class ControlSectionTest(unittest.TestCase):
    def test_used_groups_rotate_in_small_answers(self):
        built = machine.GroupsMachine()
        names = [f"g{place:02d}" for place in range(30)]
        for name in names:
            command = ttypes.RegisterGroup(name, "a", 1, NAMES)
            built.apply(1, machine.encode_command(command))
        section = control_section.ControlSection(
            built, lambda _now_s: [], settings.GroupSettings()
        )
        observed_groups = []
        for place in range(12):
            used = names if place == 0 else None
            report = ttypes.Report(built.get_version(), 0, 1, [], used)
            body = catalog.encode_struct(report)
            answer = section.answer_report("entry-0", body, place * 0.5)
            self.assertLess(len(answer), 200)
            observations = catalog.decode_struct(ttypes.Answer, answer).observations
            observed_groups += [item.group for item in observations]
        self.assertEqual(sorted(names + names), sorted(observed_groups))


class PositionTest(unittest.TestCase):
    def test_lsn_text_round_trips(self):
        for text in ("0/0", "0/16B3740", "FFFFFFFF/FFFFFFFF"):
            lsn = positions.check_lsn("lsn", text)
            self.assertEqual(text, positions.format_lsn(lsn))

    def test_malformed_lsn_is_rejected(self):
        for value in ("", "1", "0/", "0/G", "0/123456789", None, b"0/1"):
            with self.assertRaises(checks.CheckError):
                positions.check_lsn("lsn", value)

    def test_position_on_earlier_timeline_does_not_reach_later_floor(self):
        floor = positions.Position(2, 80)
        self.assertFalse(positions.has_reached(positions.Position(1, 99), floor))
        self.assertTrue(positions.has_reached(positions.Position(3, 80), floor))

    def test_position_on_later_timeline_does_not_confirm_write(self):
        written = positions.Position(1, 80)
        self.assertTrue(positions.confirms_write(positions.Position(1, 80), written))
        self.assertFalse(positions.confirms_write(positions.Position(2, 99), written))


class AssignmentTest(unittest.TestCase):
    def test_watchers_span_zones_and_change_minimally(self):
        hosts = [
            assignment.EntryHost(f"entry-{place}", f"zone-{place % 3}")
            for place in range(30)
        ]
        before = assignment.assign_watchers("g", hosts)
        zones = {int(name.split("-")[1]) % 3 for name in before}
        self.assertEqual(3, len(zones))
        left = [host for host in hosts if host.host_id != before[0]]
        after = assignment.assign_watchers("g", left)
        self.assertEqual(2, len(set(before) & set(after)))

    def test_incremental_assignments_equal_full_computation(self):
        for seed in range(20):
            rng = random.Random(seed)
            zone_count = rng.randint(1, 5)
            hosts = [
                assignment.EntryHost(f"entry-{place}", f"zone-{place % zone_count}")
                for place in range(14)
            ]
            incremental = assignment.WatcherAssignments(3)
            for _ in range(20):
                live = rng.sample(hosts, rng.randint(0, 14))
                incremental.update(NAMES, live)
                for group in NAMES:
                    expected = assignment.assign_watchers(group, live)
                    self.assertEqual(expected, incremental.get_watchers(group), seed)
