"""Tests of hosts that get a place among the voters without an operator."""

import unittest

import trio

from sedgeswitch.agreement import joining
from sedgeswitch.agreement import messages
from sedgeswitch.agreement.tests import builders


async def ask(keeper, cluster, node_id):
    address = builders.build_address(node_id)
    await keeper.answer_join(messages.JoinRequest(node_id, *address))


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
    def run_with_keeper(self, voter_count, scenario):
        async def body(cluster):
            await cluster.bootstrap("n1", "n2", "n3")
            leader = await cluster.wait_for_leader()
            node = get_leader_node(cluster, leader)
            keeper = joining.VoterManager(node, voter_count)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(keeper.run)
                await scenario(cluster, keeper, leader)
                nursery.cancel_scope.cancel()

        builders.run_cluster(body)

    def test_hosts_that_ask_are_added_up_to_the_count(self):
        async def scenario(cluster, keeper, leader):
            for name in ("n4", "n5", "n6"):
                await cluster.start(name)
            with trio.fail_after(60):
                node = get_leader_node(cluster, leader)
                while len(node.get_voter_addresses()) < 5:
                    for name in ("n4", "n5", "n6"):
                        await ask(keeper, cluster, name)
                    await trio.sleep(0.5)
                await trio.sleep(3)
                self.assertEqual(5, len(node.get_voter_addresses()))

        self.run_with_keeper(5, scenario)

    def test_silent_voter_gives_its_place_to_a_host_that_asks(self):
        async def scenario(cluster, keeper, leader):
            lost = next(name for name in ("n1", "n2", "n3") if name != leader)
            await cluster.kill(lost)
            await cluster.start("n4")
            with trio.fail_after(60):
                node = get_leader_node(cluster, leader)
                while "n4" not in node.get_voter_addresses():
                    await ask(keeper, cluster, "n4")
                    await trio.sleep(0.5)
            self.assertNotIn(lost, node.get_voter_addresses())

        self.run_with_keeper(3, scenario)

    def test_voter_on_an_empty_disk_is_admitted_again(self):
        async def scenario(cluster, keeper, leader):
            lost = next(name for name in ("n1", "n2", "n3") if name != leader)
            await cluster.kill(lost)
            cluster.lose_disk(lost)
            await cluster.start(lost)
            with trio.fail_after(60):
                while not cluster.hosts[lost].node.get_status(0.0).is_admitted:
                    await trio.sleep(0.2)

        self.run_with_keeper(3, scenario)

    def test_nobody_is_replaced_without_a_host_that_asks(self):
        async def scenario(cluster, keeper, leader):
            lost = next(name for name in ("n1", "n2", "n3") if name != leader)
            await cluster.kill(lost)
            await trio.sleep(3 * joining.SILENCE_LIMIT_S)
            node = get_leader_node(cluster, leader)
            self.assertIn(lost, node.get_voter_addresses())

        self.run_with_keeper(3, scenario)
