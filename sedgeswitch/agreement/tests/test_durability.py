"""Tests that hosts answer and commit only after a sync, and lose no committed entry."""

import random
import unittest

import trio
import trio.testing

from sedgeswitch.agreement import election
from sedgeswitch.agreement import log
from sedgeswitch.agreement import messages
from sedgeswitch.agreement import replication
from sedgeswitch.agreement import settings
from sedgeswitch.agreement import snapshots
from sedgeswitch.agreement import state
from sedgeswitch.agreement import state_machines
from sedgeswitch.agreement import storage
from sedgeswitch.agreement import voters
from sedgeswitch.agreement import writer

MEMBERS = tuple(voters.Member(name, "127.0.0.1", 7000, "aa") for name in "abc")
VOTER_SET = voters.VoterSet(MEMBERS)
EMPTY = storage.Snapshot(0, 0, VOTER_SET, b"")


class _RecordingStorage:
    """Records the changes that were written and synced."""

    def __init__(self):
        self.changes = []

    def write(self, changes):
        self.changes.extend(changes)


async def _run_inline(function, *args):
    await trio.lowlevel.checkpoint()
    return function(*args)


def _build_state(last_index, age_s=10.0):
    kind = storage.EntryKind.COMMAND
    entries = [
        storage.Entry(index, 1, kind, b"x") for index in range(1, last_index + 1)
    ]
    disk = _RecordingStorage()
    return disk, state.State(
        settings.NodeSettings("a"),
        "aa",
        log.Log(EMPTY, entries),
        writer.Writer(disk, _run_inline),
        storage.StoredState("aa", 1, "b/aa"),
        trio.current_time() - age_s,
    )


class AnswerTest(unittest.TestCase):
    """Guards against answers and commits before the sync.

    They would acknowledge entries and votes that a crash can still lose. The writer
    starts late, which stands for a slow disk.
    """

    def _check_answered_after_sync(self, build_call, expected):
        async def body():
            disk, host = _build_state(2)
            replies = []

            async def call_handler():
                replies.append(await build_call(host))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call_handler)
                await trio.testing.wait_all_tasks_blocked()
                self.assertEqual(replies, [])
                nursery.start_soon(host.writer.run)
                await trio.testing.wait_all_tasks_blocked()
                self.assertEqual(len(replies), 1)
                self.assertIn(expected, [type(change) for change in disk.changes])
                nursery.cancel_scope.cancel()

        trio.run(body)

    def test_entries_are_answered_after_sync(self):
        def call(host):
            entry = messages.LogEntry(1, storage.EntryKind.COMMAND, b"y")
            request = messages.AppendRequest(1, "b", "aa", 2, 1, [entry], 0)
            return replication.Follower(host).answer_append(request)

        self._check_answered_after_sync(call, storage.Append)

    def test_vote_is_answered_after_sync(self):
        def call(host):
            voting = election.Election(host, None, random.Random(1))
            request = messages.VoteRequest(2, "b/aa", "aa", 2, 1, False, False, "")
            return voting.answer_vote(request)

        self._check_answered_after_sync(call, storage.SaveVote)

    def test_leader_counts_itself_only_after_sync(self):
        async def body():
            _, host = _build_state(2)
            host.adopt_term(2)
            host.become_leader(0.0)
            host.progress["b/aa"].match_index = 3
            host.advance_commit()
            self.assertEqual(host.commit_index, 0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(host.writer.run)
                await host.writer.wait_until_synced()
                nursery.cancel_scope.cancel()
            host.advance_commit()
            self.assertEqual(host.commit_index, 3)

        trio.run(body)

    def test_entry_of_an_earlier_term_is_not_committed_by_replica_count(self):
        async def body():
            _, host = _build_state(2)
            host.adopt_term(2)
            host.become_leader(0.0)
            for progress in host.progress.values():
                progress.match_index = 2
            host.advance_commit()
            self.assertEqual(host.commit_index, 0)

        trio.run(body)


class SnapshotTest(unittest.TestCase):
    def test_installed_snapshot_keeps_the_entries_after_it(self):
        async def body():
            disk, host = _build_state(10)
            receiver = snapshots.SnapshotReceiver(host, state_machines.Registry())
            body = state_machines.Registry().save_snapshot()
            checksum = snapshots.hash_body(body)
            voter_set = voters.encode_voter_set(VOTER_SET)
            request = messages.SnapshotRequest(
                1, "b", "aa", 5, 1, voter_set, 0, len(body), body, checksum
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(host.writer.run)
                reply = await receiver.answer_snapshot(request)
                nursery.cancel_scope.cancel()
            self.assertEqual(reply.next_offset_bytes, len(body))
            self.assertEqual(host.applied_index, 5)
            self.assertEqual(host.log.last_index, 10)
            self.assertNotIn(storage.Truncate, [type(item) for item in disk.changes])

        trio.run(body)


class VoteTest(unittest.TestCase):
    def test_voter_with_a_longer_log_rejects_the_candidate(self):
        async def body():
            _, host = _build_state(3)
            voting = election.Election(host, None, random.Random(1))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(host.writer.run)
                request = messages.VoteRequest(2, "b/aa", "aa", 2, 1, False, False, "")
                self.assertFalse((await voting.answer_vote(request)).is_granted)
                nursery.cancel_scope.cancel()

        trio.run(body)

    def test_restarted_voter_rejects_candidates_for_the_minimum_timeout(self):
        # The voter may have extended a leader's lease just before the restart, which
        # is not stored.
        async def body():
            _, host = _build_state(2, age_s=0.0)
            voting = election.Election(host, None, random.Random(1))
            request = messages.VoteRequest(2, "b/aa", "aa", 2, 1, True, False, "")
            self.assertFalse((await voting.answer_vote(request)).is_granted)
            await trio.sleep(host.settings.election_timeout_min_s)
            self.assertTrue((await voting.answer_vote(request)).is_granted)

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(body, clock=clock)


if __name__ == "__main__":
    unittest.main()
