"""Keep read-your-writes over four hosts in one program, without the daemon.

    python -m examples.sessions_embedded

A program on many hosts sends the batches to the other hosts by its own means and
learns the members from an agreed list; here a call is a sleep.
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
SETTLE_S = LEASE_S * 1.1
ONE_WAY_S = 0.005
HOSTS = {"e1": "kvarner", "e2": "istra", "e3": "gorski", "e4": "istra"}
KEY = floors.SessionKey("tenants", "flat-12", "visits")


class RemoteHost:
    """Sends batches to another host of this program."""

    def __init__(self, keeping):
        self._local = batching.LocalReplicaClient(keeping)

    async def record(self, records):
        """Send records."""
        await trio.sleep(2 * ONE_WAY_S)
        return await self._local.record(records)

    async def query(self, queries):
        """Send queries."""
        await trio.sleep(2 * ONE_WAY_S)
        return await self._local.query(queries)


class Program:
    """The keepers and floors of all hosts, and a primary's position."""

    def __init__(self):
        self.position = positions.Position(1, 0)
        self.keepers = {
            host_id: floor_replica.FloorReplica(host_id, self.read_primary, SETTLE_S)
            for host_id in HOSTS
        }
        self.floors = {
            host_id: replicated_floors.ReplicatedFloors(
                self.build_client, self.is_leased, SETTLE_S
            )
            for host_id in HOSTS
        }

    async def read_primary(self, group):  # noqa: ARG002
        """Return the primary's position; a real one is asked under a lease."""
        await trio.sleep(2 * ONE_WAY_S)
        return self.position

    def is_leased(self, now_s):  # noqa: ARG002
        """Return whether a host may trust the members that it knows."""
        return True

    def build_client(self, host_id):
        """Return what sends batches to a host."""
        return RemoteHost(self.keepers[host_id])

    def follow_members(self):
        """Tell every host who its members are."""
        members = [
            machine.Member(host_id, "1", zone, "127.0.0.1", 0)
            for host_id, zone in HOSTS.items()
        ]
        placed = placement.build_placement(1, members)
        for host_id in HOSTS:
            self.keepers[host_id].set_placement(placed, trio.current_time())
            self.floors[host_id].set_placement(placed, trio.current_time())


async def main():
    """Write on one host and ask on another, before and after settling."""
    program = Program()
    async with trio.open_nursery() as nursery:
        for item in program.floors.values():
            await nursery.start(item.run)
        program.follow_members()
        deadline_s = trio.current_time() + 5.0
        print("at once:", await program.floors["e2"].get_floor(KEY, deadline_s))
        await program.floors["e1"].wait_ready(KEY, deadline_s)
        program.position = positions.Position(1, 4096)
        await program.floors["e1"].record(KEY, program.position, deadline_s)
        print("settled:", await program.floors["e2"].get_floor(KEY, deadline_s))
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main)
