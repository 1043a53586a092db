"""Tests that sections left out of heartbeats are processed as if they were sent."""

import unittest

import hypothesis
import hypothesis.strategies

from sedgeswitch import verdicts
from sedgeswitch.membership import heartbeat_client
from sedgeswitch.membership import heartbeat_server
from sedgeswitch.membership import machine
from sedgeswitch.membership import messages
from sedgeswitch.membership import section_differences
from sedgeswitch.membership.tests import builders
from sedgeswitch.transport import catalog
from sedgeswitch.transport import failures
from sedgeswitch.utils.tests import virtual_time

BODIES = hypothesis.strategies.dictionaries(
    hypothesis.strategies.sampled_from("abcdef"),
    hypothesis.strategies.binary(max_size=3),
)


class RecordingSection:
    """A section of both sides that records the bodies that it gets."""

    def __init__(self, name):
        self.name = name
        self.report = b"report"
        self.answer = b"answer"
        self.received = []
        self.answered = []

    def build_report(self, now_s):
        return self.report

    def receive_answer(self, body, now_s):
        self.received.append(body)

    def answer_report(self, host_id, body, now_s):
        self.answered.append(body)
        return self.answer

    def get_version(self):
        return 1

    def start_leadership(self, now_s):
        pass


class Link:
    """Encodes calls to a server and counts bytes; loses answers on request."""

    def __init__(self, server):
        self.server = server
        self.loses_answer = False
        self.sent_bytes = 0

    async def call(self, message, timeout_s):
        body = catalog.encode_struct(message)
        answer = await self.server.answer_heartbeat(
            catalog.decode_struct(messages.Heartbeat, body)
        )
        if self.loses_answer:
            raise failures.CallError("timeout", "", verdicts.Verdict.MAY_HAVE_RUN)
        body_of_answer = catalog.encode_struct(answer)
        self.sent_bytes = len(body) + len(body_of_answer)
        return catalog.decode_struct(messages.HeartbeatAnswer, body_of_answer)


class Fleet:
    def __init__(self):
        self.sections = [RecordingSection("first"), RecordingSection("second")]
        self.sections[0].report = self.sections[0].answer = b"x" * 200
        self.members = machine.MembersMachine()
        self.link = Link(self.build_server())
        self.client = self.build_client("run-1")

    def build_server(self):
        log = builders.FakeLog(self.members)
        log.term = 1
        server = heartbeat_server.HeartbeatServer(
            log, self.members, builders.LEASE_S, is_address_exclusive=True
        )
        for section in self.sections:
            server.register_section(section.name, section)
        return server

    def build_client(self, incarnation):
        identity = machine.Member("entry-0", incarnation, "bagmati", "::1", 1)
        client = heartbeat_client.HeartbeatClient(
            identity, self.link, builders.HEARTBEAT_S
        )
        for section in self.sections:
            client.register_section(section.name, section)
        return client


class HeartbeatDifferenceTest(unittest.TestCase):
    def run_fleet(self, test):
        async def main():
            await test(Fleet())

        virtual_time.run(main)

    def test_unchanged_sections_are_not_sent_again(self):
        async def test(fleet):
            await fleet.client.send_heartbeat()
            whole_bytes = fleet.link.sent_bytes
            await fleet.client.send_heartbeat()
            self.assertLess(fleet.link.sent_bytes, whole_bytes - 400)

        self.run_fleet(test)

    def test_unchanged_sections_are_processed_again(self):
        # Guards against state that an answer restores, such as a share that was
        # dropped with a lease, and that would stay lost if the answer is left out.
        async def test(fleet):
            for _ in range(3):
                await fleet.client.send_heartbeat()
            for section in fleet.sections:
                self.assertEqual([section.report] * 3, section.answered)
                self.assertEqual([section.answer] * 3, section.received)

        self.run_fleet(test)

    def test_change_reaches_both_sides(self):
        async def test(fleet):
            await fleet.client.send_heartbeat()
            fleet.sections[1].report, fleet.sections[1].answer = b"new", b"later"
            await fleet.client.send_heartbeat()
            self.assertEqual(b"new", fleet.sections[1].answered[-1])
            self.assertEqual(b"later", fleet.sections[1].received[-1])
            self.assertEqual(b"x" * 200, fleet.sections[0].received[-1])

        self.run_fleet(test)

    def test_heartbeat_after_a_lost_answer_has_no_base(self):
        async def test(fleet):
            await fleet.client.send_heartbeat()
            fleet.link.loses_answer = True
            fleet.sections[1].report = b"lost"
            with self.assertRaises(failures.CallError):
                await fleet.client.send_heartbeat()
            fleet.link.loses_answer = False
            fleet.sections[1].report = b"report"
            await fleet.client.send_heartbeat()
            self.assertEqual(b"report", fleet.sections[1].answered[-1])

        self.run_fleet(test)

    def test_new_leader_gets_the_whole_heartbeat_at_once(self):
        async def test(fleet):
            await fleet.client.send_heartbeat()
            fleet.link.server = fleet.build_server()
            await fleet.client.send_heartbeat()
            self.assertEqual(2, len(fleet.sections[0].answered))
            self.assertTrue(fleet.client.is_lease_valid(0.0))

        self.run_fleet(test)

    def test_restarted_host_has_no_base(self):
        async def test(fleet):
            await fleet.client.send_heartbeat()
            restarted = fleet.build_client("run-2")
            fleet.sections[1].report = b"restarted"
            await restarted.send_heartbeat()
            await restarted.send_heartbeat()
            self.assertEqual(b"restarted", fleet.sections[1].answered[-1])

        self.run_fleet(test)

    def test_leader_of_an_earlier_release_gets_whole_heartbeats(self):
        async def test(fleet):
            answer_heartbeat = fleet.link.server.answer_heartbeat

            async def answer_without_base(heartbeat):
                self.assertIsNone(heartbeat.base_sequence)
                answer = await answer_heartbeat(heartbeat)
                answer.accepts_base = None
                return answer

            fleet.link.server.answer_heartbeat = answer_without_base
            for _ in range(2):
                await fleet.client.send_heartbeat()
            self.assertEqual(b"x" * 200, fleet.sections[0].answered[-1])

        self.run_fleet(test)


class DifferenceTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(base=BODIES, current=BODIES)
    def test_difference_restores_the_entries(self, base, current):
        difference = section_differences.build_difference(base, current)
        if difference is None:
            self.assertTrue(base.keys() - current.keys())
        else:
            restored = section_differences.apply_difference(base, difference)
            self.assertEqual(current, restored)


if __name__ == "__main__":
    unittest.main()
