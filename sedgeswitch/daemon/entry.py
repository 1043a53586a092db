"""The entry role of a fleet that operators configure by changes."""

import random
import secrets

import trio

from sedgeswitch import settings as daemon_settings
from sedgeswitch import verdicts
from sedgeswitch.admission import fair_queue
from sedgeswitch.admission import fleet
from sedgeswitch.callers import routes
from sedgeswitch.configuration import follower
from sedgeswitch.daemon import adapters
from sedgeswitch.daemon import announcements
from sedgeswitch.daemon import control
from sedgeswitch.daemon import entry_core
from sedgeswitch.daemon import section_names
from sedgeswitch.daemon import session_floors
from sedgeswitch.draining import sections as draining_sections
from sedgeswitch.drivers import base
from sedgeswitch.groups import entry_section as groups_sections
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.groups import table
from sedgeswitch.membership import directory
from sedgeswitch.membership import entry_peers
from sedgeswitch.membership import machine
from sedgeswitch.membership import member_sections
from sedgeswitch.observability import metrics
from sedgeswitch.observability import traces
from sedgeswitch.pools import messages as pool_messages
from sedgeswitch.pools import pool
from sedgeswitch.pools import transactions as pool_transactions
from sedgeswitch.statements import authorisation
from sedgeswitch.statements import backends
from sedgeswitch.statements import context
from sedgeswitch.statements import forwarding
from sedgeswitch.statements import service
from sedgeswitch.statements import transactions
from sedgeswitch.statements import writes
from sedgeswitch.transport import peer
from sedgeswitch.transport import server
from sedgeswitch.utils import clocks
from sedgeswitch.utils import tasks


class EntryHost(entry_core.EntryCore):
    """An entry host that serves callers over HTTP.

    Parameters
    ----------
    settings : daemon_settings.Settings
    peer_server : server.Server
        Answers the calls of other hosts.
    driver : base.Driver
        Connects to backend servers.
    metrics_sender : metrics.Metrics
    tracer : traces.Tracer
    rng : random.Random
    """

    def __init__(
        self,
        settings: daemon_settings.Settings,
        peer_server: server.Server,
        driver: base.Driver,
        metrics_sender: metrics.Metrics,
        tracer: traces.Tracer,
        rng: random.Random,
    ):
        self._settings = settings
        self._metrics = metrics_sender
        self._limits_version = 0
        self._has_been_ready = False
        self.configuration = follower.Follower()
        super().__init__(
            machine.Member(
                settings.host_id,
                secrets.token_hex(8),
                settings.availability_zone,
                settings.peers.host,
                settings.peers.port,
            ),
            {
                host.host_id: peer.Address(host.host, host.port)
                for host in settings.control_hosts
            },
            settings.heartbeat_interval_s,
            clocks.get_now_s(),
        )
        self.backends = self._build_backends(driver, rng)
        self.groups_section = self._build_groups(driver)
        self.peers = entry_peers.EntryPeers()
        self.session_floors = self._build_session_floors()
        self.session_floors.register_handlers(peer_server)
        self._register_sections()
        self.transactions = pool_transactions.TransactionTable(
            settings.host_id, rng, self._find_evacuated_zone
        )
        self.groups.set_exclusion(self._is_primary_evacuated)
        self.forwarder = forwarding.Forwarder(settings.host_id, self.peers.call)
        peer_server.register_handler(
            pool_messages.ForwardedRequest, self.forwarder.answer
        )
        self._build_services(tracer)

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.peers.run)
            await nursery.start(self.session_floors.floors.run)
            await nursery.start(self.writer.run_background_tasks)
            self._start_tasks(nursery)
            nursery.start_soon(self.transactions.run)
            nursery.start_soon(tasks.run_restarting, self._maintain)

    def register_routes(self, router: routes.Router) -> None:
        """Register the HTTP endpoints for callers and for backend servers."""
        router.register_route("POST", service.PATH, self.statements.handle)
        self.transaction_service.register_routes(router)
        endpoint = announcements.AnnouncementEndpoint(self.directory)
        router.register_route("POST", announcements.PATH, endpoint.handle)

    def is_ready(self, now_s: float) -> bool:
        """Return whether the load balancer may send callers to this host.

        Notes
        -----
        On a host that has just started, writes would wait until the replicas of
        session floors are known. Later changes of the members affect all hosts
        equally, so they do not make any host unready for the load balancer.
        """
        if not self._has_been_ready:
            self._has_been_ready = self.session_floors.floors.is_ready(now_s)
        return self._has_been_ready and self.heartbeat_client.is_lease_valid(now_s)

    async def leave(self) -> None:
        """Release the lease, after the last request and transaction have ended."""
        await self.transactions.wait_idle()
        await super().leave()

    def _build_backends(
        self, driver: base.Driver, rng: random.Random
    ) -> backends.Backends:
        pool_settings = self._settings.pool
        options = backends.BackendOptions(
            self._settings.availability_zone,
            pool_settings.connections_per_instance,
            self._settings.routing_policy,
            pool.PoolSettings(
                pool_settings.connect_timeout_s, pool_settings.idle_timeout_s
            ),
        )
        return backends.Backends(
            self.directory,
            driver,
            self._build_queue,
            self._is_excluded,
            options,
            rng,
        )

    def _build_queue(self, capacity: int) -> fair_queue.FairQueue:
        overload = self.configuration.document.overload
        return fair_queue.FairQueue(capacity, overload.max_queue_length)

    def _build_groups(self, driver: base.Driver) -> groups_sections.EntrySection:
        servers = adapters.GroupDirectory(
            lambda: self.directory.servers,
            lambda: self.configuration.document,
            self._is_excluded,
        )
        return groups_sections.EntrySection(
            self.groups, servers, driver, groups_settings.GroupSettings()
        )

    def _build_session_floors(self) -> session_floors.SessionFloors:
        reader = session_floors.PrimaryReader(
            self.groups, self.backends, self._get_database
        )
        return session_floors.SessionFloors(
            self._settings.host_id,
            self.peers,
            reader.read,
            self.heartbeat_client.is_lease_valid,
            self._settings.lease_s,
        )

    def _get_database(self, group: str) -> str | None:
        configured = self.configuration.document.groups.get(group)
        return None if configured is None else configured.database

    def _register_sections(self) -> None:
        draining = draining_sections.EntrySection(
            lambda: self.configuration.version, self._count_drained
        )
        super()._register_sections()
        self.heartbeat_client.register_section(
            control.CONFIGURATION, self.configuration
        )
        self.heartbeat_client.register_section(control.DRAINING, draining)
        members = member_sections.EntrySection()
        members.register_listener(self.session_floors.set_members)
        self.heartbeat_client.register_section(section_names.MEMBERS, members)
        self.heartbeat_client.register_lease_listener(self._update_limits)

    def _build_services(self, tracer: traces.Tracer) -> None:
        components = context.Components(
            self.groups,
            self.groups_section,
            self.backends,
            self.session_floors.floors,
            self._metrics,
        )
        authoriser = authorisation.Authoriser(
            self.configuration,
            self.backends,
            self._settings.freshness_bound_s,
            self._is_evacuated,
        )
        admission = fleet.FleetAdmission(self.host_limiter)
        self.writer = writes.Writer(components)
        self.statements = service.StatementService(
            authoriser,
            admission,
            components,
            self.writer,
            tracer,
            self._settings.requests.default_deadline_ms,
        )
        self.transaction_service = transactions.TransactionService(
            authoriser,
            admission,
            components,
            self.writer,
            self.transactions,
            self.forwarder,
            tracer,
        )
        self.transaction_service.register_forwarded_routes(self.forwarder.router)

    def _update_limits(self, lease_until_s: float) -> None:  # noqa: ARG002
        if self._limits_version == self.configuration.version:
            return
        self._limits_version = self.configuration.version
        limits = adapters.build_limits(self.configuration.document)
        self.host_limiter.set_limits(limits)

    def _is_excluded(self, item: directory.BackendServer) -> bool:
        """Return whether a server is drained or evacuated, and not a primary.

        This host neither observes nor uses such a server.
        """
        group = self.groups.get_group(item.group)
        if group is not None and group.primary == item.instance:
            return False
        if self._is_evacuated(item):
            return True
        return adapters.is_drained(self.configuration.document, item)

    def _is_evacuated(self, item: directory.BackendServer) -> bool:
        return item.availability_zone in self.evacuations.zones

    def _is_primary_evacuated(self, permit: table.WritePermit) -> bool:
        item = self.directory.servers.get(permit.primary)
        return item is not None and self._is_evacuated(item)

    def _find_evacuated_zone(
        self, transaction: pool_transactions.Transaction
    ) -> str | None:
        """Return the zone whose evacuation ends an open transaction now, if any."""
        item = self.directory.servers.get(transaction.context.permit.primary)
        if item is None:
            return None
        zone = item.availability_zone
        end_s = self.evacuations.get_transaction_end_s(zone)
        return zone if clocks.get_now_s() >= end_s else None

    def _count_drained(self) -> dict[str, int]:
        return {
            item.instance: self.backends.count_in_use(item.instance)
            for item in self.directory.servers.values()
            if adapters.is_drained(self.configuration.document, item)
        }

    async def _maintain(self) -> None:
        while True:
            drained_addresses = {
                (item.host, item.port)
                for item in self.directory.servers.values()
                if self._is_excluded(item)
            }
            now_s = trio.current_time()
            next_s = now_s + entry_core.MAINTENANCE_INTERVAL_S
            if self.heartbeat_client.is_lease_valid(now_s):
                next_s = min(next_s, self.heartbeat_client.lease_until_s)
            else:
                self.backends.share.drop()
            await self.backends.close_surplus()
            await self.backends.close_idle(drained_addresses, trio.current_time())
            self._record_gauges()
            self._metrics.flush()
            # Wakes when the lease expires, so that the share is dropped at once.
            await trio.sleep_until(next_s)

    def _record_gauges(self) -> None:
        if not self._metrics.is_enabled:
            return
        now_s = trio.current_time()
        lease_left_s = max(self.heartbeat_client.lease_until_s - now_s, 0.0)
        self._metrics.set_gauge("lease.left_s", lease_left_s)
        self._metrics.set_gauge("configuration.version", self.configuration.version)
        self._metrics.set_gauge("evacuated_zones", len(self.evacuations.zones))
        self._metrics.set_gauge("groups.version", self.groups.get_version())
        self._metrics.set_gauge("transactions.open", self.transactions.open_count)
        self._metrics.set_gauge("share.divisor", self.backends.share.divisor)
        for organisation in self.host_limiter.list_organisations():
            available_tokens = self.host_limiter.get_available_tokens(
                organisation, now_s
            )
            self._metrics.set_gauge(f"grants.{organisation}", available_tokens)
        for instance, load in self.backends.get_loads().items():
            self._metrics.set_gauge(f"queue.{instance}", load.waiting)
            self._metrics.set_gauge(f"in_use.{instance}", load.in_use)


def build_not_ready() -> verdicts.RefusedError:
    """Return the error of the health check on a host that can't serve callers."""
    return verdicts.build_not_run(
        503, "not_ready", "this host holds no lease or is shutting down", 1000
    )
