"""Tests of acknowledgement, verdicts and idempotency of writes."""

import unittest

import trio

from sedgeswitch import verdicts
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.idempotency import ledger
from sedgeswitch.statements.tests import builders

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


async def try_write(host, *arguments, **options):
    """Return the answer of a write, or its refusal."""
    try:
        answer, _ = await host.write(*arguments, **options)
    except verdicts.RefusedError as error:
        return error.refusal
    return answer


async def run_later(delay_s, function, *arguments):
    await trio.sleep(delay_s)
    function(*arguments)


class AcknowledgementTest(unittest.TestCase):
    def test_write_is_acknowledged_once_one_replica_has_it(self):
        async def scenario(group, host):
            group.instances[1].lag_s = 0.5
            group.instances[2].is_frozen = True
            answer = await try_write(host)
            return answer, group.instances[1].values

        answer, values = builders.run_group(scenario)
        self.assertEqual(answer.instance, "draw-0")
        self.assertEqual(values, ["lot 1"])

    def test_write_on_too_few_instances_may_have_run(self):
        async def scenario(group, host):
            for replica in group.instances[1:]:
                replica.lag_s = 1000.0
            return await try_write(host)

        refusal = builders.run_group(scenario)
        self.assertEqual(refusal.code, "not_replicated")
        self.assertIs(refusal.verdict, MAY_HAVE_RUN)

    def test_write_may_have_run_if_lease_ends_during_replication(self):
        async def scenario(group, host):
            for replica in group.instances[1:]:
                replica.lag_s = 0.5
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run_later, 0.2, host.end_lease)
                return await try_write(host)

        refusal = builders.run_group(scenario)
        self.assertEqual(refusal.code, "primary_changed")
        self.assertIs(refusal.verdict, MAY_HAVE_RUN)

    def test_replica_on_another_timeline_does_not_count(self):
        async def scenario(group, host):
            for replica in group.instances[1:]:
                replica.timeline = 2
                replica.log = ["other"] * 9
            return await try_write(host)

        self.assertEqual(builders.run_group(scenario).code, "not_replicated")

    def test_replica_without_position_does_not_count(self):
        async def scenario(group, host):
            group.instances[1].has_position = False
            answer = await try_write(host)
            await trio.sleep(1.0)
            return answer

        self.assertEqual(builders.run_group(scenario).instance, "draw-0")

    def test_returned_position_is_on_timeline_of_term(self):
        async def scenario(group, host):
            host.group.promote(1)
            host.apply_group_state()
            _, position = await host.write()
            return position, group.primary.timeline

        position, timeline = builders.run_group(scenario)
        self.assertEqual(position.timeline, timeline)


class VerdictTest(unittest.TestCase):
    def test_statement_refused_by_server_is_not_run(self):
        async def scenario(group, host):
            group.primary.refusals["lot 1"] = "23505"
            return await try_write(host), group.primary.values

        refusal, values = builders.run_group(scenario)
        self.assertEqual((refusal.status, refusal.verdict), (409, NOT_RUN))
        self.assertEqual(values, [])

    def test_lost_answer_without_key_is_not_retried(self):
        async def scenario(group, host):
            group.primary.lost_answers.append("lot 1")
            return await try_write(host), group.primary.values

        refusal, values = builders.run_group(scenario)
        self.assertIs(refusal.verdict, MAY_HAVE_RUN)
        self.assertEqual(values, ["lot 1"])

    def test_deadline_without_primary_is_not_run(self):
        async def scenario(group, host):  # noqa: ARG001
            host.apply_group_state(ttypes.GroupPhase.FENCED)
            return await try_write(host)

        self.assertIs(builders.run_group(scenario).verdict, NOT_RUN)

    def test_deadline_in_queue_for_connection_is_not_run(self):
        async def scenario(group, host):
            group.primary.is_frozen = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(try_write, host, "lot 1", 5.0)
                await trio.sleep(0.1)
                return await try_write(host, "lot 2", 1.0)

        self.assertIs(builders.run_group(scenario, capacity=1).verdict, NOT_RUN)

    def test_deadline_during_statement_may_have_run(self):
        async def scenario(group, host):
            group.primary.latency_s = 3.0
            return await try_write(host)

        refusal = builders.run_group(scenario)
        self.assertEqual((refusal.status, refusal.verdict), (504, MAY_HAVE_RUN))

    def test_refusal_after_attempt_that_may_have_run_may_have_run(self):
        async def scenario(group, host):
            def lose_primary():
                host.apply_group_state(ttypes.GroupPhase.FENCED)

            await host.write("first", key="k0")
            group.primary.lost_answers.append("COMMIT")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run_later, 0.02, lose_primary)
                return await try_write(host, key="k1"), group.primary.values

        refusal, values = builders.run_group(scenario)
        self.assertIs(refusal.verdict, MAY_HAVE_RUN)
        self.assertEqual(values, ["first", "lot 1"])

    def test_write_to_frozen_primary_is_retried_on_new_primary(self):
        async def scenario(group, host):
            group.primary.is_frozen = True

            def fail_over():
                group.promote(1)
                host.apply_group_state()

            started_s = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run_later, 0.3, fail_over)
                answer = await try_write(host, deadline_s=10.0)
            return answer, trio.current_time() - started_s

        answer, elapsed_s = builders.run_group(scenario)
        self.assertEqual(answer.instance, "draw-1")
        self.assertLess(elapsed_s, 0.5)

    def test_write_waiting_for_drained_primary_is_not_run(self):
        async def scenario(group, host):
            group.primary.latency_s = 0.2
            async with trio.open_nursery() as nursery:
                nursery.start_soon(try_write, host, "lot 1", 9.0)
                nursery.start_soon(run_later, 0.1, host.drained.add, "draw-0")
                await trio.sleep(0.05)
                refusal = await try_write(host, "lot 2", 1.5)
            return refusal, group.primary.values

        refusal, values = builders.run_group(scenario, capacity=1)
        self.assertIs(refusal.verdict, NOT_RUN)
        self.assertEqual(values, ["lot 1"])


class IdempotencyTest(unittest.TestCase):
    def test_repeated_write_with_key_returns_first_answer(self):
        for lost in ("lot 1", "COMMIT", ledger.CLAIM_SQL, ledger.STORE_ANSWER_SQL):
            with self.subTest(lost=lost):

                async def scenario(group, host, lost=lost):
                    group.primary.lost_answers.append(lost)
                    first = await try_write(host, key="k1")
                    again = await try_write(host, key="k1")
                    return first, again, group.primary.values

                first, again, values = builders.run_group(scenario)
                self.assertEqual(values, ["lot 1"])
                self.assertEqual(first, again)

    def test_concurrent_requests_with_one_key_on_two_hosts_run_once(self):
        async def scenario(group, *hosts):
            answers = []

            async def write(host):
                answers.append(await try_write(host, key="k1"))

            async with trio.open_nursery() as nursery:
                for host in hosts:
                    nursery.start_soon(write, host)
            return answers, group.primary.values

        answers, values = builders.run_group(scenario, host_count=2)
        self.assertEqual(values, ["lot 1"])
        self.assertEqual(answers[0], answers[1])

    def test_write_runs_if_ledger_is_created_concurrently(self):
        async def scenario(group, host):
            group.primary.refusals[ledger.CREATE_SQL] = "23505"
            group.primary.commit([b"created meanwhile"])
            group.primary.refusals[ledger.CLAIM_SQL] = ledger.UNDEFINED_TABLE
            return await try_write(host, key="k1")

        self.assertEqual(builders.run_group(scenario).status, "INSERT 0 1")

    def test_repeated_write_after_failover_runs_once(self):
        for is_replicated in (True, False):
            with self.subTest(is_replicated=is_replicated):

                async def scenario(group, host, is_replicated=is_replicated):
                    await host.write("first", key="k0")
                    for replica in group.instances[1:]:
                        replica.lag_s = 0.01 if is_replicated else 1000.0
                    group.primary.lost_answers.append("COMMIT")
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(try_write, host, "lot 1", 0.05, "k1")
                    await trio.sleep(0.1)
                    group.promote(1)
                    group.instances[2].lag_s = 0.01
                    host.apply_group_state()
                    answer = await try_write(host, key="k1")
                    return answer, group.primary.values

                answer, values = builders.run_group(scenario)
                self.assertEqual(answer.instance, "draw-1")
                self.assertEqual(values, ["first", "lot 1"])

    def test_write_with_key_is_retried_if_primary_is_replaced_during_replication(self):
        async def scenario(group, host):
            await host.write("first", key="k0")
            for replica in group.instances[1:]:
                replica.lag_s = 1000.0

            def fail_over():
                group.primary.is_frozen = True
                group.instances[2].lag_s = 0.01
                group.promote(1)
                host.apply_group_state()

            started_s = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run_later, 0.3, fail_over)
                answer = await try_write(host, deadline_s=10.0, key="k1")
            return answer, group.primary.values, trio.current_time() - started_s

        answer, values, elapsed_s = builders.run_group(scenario)
        self.assertEqual(answer.instance, "draw-1")
        self.assertEqual(values, ["first", "lot 1"])
        self.assertLess(elapsed_s, 0.6)

    def test_key_of_another_statement_is_refused(self):
        async def scenario(group, host):
            await host.write("lot 1", key="k1")
            refusal = await try_write(host, "lot 2", key="k1")
            return refusal, group.primary.values

        refusal, values = builders.run_group(scenario)
        self.assertEqual((refusal.status, refusal.verdict), (422, NOT_RUN))
        self.assertEqual(values, ["lot 1"])

    def test_expired_claims_are_deleted_once_per_interval(self):
        async def scenario(group, host):
            for place in range(3):
                await host.write(f"lot {place}", key=f"k{place}")
            await trio.sleep(1.0)
            first, group.primary.expired = group.primary.expired, None
            await host.write("lot 9", key="k9")
            await trio.sleep(1.0)
            return first, group.primary.expired

        first, second = builders.run_group(scenario)
        limit = int(builders.UNIX_S - ledger.RETENTION_S)
        self.assertEqual(first, (str(limit),))
        self.assertIsNone(second)

    def test_write_whose_claim_expires_concurrently_is_not_run(self):
        async def scenario(group, host):
            await host.write("lot 1", key="k1")
            group.primary.refusals[ledger.FIND_SQL] = None
            return await try_write(host, key="k1")

        refusal = builders.run_group(scenario)
        self.assertEqual((refusal.status, refusal.verdict), (409, NOT_RUN))
