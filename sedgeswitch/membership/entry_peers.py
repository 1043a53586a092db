"""Connections between entry hosts, opened when they are first needed."""

import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.membership import machine
from sedgeswitch.transport import failures
from sedgeswitch.transport import peer

CONNECT_WAIT_S = 0.2


class _Link(typing.NamedTuple):
    """The connection to one member."""

    member: machine.Member
    peer: peer.Peer


class EntryPeers:
    """Calls other entry hosts by their id."""

    def __init__(self):
        self._members: dict[str, machine.Member] = {}
        self._links: dict[str, _Link] = {}
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
        """Follow the members; connections to hosts that left are closed."""
        self._members = {member.host_id: member for member in members}
        for host_id, link in list(self._links.items()):
            if self._members.get(host_id) != link.member:
                link.peer.close()
                del self._links[host_id]

    async def call(
        self, host_id: str, message: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Send a request to a member and return its reply.

        Raises
        ------
        failures.CallError
            If there is no reply, or no such member.
        """
        member = self._members.get(host_id)
        if member is None or self._nursery is None:
            raise failures.CallError("unknown_host", host_id, verdicts.Verdict.NOT_RUN)
        link = self._links.get(host_id)
        if link is None:
            address = peer.Address(member.host, member.port)
            link = self._links[host_id] = _Link(member, peer.Peer(address))
            self._nursery.start_soon(link.peer.run)
        if not link.peer.is_connected:
            with trio.move_on_after(min(CONNECT_WAIT_S, timeout_s)):
                await link.peer.wait_connected()
        return await link.peer.call(message, timeout_s)
