"""Tests of failovers while a new replica follows the primary but is not registered.

Where primaries acknowledge writes themselves, such a replica may be the only one that
has confirmed them. Guards against the promotion of a registered replica that lacks
acknowledged writes.
"""

import random
import unittest

from sedgeswitch.groups import instances
from sedgeswitch.groups import machine
from sedgeswitch.groups import positions
from sedgeswitch.groups import primary_selection
from sedgeswitch.groups import settings
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.groups.tests import test_unwritten_timelines

SETTINGS = settings.GroupSettings(catch_up_s=0.3, any_replica_confirms=True)
ACKNOWLEDGED = positions.Position(2, 76)
BEHIND = instances.InstanceState(True, positions.Position(2, 70))
CURRENT = instances.InstanceState(True, ACKNOWLEDGED)
SEEDS = 500


class World(test_unwritten_timelines.World):
    """The registered instances are ``a``, ``b`` and ``c``; ``d`` is announced too.

    The primary ``b`` does not answer, and entry hosts have acknowledged writes up to
    `acknowledged`.
    """

    def __init__(self, acknowledged, settings=SETTINGS, **states):
        super().__init__(**states)
        self.acknowledged = acknowledged
        self.context = self.context._replace(settings=settings)

    def get_acknowledged_position(self):
        return self.acknowledged


class UnregisteredReplicaTest(unittest.TestCase):
    def test_unregistered_replica_with_all_acknowledged_writes_is_promoted(self):
        for acknowledged in (ACKNOWLEDGED, None):
            with self.subTest(acknowledged=acknowledged):
                world = World(acknowledged, a=BEHIND, c=BEHIND, d=CURRENT)
                self.assertEqual("d", world.run_failover())
                group = world.machine.get_group("g")
                self.assertEqual(["a", "b", "c", "d"], group.instances)
                self.assertEqual(ttypes.GroupPhase.SERVING, group.phase)

    def test_unregistered_replica_that_does_not_answer_delays_the_promotion(self):
        world = World(ACKNOWLEDGED, a=BEHIND, c=BEHIND)
        self.assertEqual("b", world.run_failover())
        self.assertEqual([], world.machine.get_group("g").candidates)

    def test_planned_move_from_a_lost_primary_waits_for_an_unregistered_replica(self):
        world = World(ACKNOWLEDGED, a=BEHIND, c=BEHIND)
        self.assertEqual("b", world.run_failover("c"))

    def test_unregistered_replica_is_ignored_if_only_registered_ones_confirm(self):
        plain = SETTINGS._replace(any_replica_confirms=False)
        world = World(ACKNOWLEDGED, plain, a=BEHIND, c=BEHIND)
        self.assertEqual("a", world.run_failover())


class UnknownReplicaTest(unittest.TestCase):
    """The replica that confirmed a write is not known to the leader, or has lost it.

    It may have been announced to an earlier leader only, have been removed from the
    group while it was cut off, or have started again without its log. Guards against
    the promotion of a replica that lacks a write which an entry host has acknowledged.
    """

    AFTER = positions.Position(2, 70)

    def run_failover(self, after=AFTER, target=None, **states):
        world = World(None, **states)
        world.context = world.context._replace(
            get_acknowledged_after=lambda group: after  # noqa: ARG005
        )
        return world.run_failover(target)

    def test_replicas_that_lack_an_acknowledged_write_are_not_promoted(self):
        for target in (None, "c"):
            with self.subTest(target=target):
                states = {"a": BEHIND, "c": BEHIND, "d": BEHIND}
                self.assertEqual("b", self.run_failover(target=target, **states))

    def test_replica_that_has_a_later_write_is_promoted(self):
        later = instances.InstanceState(True, positions.Position(2, 71))
        self.assertEqual("c", self.run_failover(a=BEHIND, c=later, d=BEHIND))

    def test_replica_without_a_write_on_the_timeline_is_not_promoted(self):
        first = positions.Position(2, 0)
        replica = test_unwritten_timelines.REPLICA
        states = {"a": replica, "c": replica, "d": replica}
        self.assertEqual("b", self.run_failover(first, **states))

    def test_primary_that_returns_is_reinstated(self):
        returned = instances.InstanceState(False, positions.Position(2, 76))
        states = {"a": BEHIND, "b": returned, "c": BEHIND, "d": BEHIND}
        self.assertEqual("b", self.run_failover(**states))


class ChooseTest(unittest.TestCase):
    def apply(self, *commands):
        world = test_unwritten_timelines.World()
        world.apply(ttypes.Fence("g", 2, "test"))
        result = machine.decode_result(world.apply(*commands))
        return result, world.machine

    def test_unregistered_candidate_is_registered_under_a_new_version(self):
        result, changed = self.apply(ttypes.Choose("g", 2, "d", True))
        self.assertEqual(ttypes.Outcome.ACCEPTED, result.outcome)
        self.assertEqual(["a", "b", "c", "d"], result.group.instances)
        self.assertEqual(["d"], result.group.candidates)
        self.assertEqual(changed.get_version(), result.group.version)

    def test_candidate_of_an_earlier_release_must_be_registered(self):
        result, _ = self.apply(ttypes.Choose("g", 2, "d"))
        self.assertEqual(ttypes.Outcome.NOT_ALLOWED, result.outcome)


class AnyReplicaConfirmsTest(unittest.TestCase):
    """The promoted instance has every write that some replica has confirmed."""

    def decide(self, rng):
        """Return the decision on random logs, the logs and the acknowledged LSN."""
        names = "abcdef"[: rng.randint(3, 6)]
        registered = list(names[: rng.randint(3, len(names))])
        # Each write is confirmed by at least one replica, so that the last
        # acknowledged one is in the longest log.
        logs = {name: rng.randint(60, 70) for name in names[1:]}
        acknowledged_lsn = rng.randint(60, max(logs.values()))
        reported = None
        if rng.random() < 0.7:
            # A reported position may include later writes of the primary.
            lsn = acknowledged_lsn + rng.choice((0, 0, 2))
            reported = positions.Position(1, lsn)
        answering = [name for name in logs if rng.random() < 0.8]
        states = {
            name: instances.InstanceState(True, positions.Position(1, logs[name]))
            for name in answering
        }
        group = ttypes.Group(
            "g", 1, 1, "a", ttypes.GroupPhase.FENCED, 2, registered, "", [], []
        )
        unregistered = [name for name in names if name not in registered]
        decision = primary_selection.decide_next_step(
            group, states, 2, lambda name: (False, False, name), None, reported,
            unregistered=unregistered,
        )  # fmt: skip
        return decision, logs, acknowledged_lsn

    def test_promoted_instance_has_every_confirmed_write(self):
        promoted = 0
        for seed in range(SEEDS):
            decision, logs, acknowledged_lsn = self.decide(random.Random(seed))
            if decision.step is primary_selection.FailoverStep.PROMOTE:
                promoted += 1
                self.assertGreaterEqual(
                    logs[decision.instance], acknowledged_lsn, f"seed {seed}"
                )
        self.assertGreater(promoted, SEEDS // 4)


if __name__ == "__main__":
    unittest.main()
