"""How the hosts of the replicated log reach each other."""

import typing

import trio

from sedgeswitch.transport import peer
from sedgeswitch.transport import server

IDLE_LINK_S = 60.0


class Network(typing.Protocol):
    """Carries calls between hosts; a fake stands in for it in tests."""

    def register_handler(self, message_type: type, handler: server.Handler) -> None:
        """Register the handler of one request type."""

    async def call(
        self, address: peer.Address, message: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Send a request and return its reply.

        Raises
        ------
        sedgeswitch.transport.failures.CallError
            If there is no reply.
        """

    async def run(self) -> None:
        """Keep connections until cancelled."""


class _Link:
    """The connection to one address, and when it was used last."""

    def __init__(self, address: peer.Address, now_s: float):
        self.peer = peer.Peer(address)
        self.used_s = now_s


class TransportNetwork:
    """Carries calls over `sedgeswitch.transport`.

    Parameters
    ----------
    serving : server.Server
        Answers the calls of the other hosts; the program runs it.
    """

    def __init__(self, serving: server.Server):
        self._serving = serving
        self._links: dict[peer.Address, _Link] = {}
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
        """Keep connections until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(IDLE_LINK_S)
                self._close_idle(trio.current_time())

    def _close_idle(self, now_s: float) -> None:
        """Close the links to hosts that are no longer called."""
        for address, link in list(self._links.items()):
            if now_s - link.used_s >= IDLE_LINK_S:
                del self._links[address]
                link.peer.close()

    def _get_peer(self, address: peer.Address, now_s: float) -> peer.Peer:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(address, now_s)
            self._nursery.start_soon(link.peer.run)
        link.used_s = now_s
        return link.peer
