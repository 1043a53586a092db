"""Tests of the log storage with real files."""

import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sedgeswitch.agreement import errors
from sedgeswitch.agreement import log
from sedgeswitch.agreement import sqlite_storage
from sedgeswitch.agreement import storage
from sedgeswitch.agreement import voters
from sedgeswitch.agreement.tests import builders

VOTER_SET = voters.VoterSet((voters.Member("c1", "127.0.0.1", 7001, "aa"),))
EMPTY = storage.Snapshot(0, 0, VOTER_SET, b"")


def build_entries(first, last, term=1):
    kind = storage.EntryKind.COMMAND
    return tuple(
        storage.Entry(index, term, kind, b"body-%d" % index)
        for index in range(first, last + 1)
    )


class LogStorageModel(stateful.RuleBasedStateMachine):
    """Checks that the log read from disk equals the log in memory.

    Hypothesis draws the changes and when the file is closed and opened again.
    """

    def __init__(self):
        super().__init__()
        self.folder = tempfile.TemporaryDirectory(dir=builders.MEMORY_FOLDER)
        self.store = sqlite_storage.SqliteStorage(pathlib.Path(self.folder.name))
        self.store.open()
        self.store.reset("incarnation")
        self.store.write([storage.SaveSnapshot(EMPTY, 1)])
        self.log = log.Log(EMPTY)
        self.vote = (0, "")

    def teardown(self):
        self.store.close()
        self.folder.cleanup()

    @stateful.rule(count=strategies.integers(1, 5), term=strategies.integers(0, 2))
    def append(self, count, term):
        first = self.log.last_index + 1
        entries = build_entries(first, first + count - 1, self.log.last_term + term)
        self.log.append(entries)
        self.store.write([storage.Append(entries)])

    @stateful.rule(draw=strategies.floats(0, 1))
    def truncate_and_vote(self, draw):
        low, high = self.log.snapshot_index + 1, self.log.last_index
        if low > high:
            return
        index = low + int(draw * (high - low))
        self.log.truncate(index)
        self.vote = (self.log.last_term + 1, f"c{index}")
        self.store.write([storage.Truncate(index), storage.SaveVote(*self.vote)])

    @stateful.rule(draw=strategies.floats(0, 1), retained=strategies.integers(0, 3))
    def compact(self, draw, retained):
        low, high = self.log.snapshot_index + 1, self.log.last_index
        if low > high:
            return
        index = low + int(draw * (high - low))
        term = self.log.get_term(index)
        snapshot = storage.Snapshot(index, term, VOTER_SET, b"s%d" % index)
        keep = max(self.log.first_index, index + 1 - retained)
        self.log.compact(snapshot, keep)
        self.store.write([storage.SaveSnapshot(snapshot, keep)])

    @stateful.rule(ahead=strategies.integers(0, 5))
    def install(self, ahead):
        index = self.log.last_index + ahead
        snapshot = storage.Snapshot(index, 9, VOTER_SET, b"i%d" % index)
        truncate = storage.Truncate(self.log.first_index)
        self.log.install(snapshot)
        self.store.write([truncate, storage.SaveSnapshot(snapshot, index + 1)])

    @stateful.rule()
    def reopen(self):
        self.store.close()
        self.store = sqlite_storage.SqliteStorage(pathlib.Path(self.folder.name))
        stored = self.store.open()
        assert not stored.damage, stored.damage
        assert (stored.term, stored.voted_for) == self.vote
        assert stored.snapshot == self.log.snapshot
        first, last = self.log.first_index, self.log.last_index
        expected = [self.log.get_entry(index) for index in range(first, last + 1)]
        assert list(stored.entries) == expected


class LogStorageTest(LogStorageModel.TestCase):
    settings = hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=60
    )


class DamageTest(unittest.TestCase):
    """Guards against a corrupt file that is read as another, valid state.

    The host would then vote twice in a term or lose acknowledged entries. Each
    corruption must be reported or leave the state as it was.
    """

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.path = self.folder / sqlite_storage.FILE_NAME
        store = sqlite_storage.SqliteStorage(self.folder)
        store.open()
        store.reset("incarnation")
        store.write([storage.SaveSnapshot(EMPTY, 1), storage.SaveVote(3, "c1/aa")])
        for index in range(1, 60):
            store.write([storage.Append(build_entries(index, index))])
        store.close()
        self.content = self.path.read_bytes()
        self.intact = self._open()

    def _open(self):
        store = sqlite_storage.SqliteStorage(self.folder)
        try:
            return store.open()
        finally:
            store.close()

    def _check_damage(self, content):
        self.path.write_bytes(content)
        try:
            stored = self._open()
        except errors.StorageError:
            # The file cannot be opened, so the host does not start.
            return
        if not stored.damage:
            self.assertEqual(stored, self.intact)

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(strategies.integers(0, 2**30), strategies.integers(1, 255))
    @hypothesis.example(3784, 238).via("schema text that is not valid UTF-8")
    @hypothesis.example(3857, 216).via("schema that lacks a column")
    def test_corrupt_byte_is_never_read_as_another_state(self, place, mask):
        content = bytearray(self.content)
        content[place % len(content)] ^= mask
        self._check_damage(bytes(content))

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(strategies.integers(0, 2**30), strategies.booleans())
    def test_torn_tail_is_never_read_as_a_shorter_log(self, place, is_zeroed):
        length = place % len(self.content)
        tail = bytes(len(self.content) - length) if is_zeroed else b""
        self._check_damage(self.content[:length] + tail)

    def test_lost_last_entry_is_reported(self):
        store = sqlite_storage.SqliteStorage(self.folder)
        store.open()
        store._connection.execute("DELETE FROM entry WHERE idx = 59")
        store.close()
        self.assertIn("entries are missing", self._open().damage)

    def test_damaged_file_is_renamed_and_replaced(self):
        self.path.write_bytes(self.content[:5000])
        store = sqlite_storage.SqliteStorage(self.folder)
        self.assertTrue(store.open().damage)
        store.reset("second")
        store.close()
        self.assertEqual(self._open(), storage.StoredState("second"))
        renamed = self.folder / "agreement.damaged-1"
        self.assertEqual(renamed.read_bytes(), self.content[:5000])

    def test_folder_in_use_raises_a_storage_error(self):
        store = sqlite_storage.SqliteStorage(self.folder)
        store.open()
        store.write([storage.SaveVote(4, "")])
        self.addCleanup(store.close)
        with self.assertRaises(errors.StorageError):
            self._open()


if __name__ == "__main__":
    unittest.main()
