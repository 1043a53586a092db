"""Tests of reads: freshness of their data, and delays by single instances."""

import unittest

import trio

from sedgeswitch import verdicts
from sedgeswitch.groups import positions
from sedgeswitch.sessions import floors
from sedgeswitch.statements.tests import builders
from sedgeswitch.statements.tests import test_writes


def build_floor(writes, timeline=1):
    return floors.Floor(positions.Position(timeline, 8 * writes), is_known=True)


class ReplicaTest(unittest.TestCase):
    def test_replica_below_floor_does_not_answer(self):
        async def scenario(group, host):
            group.instances[1].lag_s = 5.0
            group.instances[2].lag_s = 0.01
            await host.write()
            names = ["draw-0", "draw-1"]
            return await host.read(build_floor(1), names=names)

        self.assertFalse(builders.run_group(scenario).replica)

    def test_read_with_unknown_floor_runs_on_primary(self):
        async def scenario(group, host):  # noqa: ARG001
            return await host.read(builders.UNKNOWN)

        self.assertFalse(builders.run_group(scenario).replica)

    def test_only_replicas_allowed_by_selectors_answer(self):
        async def scenario(group, host):  # noqa: ARG001
            return {(await host.read(names=["draw-2"])).instance for _ in range(20)}

        self.assertEqual(builders.run_group(scenario), {"draw-2"})

    def test_replica_drained_while_read_waits_does_not_answer(self):
        async def scenario(group, host):
            group.instances[1].latency_s = 0.2
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(host.read, builders.KNOWN_EMPTY, 9.0, None)
                host.drained = {"draw-2"}
                await trio.sleep(0.05)
                nursery.start_soon(
                    test_writes.run_later, 0.1, host.drained.add, "draw-1"
                )
                return await host.read(deadline_s=9.0)

        self.assertFalse(builders.run_group(scenario, capacity=1).replica)

    def test_answer_of_replica_on_old_timeline_is_discarded(self):
        # A failover during the read; the replica then has a write that was lost.
        async def scenario(group, host):
            old = group.instances[2]
            old.latency_s = 0.2

            def fail_over():
                group.promote(1)
                old.timeline = 1
                old.log = ["lost write"]
                host.apply_group_state()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(test_writes.run_later, 0.3, fail_over)
                return await host.read(names=["draw-1", "draw-2"])

        answer = builders.run_group(scenario)
        self.assertNotIn(("lost write",), answer.rows)

    def test_data_too_old_at_end_of_read_are_not_returned(self):
        async def scenario(group, host):
            for replica in group.instances[1:]:
                replica.latency_s = 0.2
            host.observations.set_age("draw-1", 0.1)

            def increase_age():
                host.observations.set_age("draw-1", 0.3)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(test_writes.run_later, 0.1, increase_age)
                return await host.read(max_age_ms=200)

        self.assertFalse(builders.run_group(scenario).replica)

    def test_frozen_replica_leaves_time_for_primary(self):
        async def scenario(group, host):
            names = ["draw-0", "draw-1"]
            await host.read(names=names, organisation="ward-5")
            group.instances[1].is_frozen = True
            started_s = trio.current_time()
            answer = await host.read(names=names, deadline_s=1.0)
            return answer, trio.current_time() - started_s

        answer, elapsed_s = builders.run_group(scenario)
        self.assertFalse(answer.replica)
        self.assertLess(elapsed_s, 0.5)

    def test_replica_without_position_is_skipped(self):
        async def scenario(group, host):
            group.instances[1].has_position = False
            return await host.read(names=["draw-0", "draw-1"])

        self.assertFalse(builders.run_group(scenario).replica)


class PrimaryTest(unittest.TestCase):
    def test_answer_of_replaced_primary_is_discarded(self):
        async def scenario(group, host):
            await host.write("lot 1")
            old = group.primary
            old.latency_s = 0.2

            def fail_over():
                group.promote(1)
                group.primary.commit(["lot 2"])
                host.apply_group_state()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(test_writes.run_later, 0.1, fail_over)
                return await host.read(builders.UNKNOWN)

        answer = builders.run_group(scenario)
        self.assertEqual(answer.instance, "draw-1")
        self.assertEqual(answer.rows, [("lot 1",), ("lot 2",)])

    def test_answer_after_end_of_lease_is_discarded(self):
        async def scenario(group, host):
            group.primary.latency_s = 0.1
            async with trio.open_nursery() as nursery:
                nursery.start_soon(test_writes.run_later, 0.2, host.end_lease)
                try:
                    return await host.read(builders.UNKNOWN)
                except verdicts.RefusedError as error:
                    return error.refusal

        self.assertEqual(builders.run_group(scenario).code, "no_primary")

    def test_overloaded_primary_refuses_at_once(self):
        async def scenario(group, host):
            group.primary.latency_s = 0.5
            for _ in range(5):
                await host.read(builders.UNKNOWN, deadline_s=10.0)
            async with trio.open_nursery() as nursery:
                for _ in range(4):
                    nursery.start_soon(host.read, builders.UNKNOWN, 10.0)
                await trio.sleep(0.01)
                started_s = trio.current_time()
                refusal = await self.get_read_refusal(host)
                return refusal, trio.current_time() - started_s

        refusal, elapsed_s = builders.run_group(scenario, capacity=1)
        self.assertEqual(refusal.code, "overloaded")
        self.assertGreater(refusal.retry_after_ms, 0)
        self.assertEqual(elapsed_s, 0.0)

    async def get_read_refusal(self, host):
        with self.assertRaises(verdicts.RefusedError) as caught:
            await host.read(builders.UNKNOWN, deadline_s=0.6)
        return caught.exception.refusal


class SessionStateTest(unittest.TestCase):
    def test_connection_is_reset_only_after_statement_with_state(self):
        for sql, resets in (("SET role x", 1), ("/* x */ SELECT 1", 0)):
            with self.subTest(sql=sql):

                async def scenario(group, host, sql=sql):
                    await host.write(sql)
                    await host.write("INSERT 1")
                    return group.primary.resets

                self.assertEqual(builders.run_group(scenario), resets)
