"""The session homes of an entry host, wired to members, peers and pools."""

import collections.abc
import typing

from sedgeswitch.groups import positions
from sedgeswitch.groups import table
from sedgeswitch.membership import entry_peers
from sedgeswitch.membership import machine
from sedgeswitch.sessions import batching
from sedgeswitch.sessions import floor_replica
from sedgeswitch.sessions import messages
from sedgeswitch.sessions import placement
from sedgeswitch.sessions import replicated_floors
from sedgeswitch.statements import backends
from sedgeswitch.transport import server
from sedgeswitch.utils import clocks

READ_TIMEOUT_S = 0.5
# Beyond a lease, so that no host can still follow older members.
PLACEMENT_OVERLAP_FACTOR = 1.1


class PrimaryReader:
    """Reads the position of a group's primary under this host's lease.

    Parameters
    ----------
    groups : table.GroupTable
    pools : backends.Backends
    get_database : callable
        Returns the name of a group's database, None for an unknown group.
    """

    def __init__(
        self,
        groups: table.GroupTable,
        pools: backends.Backends,
        get_database: collections.abc.Callable[[str], str | None],
    ):
        self._groups = groups
        self._backends = pools
        self._get_database = get_database

    async def read(self, group: str) -> positions.Position | None:
        """Return the position, or None if it can't be had at the moment."""
        permit = self._groups.get_write_permit(group, clocks.get_now_s())
        database = self._get_database(group)
        if permit is None or database is None:
            return None
        server_ = self._backends.get_server(permit.primary)
        if server_ is None:
            return None
        connections = self._backends.get_pool(server_, database)
        position = await backends.try_read_position(connections, READ_TIMEOUT_S)
        if not self._groups.is_permit_valid(permit, clocks.get_now_s()):
            return None
        if position is None:
            return None
        # The term names the timeline, as for the positions of writes.
        return positions.Position(permit.timeline, position.lsn)


class SessionFloors:
    """Keeps floors of sessions here and on the other homes.

    Parameters
    ----------
    host_id : str
    peers : entry_peers.EntryPeers
    read_primary : callable
        See `floor_replica.FloorReplica`.
    is_lease_valid : callable
    lease_s : float
    """

    def __init__(
        self,
        host_id: str,
        peers: entry_peers.EntryPeers,
        read_primary: floor_replica.ReadPrimary,
        is_lease_valid: collections.abc.Callable[[float], bool],
        lease_s: float,
    ):
        self._host_id = host_id
        self._peers = peers
        placement_overlap_s = lease_s * PLACEMENT_OVERLAP_FACTOR
        self.floor_replica = floor_replica.FloorReplica(
            host_id, read_primary, placement_overlap_s
        )
        self.floors = replicated_floors.ReplicatedFloors(
            self._build_client, is_lease_valid, placement_overlap_s
        )

    def register_handlers(self, serving: server.Server) -> None:
        """Answer other hosts' records and queries."""
        serving.register_handler(
            messages.RecordFloors, self.floor_replica.answer_record
        )
        serving.register_handler(messages.QueryFloors, self.floor_replica.answer_query)

    def set_members(
        self, version: int, members: list[machine.Member], now_s: float
    ) -> None:
        """Follow a change of the registered entry hosts."""
        self._peers.set_members(members)
        placed = placement.build_placement(version, members)
        self.floor_replica.set_placement(placed, now_s)
        self.floors.set_placement(placed, now_s)

    def _build_client(self, host_id: str) -> batching.ReplicaClient:
        if host_id == self._host_id:
            return batching.LocalReplicaClient(self.floor_replica)

        async def call(message: typing.Any, timeout_s: float) -> typing.Any:
            return await self._peers.call(host_id, message, timeout_s)

        return batching.RemoteReplicaClient(call)
