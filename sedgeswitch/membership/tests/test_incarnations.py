"""Tests of two processes that run under one host id."""

import types
import unittest

import trio

from sedgeswitch import verdicts
from sedgeswitch.agreement import errors
from sedgeswitch.membership import heartbeat_server
from sedgeswitch.membership import machine
from sedgeswitch.membership.tests import builders
from sedgeswitch.transport import failures
from sedgeswitch.utils.tests import virtual_time

LEASE_S = 2.0


class FakeLog:
    """A log that commits at once, on a host that always leads."""

    leader_id = "c1"
    leader_address = None

    def __init__(self, members):
        self._members = members

    def get_leadership(self, now_s):
        return types.SimpleNamespace(term=1, started_s=0.0)

    async def propose(self, machine_name, body, timeout_s):
        return self._members.apply(1, body)


class FailingLog(FakeLog):
    """A log whose proposals end with an error."""

    def __init__(self, members, error):
        super().__init__(members)
        self._error = error

    async def propose(self, machine_name, body, timeout_s):
        raise self._error


def build_heartbeat(incarnation):
    return builders.build_heartbeat("e4", incarnation=incarnation)


class IncarnationTest(unittest.TestCase):
    def setUp(self):
        members = machine.MembersMachine()
        self.heartbeat_server = heartbeat_server.HeartbeatServer(
            FakeLog(members), members, LEASE_S
        )

    def test_second_process_is_rejected_until_first_lease_expires(self):
        async def body():
            await self.heartbeat_server.answer_heartbeat(build_heartbeat("first"))
            with self.assertRaises(failures.CallError) as caught:
                await self.heartbeat_server.answer_heartbeat(build_heartbeat("second"))
            self.assertEqual(caught.exception.code, "host_id_in_use")
            await trio.sleep(LEASE_S * 1.1)
            answer = await self.heartbeat_server.answer_heartbeat(
                build_heartbeat("second")
            )
            self.assertGreater(answer.lease_ms, 0)

        virtual_time.run(body)

    def test_first_process_gets_no_lease_while_second_holds_one(self):
        async def body():
            await self.heartbeat_server.answer_heartbeat(build_heartbeat("first"))
            await trio.sleep(LEASE_S * 1.1)
            await self.heartbeat_server.answer_heartbeat(build_heartbeat("second"))
            with self.assertRaises(failures.CallError):
                await self.heartbeat_server.answer_heartbeat(build_heartbeat("first"))

        virtual_time.run(body)


class ExclusiveAddressTest(unittest.TestCase):
    """Tests of fleets in which a process at the address of another replaces it."""

    def setUp(self):
        members = machine.MembersMachine()
        self.heartbeat_server = heartbeat_server.HeartbeatServer(
            FakeLog(members), members, LEASE_S, is_address_exclusive=True
        )

    def test_restarted_process_gets_lease_at_once(self):
        async def body():
            await self.heartbeat_server.answer_heartbeat(build_heartbeat("first"))
            answer = await self.heartbeat_server.answer_heartbeat(
                build_heartbeat("second")
            )
            self.assertGreater(answer.lease_ms, 0)

        virtual_time.run(body)

    def test_late_heartbeat_of_ended_process_is_rejected(self):
        async def body():
            await self.heartbeat_server.answer_heartbeat(build_heartbeat("first"))
            await self.heartbeat_server.answer_heartbeat(build_heartbeat("second"))
            with self.assertRaises(failures.CallError):
                await self.heartbeat_server.answer_heartbeat(build_heartbeat("first"))

        virtual_time.run(body)

    def test_ended_incarnations_are_bounded(self):
        async def body():
            count = heartbeat_server.MAX_ENDED_INCARNATIONS + 20
            for number in range(count):
                await self.heartbeat_server.answer_heartbeat(
                    build_heartbeat(f"run-{number}")
                )
            self.assertEqual(
                heartbeat_server.MAX_ENDED_INCARNATIONS,
                len(self.heartbeat_server._ended_incarnations),
            )

        virtual_time.run(body)


class FailedProposalTest(unittest.TestCase):
    """A registration whose proposal fails may have been committed all the same."""

    def get_failure(self, error):
        members = machine.MembersMachine()
        server = heartbeat_server.HeartbeatServer(
            FailingLog(members, error), members, LEASE_S
        )

        async def body():
            with self.assertRaises(failures.CallError) as caught:
                await server.answer_heartbeat(build_heartbeat("first"))
            self.failure = caught.exception

        virtual_time.run(body)
        return self.failure

    def test_unknown_outcome_may_have_run(self):
        failure = self.get_failure(errors.OutcomeUnknownError())
        self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, failure.verdict)

    def test_unexpected_error_may_have_run(self):
        failure = self.get_failure(ValueError("unexpected"))
        self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, failure.verdict)

    def test_host_that_does_not_lead_has_not_run_it(self):
        failure = self.get_failure(errors.NotLeaderError("c2"))
        self.assertIs(verdicts.Verdict.NOT_RUN, failure.verdict)


if __name__ == "__main__":
    unittest.main()
