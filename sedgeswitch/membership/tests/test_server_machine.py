"""Tests of the replicated directory, with which a new leader starts."""

import random
import unittest

import trio

from sedgeswitch.membership import directory
from sedgeswitch.membership import server_machine
from sedgeswitch.utils.tests import virtual_time


def build_server(instance, is_leaving=False):
    return directory.BackendServer(
        instance, "lots", "10.0.0.9", 80, "bagmati", {}, 3, 22, is_leaving
    )


class DirectoryReplicatorTest(unittest.TestCase):
    def run_replicator(self, scenario):
        machine = server_machine.ServerMachine()
        servers = directory.ControlDirectory(random.Random(0), lambda: machine.servers)
        proposals = []

        async def propose(name, body, timeout_s):
            proposals.append(body)
            return machine.apply(1, body)

        async def main():
            replicator = server_machine.DirectoryReplicator(
                machine, servers, propose, lambda: True
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(replicator.run)
                await scenario(servers, machine)
                nursery.cancel_scope.cancel()

        virtual_time.run(main)
        return proposals

    def test_changes_are_proposed_and_renewals_are_not(self):
        async def scenario(servers, machine):
            for now_s in range(5):
                servers.record_announcement(build_server("i-1"), now_s)
                await trio.sleep(1)
            servers.record_announcement(build_server("i-1", True), 5.0)
            await trio.sleep(1)
            self.assertTrue(machine.servers["i-1"].is_leaving)
            servers.remove_server("i-1")
            await trio.sleep(1)
            self.assertEqual({}, machine.servers)

        self.assertEqual(3, len(self.run_replicator(scenario)))

    def test_new_leader_starts_with_replicated_servers(self):
        async def scenario(servers, machine):
            servers.record_announcement(build_server("i-1", True), 0.0)
            await trio.sleep(1)
            later = directory.ControlDirectory(
                random.Random(1), lambda: machine.servers
            )
            later.start_leadership(10.0)
            self.assertEqual({"i-1": build_server("i-1", True)}, later.servers)
            # A server from the replicated state expires if it is not renewed.
            later.expire(10.0 + directory.ANNOUNCEMENT_LEASE_S)
            self.assertEqual({}, later.servers)

        self.run_replicator(scenario)

    def test_snapshot_restores_the_servers(self):
        machine = server_machine.ServerMachine()
        body = server_machine.catalog.encode_struct(
            server_machine.messages.ServerCommand(
                announced=directory.build_message(build_server("i-1"))
            )
        )
        machine.apply(1, body)
        other = server_machine.ServerMachine()
        other.load_snapshot(machine.save_snapshot())
        self.assertEqual(machine.servers, other.servers)
