"""The replicated session floors of an entry host.

A floor is the lowest position that a replica must have reached before it may serve
a read of a session. This module connects the floors to the registered members, the
other entry hosts and the connection pools.
"""

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
from sedgeswitch.statements import pooled as pooled_statements
from sedgeswitch.transport import server
from sedgeswitch.utils import clocks

READ_TIMEOUT_S = 0.5
# Earlier placements are kept for longer than a lease, so that no host with a valid
# lease still uses an older list of members.
PLACEMENT_OVERLAP_FACTOR = 1.1


class PrimaryReader:
    """Reads the position of a group's primary under the lease of this host.

    Parameters
    ----------
    groups : table.GroupTable
    pools : backends.Backends
    get_database : callable
        ``get_database(group)`` returns the name of the group's database, or None
        if the group is not configured.
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
        """Return the position, or None if it can't be read at present.

        It can't be read if this host lacks a valid write permit before or after the
        query, if the group is not configured, if its primary is not announced, or if
        the primary does not answer within `READ_TIMEOUT_S`.
        """
        permit = self._groups.get_write_permit(group, clocks.get_now_s())
        database = self._get_database(group)
        if permit is None or database is None:
            return None
        backend_server = self._backends.get_server(permit.primary)
        if backend_server is None:
            return None
        connections = self._backends.get_pool(backend_server, database)
        position = await pooled_statements.try_read_position(
            connections, READ_TIMEOUT_S
        )
        if not self._groups.is_permit_valid(permit, clocks.get_now_s()):
            return None
        if position is None:
            return None
        # The term of the permit determines the timeline, as in the positions that
        # writes return.
        return positions.Position(permit.timeline, position.lsn)


class SessionFloors:
    """Stores session floors on this host and on their other replicas.

    Parameters
    ----------
    host_id : str
    peers : entry_peers.EntryPeers
        Connections to the other entry hosts.
    read_primary : callable
        See `floor_replica.FloorReplica`.
    is_lease_valid : callable
        ``is_lease_valid(now_s)`` returns whether this host holds a lease.
    lease_s : float
        Length of a lease, in seconds.

    Attributes
    ----------
    floor_replica : floor_replica.FloorReplica
        The floors that this host stores.
    floors : replicated_floors.ReplicatedFloors
        Records and queries floors on a majority of their replicas.
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

    def register_handlers(self, peer_server: server.Server) -> None:
        """Register the handlers of records and queries from other entry hosts."""
        peer_server.register_handler(
            messages.RecordFloors, self.floor_replica.answer_record
        )
        peer_server.register_handler(
            messages.QueryFloors, self.floor_replica.answer_query
        )

    def set_members(
        self, version: int, members: list[machine.Member], now_s: float
    ) -> None:
        """Update the peers and the placement after a change of registered hosts."""
        self._peers.set_members(members)
        new_placement = placement.build_placement(version, members)
        self.floor_replica.set_placement(new_placement, now_s)
        self.floors.set_placement(new_placement, now_s)

    def _build_client(self, host_id: str) -> batching.ReplicaClient:
        if host_id == self._host_id:
            return batching.LocalReplicaClient(self.floor_replica)

        async def call(message: typing.Any, timeout_s: float) -> typing.Any:
            return await self._peers.call(host_id, message, timeout_s)

        return batching.RemoteReplicaClient(call)
