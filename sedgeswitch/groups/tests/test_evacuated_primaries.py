"""Tests of changes of primary while availability zones are evacuated."""

import unittest

import trio

from sedgeswitch import verdicts
from sedgeswitch.groups import positions
from sedgeswitch.groups import primary_selection
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.groups.tests import builders
from sedgeswitch.groups.tests import test_failover
from sedgeswitch.groups.tests import test_rules

RANDOM_SEEDS = 3


def decide(excluded, acknowledged=None, **states):
    group = test_rules.build_machine(ttypes.Fence("g", 1, "test")).get_group("g")
    return primary_selection.decide_next_step(
        group,
        states,
        2,
        lambda name: (name,),
        acknowledged=acknowledged,
        may_promote=lambda name: name not in excluded,
    )


class SelectionTest(unittest.TestCase):
    def test_instance_outside_is_promoted_if_it_has_the_acknowledged_writes(self):
        decision = decide(
            "c",
            acknowledged=positions.Position(1, 80),
            b=test_rules.build_state(True, 1, 80),
            c=test_rules.build_state(True, 1, 88),
        )
        self.assertEqual("b", decision.instance)

    def test_instance_outside_that_lacks_acknowledged_writes_is_not_promoted(self):
        # Guards against the loss of a commit that only an evacuated replica has.
        decision = decide(
            "c",
            acknowledged=positions.Position(1, 88),
            b=test_rules.build_state(True, 1, 80),
            c=test_rules.build_state(True, 1, 88),
        )
        self.assertIs(primary_selection.FailoverStep.WAIT, decision.step)

    def test_live_old_primary_lets_an_instance_outside_catch_up(self):
        decision = decide(
            "ac",
            a=test_rules.build_state(False, 1, 88),
            b=test_rules.build_state(True, 1, 80),
            c=test_rules.build_state(True, 1, 88),
        )
        self.assertIs(primary_selection.FailoverStep.CATCH_UP, decision.step)

    def test_promotion_that_has_completed_is_adopted(self):
        # Guards against two primaries: the zone was evacuated during the promotion.
        chosen = (ttypes.Fence("g", 1, "test"), ttypes.Choose("g", 1, "b"))
        group = test_rules.build_machine(*chosen).get_group("g")
        decision = primary_selection.decide_next_step(
            group,
            {"b": test_rules.build_state(False, 2, 80)},
            2,
            lambda name: (name,),
            may_promote=lambda name: False,
        )
        self.assertIs(primary_selection.FailoverStep.ADOPT, decision.step)


class FailoverTest(unittest.TestCase):
    """Runs groups whose instance ``lots-0``, the first primary, is in ``bagmati``."""

    run_world = test_failover.FailoverTest.run_world
    check_safe = test_failover.FailoverTest.check_safe
    assert_primary = test_failover.FailoverTest.assert_primary

    def test_primary_moves_out_and_stays_there_after_the_end(self):
        async def scenario(world):
            await trio.sleep(1.0)
            world.evacuated_zones.add("bagmati")
            await world.leader.supervisor.move_primary("lots", "lots-1")
            await trio.sleep(2.0)
            world.evacuated_zones.clear()

        world = self.run_world(scenario, duration_s=10.0)
        self.assert_primary(world, "lots-1", term=2)
        self.assertLess(builders.get_gap_s(world), 1.5)

    def test_primary_of_a_zone_that_is_lost_and_evacuated_is_replaced(self):
        async def scenario(world):
            await trio.sleep(1.0)
            world.instances["lots-0"].is_killed = True
            world.evacuated_zones.add("bagmati")
            await world.leader.supervisor.move_primary("lots", "lots-1")

        world = self.run_world(scenario, duration_s=10.0)
        self.assert_primary(world, world.machine.get_group("lots").primary, term=2)
        self.assertNotEqual("lots-0", world.machine.get_group("lots").primary)

    def test_failed_primary_is_replaced_outside_the_evacuated_zone(self):
        for zone, expected in (("gandaki", "lots-2"), ("koshi", "lots-1")):

            async def scenario(world, zone=zone):
                world.evacuated_zones.add(zone)
                await trio.sleep(1.0)
                await test_failover.kill_primary(world)

            with self.subTest(zone=zone):
                world = self.run_world(scenario, duration_s=10.0)
                self.assert_primary(world, expected)

    def test_no_replica_is_promoted_if_all_are_in_evacuated_zones(self):
        async def scenario(world):
            world.evacuated_zones.update(("gandaki", "koshi"))
            await trio.sleep(1.0)
            await test_failover.kill_primary(world)

        world = self.run_world(scenario, duration_s=10.0)
        self.assertEqual([], world.promoted)
        state = world.machine.get_group("lots")
        self.assertEqual(ttypes.GroupPhase.FENCED, state.phase)

    def test_group_without_primary_gets_one_after_the_end(self):
        async def scenario(world):
            world.evacuated_zones.update(("gandaki", "koshi"))
            await trio.sleep(1.0)
            await test_failover.kill_primary(world)
            await trio.sleep(4.0)
            world.evacuated_zones.clear()

        world = self.run_world(scenario, duration_s=14.0)
        self.assert_primary(world, world.machine.get_group("lots").primary)

    def test_operators_move_to_an_evacuated_instance_is_refused(self):
        refusals = []

        async def scenario(world):
            await trio.sleep(1.0)
            world.evacuated_zones.add("koshi")
            try:
                await world.leader.supervisor.move_primary("lots", "lots-2")
            except verdicts.RefusedError as error:
                refusals.append(error.refusal)

        world = self.run_world(scenario)
        self.assert_primary(world, "lots-0", term=1)
        self.assertEqual(["instance_evacuated"], [item.code for item in refusals])
        self.assertIs(verdicts.Verdict.NOT_RUN, refusals[0].verdict)

    def test_random_faults_and_evacuations_lose_no_acknowledged_write(self):
        async def scenario(world):
            world.nursery.start_soon(change_evacuations, world)
            await test_failover.cause_random_faults(world)

        for seed in range(RANDOM_SEEDS):
            with self.subTest(seed=seed):
                world = self.run_world(scenario, duration_s=60.0, seed=seed)
                self.assertTrue(world.acked)


async def change_evacuations(world):
    while True:
        await trio.sleep(world.rng.uniform(0.2, 4.0))
        world.evacuated_zones = set(
            world.rng.sample(builders.ZONES, world.rng.choice((0, 1, 1, 2)))
        )


if __name__ == "__main__":
    unittest.main()
