"""What every kind of entry host runs: its lease, tokens, groups and connections."""

import collections.abc

import loguru
import trio

from sedgeswitch.admission import drawing
from sedgeswitch.admission import host_limiter
from sedgeswitch.admission import messages as admission_messages
from sedgeswitch.admission import settings as admission_settings
from sedgeswitch.daemon import control_core
from sedgeswitch.groups import entry_section
from sedgeswitch.groups import table
from sedgeswitch.membership import directory
from sedgeswitch.membership import heartbeat_client
from sedgeswitch.membership import machine
from sedgeswitch.statements import backends
from sedgeswitch.transport import failures
from sedgeswitch.transport import peer

# Longest wait for the leader's answer to a draw of tokens, in seconds.
DRAW_TIMEOUT_S = 0.5
MAINTENANCE_INTERVAL_S = 0.1
# Shortest time between two heartbeats that do not wait for their turn.
URGENT_PAUSE_S = 0.02


class EntryCore:
    """The parts of an entry host that do not depend on its configuration.

    Parameters
    ----------
    identity : machine.Member
    control_addresses : mapping of str to peer.Address
        Control hosts that are known from the start, by their ids.
    heartbeat_interval_s : float
    started_s : float
        Since when this host has spent no tokens except through its host limiter.
    admission_options : admission_settings.Settings, optional

    Attributes
    ----------
    backends : backends.Backends
    groups_section : entry_section.EntrySection
        Both are made by the kind of entry host.
    """

    backends: backends.Backends
    groups_section: entry_section.EntrySection

    def __init__(
        self,
        identity: machine.Member,
        control_addresses: collections.abc.Mapping[str, peer.Address],
        heartbeat_interval_s: float,
        started_s: float,
        admission_options: admission_settings.Settings | None = None,
    ):
        self._admission_options = admission_options
        self.groups = table.GroupTable()
        self.directory = directory.EntryDirectory()
        self.control_peers = heartbeat_client.ControlPeers(control_addresses)
        self.heartbeat_client = heartbeat_client.HeartbeatClient(
            identity, self.control_peers, heartbeat_interval_s
        )
        self.host_limiter = host_limiter.HostLimiter(
            identity.host_id, identity.incarnation, started_s, admission_options
        )
        # A new leader reserves tokens for hosts that it has not heard.
        self.control_peers.register_leader_listener(self.host_limiter.request_report)

    async def leave(self) -> None:
        """Give up the lease, after the last work of callers has ended."""
        # The share of connections goes to others with the lease.
        await self.backends.close()
        with trio.move_on_after(heartbeat_client.CALL_TIMEOUT_S):
            try:
                await self.heartbeat_client.leave()
            except failures.CallError as error:
                # The lease runs out by itself.
                loguru.logger.info("no control host took the farewell: {}", error)

    def _register_sections(self) -> None:
        register = self.heartbeat_client.register_section
        register(control_core.GROUPS, self.groups_section)
        register(control_core.DIRECTORY, self.directory)
        register(control_core.SHARES, self.backends.share)
        self.heartbeat_client.register_lapse_listener(self.backends.share.drop)
        self.heartbeat_client.register_lease_listener(self.groups.set_lease)

    def _start_tasks(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self.control_peers.run)
        nursery.start_soon(self.heartbeat_client.run)
        nursery.start_soon(self.groups_section.run)
        nursery.start_soon(
            drawing.run, self.host_limiter, self._call_draw, self._admission_options
        )
        nursery.start_soon(self._beat_urgently)

    async def _call_draw(
        self, request: admission_messages.Draw
    ) -> admission_messages.DrawReply:
        return await self.control_peers.call(request, DRAW_TIMEOUT_S)

    async def _beat_urgently(self) -> None:
        while True:
            await self.groups_section.wait_urgent()
            self.heartbeat_client.wake()
            await trio.sleep(URGENT_PAUSE_S)
