"""The entry role of a relay fleet, in which each connection is a session."""

import collections.abc
import random
import secrets
import typing

import trio

from sedgeswitch.admission import fair_queue
from sedgeswitch.admission import fleet
from sedgeswitch.daemon import entry_core
from sedgeswitch.daemon import relay_groups
from sedgeswitch.daemon import section_names
from sedgeswitch.databases import documents
from sedgeswitch.databases import machine as database_machine
from sedgeswitch.databases import sections as database_sections
from sedgeswitch.drivers import base
from sedgeswitch.evacuations import sections as evacuations_sections
from sedgeswitch.forwarding import admission as home_admission
from sedgeswitch.forwarding import forwarder
from sedgeswitch.forwarding import holder
from sedgeswitch.forwarding import host_calls
from sedgeswitch.forwarding import loads
from sedgeswitch.forwarding import messages
from sedgeswitch.forwarding import placement
from sedgeswitch.groups import entry_section
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.membership import directory
from sedgeswitch.membership import entry_peers
from sedgeswitch.membership import machine as members_machine
from sedgeswitch.membership import member_sections
from sedgeswitch.observability import decisions
from sedgeswitch.observability import startup
from sedgeswitch.pools import pool
from sedgeswitch.relay import cold_instances
from sedgeswitch.relay import connections
from sedgeswitch.relay import context
from sedgeswitch.relay import open_transactions
from sedgeswitch.relay import probes
from sedgeswitch.relay import session
from sedgeswitch.routing import eligibility
from sedgeswitch.routing import policies
from sedgeswitch.routing import reports
from sedgeswitch.routing import router
from sedgeswitch.routing import sections as routing_sections
from sedgeswitch.scheduling import host as host_scheduling
from sedgeswitch.scheduling import scheduler
from sedgeswitch.statements import backends
from sedgeswitch.statements import interruption
from sedgeswitch.transport import peer
from sedgeswitch.transport import server
from sedgeswitch.utils import clocks
from sedgeswitch.utils import tasks
from sedgeswitch.utils import uptime

# Maximum number of statements that wait for a connection to one instance.
MAX_QUEUE_LENGTH = 200
# Connections of an instance that holders do not share: for three watchers and the
# leader, and for closed connections that the instance still counts as open.
RESERVED_CONNECTIONS = 6
# Connections that this host may open to each instance even if its share is smaller;
# without them, one statement could not follow another.
MIN_CONNECTIONS = 2
# Room for the running statements of an instance, and as many connections that are being
# opened, after all entry hosts have lost power.
SPARE_FACTOR = 2.0
# More than any instance accepts, so that this host's share is the only limit.
UNLIMITED_CONNECTIONS = 1_000_000


class EntryOptions(typing.NamedTuple):
    """Options of an entry host.

    Attributes
    ----------
    host_id : str
    availability_zone : str
    peers : peer.Address
        Address at which other hosts call this one.
    control_addresses : mapping of str to peer.Address
        Initial addresses of the control hosts, by their ids.
    heartbeat_interval_s : float
    groups : groups_settings.GroupSettings
    tolerance : relay_groups.Tolerance
        How far organisations may exceed their limits.
    region_by_zone : mapping of str to str
        Region of each availability zone.
    evacuation_bound_s : float
        Time after its acknowledgement within which no statement may reach an
        evacuated zone, in seconds.
    reads_near_primary : bool
        See `relay.context.Components`.
    scheduling : str, optional
        Registered order in which statements are started where slots are scarce; see
        `scheduling.orders`. None for a queue that is fair between organisations.
    routing_policy : str
        Registered name of the policy that orders replicas. With ``local_first``,
        holders report the load and the health of their instances, and the load on
        holders is bounded.
    """

    host_id: str
    availability_zone: str
    peers: peer.Address
    control_addresses: collections.abc.Mapping[str, peer.Address]
    heartbeat_interval_s: float
    groups: groups_settings.GroupSettings
    tolerance: relay_groups.Tolerance
    region_by_zone: collections.abc.Mapping[str, str]
    evacuation_bound_s: float = evacuations_sections.DEFAULT_BOUND_S
    reads_near_primary: bool = False
    scheduling: str | None = None
    routing_policy: str = policies.DEFAULT_POLICY


class RelayEntry(entry_core.EntryCore):
    """An entry host that relays the sessions of callers to backend servers.

    Parameters
    ----------
    options : EntryOptions
    decode : documents.Decode
        Decodes the text of a configuration document.
    driver : sessions.SessionDriver
        Connects to backend servers.
    peer_server : server.Server
        Answers the calls of other entry hosts.
    rng : random.Random
    """

    def __init__(
        self,
        options: EntryOptions,
        decode: documents.Decode,
        driver: typing.Any,
        peer_server: server.Server,
        rng: random.Random,
    ):
        self._options = options
        self.databases = database_sections.EntrySection(decode)
        started_s = clocks.get_now_s() - uptime.get_uptime_s()
        self._startup_times = startup.StartupTimes(started_s)
        super().__init__(
            members_machine.Member(
                options.host_id,
                secrets.token_hex(8),
                options.availability_zone,
                *options.peers,
            ),
            options.control_addresses,
            options.heartbeat_interval_s,
            started_s,
            relay_groups.ADMISSION,
            options.evacuation_bound_s,
        )
        self._entry_peers = entry_peers.EntryPeers()
        self._hosts = host_calls.HostCalls(self._entry_peers)
        self._placement = placement.Placement(options.region_by_zone)
        self._decisions = decisions.DecisionLog()
        self._scheduling: host_scheduling.HostScheduling | None = None
        if options.scheduling is not None:
            self._scheduling = host_scheduling.HostScheduling(
                options.scheduling, MAX_QUEUE_LENGTH, self._decisions.note
            )
        self._router: router.Router | None = None
        self._loads: loads.HolderLoads | None = None
        if options.routing_policy == policies.LOCAL_FIRST:
            self._router = router.Router(options.host_id, self._build_own_report)
        self.backends = self._build_backends(driver, rng)
        if self._router is not None:
            self._loads = loads.HolderLoads(
                self.backends, self._get_holding, self._router.reports
            )
        self._cold = cold_instances.ColdInstances(
            self.directory,
            self.groups,
            lambda: self.databases.document.groups,
            self._get_holding,
        )
        # Connections of this host's own pools.
        self._connector = cold_instances.LimitedConnector(
            connections.PoolConnector(self.backends), self._cold
        )
        self.forwarder = self._build_forwarder(rng)
        admit_locally = fleet.FleetAdmission(self.host_limiter).admit
        self._home = home_admission.Home(admit_locally)
        servers = relay_groups.RelayDirectory(
            lambda: self.directory.servers,
            lambda: self.databases.document,
            self._is_unobserved,
        )
        local_observations = context.LocalObservations(self.groups)
        self.groups_section = entry_section.EntrySection(
            self.groups,
            servers,
            probes.ProbeDriver(
                driver, self.backends, local_observations, self._cold.record_loss
            ),
            options.groups,
            reports_acknowledged=True,
        )
        self._register_sections()
        self._open_transactions = open_transactions.OpenTransactions(
            self.evacuations.get_transaction_end_s
        )
        self._components = context.Components(
            self.databases,
            self.groups,
            self.groups_section,
            self.backends,
            self.forwarder,
            interruption.Interrupter(self.groups),
            local_observations,
            self._decisions,
            self._startup_times,
            home_admission.HomeAdmission(
                options.host_id,
                options.availability_zone,
                self._placement,
                self._hosts,
                admit_locally,
            ).admit,
            rng,
            self._get_restrictions,
            self._open_transactions,
            reads_near_primary=options.reads_near_primary,
            is_scheduling=options.scheduling is not None,
        )
        self.holder = holder.Holder(
            self._components._replace(connector=self._connector),
            self._loads,
        )
        peer_server.register_handler(messages.ForwardRequest, self.holder.answer)
        peer_server.register_handler(messages.AdmitRequest, self._home.answer)

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._entry_peers.run)
            nursery.start_soon(self.forwarder.run)
            nursery.start_soon(tasks.run_restarting, self.holder.run)
            self._start_tasks(nursery)
            nursery.start_soon(tasks.run_restarting, self._maintain)

    def stop_holding(self) -> None:
        """Accept no further statements of other hosts' callers."""
        self.holder.leave()
        self._cold.leave()
        self._home.leave()

    async def leave(self) -> None:
        """Release the lease, after the last statement of other hosts has ended."""
        await self.holder.wait_idle()
        await super().leave()

    def build_session(self, database_name: str, key: str) -> session.Session:
        """Return a new session of a caller.

        Parameters
        ----------
        database_name : str
        key : str
            The caller's API key.
        """
        return session.Session(self._components, database_name, key)

    def is_ready(self, now_s: float) -> bool:
        """Return whether this host can serve callers: it has a document and a lease."""
        has_document = self.databases.document.version > 0
        return has_document and self.heartbeat_client.is_lease_valid(now_s)

    def get_gauges(self) -> dict[str, float]:
        """Return the current values of the gauges, by name."""
        now_s = clocks.get_now_s()
        loads = self.backends.get_loads().values()
        gauges = {
            "lease_left_s": max(self.heartbeat_client.lease_until_s - now_s, 0.0),
            "configuration_version": self.databases.document.version,
            "configuration_age_s": self.databases.get_age_s(now_s),
            "groups_version": self.groups.get_version(),
            "share_divisor": self.backends.share.divisor,
            "links_in_use": sum(load.in_use for load in loads),
            "links_idle": sum(load.idle for load in loads),
            "links_waited_for": sum(load.waiting for load in loads),
            "transactions_held": self.holder.open_transactions,
            "cold_instances": self._cold.count(trio.current_time()),
            "hosts_unavailable": self._hosts.count_unavailable(),
            "evacuated_zones": len(self.evacuations.zones),
            **self._get_routing_gauges(now_s),
        }
        if self._scheduling is not None:
            gauges |= self._scheduling.get_gauges(trio.current_time())
        return gauges

    def _get_restrictions(self) -> eligibility.Restrictions:
        """Return what limits the choice of an instance for all statements."""
        return eligibility.Restrictions(
            self.evacuations.zones, region_by_zone=self._options.region_by_zone
        )

    def _is_unobserved(self, server: directory.BackendServer) -> bool:
        """Return whether a server is in an evacuated zone and not a primary.

        This host sends no probes to such a server.
        """
        if server.availability_zone not in self.evacuations.zones:
            return False
        group = self.groups.get_group(server.group)
        return group is None or group.primary != server.instance

    def _list_evacuated_addresses(self) -> set[tuple[str, int]]:
        """Return host and port of the instances in evacuated zones."""
        if not self.evacuations.zones:
            return set()
        return {
            (server.host, server.port)
            for server in self.directory.servers.values()
            if server.availability_zone in self.evacuations.zones
        }

    def _get_routing_gauges(self, now_s: float) -> dict[str, float]:
        if self._router is None:
            return {}
        return {
            "instances_unhealthy": len(self._loads.list_unhealthy(now_s)),
            "instances_ejected": self._router.count_ejected(now_s),
        }

    def _build_backends(
        self, driver: typing.Any, rng: random.Random
    ) -> backends.Backends:
        options = backends.BackendOptions(
            self._options.availability_zone,
            UNLIMITED_CONNECTIONS,
            self._options.routing_policy,
            pool.PoolSettings(),
            RESERVED_CONNECTIONS,
            MIN_CONNECTIONS,
            self._options.region_by_zone,
            SPARE_FACTOR,
            placement.MIN_CONNECTIONS_PER_HOLDER,
        )
        return backends.Backends(
            self.directory,
            typing.cast(base.Driver, driver),
            self._build_slots,
            lambda server: False,  # noqa: ARG005
            options,
            rng,
            self._get_holding,
            self._router,
        )

    def _build_slots(self, capacity: int) -> fair_queue.FairQueue | scheduler.Scheduler:
        if self._scheduling is None:
            return fair_queue.FairQueue(capacity, MAX_QUEUE_LENGTH)
        return self._scheduling.build(capacity)

    def _build_own_report(self, instance: str, now_s: float) -> reports.Report | None:
        return self._loads.build_report(instance, now_s)

    def _build_forwarder(self, rng: random.Random) -> forwarder.Forwarder:
        return forwarder.Forwarder(
            forwarder.Options(
                self._options.host_id,
                RESERVED_CONNECTIONS,
                lambda: self.databases.document.transaction_idle_s,
                self._options.scheduling is not None,
            ),
            self._placement,
            self._hosts,
            loads.build_own_connector(self._connector, self._loads),
            self._router,
            rng,
        )

    def _get_holding(self, instance: str) -> backends.Holding:
        server = self.directory.servers.get(instance)
        if server is None:
            return backends.Holding(0)
        return self.forwarder.get_holding(server)

    def _register_sections(self) -> None:
        super()._register_sections()
        self.heartbeat_client.register_section(database_machine.NAME, self.databases)
        self.databases.register_listener(self._update_limits)
        self.databases.register_listener(lambda: self._record_stage("configuration_ms"))
        self.databases.set_part_listener(self.heartbeat_client.wake)
        self.heartbeat_client.register_answer_listener(self.databases.confirm)
        self.heartbeat_client.register_lapse_listener(
            lambda: self._record_stage("lease_ms")
        )
        members = member_sections.EntrySection()
        members.register_listener(self._set_members)
        self.heartbeat_client.register_section(section_names.MEMBERS, members)
        self.directory.register_listener(self.backends.update_capacities)
        if self._router is not None:
            self.heartbeat_client.register_section(
                section_names.HEALTH,
                routing_sections.EntrySection(
                    self._loads.list_unhealthy, self._router.set_holders_unhealthy
                ),
            )

    def _set_members(
        self,
        version: int,  # noqa: ARG002
        members: list[members_machine.Member],
        now_s: float,  # noqa: ARG002
    ) -> None:
        self._entry_peers.set_members(members)
        self._hosts.set_members(members)
        self._placement.set_members(members)
        self.host_limiter.set_host_count(len(members))
        self.control_peers.set_host_count(len(members))
        self.heartbeat_client.set_host_count(len(members))
        self.backends.update_capacities()

    def _record_stage(self, name: str) -> None:
        self._startup_times.record_stage(name, clocks.get_now_s())

    def _update_limits(self) -> None:
        limits = relay_groups.build_limits(
            self.databases.document, self._options.tolerance
        )
        self.host_limiter.set_limits(limits)

    async def _maintain(self) -> None:
        while True:
            if not self.heartbeat_client.is_lease_valid(clocks.get_now_s()):
                self.backends.share.drop()
            if self.evacuations.zones:
                await self._open_transactions.end_due(clocks.get_now_s())
            fenced = relay_groups.list_fenced_instances(self.groups.get_groups())
            self.backends.reserve_connections(fenced)
            await self.backends.close_surplus()
            await self.backends.close_unannounced()
            await self.backends.close_idle(
                self._list_evacuated_addresses(), trio.current_time()
            )
            await trio.sleep(entry_core.MAINTENANCE_INTERVAL_S)
