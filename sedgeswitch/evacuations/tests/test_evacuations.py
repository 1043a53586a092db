"""Tests of the state machine, the sections and the requests of operators."""

import math
import unittest

import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.evacuations import machine
from sedgeswitch.evacuations import operations
from sedgeswitch.evacuations import sections
from sedgeswitch.evacuations.tests import builders
from sedgeswitch.membership import heartbeat_client
from sedgeswitch.membership import machine as members
from sedgeswitch.membership import messages as membership_messages
from sedgeswitch.transport import catalog
from sedgeswitch.transport import failures
from sedgeswitch.utils.tests import virtual_time

ZONE = builders.ZONE


def record_messages(test):
    """Record the log lines of a test."""
    lines = []
    sink = loguru.logger.add(lambda line: lines.append(line.record["message"]))
    test.addCleanup(loguru.logger.remove, sink)
    return lines


class MachineTest(unittest.TestCase):
    def setUp(self):
        self.machine = machine.EvacuationsMachine(builders.Clock().get_now_s)

    def test_repeated_commands_change_nothing(self):
        # Guards against a retried request that counts as a change.
        for is_start in (True, False):
            first = builders.apply(self.machine, ZONE, is_start)
            before = self.machine.save_snapshot()
            repeated = builders.apply(self.machine, ZONE, is_start)
            self.assertTrue(first.is_changed)
            self.assertFalse(repeated.is_changed)
            self.assertEqual(first.version, repeated.version)
            self.assertEqual(before, self.machine.save_snapshot())

    def test_end_of_unknown_evacuation_changes_nothing(self):
        self.assertFalse(builders.apply(self.machine, ZONE, False).is_changed)
        self.assertEqual(0, self.machine.version)

    def test_snapshot_restores_zones_and_version(self):
        builders.apply(self.machine, ZONE, True)
        builders.apply(self.machine, "koshi-a", True)
        builders.apply(self.machine, ZONE, False)
        restored = machine.EvacuationsMachine(builders.Clock().get_now_s)
        restored.load_snapshot(self.machine.save_snapshot())
        self.assertEqual({"koshi-a"}, restored.zones)
        self.assertEqual(3, restored.version)


class SectionTest(unittest.TestCase):
    def setUp(self):
        self.exchange = builders.Exchange()

    def test_zones_are_sent_once_per_version(self):
        builders.apply(self.exchange.machine, ZONE, True)
        first = self.exchange.heartbeat()
        second = self.exchange.heartbeat()
        self.assertEqual({ZONE}, self.exchange.entry.zones)
        self.assertLess(len(second), len(first))

    def test_end_of_evacuation_reaches_the_host(self):
        builders.apply(self.exchange.machine, ZONE, True)
        self.exchange.heartbeat()
        builders.apply(self.exchange.machine, ZONE, False)
        self.exchange.heartbeat()
        self.assertEqual(frozenset(), self.exchange.entry.zones)
        self.assertEqual(math.inf, self.exchange.entry.get_transaction_end_s(ZONE))

    def test_answer_of_outdated_leader_is_ignored(self):
        # Guards against a leader that has not applied the newest command yet.
        builders.apply(self.exchange.machine, ZONE, True)
        self.exchange.heartbeat()
        outdated = sections.ControlSection(machine.EvacuationsMachine())
        report = self.exchange.entry.build_report(0.0)
        self.exchange.entry.receive_answer(
            outdated.answer_report("e1", report, 0.0), 0.0
        )
        self.assertEqual({ZONE}, self.exchange.entry.zones)

    def test_lines_are_logged_when_it_comes_into_force_and_ends(self):
        lines = record_messages(self)
        builders.apply(self.exchange.machine, ZONE, True)
        self.exchange.heartbeat()
        self.exchange.heartbeat()
        builders.apply(self.exchange.machine, ZONE, False)
        self.exchange.heartbeat()
        self.assertEqual(
            ["evacuation in force", "evacuation no longer in force"], lines
        )

    def test_transactions_may_continue_for_half_of_the_bound(self):
        builders.apply(self.exchange.machine, ZONE, True)
        self.exchange.clock.now_s += 0.6
        self.exchange.heartbeat()
        end_s = self.exchange.entry.get_transaction_end_s(ZONE)
        self.assertAlmostEqual(self.exchange.clock.now_s + 2.5, end_s)

    def test_host_that_learns_late_ends_transactions_within_the_bound(self):
        # Guards against statements after the bound on a host that a change of leader
        # kept from learning of the evacuation.
        started_s = self.exchange.clock.now_s
        builders.apply(self.exchange.machine, ZONE, True)
        self.exchange.clock.now_s += 3.9
        self.exchange.heartbeat()
        end_s = self.exchange.entry.get_transaction_end_s(ZONE)
        self.assertLessEqual(end_s, started_s + sections.DEFAULT_BOUND_S)

    def test_malformed_report_is_logged_and_answered(self):
        # Guards against a host that loses its lease because of one malformed section.
        lines = record_messages(self)
        builders.apply(self.exchange.machine, ZONE, True)
        answer = self.exchange.control.answer_report("e1", b"\xff\xff", 100.0)
        self.exchange.entry.receive_answer(answer, 100.0)
        self.assertEqual({ZONE}, self.exchange.entry.zones)
        self.assertEqual("malformed report of evacuations", lines[0])


class OtherSection:
    def __init__(self):
        self.received = []

    def build_report(self, now_s):
        return b""

    def receive_answer(self, body, now_s):
        self.received.append(body)


class MalformedAnswerTest(unittest.TestCase):
    """Guards against a malformed section that keeps the others from being received."""

    def test_other_sections_are_received_and_the_lease_is_not_renewed(self):
        entry, other = sections.EntrySection(), OtherSection()

        class Control:
            async def call(self, message, timeout_s):
                answers = {machine.NAME: b"\xff\xff", "other": b"x"}
                return membership_messages.HeartbeatAnswer(4000, answers, {})

        async def body():
            identity = members.Member("e1", "run-1", ZONE, "10.0.0.1", 1)
            client = heartbeat_client.HeartbeatClient(identity, Control(), 0.5)
            client.register_section(machine.NAME, entry)
            client.register_section("other", other)
            with self.assertRaises(failures.CallError) as caught:
                await client.send_heartbeat()
            self.assertIn(machine.NAME, str(caught.exception))
            self.assertFalse(client.is_lease_valid(trio.current_time()))

        virtual_time.run(body)
        self.assertEqual([b"x"], other.received)
        self.assertEqual(frozenset(), entry.zones)

    def test_malformed_answer_leaves_the_zones_as_they_were(self):
        exchange = builders.Exchange()
        builders.apply(exchange.machine, ZONE, True)
        exchange.heartbeat()
        with self.assertRaises(catalog.MessageError):
            exchange.entry.receive_answer(b"\xff\xff", 0.0)
        self.assertEqual({ZONE}, exchange.entry.zones)


class OperationsTest(unittest.TestCase):
    def setUp(self):
        self.machine = machine.EvacuationsMachine(builders.Clock().get_now_s)
        self.log = builders.FailingLog(self.machine)
        self.operations = operations.Operations(
            self.machine, self.log, lambda: builders.ZONES
        )

    def get_refusal(self, call, *arguments):
        with self.assertRaises(verdicts.RefusedError) as caught:
            trio.run(call, *arguments)
        return caught.exception.refusal

    def test_unknown_zone_is_refused_and_the_known_ones_are_named(self):
        for call in (self.operations.start, self.operations.end):
            refusal = self.get_refusal(call, "bagmati-x")
            self.assertEqual(400, refusal.status)
            self.assertIs(verdicts.Verdict.NOT_RUN, refusal.verdict)
            self.assertIn("bagmati-a, bagmati-b, koshi-a", refusal.detail)

    def test_evacuation_of_a_zone_that_nothing_names_any_more_can_be_ended(self):
        # Guards against an evacuation that cannot be withdrawn after the last host
        # and instance of its zone are gone.
        trio.run(self.operations.start, ZONE)
        without = operations.Operations(self.machine, self.log, set)
        trio.run(without.end, ZONE)
        self.assertEqual([], trio.run(without.list_evacuated))

    def test_request_without_response_may_have_run_and_is_repeated(self):
        self.log.loses_responses = True
        refusal = self.get_refusal(self.operations.start, ZONE)
        self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, refusal.verdict)
        self.assertEqual(503, refusal.status)
        self.log.loses_responses = False
        trio.run(self.operations.start, ZONE)
        self.assertEqual([ZONE], trio.run(self.operations.list_evacuated))
        self.assertEqual(1, self.machine.version)

    def test_lines_are_logged_for_start_and_end(self):
        lines = record_messages(self)
        trio.run(self.operations.start, ZONE)
        trio.run(self.operations.end, ZONE)
        self.assertEqual(["evacuation started", "evacuation ended"], lines)


if __name__ == "__main__":
    unittest.main()
