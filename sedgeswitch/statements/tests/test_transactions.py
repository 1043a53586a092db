"""Tests of callers' transactions on two entry hosts."""

import unittest

import trio

from sedgeswitch.statements import transactions
from sedgeswitch.statements.tests import transaction_builders as builders

INSERT = {"sql": "INSERT"}


class TransactionTest(unittest.TestCase):
    def test_commit_is_forwarded_without_key(self):
        async def body(fleet, path):
            other = fleet.hosts["entry-1"]
            status, _ = await other.send(f"{path}/statements", INSERT)
            self.assertEqual(status, 200)
            status, answer = await other.send(f"{path}/commit")
            self.assertEqual((status, answer["ending"]), (200, "committed"))
            owner = fleet.hosts["entry-0"]
            self.assertEqual(len(owner.forwarded_messages), 2)
            self.assertNotIn("sedge-key", repr(owner.forwarded_messages))

        builders.run(body)

    def test_transaction_of_other_organisation_is_not_found_despite_header(self):
        async def body(fleet, path):
            for host in fleet.hosts.values():
                status, problem = await host.send(
                    f"{path}/statements",
                    INSERT,
                    key="Bearer sedge-key-7",
                    sedge_organisation="ward-4",
                )
                self.assertEqual((status, problem["verdict"]), (404, "not_run"))

        builders.run(body)

    def test_evacuation_ends_a_transaction_without_a_statement(self):
        # Guards against statements, also of a rollback, that reach an evacuated zone.
        async def body(fleet, path):
            owner = fleet.hosts["entry-0"]
            await owner.send(f"{path}/statements", INSERT)
            before = list(fleet.server.executed)
            owner.evacuated_zone = "koshi-1"
            for kind in ("statements", "commit"):
                status, problem = await owner.send(
                    f"{path}/{kind}", INSERT if kind == "statements" else None
                )
                self.assertEqual((status, problem["verdict"]), (410, "not_run"))
            self.assertEqual(before, fleet.server.executed)
            self.assertEqual(0, owner.transaction_table.open_count)

        builders.run(body)

    def test_evacuation_ends_an_idle_transaction(self):
        async def body(fleet, path):
            owner = fleet.hosts["entry-0"]
            before = list(fleet.server.executed)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(owner.transaction_table.run)
                owner.evacuated_zone = "koshi-1"
                await trio.sleep(0.5)
                nursery.cancel_scope.cancel()
            self.assertEqual(0, owner.transaction_table.open_count)
            self.assertEqual(before, fleet.server.executed)
            status, _ = await owner.send(f"{path}/statements", INSERT)
            self.assertEqual(410, status)

        builders.run(body)

    def test_rollback_of_an_evacuated_transaction_sends_nothing(self):
        async def body(fleet, path):
            owner = fleet.hosts["entry-0"]
            before = list(fleet.server.executed)
            owner.evacuated_zone = "koshi-1"
            status, answer = await owner.send(f"{path}/rollback")
            self.assertEqual((status, answer["ending"]), (200, "rolled_back"))
            self.assertEqual(before, fleet.server.executed)

        builders.run(body)

    def test_host_without_lease_sends_no_statement_of_a_transaction(self):
        # Guards against a partitioned host that does not learn of an evacuation.
        async def body(fleet, path):
            owner = fleet.hosts["entry-0"]
            before = list(fleet.server.executed)
            owner.groups.set_lease(float("-inf"))
            status, problem = await owner.send(f"{path}/statements", INSERT)
            self.assertEqual((status, problem["verdict"]), (503, "not_run"))
            self.assertEqual(before, fleet.server.executed)

        builders.run(body)

    def test_concurrent_statement_is_refused_as_busy(self):
        async def body(fleet, path):
            answers = []

            async def send(host):
                answers.append(await host.send(f"{path}/statements", INSERT))

            async with trio.open_nursery() as nursery:
                for host in fleet.hosts.values():
                    nursery.start_soon(send, host)
            self.assertEqual(sorted(status for status, _ in answers), [200, 409])
            self.assertEqual(fleet.server.concurrent_statements, [])

        builders.run(body)

    def test_unreachable_owner_gives_transaction_lost_with_verdict(self):
        async def body(fleet, path):
            fleet.unreachable_hosts.add("entry-0")
            other = fleet.hosts["entry-1"]
            for kind, verdict in (
                ("statements", "not_run"),
                ("commit", "may_have_run"),
            ):
                status, problem = await other.send(f"{path}/{kind}", INSERT)
                self.assertEqual((status, problem["verdict"]), (410, verdict))
                self.assertEqual(problem["code"], "transaction_lost")

        builders.run(body)

    def test_commit_after_restart_of_owner_may_have_run(self):
        async def body(fleet, path):
            fleet.hosts["entry-0"] = builders.Host(fleet, "entry-0")
            for host in fleet.hosts.values():
                status, problem = await host.send(f"{path}/commit")
                self.assertEqual((status, problem["verdict"]), (404, "may_have_run"))

        builders.run(body)

    def test_repeated_commit_may_have_run(self):
        async def body(fleet, path):
            host = fleet.hosts["entry-0"]
            await host.send(f"{path}/commit")
            status, problem = await host.send(f"{path}/commit")
            self.assertEqual((status, problem["verdict"]), (409, "may_have_run"))

        builders.run(body)

    def test_commit_after_end_of_term_is_rolled_back(self):
        async def body(fleet, path):
            host = fleet.hosts["entry-0"]
            host.set_term(2)
            for expected in (503, 410):
                status, problem = await host.send(f"{path}/commit")
                self.assertEqual((status, problem["verdict"]), (expected, "not_run"))
            self.assertEqual([sql for _, sql in fleet.server.executed][-1], "ROLLBACK")

        builders.run(body)

    def test_commit_after_failed_statement_is_not_run(self):
        async def body(fleet, path):
            host = fleet.hosts["entry-0"]
            status, _ = await host.send(f"{path}/statements", {"sql": "FAIL"})
            self.assertEqual(status, 409)
            for _ in range(2):
                _, problem = await host.send(f"{path}/commit")
                self.assertEqual(problem["verdict"], "not_run")

        builders.run(body)

    def test_statement_running_at_expiry_is_rolled_back(self):
        async def body(fleet, path):
            host = fleet.hosts["entry-0"]
            fleet.server.delay_s = 1000.0
            status, problem = await host.send(f"{path}/statements", INSERT)
            self.assertEqual((status, problem["verdict"]), (504, "not_run"))
            self.assertEqual(
                (fleet.server.open, host.transaction_table.open_count), (0, 0)
            )

        builders.run(body)

    def test_begin_with_idempotency_key_is_refused(self):
        async def body(fleet, path):  # noqa: ARG001
            status, problem = await fleet.hosts["entry-0"].send(
                transactions.PATH, builders.BEGIN, idempotency_key="slip-9"
            )
            self.assertEqual((status, problem["verdict"]), (400, "not_run"))
            self.assertIn("idempotency-key", problem["detail"])

        builders.run(body)

    def test_begin_is_refused_if_instance_is_drained_during_admission(self):
        async def body(fleet, path):  # noqa: ARG001
            host = fleet.hosts["entry-1"]
            host.fake_services.admission_s = 0.5
            statuses = []

            async def begin():
                answer = await host.send(transactions.PATH, builders.BEGIN)
                statuses.append(answer[0])

            async with trio.open_nursery() as nursery:
                nursery.start_soon(begin)
                await trio.sleep(0.1)
                host.fake_services.servers = []
            self.assertEqual((statuses, host.transaction_table.open_count), ([503], 0))

        builders.run(body)


if __name__ == "__main__":
    unittest.main()
