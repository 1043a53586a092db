"""Tests of how soon a leader is found, in virtual time."""

import unittest

import trio

from sedgeswitch.agreement.tests import builders

THREE = ("c1", "c2", "c3")
ELECTION_TIMEOUT_MIN_S = 0.6


async def _restart_all(cluster, uptime_s):
    """Kill all hosts at once and return how long they then are without a leader."""
    await cluster.bootstrap(*THREE)
    for node_id in THREE:
        await cluster.kill(node_id)
    started_s = trio.current_time()
    for node_id in THREE:
        await cluster.start(node_id, uptime_s)
    await cluster.wait_for_leader()
    return trio.current_time() - started_s


class TestRestart(unittest.TestCase):
    """All control hosts are killed at once, and back after slow imports."""

    def test_uptime_beyond_timeout_leads_at_once(self):
        async def body(cluster):
            outage_s = await _restart_all(cluster, 2 * ELECTION_TIMEOUT_MIN_S)
            self.assertLess(outage_s, ELECTION_TIMEOUT_MIN_S / 2)

        for seed in range(5):
            with self.subTest(seed=seed):
                builders.run_cluster(body, seed)

    def test_no_uptime_waits_for_old_lease(self):
        async def body(cluster):
            outage_s = await _restart_all(cluster, 0.0)
            self.assertGreaterEqual(outage_s, ELECTION_TIMEOUT_MIN_S)

        for seed in range(5):
            with self.subTest(seed=seed):
                builders.run_cluster(body, seed)


if __name__ == "__main__":
    unittest.main()
