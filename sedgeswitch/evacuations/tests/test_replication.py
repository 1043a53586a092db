"""Tests that acknowledged evacuations survive the loss of hosts, disks and power."""

import unittest

import trio

from sedgeswitch import verdicts
from sedgeswitch.agreement.tests import builders as agreement_builders
from sedgeswitch.evacuations.tests import builders

NODES = ("n1", "n2", "n3")
ZONE = builders.ZONE


class ReplicationTest(unittest.TestCase):
    def run_cluster(self, body, **overrides):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                builders.run_cluster(body, seed, **overrides)

    def test_new_leader_gives_the_same_answer_to_a_retried_request(self):
        # Guards against a leader lost between commit and response.
        async def body(cluster):
            leader = await cluster.bootstrap(*NODES)
            await cluster.get_operations(leader).start(ZONE)
            await cluster.kill(leader)
            new_leader = await cluster.wait_for_leader(other_than=leader)
            version = cluster.machines[new_leader].version
            await cluster.get_operations(new_leader).start(ZONE)
            self.assertEqual([ZONE], await cluster.list_evacuated())
            self.assertEqual(version, cluster.machines[new_leader].version)

        self.run_cluster(body)

    def test_evacuations_survive_a_power_loss_on_all_hosts(self):
        async def body(cluster):
            leader = await cluster.bootstrap(*NODES)
            await cluster.get_operations(leader).start(ZONE)
            await cluster.get_operations(leader).start("koshi-a")
            await cluster.get_operations(leader).end("koshi-a")
            for node_id in NODES:
                await cluster.kill(node_id)
            for node_id in NODES:
                await cluster.start(node_id)
            self.assertEqual([ZONE], await cluster.list_evacuated())

        self.run_cluster(body)

    def test_evacuations_survive_a_rolling_stop_of_all_hosts(self):
        async def body(cluster):
            leader = await cluster.bootstrap(*NODES)
            await cluster.get_operations(leader).start(ZONE)
            for node_id in NODES:
                await cluster.kill(node_id)
                await cluster.wait_for_leader()
                await cluster.start(node_id)
                self.assertEqual([ZONE], await cluster.list_evacuated())

        self.run_cluster(body)

    def test_evacuations_in_a_snapshot_survive_the_loss_of_a_disk(self):
        async def body(cluster):
            leader = await cluster.bootstrap(*NODES)
            await cluster.get_operations(leader).start(ZONE)
            await cluster.propose_many(60)
            lost = next(name for name in NODES if name != leader)
            await cluster.kill(lost)
            cluster.lose_disk(lost)
            await cluster.start(lost)
            leader = await cluster.wait_for_leader()
            await cluster.hosts[leader].node.replace_voter(
                lost, lost, agreement_builders.build_address(lost), 20.0
            )
            await cluster.wait_until_caught_up([lost])
            self.assertEqual({ZONE}, cluster.machines[lost].zones)

        self.run_cluster(body, snapshot_every_entries=20)

    def test_request_is_not_acknowledged_without_a_majority(self):
        async def body(cluster):
            leader = await cluster.bootstrap(*NODES)
            for node_id in NODES:
                if node_id != leader:
                    await cluster.kill(node_id)
            with self.assertRaises(verdicts.RefusedError) as caught:
                await cluster.get_operations(leader).start(ZONE)
            self.assertEqual(503, caught.exception.refusal.status)
            self.assertEqual(frozenset(), cluster.machines[leader].zones)

        self.run_cluster(body)

    def test_request_is_acknowledged_within_8_s_while_leaders_are_lost(self):
        async def body(cluster):
            leader = await cluster.bootstrap(*NODES)
            await cluster.kill(leader)
            left = [name for name in NODES if name != leader]
            with trio.fail_after(8.0):
                for attempt in range(1000):
                    try:
                        await cluster.get_operations(left[attempt % 2]).start(ZONE)
                        break
                    except verdicts.RefusedError:
                        await trio.sleep(0.05)
            self.assertEqual([ZONE], await cluster.list_evacuated())

        self.run_cluster(body)


if __name__ == "__main__":
    unittest.main()
