"""Tests of idle detection of drained instances and of moves of primaries."""

import types
import unittest

import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.daemon import adapters
from sedgeswitch.daemon import status
from sedgeswitch.draining import primary_mover
from sedgeswitch.draining import sections
from sedgeswitch.membership.tests import builders as membership_builders
from sedgeswitch.utils.tests import virtual_time

DRAINED = 7


loguru.logger.disable("sedgeswitch.draining")


class Hosts:
    """Entry hosts that report to the control section of one leader."""

    def __init__(self, *host_ids):
        self.holders = list(host_ids)
        self.control = sections.ControlSection(lambda _: self.holders)
        self.control.start_leadership(0.0)

    def report(self, host_id, version, **in_use):
        entry = sections.EntrySection(lambda: version, lambda: in_use)
        self.control.answer_report(host_id, entry.build_report(0.0), 0.0)

    def count(self):
        return self.control.count_in_use("lots0", DRAINED, 0.0)


class IdleDetectionTest(unittest.TestCase):
    def test_report_under_older_configuration_gives_no_count(self):
        hosts = Hosts("entry-0", "entry-1")
        hosts.report("entry-0", DRAINED)
        hosts.report("entry-1", DRAINED - 1)
        self.assertIsNone(hosts.count())
        hosts.report("entry-1", DRAINED + 1)
        self.assertEqual(hosts.count(), 0)

    def test_missing_report_gives_no_count_until_lease_expires(self):
        hosts = Hosts("entry-0", "entry-1")
        hosts.report("entry-0", DRAINED)
        self.assertIsNone(hosts.count())
        hosts.holders.remove("entry-1")
        self.assertEqual(hosts.count(), 0)

    def test_running_requests_are_summed(self):
        hosts = Hosts("entry-0", "entry-1")
        hosts.report("entry-0", DRAINED, lots0=2, lots1=5)
        hosts.report("entry-1", DRAINED, lots0=1)
        self.assertEqual(hosts.count(), 3)

    def test_new_leader_requires_new_reports(self):
        hosts = Hosts("entry-0")
        hosts.report("entry-0", DRAINED)
        hosts.control.start_leadership(1.0)
        self.assertIsNone(hosts.count())

    def test_restarted_host_on_older_configuration_gives_no_count(self):
        hosts = Hosts("entry-0")
        hosts.report("entry-0", DRAINED)
        hosts.report("entry-0", 0)
        self.assertIsNone(hosts.count())

    def test_drained_primary_is_not_idle_before_it_moves(self):
        hosts = Hosts()
        server = membership_builders.build_server("lots0")
        group = types.SimpleNamespace(primary="lots0")
        control = types.SimpleNamespace(
            groups=types.SimpleNamespace(get_group=lambda _: group),
            configuration=types.SimpleNamespace(document=None, version=DRAINED),
            draining=hosts.control,
        )
        originals = adapters.is_drained, status.selectors.merge_labels
        adapters.is_drained = lambda *_: True
        status.selectors.merge_labels = lambda *_: {}
        try:
            self.assertFalse(status._build_backend(control, server, 0.0).is_idle)
            group.primary = "lots1"
            self.assertTrue(status._build_backend(control, server, 0.0).is_idle)
        finally:
            adapters.is_drained, status.selectors.merge_labels = originals


class DrainedPrimaryMoverTest(unittest.TestCase):
    def _run(self, move_primary, groups=("lots", "visits"), **options):
        """Return the group and time of each attempted move, in order."""
        attempts = []
        self.targets = []

        async def move(group, instance):
            attempts.append((group, trio.current_time()))
            self.targets.append(instance)
            return await move_primary(group)

        async def run():
            moves = [
                primary_mover.PrimaryMove(group, f"{group}-1", **options)
                for group in groups
            ]
            started_s = trio.current_time()
            with trio.move_on_after(5.0):
                await primary_mover.DrainedPrimaryMover(lambda _: moves, move).run()
            return [(group, round(at_s - started_s, 1)) for group, at_s in attempts]

        return virtual_time.run(run)

    def test_slow_move_does_not_delay_others_or_start_twice(self):
        async def hang(group):  # noqa: ARG001
            await trio.sleep_forever()

        self.assertEqual(sorted(self._run(hang)), [("lots", 0.0), ("visits", 0.0)])

    def test_refused_move_is_retried_after_delay(self):
        async def refuse(group):  # noqa: ARG001
            raise verdicts.build_not_run(409, "busy", "the group is changing")

        (_, first_s), (_, second_s), *_ = self._run(refuse, ["lots"])
        self.assertGreaterEqual(second_s - first_s, primary_mover.RETRY_DELAY_S)

    def test_move_that_reinstated_the_old_primary_is_not_repeated_at_once(self):
        """Guards against a group that is fenced again and again by such moves."""

        async def reinstate(group):
            return types.SimpleNamespace(new_primary=f"{group}-0")

        attempts = self._run(reinstate, ["lots"], retry_delay_s=3.0)
        self.assertEqual([("lots", 0.0), ("lots", 3.0)], attempts)

    def test_instance_that_did_not_catch_up_is_followed_by_the_next(self):
        """Guards against a leaving primary that stays: the same replica was tried."""

        async def reinstate(group):
            return types.SimpleNamespace(new_primary=f"{group}-0")

        options = {"retry_delay_s": 1.5, "alternatives": ("lots-2", "lots-3")}
        self._run(reinstate, ["lots"], **options)
        self.assertEqual(["lots-1", "lots-2", "lots-3", "lots-1"], self.targets)


if __name__ == "__main__":
    unittest.main()
