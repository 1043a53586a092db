"""Tests of clusters with injected faults, in virtual time."""

import contextlib
import itertools
import os
import unittest
import unittest.mock

import hypothesis
import loguru
import trio
from hypothesis import strategies

from sedgeswitch.agreement import errors
from sedgeswitch.agreement import messages
from sedgeswitch.agreement import replication
from sedgeswitch.agreement import sqlite_storage
from sedgeswitch.agreement import storage
from sedgeswitch.agreement import voters
from sedgeswitch.agreement.tests import builders

RUN_S = 12.0
# SEDGESWITCH_EXAMPLES=200, for example, makes more runs than the test suite.
EXAMPLES = int(os.environ.get("SEDGESWITCH_EXAMPLES", "10"))
SEVEN = ("c1", "c2", "c3", "c4", "c5", "c6", "c7")
COUNTS = strategies.sampled_from([3, 5, 7])
THREE = ("c1", "c2", "c3")


async def _propose_commands(cluster, name, until_s):
    """Propose commands, one at a time, at each host that has itself as leader."""
    number = 0
    while trio.current_time() < until_s:
        await trio.sleep(cluster.rng.uniform(0.0, 0.05))
        for node_id in list(cluster.hosts):
            host = cluster.hosts.get(node_id)
            if host is None or host.node.leader_id != node_id:
                continue
            number += 1
            with contextlib.suppress(errors.AgreementError):
                await cluster.propose(node_id, f"{name}-{number}".encode())


async def _check_leases(cluster, until_s):
    while trio.current_time() < until_s:
        cluster.get_leader()
        await trio.sleep(0.007)


async def _replace_lost_disk(cluster, node_id):
    """Make a host that has lost its disk a voter again, with retries."""
    while True:
        await trio.sleep(0.3)
        leader = cluster.get_leader()
        if leader is None or node_id not in cluster.hosts:
            continue
        address = builders.build_address(node_id)
        with contextlib.suppress(errors.AgreementError):
            await cluster.hosts[leader].node.replace_voter(
                node_id, node_id, address, 5.0
            )
            return


class _Faults:
    """Injects random faults; at most a minority is down or has lost its disk."""

    def __init__(self, cluster, node_ids):
        self.cluster = cluster
        self.node_ids = node_ids
        self.lost = None

    async def run(self, until_s, nursery):
        rng = self.cluster.rng
        actions = (self.kill, self.kill, self.kill_leader, self.start, self.start)
        actions += (self.isolate, self.block_link, self.heal, self.heal, self.lose_disk)
        while trio.current_time() < until_s:
            await trio.sleep(rng.uniform(0.02, 1.2))
            await rng.choice(actions)(nursery)

    def _can_kill(self):
        lost = {self.lost} & self.cluster.hosts.keys()
        return len(self.cluster.hosts) - len(lost) > len(self.node_ids) // 2 + 1

    async def kill(self, _nursery):
        if self._can_kill():
            await self.cluster.kill(self.cluster.rng.choice(sorted(self.cluster.hosts)))

    async def kill_leader(self, _nursery):
        leader = self.cluster.get_leader()
        if leader is not None and self._can_kill():
            await self.cluster.kill(leader)

    async def start(self, _nursery):
        down = [name for name in self.node_ids if name not in self.cluster.hosts]
        if down:
            await self.cluster.start(self.cluster.rng.choice(down))

    async def isolate(self, _nursery):
        rng = self.cluster.rng
        both, inward = rng.random() < 0.5, rng.random() < 0.5
        self.cluster.network.isolate(
            rng.choice(self.node_ids), both or inward, both or not inward
        )

    async def block_link(self, _nursery):
        rng = self.cluster.rng
        source, target = rng.sample(self.node_ids, 2)
        self.cluster.network.loss = rng.choice((0.0, 0.05, 0.3))
        self.cluster.network.blocked.add(
            (builders.build_address(source), builders.build_address(target))
        )

    async def heal(self, _nursery):
        self.cluster.network.heal()

    async def lose_disk(self, nursery):
        down = [name for name in self.node_ids if name not in self.cluster.hosts]
        # Only one host lacks its disk at a time.
        if self.lost is not None or not down:
            return
        self.lost = down[0]
        self.cluster.lose_disk(self.lost)
        await self.cluster.start(self.lost)
        nursery.start_soon(self._replace_lost_disk, self.lost)

    async def _replace_lost_disk(self, node_id):
        await _replace_lost_disk(self.cluster, node_id)
        self.lost = None


async def _run_faults(cluster, node_ids):
    await cluster.bootstrap(*node_ids)
    until_s = trio.current_time() + RUN_S
    faults = _Faults(cluster, node_ids)
    async with trio.open_nursery() as nursery:
        for name in ("a", "b", "c"):
            nursery.start_soon(_propose_commands, cluster, name, until_s)
        nursery.start_soon(_check_leases, cluster, until_s + 5.0)
        await faults.run(until_s, nursery)
        cluster.network.heal()
        for node_id in node_ids:
            if node_id not in cluster.hosts:
                await cluster.start(node_id)
    await cluster.propose_many(5, "healed")
    await cluster.wait_until_caught_up(node_ids)
    cluster.check_outcomes(node_ids)


class RandomFaultTest(unittest.TestCase):
    """Guards against lost, doubled and wrongly reported commands and double leases.

    Kills, partitions, message loss and lost disks occur in random order. Hypothesis
    prints the seed of a failing run and seeds trio's scheduler.
    """

    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=EXAMPLES,
        phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    )
    @hypothesis.given(strategies.integers(0, 2**32), COUNTS)
    def test_random_faults_keep_every_promise(self, seed, count):
        async def body(cluster):
            await _run_faults(cluster, SEVEN[:count])

        builders.run_cluster(body, seed, snapshot_every_entries=40, retained_entries=5)


class PartitionTest(unittest.TestCase):
    def test_isolated_leader_loses_its_lease_before_another_leads(self):
        async def body(cluster):
            old = await cluster.bootstrap(*THREE)
            await cluster.propose_many(5)
            cluster.network.isolate(old)
            isolated_s = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_check_leases, cluster, isolated_s + 60.0)
                await trio.sleep(0.6)
                host = cluster.hosts[old]
                self.assertIsNone(host.node.get_leadership(trio.current_time()))
                with self.assertRaises(errors.AgreementError):
                    await cluster.propose(old, b"during-partition")
                with self.assertRaises(errors.NotLeaderError):
                    await host.node.read_barrier(1.0)
                new = await cluster.wait_for_leader()
                self.assertNotEqual(new, old)
                await cluster.propose(new, b"after-partition")
            with self.assertRaises(errors.NotLeaderError):
                await cluster.propose(old, b"refused")
            cluster.network.heal()
            await cluster.wait_until_caught_up(THREE)
            cluster.check_outcomes(THREE)
            # With the pre-vote the isolated host has not raised the term.
            self.assertEqual(cluster.get_leader(), new)

        builders.run_cluster(body)

    def test_leader_that_receives_no_messages_steps_down(self):
        async def body(cluster):
            old = await cluster.bootstrap(*THREE)
            cluster.network.isolate(old, inward=True, outward=False)
            await cluster.wait_for_leader(other_than=old)

        builders.run_cluster(body)

    def test_follower_cut_off_from_the_leader_alone_is_not_elected(self):
        async def body(cluster):
            leader = await cluster.bootstrap(*THREE)
            follower = next(name for name in THREE if name != leader)
            source = builders.build_address(leader)
            cluster.network.blocked.add((source, builders.build_address(follower)))
            await _check_leases(cluster, trio.current_time() + 20.0)
            self.assertEqual(cluster.get_leader(), leader)

        builders.run_cluster(body)

    def test_follower_that_receives_no_messages_does_not_raise_the_term(self):
        async def body(cluster):
            leader = await cluster.bootstrap(*THREE)
            term = cluster.hosts[leader].node.get_status(0.0).term
            follower = next(name for name in THREE if name != leader)
            cluster.network.isolate(follower, inward=True, outward=False)
            await trio.sleep(20.0)
            self.assertEqual(cluster.get_leader(), leader)
            self.assertEqual(cluster.hosts[leader].node.get_status(0.0).term, term)

        builders.run_cluster(body)


class LostDiskTest(unittest.TestCase):
    async def _damage_quorum_member(self, cluster, damage):
        """Commit on two hosts, damage the disk of one of them, and stop the other.

        The host that lacks the entries and the damaged one are a majority. If they
        elected a leader, the committed entries would be lost.
        """
        leader = await cluster.bootstrap(*THREE)
        behind, damaged = (name for name in THREE if name != leader)
        cluster.network.isolate(behind)
        await cluster.propose_many(20)
        await cluster.kill(damaged)
        damage(damaged)
        await cluster.kill(leader)
        await cluster.start(damaged)
        cluster.network.heal()
        await trio.sleep(30.0)
        self.assertIsNone(cluster.get_leader())
        await cluster.start(leader)
        await _replace_lost_disk(cluster, damaged)
        await cluster.wait_until_caught_up(THREE)
        cluster.check_outcomes(THREE)
        status = cluster.hosts[damaged].node.get_status(trio.current_time())
        self.assertTrue(status.is_admitted)
        return status

    def test_host_with_an_empty_disk_does_not_vote_until_it_is_replaced(self):
        async def body(cluster):
            await self._damage_quorum_member(cluster, cluster.lose_disk)

        builders.run_cluster(body)

    def test_host_with_a_corrupt_disk_does_not_vote_until_it_is_replaced(self):
        async def body(cluster):
            def corrupt(node_id):
                path = cluster.get_folder(node_id) / sqlite_storage.FILE_NAME
                content = path.read_bytes()
                position = content.rindex(b"fill-19")
                path.write_bytes(content[:position] + b"?" + content[position + 1 :])

            status = await self._damage_quorum_member(cluster, corrupt)
            self.assertIn("checksum", status.damage)

        builders.run_cluster(body)

    def test_loss_of_a_second_host_right_after_a_replacement_is_survived(self):
        async def body(cluster):
            leader = await cluster.bootstrap(*THREE)
            lost, other = (name for name in THREE if name != leader)
            await cluster.propose_many(300)
            await cluster.kill(lost)
            await cluster.start("c4")
            address = builders.build_address("c4")
            await cluster.hosts[leader].node.replace_voter(lost, "c4", address, 20.0)
            await cluster.kill(leader)
            await cluster.wait_for_leader()
            await cluster.propose_many(5, "after")
            await cluster.wait_until_caught_up((other, "c4"))
            cluster.check_outcomes((other, "c4"))

        builders.run_cluster(body)

    def test_replacement_returns_once_the_new_host_has_stored_it(self):
        async def body(cluster):
            leader = await cluster.bootstrap(*THREE)
            lost = next(name for name in THREE if name != leader)
            await cluster.start("c4")
            address = builders.build_address("c4")
            cluster.network.extra_delay_s[address] = 0.1
            await cluster.hosts[leader].node.replace_voter(lost, "c4", address, 20.0)
            status = cluster.hosts["c4"].node.get_status(trio.current_time())
            self.assertIn("c4", status.voters)
            self.assertFalse(status.is_changing_voters)
            log = cluster.hosts["c4"].node._state.log
            sets = [
                voters.decode_voter_set(log.get_entry(index).body)
                for index in range(log.first_index, log.last_index + 1)
                if log.get_entry(index).kind is storage.EntryKind.VOTER_SET
            ]
            self.assertEqual(len(sets), 3)
            for before, after in itertools.pairwise(sets):
                self._check_quorums_meet(before, after)

        builders.run_cluster(body)

    def _check_quorums_meet(self, before, after):
        keys = {member.key for member in before.members + after.members}
        for count in range(len(keys) + 1):
            for chosen in map(set, itertools.combinations(sorted(keys), count)):
                is_split = before.has_quorum(chosen) and after.has_quorum(keys - chosen)
                self.assertFalse(is_split, f"{chosen} against {keys - chosen}")

    def test_second_change_is_rejected_until_the_first_is_committed(self):
        async def body(cluster):
            leader = await cluster.bootstrap(*THREE)
            lost, other = (name for name in THREE if name != leader)
            await cluster.start("c4")
            replace = cluster.hosts[leader].node.replace_voter
            # Without the snapshot the new host cannot catch up, so the change hangs.
            endpoint = cluster.network.endpoints[builders.build_address("c4")]
            handler = endpoint.handlers.pop(messages.SnapshotRequest)
            async with trio.open_nursery() as nursery:

                async def first():
                    with self.assertRaises(errors.OutcomeUnknownError):
                        await replace(lost, "c4", builders.build_address("c4"), 8.0)

                nursery.start_soon(first)
                await trio.sleep(1.0)
                with self.assertRaises(errors.ChangeInProgressError):
                    await replace(other, "c5", builders.build_address("c5"), 1.0)
            self.assertIn(lost, cluster.hosts[leader].node.get_status(0.0).voters)
            endpoint.handlers[messages.SnapshotRequest] = handler
            await replace(lost, "c4", builders.build_address("c4"), 8.0)
            names = cluster.hosts[leader].node.get_status(0.0).voters
            self.assertEqual(set(names), {leader, other, "c4"})

        builders.run_cluster(body)

    def test_leader_that_is_replaced_by_another_host_steps_down(self):
        async def body(cluster):
            old = await cluster.bootstrap(*THREE)
            await cluster.start("c4")
            address = builders.build_address("c4")
            await cluster.hosts[old].node.replace_voter(old, "c4", address, 8.0)
            await cluster.wait_for_leader(other_than=old)
            await cluster.propose_many(3)

        builders.run_cluster(body)


class ReturningVoterTest(unittest.TestCase):
    """Guards against changes of the voters that never end.

    A leader that had removed a voter sent it nothing after its return.
    """

    def test_replaced_voter_becomes_a_voter_again_under_the_same_leader(self):
        async def body(cluster):
            leader = await cluster.bootstrap(*THREE)
            replace = cluster.hosts[leader].node.replace_voter
            old = next(name for name in THREE if name != leader)
            await cluster.kill(old)
            await cluster.start("c4")
            await replace(old, "c4", builders.build_address("c4"), 5.0)
            await cluster.propose_many(5)
            await trio.sleep(2.0)
            await cluster.start(old)
            await cluster.kill("c4")
            await replace("c4", old, builders.build_address(old), 5.0)
            self.assertEqual(leader, cluster.get_leader())
            await cluster.wait_until_caught_up([old])
            cluster.check_outcomes([old])

        builders.run_cluster(body)


class CompactedLogTest(unittest.TestCase):
    """Guards against a leader that ends, and so does each following one.

    After a lost disk a host receives the log from its first entry. Meanwhile the leader
    replaced the first entries by a snapshot, and failed when it looked them up.
    """

    def run_with_small_snapshots(self, body):
        builders.run_cluster(body, snapshot_every_entries=20, retained_entries=2)

    async def _stop_before_first_entry(self, cluster, name):
        """Start a host that answers no entries after it has stored the voters."""
        await cluster.start(name)
        handlers = cluster.network.endpoints[builders.build_address(name)].handlers
        answer_append = handlers[messages.AppendRequest]

        async def block(request):
            if cluster.hosts[name].node.get_voter_addresses():
                await trio.sleep_forever()
            return await answer_append(request)

        handlers[messages.AppendRequest] = block
        return lambda: handlers.update({messages.AppendRequest: answer_append})

    async def _replace(self, cluster, lost):
        leader = await cluster.wait_for_leader()
        with contextlib.suppress(errors.AgreementError):
            await cluster.hosts[leader].node.replace_voter(
                lost, lost, builders.build_address(lost), 2.0
            )

    async def _lose_disk(self, cluster):
        leader = await cluster.bootstrap(*THREE)
        lost = next(name for name in THREE if name != leader)
        await cluster.kill(lost)
        cluster.lose_disk(lost)
        unblock = await self._stop_before_first_entry(cluster, lost)
        await self._replace(cluster, lost)
        await cluster.propose_many(60)
        return lost, unblock

    def test_leader_takes_a_snapshot_while_a_host_receives_the_first_entries(self):
        async def body(cluster):
            lost, unblock = await self._lose_disk(cluster)
            unblock()
            await self._replace(cluster, lost)
            await cluster.wait_until_caught_up([lost])
            cluster.check_outcomes([lost])

        self.run_with_small_snapshots(body)

    def test_next_leader_serves_a_host_without_the_first_entries(self):
        async def body(cluster):
            lost, _ = await self._lose_disk(cluster)
            for name in THREE:
                await cluster.kill(name)
            for name in THREE:
                await cluster.start(name)
            await cluster.wait_for_leader()
            await self._replace(cluster, lost)
            await cluster.wait_until_caught_up([lost])
            cluster.check_outcomes([lost])

        self.run_with_small_snapshots(body)


class FailingPeerTest(unittest.TestCase):
    """Guards against a leader that an error at one peer ends."""

    def setUp(self):
        loguru.logger.disable("sedgeswitch.utils")
        self.addCleanup(loguru.logger.enable, "sedgeswitch.utils")

    def test_error_at_one_peer_leaves_the_others_replicated(self):
        send_entries = replication.Replication._send_entries

        async def body(cluster):
            leader = await cluster.bootstrap(*THREE)
            bad, good = (name for name in THREE if name != leader)

            async def fail_at_one(self, member, term, progress):
                if member.id == bad:
                    raise LookupError("entry 1 precedes the first, 151")
                await send_entries(self, member, term, progress)

            with unittest.mock.patch.object(
                replication.Replication, "_send_entries", fail_at_one
            ):
                await cluster.propose_many(5)
                await cluster.wait_until_caught_up([good])
            self.assertEqual(leader, cluster.get_leader())
            await cluster.wait_until_caught_up([bad])

        builders.run_cluster(body)


class RestartTest(unittest.TestCase):
    def test_restart_after_500_entries_loads_a_snapshot_and_few_entries(self):
        async def body(cluster):
            await cluster.bootstrap(*THREE)
            await cluster.propose_many(500)
            await cluster.wait_until_caught_up(THREE)
            expected = list(cluster.hosts["c1"].state_machine.bodies)
            self.assertEqual(len(expected), 500)
            for node_id in THREE:
                await cluster.kill(node_id)
                store = sqlite_storage.SqliteStorage(cluster.get_folder(node_id))
                stored = store.open()
                store.close()
                self.assertEqual(stored.snapshot.index, 400)
                self.assertLessEqual(len(stored.entries), 250)
            for node_id in THREE:
                await cluster.start(node_id)
            await cluster.wait_until_caught_up(THREE)
            for node_id in THREE:
                self.assertEqual(cluster.hosts[node_id].state_machine.bodies, expected)

        builders.run_cluster(body)

    def test_follower_that_is_far_behind_receives_the_snapshot_in_chunks(self):
        async def body(cluster):
            leader = await cluster.bootstrap(*THREE)
            slow = next(name for name in THREE if name != leader)
            await cluster.kill(slow)
            await cluster.propose_many(60)
            await cluster.start(slow)
            await cluster.wait_until_caught_up(THREE)
            cluster.check_outcomes(THREE)

        builders.run_cluster(
            body, snapshot_every_entries=20, retained_entries=2, max_batch_bytes=64
        )


if __name__ == "__main__":
    unittest.main()
