"""Tests of how the leader follows a document to the entry hosts."""

import unittest

import loguru

from sedgeswitch.databases import rollout

HOSTS = ("e1", "e2", "e3")


class RolloutTest(unittest.TestCase):
    def setUp(self):
        self.records = []
        sink = loguru.logger.add(lambda message: self.records.append(message.record))
        self.addCleanup(loguru.logger.remove, sink)
        self.rollout = rollout.Rollout()
        self.listed = 0

    def update(self, now_s, reported, version=7, term=1, hosts=HOSTS):
        def list_holders():
            self.listed += 1
            return hosts

        target = rollout.Target(version, term)
        self.rollout.update(target, list_holders, reported, now_s)

    def get_messages(self):
        return [record["message"] for record in self.records]

    def test_time_until_all_hosts_have_reported_is_logged_once(self):
        self.update(10.0, {"e1": 7})
        self.assertEqual(2, self.rollout.hosts_behind)
        for now_s in (10.5, 11.0):
            self.update(now_s, dict.fromkeys(HOSTS, 7))
        self.assertEqual(["configuration reached all entry hosts"], self.get_messages())
        self.assertEqual(500, self.records[0]["extra"]["took_ms"])
        self.assertEqual(2, self.listed)

    def test_hosts_that_are_behind_for_long_are_named_once(self):
        for now_s in (10.0, 11.9, 12.0, 13.0):
            self.update(now_s, {"e1": 7, "e2": 6})
        self.assertEqual(
            ["configuration has not reached all entry hosts"], self.get_messages()
        )
        self.assertEqual("e2,e3", self.records[0]["extra"]["first_behind"])

    def test_host_whose_lease_has_expired_is_not_waited_for(self):
        self.update(10.0, {"e1": 7})
        self.update(14.5, {"e1": 7}, hosts=("e1",))
        self.assertEqual(0, self.rollout.hosts_behind)

    def test_new_leadership_is_measured_from_its_start(self):
        self.update(10.0, dict.fromkeys(HOSTS, 7))
        self.update(20.0, {}, term=2)
        self.update(20.8, dict.fromkeys(HOSTS, 7), term=2)
        self.assertEqual(800, self.records[-1]["extra"]["took_ms"])

    def test_nothing_is_measured_before_the_first_version(self):
        self.update(10.0, {}, version=0)
        self.assertEqual(0, self.listed)


if __name__ == "__main__":
    unittest.main()
