"""How the hosts of the replicated log reach each other."""

import typing

import trio

from sedgeswitch.transport import failures
from sedgeswitch.transport import peer
from sedgeswitch.transport import server

RECONNECT_AFTER_TIMEOUTS = 3
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
        failures.CallError
            If there is no reply.
        """

    async def run(self) -> None:
        """Keep connections until cancelled."""


class _Link:
    """The connection to one address."""

    def __init__(self, address: peer.Address):
        self.peer = peer.Peer(address)
        self.scope = trio.CancelScope()
        self.timeouts = 0
        self.used_s = trio.current_time()

    async def run(self) -> None:
        with self.scope:
            await self.peer.run()


class TransportNetwork:
    """Carries calls over `sedgeswitch.transport`.

    Parameters
    ----------
    serving : server.Server
        Answers the calls of the other hosts; the program runs it.

    Notes
    -----
    After a silent partition TCP may wait minutes before it sends again, so that
    a link whose calls time out in a row is replaced by a new connection.
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
        link = self._get_link(address)
        try:
            reply = await link.peer.call(message, timeout_s)
        except failures.CallError as error:
            self._count_failure(address, link, error)
            raise
        link.timeouts = 0
        return reply

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
                self._close(address, link)

    def _close(self, address: peer.Address, link: _Link) -> None:
        del self._links[address]
        link.scope.cancel()

    def _get_link(self, address: peer.Address) -> _Link:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(address)
            self._nursery.start_soon(link.run)
        link.used_s = trio.current_time()
        return link

    def _count_failure(
        self, address: peer.Address, link: _Link, error: failures.CallError
    ) -> None:
        link.timeouts = link.timeouts + 1 if error.code == "timeout" else 0
        is_current = self._links.get(address) is link
        if is_current and link.timeouts >= RECONNECT_AFTER_TIMEOUTS:
            self._close(address, link)
