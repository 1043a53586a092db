"""Connections between entry hosts, opened on first use."""

import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.membership import machine
from sedgeswitch.transport import failures
from sedgeswitch.transport import peer

# Longest wait for a connection before a request is sent, in seconds.
CONNECT_TIMEOUT_S = 0.2


class _Connection(typing.NamedTuple):
    """The connection to one entry host."""

    member: machine.Member
    peer: peer.Peer


class EntryPeers:
    """Sends requests to other entry hosts, addressed by host id."""

    def __init__(self):
        self._members: dict[str, machine.Member] = {}
        self._connections: dict[str, _Connection] = {}
        self._nursery: trio.Nursery | None = None

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Keep connections open until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def set_members(self, members: typing.Iterable[machine.Member]) -> None:
        """Set the registered hosts; close connections to removed or changed ones."""
        self._members = {member.host_id: member for member in members}
        for host_id, connection in list(self._connections.items()):
            if self._members.get(host_id) != connection.member:
                connection.peer.close()
                del self._connections[host_id]

    def is_connected(self, host_id: str) -> bool:
        """Return whether a connection to an entry host is open."""
        connection = self._connections.get(host_id)
        return connection is not None and connection.peer.is_connected

    async def call(
        self, host_id: str, message: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Send a request to an entry host and return its reply.

        Raises
        ------
        failures.CallError
            ``unknown_host`` if the host is not registered, else the reason why
            there is no reply.
        """
        member = self._members.get(host_id)
        if member is None or self._nursery is None:
            raise failures.CallError("unknown_host", host_id, verdicts.Verdict.NOT_RUN)
        connection = self._connections.get(host_id)
        if connection is None:
            address = peer.Address(member.host, member.port)
            connection = self._connections[host_id] = _Connection(
                member, peer.Peer(address)
            )
            self._nursery.start_soon(connection.peer.run)
        if not connection.peer.is_connected:
            with trio.move_on_after(min(CONNECT_TIMEOUT_S, timeout_s)):
                await connection.peer.wait_connected()
        return await connection.peer.call(message, timeout_s)
