"""Tests of losses that a cluster must bear, in virtual time."""

import os
import unittest

import trio

from sedgeswitch.agreement.tests import builders
from sedgeswitch.agreement.tests import joining_builders
from sedgeswitch.agreement.tests import loss_builders

# SEDGESWITCH_EXAMPLES=200, for example, makes more runs than the test suite.
EXAMPLES = int(os.environ.get("SEDGESWITCH_EXAMPLES", "6"))
FIRST_SEED = int(os.environ.get("SEDGESWITCH_FIRST_SEED", "0"))
# Seeds with which a leader failed because it looked up compacted entries.
COMPACTION_SEEDS = (2010, 2069, 2138, 2197)
# Seeds with which a voter was replaced too late, because leaders changed meanwhile.
LATE_SEEDS_OF_SIX = (5032,)
LATE_SEEDS_OF_NINE = (5061,)
RUN_S = 25.0
VOTERS = 5


class ToleratedLossesTest(unittest.TestCase):
    """Guards against a quorum that is lost although only tolerated losses occurred.

    Hosts stop, lose their disks, are cut off and are replaced for good, two at a time.
    When all have caught up, two voters lose their disks and all hosts lose power right
    after a change. A leader must be elected, and no acknowledged change may be lost.
    """

    def run_with_seeds(self, host_count, seeds=(), delay_s=0.004, **overrides):
        names = [f"n{number}" for number in range(1, host_count + 1)]

        async def run_once(cluster):
            cluster.network.delay_s = delay_s
            async with trio.open_nursery() as nursery:
                hosts = joining_builders.JoiningCluster(cluster, nursery, VOTERS)
                await hosts.bootstrap(names[:3], names[3:])
                losses = loss_builders.RandomLosses(hosts, names, nursery)
                nursery.start_soon(loss_builders.propose_changes, cluster)
                await losses.run(trio.current_time() + RUN_S)
                try:
                    leader = await loss_builders.lose_two_disks_and_power(hosts)
                except trio.TooSlowError:
                    self.fail(f"no leader after {losses.events}")
                cluster.check_outcomes([leader])
                nursery.cancel_scope.cancel()

        for seed in (*seeds, *range(FIRST_SEED, FIRST_SEED + EXAMPLES)):
            with self.subTest(seed=seed):
                builders.run_cluster(run_once, seed, **overrides)

    def test_six_hosts_bear_two_losses_again_and_again(self):
        self.run_with_seeds(6, LATE_SEEDS_OF_SIX)

    def test_nine_hosts_bear_two_losses_again_and_again(self):
        self.run_with_seeds(9, LATE_SEEDS_OF_NINE)

    def test_nine_hosts_that_compact_their_log_often_bear_two_losses(self):
        # In most other runs the log is too short to be compacted.
        self.run_with_seeds(
            9,
            COMPACTION_SEEDS,
            delay_s=0.06,
            snapshot_every_entries=15,
            retained_entries=3,
        )


if __name__ == "__main__":
    unittest.main()
