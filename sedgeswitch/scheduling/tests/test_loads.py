"""Tests of loads in virtual time; each names its load pattern and what it guards."""

import unittest

import trio

from sedgeswitch import verdicts
from sedgeswitch.scheduling import scheduler
from sedgeswitch.scheduling import work as works
from sedgeswitch.scheduling.tests import builders
from sedgeswitch.utils.tests import virtual_time

SLOTS = 5
HOLDERS = 2


def scale(sources, factor):
    return [
        source._replace(rate_per_s=source.rate_per_s * factor) for source in sources
    ]


async def run_phases(site, phases):
    async with trio.open_nursery() as nursery:
        for sources, duration_s in phases:
            for source in sources:
                nursery.start_soon(site.generate, source, duration_s)
            await trio.sleep(duration_s)


def run_site(phases, is_scheduling=True, during=None, holders=HOLDERS, seed=1):
    """Return the site after it has answered every statement of some phases."""

    async def main():
        queues = [
            builders.build_scheduler(SLOTS, holders)
            if is_scheduling
            else builders.build_fair_queue()
            for _ in range(holders)
        ]
        site = builders.Site(queues, SLOTS, seed)
        async with trio.open_nursery() as nursery:
            if during is not None:
                nursery.start_soon(during, site)
            await run_phases(site, phases)
        return site

    return virtual_time.run(main, seed=seed)


class LoadTestCase(unittest.TestCase):
    def check_answered(self, site):
        """Check that no accepted statement is lost and no slot stays taken."""
        self.assertEqual(0, site.unanswered)
        for queue in site.queues:
            self.assertEqual((0, 0), (queue.running, queue.waiting))


class BurstTest(LoadTestCase):
    """A burst of 2.4 for 7 s in every class."""

    def test_worst_class_is_served_better_than_by_fair_queue(self):
        usual = builders.build_usual_load(SLOTS)
        phases = [(usual, 3.0), (scale(usual, 2.4), 7.0), (usual, 5.0)]
        fair = run_site(phases, is_scheduling=False)
        site = run_site(phases)
        self.check_answered(site)
        worst = min(tally.value_share for tally in site.by_class.values())
        worst_fair = min(tally.value_share for tally in fair.by_class.values())
        self.assertGreater(worst, worst_fair)
        # Writes of 11 ms with 0.5 s are not served after reads that can wait 2.5 s.
        self.assertGreater(site.by_class[0].on_time_share, 0.95)

    def test_few_statements_queue_at_instance(self):
        """Limits by connections alone let the holders send it all that they have."""
        usual = builders.build_usual_load(SLOTS)
        phases = [(usual, 3.0), (scale(usual, 2.4), 7.0)]
        fair = run_site(phases, is_scheduling=False)
        self.assertGreater(fair.instance.most_queued, 3 * SLOTS)
        site = run_site(phases)
        self.assertLessEqual(site.instance.most_queued, 2 * SLOTS)


class IdleSlotTest(LoadTestCase):
    """Statements of one organisation only, so that one of four holders has them all."""

    def test_slots_of_other_holders_do_not_stay_idle(self):
        for kind in (builders.WRITES, builders.SESSION_READS):
            rate_per_s = 1.5 * SLOTS / kind.work_s
            load = kind._replace(rate_per_s=rate_per_s, organisations=("ward-0",))
            busy_s = []

            async def record(site, busy_s=busy_s):
                for _ in range(2):
                    await trio.sleep(2.0)
                    busy_s.append(site.instance.busy_s)

            site = run_site([([load], 5.0)], holders=4, during=record)
            # Two of five slots are the part of one holder.
            self.assertGreater(busy_s[1] - busy_s[0], 0.95 * SLOTS * 2.0)
            self.assertLessEqual(site.instance.most_queued, SLOTS)


class SurgeTest(LoadTestCase):
    """One organisation at 7 times its usual load."""

    def build_phases(self, share):
        """Return phases in which ward-0 usually has a share of the load."""
        usual = builders.build_usual_load(SLOTS)
        surge = [
            source._replace(
                rate_per_s=source.rate_per_s * share * 6, organisations=("ward-0",)
            )
            for source in usual
        ]
        return [(usual, 2.0), (usual + surge, 8.0), (usual, 3.0)]

    def check_others(self, site, least):
        for name, tally in site.by_organisation.items():
            if name != "ward-0":
                self.assertGreater(tally.value_share, least, name)

    def test_inside_its_limit_all_are_served(self):
        site = run_site(self.build_phases(1 / 12))
        self.check_answered(site)
        self.check_others(site, 0.95)
        self.assertGreater(site.by_organisation["ward-0"].value_share, 0.95)

    def test_beyond_its_limit_others_are_served_first(self):
        """Without fairness the flood delays all other organisations alike."""
        site = run_site(self.build_phases(1 / 2), holders=1)
        self.check_answered(site)
        others = [
            tally for name, tally in site.by_organisation.items() if name != "ward-0"
        ]
        surging = site.by_organisation["ward-0"]
        worst = min(tally.value_share for tally in others)
        self.assertGreater(worst, surging.value_share)
        self.assertGreater(worst, 0.85)


class ManySmallTest(LoadTestCase):
    """Many small organisations against a large one."""

    def test_small_organisations_are_on_time_beside_large_one(self):
        small = builders.SESSION_READS._replace(
            rate_per_s=0.5 * SLOTS / builders.SESSION_READS.work_s,
            organisations=tuple(f"small-{number}" for number in range(60)),
        )
        large = small._replace(
            rate_per_s=1.5 * SLOTS / builders.SESSION_READS.work_s,
            organisations=("large",),
        )
        site = run_site([([small, large], 6.0)], holders=1)
        self.check_answered(site)
        tallies = [
            tally for name, tally in site.by_organisation.items() if name != "large"
        ]
        arrived = sum(tally.arrived for tally in tallies)
        on_time = sum(tally.on_time for tally in tallies)
        self.assertGreater(on_time / arrived, 0.95)
        # In order of arrival alone, both would wait about as long as the target.
        latencies_s = sorted(sum((tally.latencies_s for tally in tallies), []))
        self.assertLess(latencies_s[len(latencies_s) // 2], 0.7 * small.target_s)


class ReplacedPrimaryTest(LoadTestCase):
    """A burst while a primary is replaced: its slots are 0, then back."""

    def test_statements_wait_and_the_most_urgent_start_first(self):
        async def replace(site):
            await trio.sleep(2.0)
            for queue in site.queues:
                queue.set_instance_slots(0, HOLDERS, trio.current_time())
            await trio.sleep(1.0)
            site.started.clear()
            for queue in site.queues:
                queue.set_instance_slots(SLOTS, HOLDERS, trio.current_time())

        usual = builders.build_usual_load(SLOTS)
        site = run_site([(scale(usual, 1.5), 5.0), (usual, 3.0)], during=replace)
        self.check_answered(site)
        self.assertEqual(0, site.by_class[0].refused)
        first = [priority for _, priority, _ in site.started[:10]]
        self.assertGreaterEqual(first.count(0), 7)

    def test_without_slots_until_the_deadline_all_is_refused_as_not_run(self):
        async def remove(site):
            await trio.sleep(1.0)
            for queue in site.queues:
                queue.set_instance_slots(0, HOLDERS, trio.current_time())

        usual = builders.build_usual_load(SLOTS)
        site = run_site([(usual, 2.0)], during=remove)
        self.check_answered(site)
        refused = sum(tally.refused for tally in site.by_class.values())
        self.assertEqual(len(site.retry_after_ms), refused)
        self.assertGreater(refused, 50)


class SlowInstanceTest(LoadTestCase):
    """An instance at a fifth of its speed in a burst."""

    def test_writes_are_served_and_the_rest_is_told_soon(self):
        async def slow_down(site):
            await trio.sleep(2.0)
            site.instance.slowdown = 5.0
            await trio.sleep(4.0)
            site.instance.slowdown = 1.0

        usual = builders.build_usual_load(SLOTS)
        site = run_site([(scale(usual, 1.3), 6.0), (usual, 6.0)], during=slow_down)
        self.check_answered(site)
        for priority, tally in site.by_class.items():
            self.assertEqual(tally.arrived, tally.answered + tally.refused, priority)
        self.assertGreater(site.by_class[0].value_share, 0.85)
        self.assertGreater(site.by_class[2].answered, 0.3 * site.by_class[2].arrived)


class SustainedOverloadTest(LoadTestCase):
    """The lowest class under sustained overload."""

    def test_lowest_class_is_still_served(self):
        usual = builders.build_usual_load(SLOTS, 1.0, (0.2, 0.4, 0.4))
        writes, session_reads, stale_reads = usual
        # The two higher classes alone need more than all slots.
        load = [*scale([writes, session_reads], 2.0), stale_reads]
        site = run_site([(load, 15.0)], holders=1)
        self.check_answered(site)
        lowest = site.by_class[2]
        served_s = lowest.answered * builders.STALE_READS.work_s
        guaranteed = scheduler.GUARANTEED_SHARE / 3
        self.assertGreater(served_s / (15.0 * SLOTS), 0.8 * guaranteed)
        self.assertGreater(site.by_class[0].on_time_share, 0.95)


class ChangedPriorityTest(LoadTestCase):
    """Priorities and targets that change in the configuration while work waits."""

    def test_waiting_work_keeps_its_class_and_all_is_answered(self):
        usual = builders.build_usual_load(SLOTS)
        writes, session_reads, stale_reads = usual
        swapped = [
            writes._replace(priority=2, target_s=2.5),
            session_reads._replace(priority=0, timeout_s=2.0),
            stale_reads._replace(priority=1, target_s=0.1),
        ]
        site = run_site(
            [(scale(usual, 2.0), 2.0), (scale(swapped, 2.0), 2.0), (usual, 2.0)]
        )
        self.check_answered(site)
        self.assertGreater(site.by_class[0].on_time_share, 0.9)

    def test_limit_that_is_lowered_and_raised_loses_no_statement(self):
        async def change(site):
            for slots in (1, 7, 2, 5):
                await trio.sleep(1.0)
                for queue in site.queues:
                    queue.set_slots(2 * slots, trio.current_time())
                    queue.set_instance_slots(slots, HOLDERS, trio.current_time())

        usual = builders.build_usual_load(SLOTS)
        self.check_answered(run_site([(usual, 5.0)], during=change))


class ClockJumpTest(unittest.TestCase):
    """A clock that jumps while statements run and wait."""

    def test_jump_neither_loses_statements_nor_spoils_estimates(self):
        for jump_s in (3600.0, -3600.0):
            with self.subTest(jump_s):
                virtual_time.run(self.jump, jump_s)

    async def jump(self, jump_s):
        queue = builders.build_scheduler(1)
        now_s = trio.current_time()
        work = works.build_work(works.Kind.READ, 0, 0, now_s + 1.0)
        ticket = await queue.acquire("a", now_s + 8.0, now_s, work)
        queue.release(ticket, now_s + jump_s)
        self.assertLess(queue.service_s, 0.1)
        ticket = await queue.acquire("a", now_s + 8.0, now_s, work)
        outcomes = []

        async def wait():
            try:
                held = await queue.acquire("a", now_s + 8.0, now_s, work)
            except verdicts.RefusedError:
                outcomes.append("refused")
            else:
                queue.release(held, trio.current_time())
                outcomes.append("served")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await trio.sleep(0.1)
            queue.release(ticket, now_s + jump_s)
        self.assertEqual(["refused" if jump_s > 0 else "served"], outcomes)
        self.assertEqual((0, 0), (queue.running, queue.waiting))


if __name__ == "__main__":
    unittest.main()
