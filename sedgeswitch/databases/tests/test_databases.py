"""Tests of the document: replicated state, heartbeat section and checks."""

import random
import unittest
import zlib

from sedgeswitch.databases import documents
from sedgeswitch.databases import machine
from sedgeswitch.databases import messages
from sedgeswitch.databases import sections
from sedgeswitch.transport import catalog
from sedgeswitch.utils import checks


def build_document(version=1, **changes):
    group = documents.Group("lots", 20, 1)
    database = documents.Database(
        "rule", "draw", "lots", documents.Freshness.PRIMARY, 1.0, 0.4
    )
    organisations = {
        "ward-4": documents.Organisation("ward-4", ("k1", "k2"), 5.0, 5.0),
        "ward-5": documents.Organisation("ward-5", ("k3",), 5.0, 5.0),
    }
    defaults = {
        "databases": {"draw": database},
        "groups": {"lots": group},
        "organisations": organisations,
    }
    return documents.Document(version=version, **(defaults | changes))


def replace(target, version, text):
    return machine.decode_result(target.apply(1, machine.build_command(version, text)))


class MachineTest(unittest.TestCase):
    def test_higher_version_replaces_the_document(self):
        target = machine.DocumentMachine()
        self.assertTrue(replace(target, 3, b"three").is_in_force)
        self.assertTrue(replace(target, 7, b"seven").is_in_force)
        self.assertEqual(b"seven", target.get_text())

    def test_version_that_is_not_higher_is_ignored(self):
        target = machine.DocumentMachine()
        replace(target, 7, b"seven")
        for version in (7, 3):
            result = replace(target, version, b"other")
            self.assertFalse(result.is_in_force)
            self.assertEqual(7, result.version)
        self.assertEqual(b"seven", target.get_text())

    def test_snapshot_restores_the_text_unchanged(self):
        target = machine.DocumentMachine()
        replace(target, 7, b'{"a":  1}')
        other = machine.DocumentMachine()
        other.load_snapshot(target.save_snapshot())
        self.assertEqual((7, b'{"a":  1}'), (other.version, other.get_text()))


class SectionTest(unittest.TestCase):
    def setUp(self):
        self.machine = machine.DocumentMachine()
        self.control = sections.ControlSection(self.machine)
        self.entry = sections.EntrySection(lambda text: build_document(int(text)))

    def exchange(self):
        answer = self.control.answer_report("e1", self.entry.build_report(0.0), 0.0)
        self.entry.receive_answer(answer, 0.0)
        return answer

    def test_document_is_sent_once_per_version(self):
        replace(self.machine, 4, b"4")
        first_answer = self.exchange()
        self.assertEqual(4, self.entry.document.version)
        self.assertLess(len(self.exchange()), len(first_answer))

    def test_small_change_is_sent_as_a_difference(self):
        names = [f"rule-{number * 7919 % 1000}" for number in range(200)]
        self.entry = sections.EntrySection(
            lambda text: build_document(int(text.split()[0]))
        )
        texts = [
            b"%d %s" % (version, " ".join(names).encode()) for version in (4, 9, 12)
        ]
        replace(self.machine, 4, texts[0])
        whole = self.exchange()
        replace(self.machine, 9, texts[1])
        self.assertLess(len(self.exchange()), len(whole) / 8)
        self.assertEqual(9, self.entry.document.version)

    def test_host_with_an_unknown_version_gets_the_whole_document(self):
        # A new leader does not know the texts of earlier versions.
        replace(self.machine, 4, b"4")
        self.exchange()
        replace(self.machine, 9, b"9")
        self.control = sections.ControlSection(self.machine)
        self.exchange()
        self.assertEqual(9, self.entry.document.version)

    def test_host_of_an_earlier_release_gets_the_whole_document(self):
        replace(self.machine, 4, b"4" * 500)
        self.control.get_version()
        replace(self.machine, 9, b"4" * 501)
        report = catalog.encode_struct(messages.Report(4))
        answer = self.control.answer_report("e1", report, 0.0)
        decoded = catalog.decode_struct(messages.Answer, answer)
        self.assertEqual(self.machine.source, decoded.source)

    def test_difference_that_does_not_apply_is_replaced_by_the_whole_document(self):
        replace(self.machine, 4, b"4")
        self.exchange()
        replace(self.machine, 9, b"9")
        answer = messages.Answer(9, None, 4, b"malformed")
        with self.assertRaises(catalog.MessageError):
            self.entry.receive_answer(catalog.encode_struct(answer), 0.0)
        self.assertEqual(4, self.entry.document.version)
        self.exchange()
        self.assertEqual(9, self.entry.document.version)

    def test_older_document_is_ignored(self):
        replace(self.machine, 4, b"4")
        old = self.control.answer_report("e1", self.entry.build_report(0.0), 0.0)
        replace(self.machine, 9, b"9")
        self.exchange()
        self.entry.receive_answer(old, 0.0)
        self.assertEqual(9, self.entry.document.version)

    def test_key_is_looked_up_in_the_document_in_force(self):
        replace(self.machine, 4, b"4")
        self.assertIsNone(self.entry.get_organisation("k3"))
        self.exchange()
        self.assertEqual("ward-5", self.entry.get_organisation("k3").name)


class LargeDocumentTest(unittest.TestCase):
    """Documents that a slow link can't carry before a heartbeat counts as lost.

    Guards against hosts that never get a large document that was accepted, and lose
    their leases, since each answer contained the whole of it.
    """

    def setUp(self):
        self.machine = machine.DocumentMachine()
        self.control = sections.ControlSection(self.machine)
        self.entry = sections.EntrySection(
            lambda text: build_document(int(text.split()[0]))
        )
        self.wakes = []
        self.entry.set_part_listener(lambda: self.wakes.append(None))
        self.rng = random.Random(1)

    def replace(self, version):
        text = b"%d %s" % (version, self.rng.randbytes(200_000).hex().encode())
        replace(self.machine, version, text)

    def answer(self):
        return self.control.answer_report("e1", self.entry.build_report(0.0), 0.0)

    def exchange(self, count=1):
        for _ in range(count):
            answer = self.answer()
            self.assertLess(len(answer), sections.MAX_PART_BYTES + 100)
            self.entry.receive_answer(answer, 0.0)

    def count_parts(self):
        return -(-len(self.machine.source) // sections.MAX_PART_BYTES)

    def test_document_is_sent_in_parts_and_then_in_force(self):
        self.replace(4)
        count = self.count_parts()
        self.assertGreater(count, 2)
        self.exchange(count - 1)
        self.assertEqual(0, self.entry.document.version)
        self.exchange()
        self.assertEqual(4, self.entry.document.version)
        self.assertEqual(count - 1, len(self.wakes))
        self.assertLess(len(self.answer()), 100)

    # Guards against a key that is denied although a newer document has it.
    def test_document_is_not_confirmed_while_a_newer_one_arrives(self):
        replace(self.machine, 3, b"3")
        self.exchange()
        self.entry.confirm(1.0)
        self.replace(4)
        self.exchange()
        self.entry.confirm(2.0)
        self.assertEqual(1.0, self.entry.confirmed_s)
        self.exchange(self.count_parts() - 1)
        self.entry.confirm(3.0)
        self.assertEqual(3.0, self.entry.confirmed_s)

    def test_new_leader_continues_with_the_next_part(self):
        self.replace(4)
        self.exchange()
        self.control = sections.ControlSection(self.machine)
        self.exchange(self.count_parts() - 1)
        self.assertEqual(4, self.entry.document.version)

    def test_newer_version_replaces_a_document_received_in_part(self):
        self.replace(4)
        self.exchange(2)
        self.replace(9)
        self.exchange(self.count_parts())
        self.assertEqual(9, self.entry.document.version)

    def test_repeated_and_late_parts_are_ignored(self):
        self.replace(4)
        first = self.answer()
        self.exchange()
        for _ in range(2):
            second = self.answer()
            self.entry.receive_answer(second, 0.0)
            self.entry.receive_answer(second, 0.0)
        self.exchange(self.count_parts() - 3)
        self.assertEqual(4, self.entry.document.version)
        self.entry.receive_answer(first, 0.0)
        self.assertEqual(4, self.entry.document.version)

    def test_difference_too_large_for_an_answer_is_sent_in_parts(self):
        for version in (4, 9):
            self.replace(version)
            self.exchange(self.count_parts())
            self.assertEqual(version, self.entry.document.version)

    def test_parts_that_cannot_be_decoded_are_requested_again(self):
        self.replace(4)
        self.exchange(self.count_parts() - 1)
        answer = catalog.decode_struct(messages.Answer, self.answer())
        answer.part = bytes(len(answer.part))
        with self.assertRaises(zlib.error):
            self.entry.receive_answer(catalog.encode_struct(answer), 0.0)
        self.exchange(self.count_parts())
        self.assertEqual(4, self.entry.document.version)

    def test_host_of_an_earlier_release_gets_the_whole_document(self):
        self.replace(4)
        report = catalog.encode_struct(messages.Report(0))
        answer = self.control.answer_report("e1", report, 0.0)
        decoded = catalog.decode_struct(messages.Answer, answer)
        self.assertEqual(self.machine.source, decoded.source)


class CheckTest(unittest.TestCase):
    def test_shared_key_is_rejected_without_showing_it(self):
        shared = {
            name: documents.Organisation(name, ("secret-key",), 1.0, 1.0)
            for name in ("ward-4", "ward-5")
        }
        with self.assertRaises(checks.CheckError) as caught:
            documents.check_document(build_document(organisations=shared))
        self.assertNotIn("secret-key", str(caught.exception))

    def test_database_of_unknown_group_is_rejected(self):
        with self.assertRaises(checks.CheckError):
            documents.check_document(build_document(groups={}))

    def test_database_without_statement_timeout_is_rejected(self):
        document = build_document()
        database = document.databases["draw"]._replace(statement_timeout_s=0.0)
        with self.assertRaises(checks.CheckError):
            documents.check_document(document._replace(databases={"draw": database}))
