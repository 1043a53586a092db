"""The common part of all entry hosts: lease, rate limits, groups and connections."""

import collections.abc

import loguru
import trio

from sedgeswitch.admission import drawing
from sedgeswitch.admission import host_limiter
from sedgeswitch.admission import messages as admission_messages
from sedgeswitch.admission import settings as admission_settings
from sedgeswitch.daemon import section_names
from sedgeswitch.evacuations import machine as evacuations_machine
from sedgeswitch.evacuations import sections as evacuations_sections
from sedgeswitch.groups import entry_section
from sedgeswitch.groups import table
from sedgeswitch.membership import control_hosts
from sedgeswitch.membership import directory
from sedgeswitch.membership import heartbeat_client
from sedgeswitch.membership import machine
from sedgeswitch.statements import backends
from sedgeswitch.transport import failures
from sedgeswitch.transport import peer
from sedgeswitch.utils import tasks

# Longest wait for the leader's reply to a draw (a request for tokens), in seconds. The
# limiter ends most waits sooner, see `admission.settings.get_draw_timeout_s`.
DRAW_TIMEOUT_S = 5.0
MAINTENANCE_INTERVAL_S = 0.1
# Shortest time between two urgent heartbeats, which are sent before the regular
# interval has passed, in seconds.
MIN_URGENT_INTERVAL_S = 0.02


class EntryCore:
    """The parts of an entry host that do not depend on its kind of configuration.

    Subclasses set `backends` and `groups_section`, which depend on it.

    Parameters
    ----------
    identity : machine.Member
        How this host registers with the control hosts.
    control_addresses : mapping of str to peer.Address
        Initial addresses of the control hosts, by their ids.
    heartbeat_interval_s : float
    started_s : float
        Time since which this host has spent no tokens except through its host
        limiter.
    admission_options : admission_settings.Settings, optional
    evacuation_bound_s : float, optional
        See `evacuations.sections.EntrySection`.

    Attributes
    ----------
    evacuations : evacuations.sections.EntrySection
        The evacuated availability zones.
    backends : backends.Backends
        Connection pools of the backend servers.
    groups_section : entry_section.EntrySection
        Section of the heartbeat about database groups.
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
        evacuation_bound_s: float = evacuations_sections.DEFAULT_BOUND_S,
    ):
        self._admission_options = admission_options
        self.groups = table.GroupTable()
        self.directory = directory.EntryDirectory()
        self.evacuations = evacuations_sections.EntrySection(evacuation_bound_s)
        self.control_peers = heartbeat_client.ControlPeers(control_addresses)
        self.heartbeat_client = heartbeat_client.HeartbeatClient(
            identity, self.control_peers, heartbeat_interval_s
        )
        self.host_limiter = host_limiter.HostLimiter(
            identity.host_id, identity.incarnation, started_s, admission_options
        )
        # A new leader reserves tokens for each host until that host has reported.
        self.control_peers.register_leader_listener(self.host_limiter.request_report)

    async def leave(self) -> None:
        """Release the lease, after the last request of callers has ended."""
        # Releasing the lease also releases this host's share of the connections to
        # instances, so they are closed before.
        await self.backends.close()
        with trio.move_on_after(heartbeat_client.CALL_TIMEOUT_S):
            try:
                await self.heartbeat_client.leave()
            except failures.CallError as error:
                # The lease expires without it.
                loguru.logger.info("no control host released the lease: {}", error)

    def _register_sections(self) -> None:
        register = self.heartbeat_client.register_section
        register(section_names.GROUPS, self.groups_section)
        register(section_names.DIRECTORY, self.directory)
        register(section_names.SHARES, self.backends.share)
        register(evacuations_machine.NAME, self.evacuations)
        register(
            section_names.CONTROL_HOSTS,
            control_hosts.EntrySection(self.control_peers.learn_addresses),
        )
        self.heartbeat_client.register_lapse_listener(self.backends.share.drop)
        self.heartbeat_client.register_lease_listener(self.groups.set_lease)

    def _start_tasks(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self.control_peers.run)
        nursery.start_soon(self.heartbeat_client.run)
        nursery.start_soon(self.groups_section.run)
        nursery.start_soon(
            tasks.run_restarting,
            drawing.run,
            self.host_limiter,
            self._call_draw,
            self._admission_options,
        )
        nursery.start_soon(tasks.run_restarting, self._send_urgent_heartbeats)

    async def _call_draw(
        self, request: admission_messages.Draw
    ) -> admission_messages.DrawReply:
        return await self.control_peers.call(request, DRAW_TIMEOUT_S)

    async def _send_urgent_heartbeats(self) -> None:
        while True:
            await self.groups_section.wait_urgent()
            self.heartbeat_client.wake()
            await trio.sleep(MIN_URGENT_INTERVAL_S)
