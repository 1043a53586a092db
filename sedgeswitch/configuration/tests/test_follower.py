import unittest

import hypothesis
from hypothesis import strategies

from sedgeswitch.configuration import distributor as distributors
from sedgeswitch.configuration import follower as followers
from sedgeswitch.configuration import machine as machines
from sedgeswitch.configuration import operations
from sedgeswitch.configuration import sections
from sedgeswitch.configuration.tests import builders
from sedgeswitch.transport import catalog


class FollowerTest(unittest.TestCase):
    def setUp(self):
        self.machine = machines.ConfigurationMachine()
        self.distributor = distributors.Distributor(self.machine)
        self.follower = followers.Follower()

    def exchange(self, sent_s, received_s, host_id="e1"):
        report = self.follower.build_report(sent_s)
        answer = self.distributor.answer_report(host_id, report, sent_s)
        self.follower.receive_answer(answer, received_s)

    def test_age_is_counted_from_the_sending_of_the_report(self):
        self.assertEqual(self.follower.get_age_s(1.0), float("inf"))
        self.exchange(sent_s=10.0, received_s=14.0)
        self.assertEqual(self.follower.get_age_s(15.0), 5.0)

    def test_answer_with_older_version_does_not_confirm_the_document(self):
        old = machines.ConfigurationMachine()
        builders.apply_rates(self.machine, 2)
        self.exchange(1.0, 1.0)
        self.distributor = distributors.Distributor(old)
        self.exchange(5.0, 5.0)
        self.assertEqual(self.follower.version, 2)
        self.assertEqual(self.follower.get_age_s(6.0), 5.0)

    def test_late_document_does_not_replace_a_newer_one(self):
        builders.apply_rates(self.machine, 1)
        self.machine._deltas.clear()
        report = self.follower.build_report(1.0)
        late = self.distributor.answer_report("e1", report, 1.0)
        builders.apply_rates(self.machine, 1)
        self.exchange(2.0, 2.0)
        self.follower.receive_answer(late, 3.0)
        self.assertEqual(self.follower.version, 2)
        self.assertEqual(self.follower.document, self.machine.document)

    def test_whole_document_is_requested_after_hash_mismatch(self):
        builders.apply_rates(self.machine, 1)
        self.exchange(1.0, 1.0)
        delta = sections.Delta(version=2, operations=b"[]", document_hash="other")
        answer = sections.ConfigurationAnswer(report_id=1, version=2, deltas=[delta])
        self.follower.receive_answer(catalog.encode_struct(answer), 1.0)
        self.assertEqual(self.follower.version, 1)
        builders.apply_rates(self.machine, 1)
        report = self.follower.build_report(2.0)
        body = self.distributor.answer_report("e1", report, 2.0)
        answer = catalog.decode_struct(sections.ConfigurationAnswer, body)
        self.assertIsNotNone(answer.document)
        self.follower.receive_answer(body, 2.0)
        self.assertEqual(self.follower.document, self.machine.document)

    def test_in_force_everywhere_requires_report_of_each_host_with_a_lease(self):
        builders.apply_rates(self.machine, 1)
        self.exchange(1.0, 1.0, "e1")
        hosts = ["e1", "e2"]
        in_force = self.distributor.get_in_force(hosts, 2.0)
        self.assertEqual(in_force.list_outdated_hosts(), ("e1", "e2"))
        self.exchange(2.0, 2.0, "e1")
        self.exchange(2.0, 2.0, "e2")
        self.assertTrue(self.distributor.get_in_force(hosts, 3.0).everywhere)
        self.distributor.start_leadership(4.0)
        self.assertFalse(self.distributor.get_in_force(hosts, 4.0).everywhere)

    def test_key_withdrawal_takes_effect_with_the_next_answer(self):
        digest = "b" * 64
        steps = (
            operations.SetOrganisation("ward-4", 1.0, 1.0),
            operations.SetKey("ward-4", "k1", digest),
        )
        builders.apply_change(self.machine, builders.build_change(0, "r1", *steps))
        self.exchange(1.0, 1.0)
        self.assertFalse(self.follower.index.keys[digest].withdrawn)
        withdrawal = operations.WithdrawKey("ward-4", "k1")
        builders.apply_change(self.machine, builders.build_change(1, "r2", withdrawal))
        self.exchange(2.0, 2.0)
        self.assertTrue(self.follower.index.keys[digest].withdrawn)

    @hypothesis.settings(deadline=None, max_examples=200, derandomize=True)
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.just("change"),
                strategies.just("report"),
                strategies.just("forget"),
                strategies.integers(0, 40),
            ),
            max_size=60,
        )
    )
    def test_late_and_repeated_answers_never_go_back(self, events):
        self.setUp()
        answers = []
        for event in events:
            if event == "change":
                builders.apply_rates(self.machine, 1)
            elif event == "forget":
                self.machine._deltas.clear()
            elif event == "report":
                report = self.follower.build_report(1.0)
                answers.append(self.distributor.answer_report("e1", report, 1.0))
            elif answers:
                before = self.follower.version
                self.follower.receive_answer(answers[event % len(answers)], 1.0)
                self.assertGreaterEqual(self.follower.version, before)
        self.exchange(2.0, 2.0)
        for answer in [None, *answers]:
            if answer is not None:
                self.follower.receive_answer(answer, 2.0)
            self.assertEqual(self.follower.version, self.machine.version)
            self.assertEqual(self.follower.document, self.machine.document)
