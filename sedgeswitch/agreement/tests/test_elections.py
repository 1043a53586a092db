"""Tests of how soon a leader is elected after restarts, in virtual time."""

import unittest

import loguru
import trio

from sedgeswitch.agreement.tests import builders

THREE = ("c1", "c2", "c3")
ELECTION_TIMEOUT_MIN_S = 0.6


async def _restart_all(cluster, uptime_s, restarted=THREE):
    """Kill all hosts, start some again and return the time until there is a leader."""
    for node_id in THREE:
        if node_id in cluster.hosts:
            await cluster.kill(node_id)
    started_s = trio.current_time()
    for node_id in restarted:
        await cluster.start(node_id, uptime_s)
    await cluster.wait_for_leader()
    return trio.current_time() - started_s


class RestartTest(unittest.TestCase):
    """Guards against slow elections, and unsafe ones, after a restart of all voters.

    All hosts are killed at once, as in a power failure. They may elect a leader
    without an election timeout only if no former leader can still hold a lease.
    """

    def run_with_seeds(self, body):
        async def run_once(cluster):
            await cluster.bootstrap(*THREE)
            await body(cluster)

        for seed in range(8):
            with self.subTest(seed=seed):
                builders.run_cluster(run_once, seed)

    def test_restart_of_all_voters_needs_no_election_timeout(self):
        async def body(cluster):
            outage_s = await _restart_all(cluster, 0.0)
            self.assertLess(outage_s, ELECTION_TIMEOUT_MIN_S / 2)

        self.run_with_seeds(body)

    def test_voter_that_lost_its_disk_does_not_delay_the_election(self):
        async def body(cluster):
            await cluster.kill("c3")
            cluster.lose_disk("c3")
            outage_s = await _restart_all(cluster, 0.0)
            self.assertLess(outage_s, ELECTION_TIMEOUT_MIN_S / 2)

        self.run_with_seeds(body)

    def test_election_waits_for_the_possible_lease_of_a_missing_voter(self):
        async def body(cluster):
            outage_s = await _restart_all(cluster, 0.0, restarted=THREE[:2])
            self.assertGreaterEqual(outage_s, ELECTION_TIMEOUT_MIN_S)

        self.run_with_seeds(body)

    def test_uptime_shortens_the_wait_for_a_missing_voter(self):
        async def body(cluster):
            uptime_s = 2 * ELECTION_TIMEOUT_MIN_S
            outage_s = await _restart_all(cluster, uptime_s, restarted=THREE[:2])
            self.assertLess(outage_s, ELECTION_TIMEOUT_MIN_S)

        self.run_with_seeds(body)

    def test_restarted_followers_do_not_vote_while_the_leader_may_hold_a_lease(self):
        async def body(cluster):
            leader = cluster.get_leader()
            others = [node_id for node_id in THREE if node_id != leader]
            isolated_s = trio.current_time()
            cluster.network.isolate(leader)
            for node_id in others:
                await cluster.kill(node_id)
                await cluster.start(node_id)
            await cluster.wait_for_leader(other_than=leader)
            outage_s = trio.current_time() - isolated_s
            self.assertGreaterEqual(outage_s, ELECTION_TIMEOUT_MIN_S)

        self.run_with_seeds(body)


class BlockedElectionTest(unittest.TestCase):
    """Guards against an outage of the control hosts without a line that says why."""

    def test_voters_without_a_vote_for_a_candidate_are_logged(self):
        records = []

        async def body(cluster):
            await cluster.bootstrap(*THREE)
            for node_id in THREE:
                await cluster.kill(node_id)
            cluster.lose_disk("c2")
            await cluster.start("c1")
            await cluster.start("c2")
            loguru.logger.enable("sedgeswitch.agreement")
            await trio.sleep(5.0)

        sink = loguru.logger.add(lambda message: records.append(message.record))
        self.addCleanup(loguru.logger.remove, sink)
        builders.run_cluster(body)
        blocked = [
            record["extra"]
            for record in records
            if record["message"] == "no quorum for a candidacy"
        ]
        self.assertEqual(1, blocked[-1]["granted"])
        self.assertEqual(
            (["c2"], ["c3"]),
            tuple(
                [key.partition("/")[0] for key in blocked[-1][name]]
                for name in ("replaced", "unanswered")
            ),
        )


if __name__ == "__main__":
    unittest.main()
