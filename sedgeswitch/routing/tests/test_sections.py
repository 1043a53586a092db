"""Tests of the distribution of verdicts: few messages, and none lost for long."""

import random
import unittest

from sedgeswitch.routing import messages
from sedgeswitch.routing import sections
from sedgeswitch.transport import catalog


class Host:
    def __init__(self, leader, host_id="host-1"):
        self.leader = leader
        self.host_id = host_id
        self.unhealthy = []
        self.known = None
        self.section = sections.EntrySection(lambda now_s: self.unhealthy, self.learn)

    def learn(self, counts):
        self.known = counts

    def beat(self, now_s, loses_answer=False):
        body = self.section.build_report(now_s)
        answer = self.leader.answer_report(self.host_id, body, now_s)
        if not loses_answer:
            self.section.receive_answer(answer, now_s)
        report = catalog.decode_struct(messages.HealthReport, body)
        return report.unhealthy, len(body) + len(answer)


class SectionTest(unittest.TestCase):
    def setUp(self):
        self.leader = self.build_leader(1)
        self.holder = Host(self.leader)
        self.other = Host(self.leader, "host-2")

    def build_leader(self, seed):
        leader = sections.ControlSection(random.Random(seed))
        leader.start_leadership(0.0)
        return leader

    def test_verdict_is_sent_once_and_reaches_other_hosts(self):
        self.other.beat(0.0)
        self.holder.beat(0.0)
        self.holder.unhealthy = ["i"]
        self.assertEqual(["i"], self.holder.beat(1.0)[0])
        self.assertIsNone(self.holder.beat(1.5)[0])
        self.other.beat(1.6)
        self.assertEqual({"i": 1}, self.other.known)

    def test_heartbeat_without_news_carries_versions_only(self):
        self.holder.beat(0.0)
        self.assertLessEqual(self.holder.beat(0.5)[1], 24)

    def test_verdict_is_sent_again_if_the_answer_is_lost(self):
        self.holder.beat(0.0)
        self.holder.unhealthy = ["i"]
        self.holder.beat(1.0, loses_answer=True)
        self.assertEqual(["i"], self.holder.beat(1.5)[0])

    def test_end_of_a_verdict_is_sent(self):
        self.holder.unhealthy = ["i"]
        self.holder.beat(0.0)
        self.holder.beat(0.5)
        self.holder.unhealthy = []
        self.assertEqual([], self.holder.beat(1.0)[0])
        self.other.beat(1.1)
        self.assertEqual({}, self.other.known)

    def test_new_leader_gets_the_verdicts_again(self):
        self.holder.unhealthy = ["i"]
        self.holder.beat(0.0)
        self.holder.leader = self.other.leader = self.build_leader(2)
        self.holder.beat(1.0)
        self.holder.beat(1.5)
        self.other.beat(2.0)
        self.assertEqual({"i": 1}, self.other.known)

    def test_verdict_of_a_host_that_disappeared_ends(self):
        """Guards against an instance that stays ejected after its holder has gone."""
        self.holder.unhealthy = ["i"]
        self.holder.beat(0.0)
        self.other.beat(1.0)
        self.assertEqual({"i": 1}, self.other.known)
        self.other.beat(sections.VERDICT_TTL_S + 1.0)
        self.assertEqual({}, self.other.known)


if __name__ == "__main__":
    unittest.main()
