"""A counter on the replicated log, embedded without the daemon.

Runs three hosts in one process on loopback ports, each with its own data folder,
and adds to the counter on the leader::

    .venv/bin/python examples/agreement_embedded.py
"""

import pathlib
import random
import socket
import tempfile

import trio

from sedgeswitch.agreement import network
from sedgeswitch.agreement import node
from sedgeswitch.agreement import settings
from sedgeswitch.agreement import sqlite_storage
from sedgeswitch.agreement import state_machines
from sedgeswitch.transport import server

HOST = "127.0.0.1"
NODE_IDS = ("c1", "c2", "c3")
TIMEOUT_S = 5.0


class Counter:
    """A state machine whose state is the sum of the numbers it receives."""

    def __init__(self):
        self.value = 0

    def apply(self, _index, body):
        """Add the number in `body` and return the sum."""
        self.value += int(body)
        return str(self.value).encode()

    def save_snapshot(self):
        """Return the encoded sum."""
        return str(self.value).encode()

    def load_snapshot(self, body):
        """Replace the sum by the one in a snapshot."""
        self.value = int(body)


def find_free_port():
    """Return a TCP port that is currently unused."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


async def start_node(nursery, node_settings, port, folder):
    """Start the node and the transport server of one host and return the node."""
    serving = server.Server()
    registry = state_machines.Registry()
    registry.register_machine("counter", Counter())
    started = node.Node(
        node_settings,
        sqlite_storage.SqliteStorage(folder / node_settings.node_id),
        network.TransportNetwork(serving),
        registry,
        random.Random(),
    )
    await nursery.start(started.run)
    await nursery.start(serving.serve, HOST, port)
    return started


async def wait_for_leader(nodes):
    """Wait until a node is the leader and return it."""
    while True:
        for candidate in nodes:
            if candidate.get_leadership(trio.current_time()) is not None:
                return candidate
        await trio.sleep(0.05)


async def main():
    """Run three hosts and add three numbers to the counter."""
    voters = tuple(
        settings.VoterAddress(node_id, HOST, find_free_port()) for node_id in NODE_IDS
    )
    with tempfile.TemporaryDirectory() as name:
        async with trio.open_nursery() as nursery:
            nodes = []
            for voter in voters:
                node_settings = settings.NodeSettings(voter.id, voters)
                nodes.append(
                    await start_node(
                        nursery, node_settings, voter.port, pathlib.Path(name)
                    )
                )
            leader = await wait_for_leader(nodes)
            for amount in (1, 2, 39):
                total = await leader.propose("counter", b"%d" % amount, TIMEOUT_S)
                print(f"leader {leader.leader_id}: the counter is {total.decode()}")
            nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main)
