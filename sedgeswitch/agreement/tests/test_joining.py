"""Tests of hosts that become voters without an operator."""

import unittest

import trio

from sedgeswitch.agreement import joining
from sedgeswitch.agreement import messages
from sedgeswitch.agreement.tests import builders


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
