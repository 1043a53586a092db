import unittest

import hypothesis
from hypothesis import strategies

from sedgeswitch.configuration import changes
from sedgeswitch.configuration import machine as machines
from sedgeswitch.configuration import operations
from sedgeswitch.configuration.tests import builders

DIGEST = "a" * 64


class MachineTest(unittest.TestCase):
    def setUp(self):
        self.machine = machines.ConfigurationMachine()

    def test_only_first_change_from_a_version_is_accepted(self):
        first = builders.build_rate_change(0, "r1", 5.0)
        second = builders.build_rate_change(0, "r2", 7.0)
        self.assertEqual(
            builders.apply_change(self.machine, first), changes.Accepted(1)
        )
        self.assertEqual(
            builders.apply_change(self.machine, second), changes.VersionConflict(0, 1)
        )
        rate_per_s = self.machine.document.organisations["ward-4"].rate_per_s
        self.assertEqual(rate_per_s, 5.0)

    def test_request_id_reused_for_another_change_is_rejected(self):
        builders.apply_change(self.machine, builders.build_rate_change(0, "r1", 5.0))
        other = builders.build_rate_change(1, "r1", 7.0)
        answer = builders.apply_change(self.machine, other)
        self.assertEqual(answer.field, "request_id")

    def test_withdrawn_key_cannot_be_set_again(self):
        steps = (
            operations.SetOrganisation("ward-4", 1.0, 1.0),
            operations.SetKey("ward-4", "k1", DIGEST),
            operations.WithdrawKey("ward-4", "k1"),
        )
        builders.apply_change(self.machine, builders.build_change(0, "r1", *steps))
        again = operations.SetKey("ward-4", "k1", DIGEST)
        answer = builders.apply_change(
            self.machine, builders.build_change(1, "r2", again)
        )
        self.assertIsInstance(answer, changes.Rejected)
        self.assertTrue(self.machine.document.organisations["ward-4"].keys["k1"][1])

    def test_invalid_references_and_operations_are_rejected(self):
        builders.apply_change(self.machine, builders.build_rate_change(0, "r1"))
        selector = {"organisations": ["ward-4"], "groups": "*"}
        accepted = {"operation": "set_selector", "name": "desk", "selector": selector}
        self._apply_plain(1, accepted)
        cases = [
            {"operation": "remove_organisation", "name": "ward-4"},
            {"operation": "remove_group", "name": "none"},
            {**accepted, "selector": {**selector, "groups": ["none"]}},
            {**accepted, "selector": {**selector, "organisations": ["none"]}},
            {**accepted, "selector": {"organisations": []}},
            {"operation": "set_drain", "name": "all", "drain": {"labels": {}}},
            {"operation": "set_key", "organisation": "x", "key_id": "k", "digest": "a"},
            {"operation": "launch"},
        ]
        for case in cases:
            with self.subTest(case=case):
                answer = self._apply_plain(2, case)
                self.assertIsInstance(answer, changes.Rejected)
                self.assertEqual(self.machine.version, 2)

    def test_snapshot_after_more_than_max_deltas_restores_equal_state(self):
        builders.apply_rates(self.machine, machines.MAX_DELTAS + 3)
        restored = machines.ConfigurationMachine()
        restored.load_snapshot(self.machine.save_snapshot())
        self.assertEqual(restored.document, self.machine.document)
        self.assertEqual(restored.version, self.machine.version)
        resend = builders.build_rate_change(7, "rate-7", 8)
        for machine in (self.machine, restored):
            self.assertEqual(
                builders.apply_change(machine, resend), changes.Accepted(8)
            )
            self.assertIsNone(machine.get_deltas(2))
            self.assertEqual(len(machine.get_deltas(3)), machines.MAX_DELTAS)
        self.assertEqual(restored.save_snapshot(), self.machine.save_snapshot())

    def test_evicted_request_is_not_applied_again(self):
        first = builders.build_rate_change(0, "first", 5.0)
        builders.apply_change(self.machine, first)
        for number in range(machines.MAX_RETAINED_REQUESTS):
            builders.apply_change(
                self.machine, builders.build_rate_change(0, f"late-{number}")
            )
        answer = builders.apply_change(self.machine, first)
        self.assertEqual(answer, changes.VersionConflict(0, 1))

    @hypothesis.settings(deadline=None, max_examples=200, derandomize=True)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 6),
                strategies.integers(0, 12),
                strategies.integers(1, 3),
            ),
            max_size=60,
        ),
        strategies.integers(0, 60),
    )
    def test_any_interleaving_keeps_one_history(self, sent, restart_at):
        machine = machines.ConfigurationMachine()
        answers = {}
        for position, (base_version, request, rate) in enumerate(sent):
            if position == restart_at:
                restored = machines.ConfigurationMachine()
                restored.load_snapshot(machine.save_snapshot())
                machine = restored
            before = machine.version
            change = builders.build_rate_change(
                base_version, f"r{request}", rate, f"ward-{request}"
            )
            answer = builders.apply_change(machine, change)
            first = answers.setdefault(change, answer)
            if first != answer:
                self.fail(f"a resend got {answer}, not {first}")
            won = isinstance(answer, changes.Accepted) and answer.version > before
            self.assertEqual(machine.version, before + won)
            if won:
                self.assertEqual(base_version, before)

    def _apply_plain(self, base_version, step):
        plain = {
            "base_version": base_version,
            "request_id": f"{base_version}-{step}".translate(_TO_ALPHANUMERIC)[:64],
            "author": "asha",
            "operations": [step],
        }
        body = changes.records.encode_json(plain)
        return changes.decode_answer(self.machine.apply(1, body))


_TO_ALPHANUMERIC = {code: None for code in range(128) if not chr(code).isalnum()}
