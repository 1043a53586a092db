"""Read-your-writes consistency over four hosts in one program, without the daemon.

    python -m examples.sessions_embedded

A floor is the position that the next read of a session must have reached. A program on
several hosts sends batches of floors over its own transport and reads the members
from the replicated log; here a sleep takes the place of the network.
"""

import trio

from sedgeswitch.groups import positions
from sedgeswitch.membership import machine
from sedgeswitch.sessions import batching
from sedgeswitch.sessions import floor_replica
from sedgeswitch.sessions import floors
from sedgeswitch.sessions import placement
from sedgeswitch.sessions import replicated_floors

LEASE_S = 0.5
PLACEMENT_OVERLAP_S = LEASE_S * 1.1
NETWORK_DELAY_S = 0.005
HOSTS = {"e1": "kvarner", "e2": "istra", "e3": "gorski", "e4": "istra"}
KEY = floors.SessionKey("tenants", "flat-12", "visits")


class RemoteHost:
    """Sends batches to another host of this program."""

    def __init__(self, replica):
        self._local = batching.LocalReplicaClient(replica)

    async def record(self, records):
        """Send floors to store."""
        await trio.sleep(2 * NETWORK_DELAY_S)
        return await self._local.record(records)

    async def query(self, queries):
        """Send queries of floors and return the answers."""
        await trio.sleep(2 * NETWORK_DELAY_S)
        return await self._local.query(queries)


class Program:
    """The floor replicas and floors of all hosts, and the position of a primary."""

    def __init__(self):
        self.position = positions.Position(1, 0)
        self.replicas = {
            host_id: floor_replica.FloorReplica(
                host_id, self.read_primary, PLACEMENT_OVERLAP_S
            )
            for host_id in HOSTS
        }
        self.floors = {
            host_id: replicated_floors.ReplicatedFloors(
                self.build_client, self.is_lease_valid, PLACEMENT_OVERLAP_S
            )
            for host_id in HOSTS
        }

    async def read_primary(self, group):  # noqa: ARG002
        """Return the primary's position; a real program needs a lease for the read."""
        await trio.sleep(2 * NETWORK_DELAY_S)
        return self.position

    def is_lease_valid(self, now_s):  # noqa: ARG002
        """Return whether a host has a lease, so that its placement is current."""
        return True

    def build_client(self, host_id):
        """Return a client of the floor replica of a host."""
        return RemoteHost(self.replicas[host_id])

    def set_members(self):
        """Pass the placement of the floors on the members to every host."""
        members = [
            machine.Member(host_id, "1", zone, "127.0.0.1", 0)
            for host_id, zone in HOSTS.items()
        ]
        placed = placement.build_placement(1, members)
        for host_id in HOSTS:
            self.replicas[host_id].set_placement(placed, trio.current_time())
            self.floors[host_id].set_placement(placed, trio.current_time())


async def main():
    """Query a floor on one host before and after a write on another."""
    program = Program()
    async with trio.open_nursery() as nursery:
        for item in program.floors.values():
            await nursery.start(item.run)
        program.set_members()
        deadline_s = trio.current_time() + 5.0
        print(
            "before the write:", await program.floors["e2"].get_floor(KEY, deadline_s)
        )
        await program.floors["e1"].wait_ready(KEY, deadline_s)
        program.position = positions.Position(1, 4096)
        await program.floors["e1"].record(KEY, program.position, deadline_s)
        print("after the write:", await program.floors["e2"].get_floor(KEY, deadline_s))
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main)
