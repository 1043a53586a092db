"""Tests of the lease between entry hosts and the leader."""

import random
import unittest

import trio

from sedgeswitch import verdicts
from sedgeswitch.membership import directory
from sedgeswitch.membership import heartbeat_client
from sedgeswitch.membership import heartbeat_server
from sedgeswitch.membership import leases
from sedgeswitch.membership import machine
from sedgeswitch.membership import messages
from sedgeswitch.membership.tests import builders
from sedgeswitch.transport import catalog
from sedgeswitch.transport import failures
from sedgeswitch.utils.tests import virtual_time


def build_heartbeat_server():
    members = machine.MembersMachine()
    log = builders.FakeLog(members)
    log.term = 1
    return log, heartbeat_server.HeartbeatServer(log, members, builders.LEASE_S)


class LeaseTest(unittest.TestCase):
    def test_host_lease_expires_before_leader_counts_it_expired(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                virtual_time.run(self._run_faults, seed)

    async def _run_faults(self, seed):
        fleet = builders.Fleet(seed)
        served = 0

        def step():
            event = fleet.rng.random()
            if event < 0.2:
                fleet.change_leader()
            elif event < 0.5:
                fleet.cut = {fleet.rng.randrange(len(fleet.heartbeat_clients))}
            else:
                fleet.cut = set()

        def check(now_s):
            nonlocal served
            serving = fleet.heartbeat_servers[fleet.leader]
            serving.check_leading()
            holders = {member.host_id for member in serving.leases.get_holders(now_s)}
            for index, item in enumerate(fleet.heartbeat_clients):
                if not item.is_lease_valid(now_s):
                    continue
                served += 1
                self.assertIn(f"entry-{index}", holders)
                until_s = serving.leases.get_expiry(f"entry-{index}")
                drifted_s = (item.lease_until_s - now_s) * leases.CLOCK_DRIFT_SHARE
                self.assertLessEqual(item.lease_until_s + drifted_s, until_s)

        await fleet.run(40.0, check, step)
        self.assertGreater(served, 100)

    def test_renewed_announcements_send_no_extra_heartbeats_or_watches(self):
        async def run():
            fleet = builders.Fleet(0)
            fleet.stop_faults()
            copies = [directory.EntryDirectory() for _ in fleet.heartbeat_clients]
            for serving in fleet.heartbeat_servers:
                serving.register_section(
                    "directory", directory.ControlDirectory(fleet.rng)
                )
            for item, copy in zip(fleet.heartbeat_clients, copies, strict=True):
                item.register_section("directory", copy)

            def announce():
                for number, copy in enumerate(copies):
                    copy.record_announcement(builders.build_server(f"lots-{number}"))

            await fleet.run(15.0, lambda _: None, announce)
            fleet.sent.clear()
            await fleet.run(20.0, lambda _: None, announce)
            count = len(fleet.heartbeat_clients)
            heartbeats = 20.0 / builders.HEARTBEAT_S
            self.assertLessEqual(
                fleet.sent[messages.Heartbeat], (heartbeats + 2) * count
            )
            watches = 20.0 / heartbeat_client.WATCH_TIMEOUT_S
            self.assertLessEqual(fleet.sent[messages.Watch], (watches + 2) * count)

        virtual_time.run(run)

    def test_heartbeat_during_removal_keeps_host_registered(self):
        async def run():
            log, serving = build_heartbeat_server()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serving.run)
                await trio.sleep(0.1)
                for host_id in ("entry-0", "entry-1"):
                    await serving.answer_heartbeat(builders.build_heartbeat(host_id))
                log.delay_s = 1.5
                while not log.pending:
                    await trio.sleep(0.01)
                # The removal of entry-0 is pending, that of entry-1 is next.
                for host_id in ("entry-1", "entry-0"):
                    heartbeat = builders.build_heartbeat(host_id, 2)
                    nursery.start_soon(serving.answer_heartbeat, heartbeat)
                await trio.sleep(4.0)
                self.assertEqual(log.members.members.keys(), {"entry-0", "entry-1"})
                nursery.cancel_scope.cancel()

        virtual_time.run(run)

    def test_removal_of_unknown_outcome_is_followed_by_registration(self):
        async def run():
            log, serving = build_heartbeat_server()
            serving.check_leading()
            heartbeat = builders.build_heartbeat("entry-0")
            await serving.answer_heartbeat(heartbeat)
            await trio.sleep(builders.LEASE_S + 2 * heartbeat_server.REMOVE_AFTER_S)
            log.lose_next = True
            log.delay_s = 0.5
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serving._remove_expired, trio.current_time())
                await trio.sleep(0.1)
                await serving.answer_heartbeat(builders.build_heartbeat("entry-0", 2))
            self.assertEqual(len(serving.leases.get_holders(trio.current_time())), 1)

        virtual_time.run(run)

    def test_holders_of_a_leadership_that_has_just_begun_are_all_members(self):
        async def run():
            log, serving = build_heartbeat_server()
            await serving.answer_heartbeat(builders.build_heartbeat("entry-0"))
            log.term = 0
            await trio.sleep(2 * builders.LEASE_S)
            log.term = 3
            # `run` has not checked the log since.
            self.assertEqual(len(serving.get_holders(trio.current_time())), 1)

        virtual_time.run(run)

    def test_late_heartbeat_is_rejected(self):
        async def run():
            _, serving = build_heartbeat_server()
            await serving.answer_heartbeat(builders.build_heartbeat("entry-0", 5))
            with self.assertRaises(failures.CallError) as caught:
                await serving.answer_heartbeat(builders.build_heartbeat("entry-0", 4))
            self.assertEqual(caught.exception.code, "superseded")

        virtual_time.run(run)

    def test_leaving_heartbeat_of_earlier_process_releases_nothing(self):
        async def run():
            _, serving = build_heartbeat_server()
            heartbeat = builders.build_heartbeat("entry-0", 1, incarnation="run-2")
            await serving.answer_heartbeat(heartbeat)
            leaving = builders.build_heartbeat("entry-0", 9, is_leaving=True)
            await serving.answer_heartbeat(leaving)
            self.assertEqual(len(serving.leases.get_holders(trio.current_time())), 1)

        virtual_time.run(run)


class FakeControl:
    def __init__(self, answer):
        self.answer = answer

    async def call(self, message, timeout_s):  # noqa: ARG002
        await trio.sleep(0.01)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


class HeartbeatClientTest(unittest.TestCase):
    def _run_with(self, answer, **sections):
        async def run():
            identity = machine.Member("entry-0", "run-1", "bagmati", "::1", 1)
            control = FakeControl(answer)
            item = heartbeat_client.HeartbeatClient(
                identity, control, builders.HEARTBEAT_S
            )
            for name, section in {"members": _Section(), **sections}.items():
                item.register_section(name, section)
            with trio.move_on_after(3.0):
                await item.run()
            return item.is_lease_valid(trio.current_time())

        return virtual_time.run(run)

    def test_malformed_section_renews_no_lease_and_client_keeps_running(self):
        answer = messages.HeartbeatAnswer(2000, {"members": b"\xff"}, {})
        self.assertFalse(self._run_with(answer))

    def test_error_in_a_section_renews_no_lease_and_others_receive_theirs(self):
        failing, other = _Section(receives=False), _Section()
        body = catalog.encode_struct(messages.Members(1, []))
        names = ("failing", "other")
        answer = messages.HeartbeatAnswer(2000, dict.fromkeys(names, body), {})
        self.assertFalse(self._run_with(answer, failing=failing, other=other))
        self.assertGreater(other.received, 1)

    def test_client_goes_on_after_an_error_in_a_report(self):
        # Guards against one error that ends all sessions of a host.
        section = _Section(failing_reports=2)
        answer = messages.HeartbeatAnswer(2000, {}, {})
        self.assertTrue(self._run_with(answer, failing=section))

    def test_unknown_section_is_skipped(self):
        answer = messages.HeartbeatAnswer(2000, {"later": b"\xff"}, {})
        self.assertTrue(self._run_with(answer))

    def test_answer_of_another_type_renews_no_lease(self):
        self.assertFalse(self._run_with(messages.MemberCommand()))

    def test_client_keeps_running_after_any_call_error(self):
        rng = random.Random(3)
        for verdict in verdicts.Verdict:
            code = f"code-{rng.random()}"
            self.assertFalse(self._run_with(failures.CallError(code, "", verdict)))


class _Section:
    def __init__(self, receives=True, failing_reports=0):
        self._receives = receives
        self._failing_reports = failing_reports
        self.received = 0

    def build_report(self, now_s):  # noqa: ARG002
        if self._failing_reports:
            self._failing_reports -= 1
            raise OverflowError("int too big to convert")
        return b""

    def receive_answer(self, body, now_s):  # noqa: ARG002
        catalog.decode_struct(messages.Members, body)
        if not self._receives:
            raise KeyError("group")
        self.received += 1


if __name__ == "__main__":
    unittest.main()
