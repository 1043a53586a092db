"""Calls between the hosts of the replicated log."""

import typing

import trio

from sedgeswitch.transport import peer
from sedgeswitch.transport import server

# A connection that was not used for this time is closed, in seconds.
IDLE_CONNECTION_TIMEOUT_S = 60.0


class Network(typing.Protocol):
    """Sends calls to other hosts and dispatches theirs; tests use a fake."""

    def register_handler(self, message_type: type, handler: server.Handler) -> None:
        """Register the handler of one request type."""

    async def call(
        self, address: peer.Address, message: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Send a request and return its reply.

        Raises
        ------
        sedgeswitch.transport.failures.CallError
            If no reply arrives within the timeout.
        """

    async def run(self) -> None:
        """Maintain the connections until cancelled."""


class _Connection:
    """The connection to one address, with the time of its last use."""

    def __init__(self, address: peer.Address, now_s: float):
        self.peer = peer.Peer(address)
        self.used_s = now_s


class TransportNetwork:
    """Sends calls over `sedgeswitch.transport`.

    Parameters
    ----------
    serving : server.Server
        Server that dispatches the calls of other hosts; the caller runs it.
    """

    def __init__(self, serving: server.Server):
        self._serving = serving
        self._connections: dict[peer.Address, _Connection] = {}
        self._nursery: trio.Nursery | None = None

    def register_handler(self, message_type: type, handler: server.Handler) -> None:
        """Register the handler of one request type."""
        self._serving.register_handler(message_type, handler)

    async def call(
        self, address: peer.Address, message: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Send a request and return its reply; see `Network.call`."""
        peer_ = self._get_peer(address, trio.current_time())
        return await peer_.call(message, timeout_s)

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Maintain the connections until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(IDLE_CONNECTION_TIMEOUT_S)
                self._close_idle_connections(trio.current_time())

    def _close_idle_connections(self, now_s: float) -> None:
        """Close the connections that have not been used for the idle timeout."""
        for address, connection in list(self._connections.items()):
            if now_s - connection.used_s >= IDLE_CONNECTION_TIMEOUT_S:
                del self._connections[address]
                connection.peer.close()

    def _get_peer(self, address: peer.Address, now_s: float) -> peer.Peer:
        connection = self._connections.get(address)
        if connection is None:
            connection = self._connections[address] = _Connection(address, now_s)
            self._nursery.start_soon(connection.peer.run)
        connection.used_s = now_s
        return connection.peer
