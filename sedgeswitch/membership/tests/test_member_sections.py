"""Tests of the distribution of members to entry hosts."""

import random
import unittest

from sedgeswitch.membership import machine
from sedgeswitch.membership import member_sections
from sedgeswitch.membership import messages
from sedgeswitch.transport import catalog

HOSTS = 8


def build_member(number, incarnation="1"):
    return machine.Member(f"e{number}", incarnation, "bagmati", "10.0.0.1", 7000)


class Leader:
    """The members on the leader, and the answers of its section."""

    def __init__(self, is_urgent=True):
        self.members = machine.MembersMachine()
        self.section = member_sections.ControlSection(self.members, is_urgent)
        self.answered = []

    def change(self, member, is_removal=False):
        command = machine.build_command(member, is_removal)
        self.members.apply(1, catalog.encode_struct(command))

    def answer(self, entry):
        body = self.section.answer_report("e1", entry.build_report(0.0), 0.0)
        self.answered.append(catalog.decode_struct(messages.Members, body))
        entry.receive_answer(body, 0.0)


class Entry(member_sections.EntrySection):
    def __init__(self):
        super().__init__()
        self.received = []
        self.register_listener(lambda version, members, now_s: self._store(members))

    def _store(self, members):
        self.received = sorted(members)


class DifferencesTest(unittest.TestCase):
    def setUp(self):
        self.leader = Leader()
        self.entry = Entry()
        for number in range(HOSTS):
            self.leader.change(build_member(number))
        self.leader.answer(self.entry)

    def assert_equal_members(self):
        self.assertEqual(
            sorted(self.leader.members.members.values()), self.entry.received
        )

    def test_first_answer_has_all_members(self):
        self.assertFalse(self.leader.answered[-1].is_partial)
        self.assert_equal_members()

    def test_later_answer_has_only_changes(self):
        self.leader.change(build_member(2, "2"))
        self.leader.change(build_member(3), is_removal=True)
        self.leader.answer(self.entry)
        self.assertEqual(2, len(self.leader.answered[-1].members))
        self.assert_equal_members()

    def test_answer_without_change_is_empty(self):
        self.leader.answer(self.entry)
        self.assertEqual([], self.leader.answered[-1].members)
        self.assert_equal_members()

    def test_host_further_behind_than_kept_changes_gets_all_members(self):
        for number in range(machine.MAX_KEPT_CHANGES + 1):
            self.leader.change(build_member(1, f"run-{number}"))
        self.leader.answer(self.entry)
        self.assertFalse(self.leader.answered[-1].is_partial)
        self.assert_equal_members()

    def test_leader_that_loaded_a_snapshot_sends_all_members(self):
        self.leader.change(build_member(2, "2"))
        self.leader.members.load_snapshot(self.leader.members.save_snapshot())
        self.leader.answer(self.entry)
        self.assertFalse(self.leader.answered[-1].is_partial)
        self.assert_equal_members()

    def test_host_of_earlier_release_gets_all_members(self):
        self.leader.change(build_member(2, "2"))
        report = catalog.encode_struct(messages.Members(self.entry.version, []))
        body = self.leader.section.answer_report("e1", report, 0.0)
        answer = catalog.decode_struct(messages.Members, body)
        self.assertEqual(HOSTS, len(answer.members))

    def test_random_changes_and_lost_answers_give_the_members_of_the_leader(self):
        rng = random.Random(7)
        for step in range(300):
            member = build_member(rng.randrange(HOSTS), f"run-{step}")
            known = self.leader.members.members.get(member.host_id)
            if known is not None and rng.random() < 0.4:
                self.leader.change(known, is_removal=True)
            else:
                self.leader.change(member)
            if rng.random() < 0.5:
                self.leader.answer(self.entry)
                self.assert_equal_members()


class RemovalIndexTest(unittest.TestCase):
    # Guards against a new leader that does not know that a host was removed.
    def test_last_removal_is_known_after_a_snapshot(self):
        members = machine.MembersMachine()
        for index, is_removal in ((5, False), (8, True), (9, False)):
            command = machine.build_command(build_member(1), is_removal)
            members.apply(index, catalog.encode_struct(command))
        restored = machine.MembersMachine()
        restored.load_snapshot(members.save_snapshot())
        self.assertEqual((8, 8), (members.removal_index, restored.removal_index))


class UrgencyTest(unittest.TestCase):
    """191 hosts start at once; each registration is a change of members."""

    def test_change_that_is_not_urgent_leaves_the_watched_version(self):
        leader = Leader(is_urgent=False)
        before = leader.section.get_version()
        for number in range(191):
            leader.change(build_member(number))
        self.assertEqual(before, leader.section.get_version())

    def test_urgent_change_changes_the_watched_version(self):
        leader = Leader()
        before = leader.section.get_version()
        leader.change(build_member(1))
        self.assertNotEqual(before, leader.section.get_version())


if __name__ == "__main__":
    unittest.main()
