"""Tests of how soon a leader is found, in virtual time."""

import unittest

import trio

from sedgeswitch.agreement.tests import builders

THREE = ("c1", "c2", "c3")
ELECTION_TIMEOUT_MIN_S = 0.6


async def _restart_all(cluster, uptime_s, restarted=THREE):
    """Kill all hosts at once and return how long they then are without a leader."""
    for node_id in THREE:
        if node_id in cluster.hosts:
            await cluster.kill(node_id)
    started_s = trio.current_time()
    for node_id in restarted:
        await cluster.start(node_id, uptime_s)
    await cluster.wait_for_leader()
    return trio.current_time() - started_s


class RestartTest(unittest.TestCase):
    """All control hosts are killed at once, or lose their power."""

    def play(self, body):
        async def play_once(cluster):
            await cluster.bootstrap(*THREE)
            await body(cluster)

        for seed in range(8):
            with self.subTest(seed=seed):
                builders.run_cluster(play_once, seed)

    def test_voters_that_were_all_restarted_lead_at_once(self):
        async def body(cluster):
            outage_s = await _restart_all(cluster, 0.0)
            self.assertLess(outage_s, ELECTION_TIMEOUT_MIN_S / 2)

        self.play(body)

    def test_voter_without_its_disk_holds_nobody_up(self):
        async def body(cluster):
            await cluster.kill("c3")
            cluster.lose_disk("c3")
            outage_s = await _restart_all(cluster, 0.0)
            self.assertLess(outage_s, ELECTION_TIMEOUT_MIN_S / 2)

        self.play(body)

    def test_missing_voter_may_still_lead_until_its_lease_ends(self):
        async def body(cluster):
            outage_s = await _restart_all(cluster, 0.0, restarted=THREE[:2])
            self.assertGreaterEqual(outage_s, ELECTION_TIMEOUT_MIN_S)

        self.play(body)

    def test_uptime_counts_where_a_voter_is_missing(self):
        async def body(cluster):
            uptime_s = 2 * ELECTION_TIMEOUT_MIN_S
            outage_s = await _restart_all(cluster, uptime_s, restarted=THREE[:2])
            self.assertLess(outage_s, ELECTION_TIMEOUT_MIN_S)

        self.play(body)

    def test_restarted_followers_do_not_vote_while_a_leader_may_hold_a_lease(self):
        async def body(cluster):
            leader = cluster.get_leader()
            others = [node_id for node_id in THREE if node_id != leader]
            cut_s = trio.current_time()
            cluster.network.isolate(leader)
            for node_id in others:
                await cluster.kill(node_id)
                await cluster.start(node_id)
            await cluster.wait_for_leader(other_than=leader)
            outage_s = trio.current_time() - cut_s
            self.assertGreaterEqual(outage_s, ELECTION_TIMEOUT_MIN_S)

        self.play(body)


if __name__ == "__main__":
    unittest.main()
