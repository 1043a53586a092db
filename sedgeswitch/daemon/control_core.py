"""The common part of all control hosts: agreement, leases, rate limits and groups."""

import pathlib
import random
import typing

import trio

from sedgeswitch.admission import grantor
from sedgeswitch.admission import messages as admission_messages
from sedgeswitch.admission import settings as admission_settings
from sedgeswitch.agreement import network
from sedgeswitch.agreement import node
from sedgeswitch.agreement import settings as agreement_settings
from sedgeswitch.agreement import sqlite_storage
from sedgeswitch.agreement import state_machines
from sedgeswitch.daemon import section_names
from sedgeswitch.drivers import base
from sedgeswitch.evacuations import machine as evacuations_machine
from sedgeswitch.evacuations import operations as evacuations_operations
from sedgeswitch.evacuations import sections as evacuations_sections
from sedgeswitch.groups import assignment
from sedgeswitch.groups import control_section as groups_sections
from sedgeswitch.groups import failover
from sedgeswitch.groups import instances
from sedgeswitch.groups import leader_context
from sedgeswitch.groups import leases as groups_leases
from sedgeswitch.groups import machine as groups_machine
from sedgeswitch.groups import positions
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.groups import supervisor
from sedgeswitch.membership import control_hosts
from sedgeswitch.membership import directory
from sedgeswitch.membership import heartbeat_server
from sedgeswitch.membership import machine as members_machine
from sedgeswitch.membership import member_sections
from sedgeswitch.membership import messages as membership_messages
from sedgeswitch.observability import metrics
from sedgeswitch.pools import shares
from sedgeswitch.transport import server
from sedgeswitch.utils import clocks
from sedgeswitch.utils import tasks
from sedgeswitch.utils import uptime

LOG_FOLDER = "agreement"


class GroupOptions(typing.NamedTuple):
    """How a kind of control host manages its database groups.

    Attributes
    ----------
    directory : instances.Directory
    settings : groups_settings.GroupSettings
    get_promotion_rank : callable
        See `groups.leader_context.LeaderContext`.
    instance_control : instances.InstanceControl or None
        Reads the state of instances and promotes them; with None, SQL is used.
    """

    directory: instances.Directory
    settings: groups_settings.GroupSettings
    get_promotion_rank: typing.Callable
    instance_control: instances.InstanceControl | None = None


class ControlCore:
    """The parts of a control host that do not depend on its kind of configuration.

    Subclasses provide the configuration: the groups, the limits and further
    replicated state.

    Parameters
    ----------
    options : agreement_settings.NodeSettings
    data_folder : str
        Contains the replicated log in the folder ``agreement``.
    lease_s : float
        Length of the leases of entry hosts, in seconds.
    own_machines : dict of str to state_machines.StateMachine
        Replicated state machines of the subclass, by name.
    peer_server : server.Server
        Answers the calls of other hosts.
    driver : base.Driver
        Connects to backend servers.
    metrics_sender : metrics.Metrics
    rng : random.Random
    is_address_exclusive : bool
        See `membership.heartbeat_server.HeartbeatServer`.
    admission_options : admission_settings.Settings, optional
    """

    def __init__(
        self,
        options: agreement_settings.NodeSettings,
        data_folder: str,
        lease_s: float,
        own_machines: dict[str, state_machines.StateMachine],
        peer_server: server.Server,
        driver: base.Driver,
        metrics_sender: metrics.Metrics,
        rng: random.Random,
        is_address_exclusive: bool = False,
        admission_options: admission_settings.Settings | None = None,
    ):
        self._metrics = metrics_sender
        self._driver = driver
        self.groups = groups_machine.GroupsMachine()
        self.members = members_machine.MembersMachine()
        self._evacuations = evacuations_machine.EvacuationsMachine()
        self.network = network.TransportNetwork(peer_server)
        self.node = self._build_node(options, data_folder, own_machines, rng)
        self.heartbeat_server = heartbeat_server.HeartbeatServer(
            self.node, self.members, lease_s, is_address_exclusive
        )
        self.directory = self._build_directory(rng)
        self.evacuations = evacuations_operations.Operations(
            self._evacuations, self.node, self._list_zones
        )
        self.grantor = grantor.Grantor(
            lambda: self.members.members.keys(), admission_options
        )
        self._limits_version = -1
        self._build_groups(self._build_group_options())
        self._register_sections()
        self._register_handlers(peer_server)

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.node.run)
            nursery.start_soon(tasks.run_restarting, self.heartbeat_server.run)
            nursery.start_soon(tasks.run_restarting, self.supervisor.run)
            self._start_tasks(nursery)

    def get_holders(self, now_s: float) -> dict[str, groups_leases.EntryHostLease]:
        """Return the leases that a change of primary takes into account, by host id."""
        return {
            member.host_id: groups_leases.EntryHostLease(
                self.heartbeat_server.leases.get_expiry(member.host_id),
                self.groups_section.get_acknowledged_version(member.host_id),
            )
            for member in self.heartbeat_server.get_holders(now_s)
        }

    def _start_tasks(self, nursery: trio.Nursery) -> None:
        """Start the background tasks of the subclass; none by default."""

    def _build_group_options(self) -> GroupOptions:
        raise NotImplementedError

    def _get_limits(self) -> dict[str, admission_settings.Limit]:
        """Return the rate and burst of each organisation."""
        raise NotImplementedError

    def _get_configuration_version(self) -> int:
        raise NotImplementedError

    def _build_node(
        self,
        options: agreement_settings.NodeSettings,
        data_folder: str,
        own_machines: dict[str, state_machines.StateMachine],
        rng: random.Random,
    ) -> node.Node:
        registry = state_machines.Registry()
        for name, machine in own_machines.items():
            registry.register_machine(name, machine)
        registry.register_machine(section_names.GROUPS, self.groups)
        registry.register_machine(heartbeat_server.MACHINE_NAME, self.members)
        registry.register_machine(evacuations_machine.NAME, self._evacuations)
        folder = pathlib.Path(data_folder) / LOG_FOLDER
        folder.mkdir(parents=True, exist_ok=True)
        storage = sqlite_storage.SqliteStorage(folder)
        return node.Node(
            options,
            storage,
            self.network,
            registry,
            rng,
            get_uptime_s=uptime.get_uptime_s,
        )

    def _build_groups(self, options: GroupOptions) -> None:
        self.groups_section = groups_sections.ControlSection(
            self.groups, self._get_live_hosts, options.settings
        )
        context = leader_context.LeaderContext(
            machine=self.groups,
            propose=self.node.propose,
            get_leadership=self.node.get_leadership,
            leases=self,
            directory=options.directory,
            driver=self._driver,
            settings=options.settings,
            get_promotion_rank=options.get_promotion_rank,
            record_report=self._record_failover,
            instance_control_override=options.instance_control,
            get_acknowledged_position=self._get_acknowledged_position,
            may_promote=self._may_promote,
            get_acknowledged_after=self._get_acknowledged_after,
        )
        self.supervisor = supervisor.Supervisor(context, self.groups_section)

    def _register_sections(self) -> None:
        register = self.heartbeat_server.register_section
        register(section_names.GROUPS, self.groups_section)
        register(section_names.DIRECTORY, self.directory)
        register(section_names.SHARES, self._build_shares())
        register(section_names.MEMBERS, self._build_members_section())
        register(
            evacuations_machine.NAME,
            evacuations_sections.ControlSection(self._evacuations),
        )
        register(
            section_names.CONTROL_HOSTS,
            control_hosts.ControlSection(
                self.node.get_voter_addresses, self.node.get_voter_set_version
            ),
        )
        self.heartbeat_server.register_leadership_listener(self._start_grants)

    def _build_directory(self, rng: random.Random) -> directory.ControlDirectory:
        return directory.ControlDirectory(rng)

    def _build_members_section(self) -> member_sections.ControlSection:
        return member_sections.ControlSection(self.members)

    def _build_shares(self) -> shares.ControlShares:
        return shares.ControlShares(self._get_holder_ids)

    def _register_handlers(self, peer_server: server.Server) -> None:
        register = peer_server.register_handler
        register(membership_messages.Heartbeat, self.heartbeat_server.answer_heartbeat)
        register(membership_messages.Watch, self.heartbeat_server.answer_watch)
        register(admission_messages.Draw, self._answer_draw)

    def _list_zones(self) -> set[str]:
        """Return the availability zones of instances and entry hosts."""
        servers = self.directory.servers.values()
        zones = {server.availability_zone for server in servers}
        return zones | {
            member.availability_zone for member in self.members.members.values()
        }

    def _may_promote(self, instance: str) -> bool:
        """Return whether an instance is outside all evacuated zones, as announced."""
        item = self.directory.servers.get(instance)
        return item is None or item.availability_zone not in self._evacuations.zones

    def _get_holder_ids(self, now_s: float) -> list[str]:
        holders = self.heartbeat_server.get_holders(now_s)
        return [member.host_id for member in holders]

    def _get_live_hosts(self, now_s: float) -> list[assignment.EntryHost]:
        return [
            assignment.EntryHost(member.host_id, member.availability_zone)
            for member in self.heartbeat_server.get_holders(now_s)
        ]

    def _get_acknowledged_position(
        self, group: str, version: int
    ) -> positions.Position | None:
        # Includes hosts whose lease has expired: they may have acknowledged commits.
        host_ids = list(self.members.members)
        return self.groups_section.get_acknowledged_position(
            group, version, host_ids, self.members.removal_index
        )

    def _get_acknowledged_after(self, group: str) -> positions.Position | None:
        return self.groups_section.get_acknowledged_after(group)

    def _record_failover(self, report: failover.FailoverReport) -> None:
        self._metrics.count("groups.failovers")
        for name, value in report._asdict().items():
            if name.endswith("_s"):
                self._metrics.record_duration(f"groups.failover.{name}", value)

    def _start_grants(self, now_s: float, term: int) -> None:
        self._update_limits(now_s)
        self.grantor.start_leadership(now_s, term)

    def _update_limits(self, now_s: float) -> None:
        version = self._get_configuration_version()
        if self._limits_version != version:
            self.grantor.set_limits(self._get_limits(), now_s)
            self._limits_version = version

    async def _answer_draw(
        self, request: admission_messages.Draw
    ) -> admission_messages.DrawReply:
        self.heartbeat_server.check_leading()
        now_s = clocks.get_now_s()
        self._update_limits(now_s)
        return self.grantor.draw(request, now_s)
