"""Tests of hosts that become voters without an operator."""

import unittest

import trio

from sedgeswitch.agreement import joining
from sedgeswitch.agreement import messages
from sedgeswitch.agreement.tests import builders
from sedgeswitch.agreement.tests import joining_builders


async def send_join_request(manager, cluster, node_id):
    address = builders.build_address(node_id)
    await manager.answer_join(messages.JoinRequest(node_id, *address))


async def wait_for_voters(cluster, wanted):
    with trio.fail_after(60):
        while True:
            leader = cluster.hosts[await cluster.wait_for_leader()].node
            if set(leader.get_voter_addresses()) == wanted:
                return
            await trio.sleep(0.1)


def get_leader_node(cluster, name):
    return cluster.hosts[name].node


class JoiningTest(unittest.TestCase):
    """Guards against a cluster with too few responsive voters while a host may join.

    Without such a host, the leader must keep an unresponsive voter.
    """

    def run_with_manager(self, voter_count, scenario):
        async def body(cluster):
            await cluster.bootstrap("n1", "n2", "n3")
            leader = await cluster.wait_for_leader()
            node = get_leader_node(cluster, leader)
            manager = joining.VoterManager(node, voter_count)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(manager.run)
                await scenario(cluster, manager, leader)
                nursery.cancel_scope.cancel()

        builders.run_cluster(body)

    def test_requesting_hosts_are_added_up_to_the_voter_count(self):
        async def scenario(cluster, manager, leader):
            for name in ("n4", "n5", "n6"):
                await cluster.start(name)
            with trio.fail_after(60):
                node = get_leader_node(cluster, leader)
                while len(node.get_voter_addresses()) < 5:
                    for name in ("n4", "n5", "n6"):
                        await send_join_request(manager, cluster, name)
                    await trio.sleep(0.5)
                await trio.sleep(3)
                self.assertEqual(5, len(node.get_voter_addresses()))

        self.run_with_manager(5, scenario)

    def test_unresponsive_voter_is_replaced_by_a_requesting_host(self):
        async def scenario(cluster, manager, leader):
            lost = next(name for name in ("n1", "n2", "n3") if name != leader)
            await cluster.kill(lost)
            await cluster.start("n4")
            with trio.fail_after(60):
                node = get_leader_node(cluster, leader)
                while "n4" not in node.get_voter_addresses():
                    await send_join_request(manager, cluster, "n4")
                    await trio.sleep(0.5)
            self.assertNotIn(lost, node.get_voter_addresses())

        self.run_with_manager(3, scenario)

    def test_voter_with_an_empty_disk_becomes_a_voter_again(self):
        async def scenario(cluster, manager, leader):
            lost = next(name for name in ("n1", "n2", "n3") if name != leader)
            await cluster.kill(lost)
            cluster.lose_disk(lost)
            await cluster.start(lost)
            with trio.fail_after(60):
                while not cluster.hosts[lost].node.get_status(0.0).is_admitted:
                    await trio.sleep(0.2)

        self.run_with_manager(3, scenario)

    def test_unresponsive_voter_is_kept_without_a_requesting_host(self):
        async def scenario(cluster, manager, leader):
            lost = next(name for name in ("n1", "n2", "n3") if name != leader)
            await cluster.kill(lost)
            await trio.sleep(3 * joining.UNRESPONSIVE_LIMIT_S)
            node = get_leader_node(cluster, leader)
            self.assertIn(lost, node.get_voter_addresses())

        self.run_with_manager(3, scenario)


# Two hosts of five voters may be lost at once. A host that is gone for good no longer
# counts as lost once its successor has had this time to catch up.
CATCH_UP_S = 6.0
SUCCESSOR_DELAY_S = 1.0
FIVE = ("n1", "n2", "n3", "n4", "n5")


class SecondLossTest(unittest.TestCase):
    """Guards against a quorum that is lost for good after a voter was replaced late.

    A voter ends for good and its successor starts. After the time to catch up, two
    further voters lose their disks, and all hosts lose power.
    """

    def run_with_seeds(self, lose_voter):
        async def run_once(cluster):
            async with trio.open_nursery() as nursery:
                hosts = joining_builders.JoiningCluster(
                    cluster, nursery, 5, unresponsive_limit_s=CATCH_UP_S / 6
                )
                await hosts.bootstrap(FIVE[:3], (*FIVE[3:], "n6"))
                await cluster.propose_many(5)
                await lose_voter(cluster, hosts)
                await self._lose_two_disks(cluster, hosts)
                nursery.cancel_scope.cancel()

        for seed in range(4):
            with self.subTest(seed=seed):
                builders.run_cluster(run_once, seed)

    async def _lose_two_disks(self, cluster, hosts):
        await cluster.propose_many(1, "last")
        voters = sorted(await hosts.get_voters() & cluster.hosts.keys())
        await hosts.restart_all(0.6, without_disk=cluster.rng.sample(voters, 2))
        leader = await cluster.wait_for_leader()
        await cluster.hosts[leader].node.read_barrier(5.0)
        cluster.check_outcomes([leader])

    def test_leader_that_is_gone_is_replaced_before_two_disks_are_lost(self):
        async def lose_voter(cluster, hosts):
            await hosts.kill(cluster.get_leader())
            await trio.sleep(SUCCESSOR_DELAY_S)
            await hosts.start("n7")
            await trio.sleep(CATCH_UP_S)

        self.run_with_seeds(lose_voter)

    def test_voter_that_ends_after_its_successor_started_is_replaced_in_time(self):
        async def lose_voter(cluster, hosts):
            leaving = cluster.get_leader()
            await hosts.start("n7")
            await trio.sleep(SUCCESSOR_DELAY_S)
            await hosts.kill(leaving)
            await trio.sleep(CATCH_UP_S - SUCCESSOR_DELAY_S)

        self.run_with_seeds(lose_voter)


class FindingLeaderTest(unittest.TestCase):
    """Guards against a cluster that is not repaired because hosts find no leader.

    The hosts in the settings of a control host may all have been replaced, or may be
    no voters.
    """

    def run_with_hosts(self, scenario):
        async def body(cluster):
            async with trio.open_nursery() as nursery:
                hosts = joining_builders.JoiningCluster(cluster, nursery, 3)
                await hosts.bootstrap(FIVE[:3])
                await scenario(cluster, hosts)
                nursery.cancel_scope.cancel()

        builders.run_cluster(body)

    def test_host_that_is_no_voter_names_the_leader(self):
        async def scenario(cluster, hosts):
            await hosts.start("n4")
            await trio.sleep(2.0)
            leader = cluster.get_leader()
            node = cluster.hosts["n4"].node
            self.assertEqual(leader, node.leader_id)
            self.assertEqual(builders.build_address(leader), node.leader_address)
            self.assertFalse(node.is_leader)
            await hosts.kill(leader)
            await trio.sleep(4.0)
            self.assertEqual(cluster.get_leader(), node.leader_id)

        self.run_with_hosts(scenario)

    def test_host_that_knows_no_voter_finds_the_leader(self):
        async def scenario(cluster, hosts):
            await hosts.start("n4")
            await trio.sleep(2.0)
            await hosts.start("n5", known=("n4",))
            await trio.sleep(2.0)
            self.assertNotIn("n4", await hosts.get_voters())
            leader = cluster.get_leader()
            self.assertEqual(leader, cluster.hosts["n5"].node.leader_id)

        self.run_with_hosts(scenario)

    def test_replaced_voter_returns_through_the_voters_in_its_log(self):
        async def scenario(cluster, hosts):
            leader = cluster.get_leader()
            old, other = (name for name in FIVE[:3] if name != leader)
            await hosts.kill(old)
            await hosts.start("n4")
            await trio.sleep(4.0)
            self.assertNotIn(old, await hosts.get_voters())
            # The only host that its settings name is gone.
            await hosts.start(old, known=("n9",))
            await hosts.kill(other)
            await trio.sleep(4.0)
            self.assertIn(old, await hosts.get_voters())

        self.run_with_hosts(scenario)


class StuckChangeTest(unittest.TestCase):
    """Guards against one change that cannot succeed and keeps all others from it."""

    def run_with_hosts(self, scenario):
        async def body(cluster):
            async with trio.open_nursery() as nursery:
                hosts = joining_builders.JoiningCluster(cluster, nursery, 5)
                await hosts.bootstrap(FIVE[:3], FIVE[3:])
                leader = cluster.get_leader()
                await scenario(hosts, [name for name in FIVE if name != leader])
                nursery.cancel_scope.cancel()

        builders.run_cluster(body)

    async def _wait_until_admitted(self, hosts, name):
        with trio.fail_after(10):
            while True:
                host = hosts.cluster.hosts.get(name)
                if host.node.get_status(trio.current_time()).is_admitted:
                    return
                await trio.sleep(0.1)

    def test_empty_host_becomes_a_voter_while_another_empty_one_is_dark(self):
        async def scenario(hosts, followers):
            dark, lost = followers[:2]
            await hosts.kill(dark)
            hosts.cluster.lose_disk(dark)
            await hosts.start(dark)
            # Long enough for a heartbeat of the leader, which finds the empty disk.
            await trio.sleep(0.2)
            hosts.cluster.network.isolate(dark)
            await hosts.kill(lost)
            hosts.cluster.lose_disk(lost)
            await hosts.start(lost)
            await self._wait_until_admitted(hosts, lost)

        self.run_with_hosts(scenario)

    def test_second_joining_host_is_tried_if_the_first_cannot_catch_up(self):
        async def scenario(hosts, followers):
            await hosts.start("n6")
            endpoint = hosts.cluster.network.endpoints[builders.build_address("n6")]
            del endpoint.handlers[messages.SnapshotRequest]
            await trio.sleep(2.0)
            await hosts.start("n7")
            await trio.sleep(2.0)
            await hosts.kill(followers[0])
            await self._wait_until_admitted(hosts, "n7")

        self.run_with_hosts(scenario)
