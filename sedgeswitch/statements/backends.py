"""Connection pools of an entry host to backend servers, and the order of replicas."""

import collections.abc
import math
import random
import typing

from sedgeswitch.admission import fair_queue
from sedgeswitch.drivers import base
from sedgeswitch.membership import directory
from sedgeswitch.observability import exposition
from sedgeswitch.pools import pool
from sedgeswitch.pools import shares
from sedgeswitch.routing import candidates
from sedgeswitch.routing import policies
from sedgeswitch.routing import router
from sedgeswitch.scheduling import scheduler
from sedgeswitch.utils import clocks
from sedgeswitch.utils import records

# Assumed network round trips to backend servers, in seconds.
SAME_ZONE_ROUND_TRIP_S = 0.0005
SAME_REGION_ROUND_TRIP_S = 0.003
OTHER_REGION_ROUND_TRIP_S = 0.02
_ROUND_TRIPS_S = (
    SAME_ZONE_ROUND_TRIP_S,
    SAME_REGION_ROUND_TRIP_S,
    OTHER_REGION_ROUND_TRIP_S,
)
# Labels of the metric of reads by the distance of the instance.
_PLACES = ("zone", "region", "other_region")
# Idle timeout in seconds where an instance has too few connections for every host
# to open its minimum, so that other hosts get a turn soon. Several times the time
# that opening a connection takes.
SCARCE_IDLE_TIMEOUT_S = 0.25

# Largest part of an instance's connections that idle ones leave free, so that reuse
# suffers little where connections are scarce.
MAX_SPARE_SHARE = 0.2

BuildSlots = collections.abc.Callable[[int], fair_queue.FairQueue | scheduler.Scheduler]
GetLoad = collections.abc.Callable[[directory.BackendServer], pool.PoolLoad]


class Holding(typing.NamedTuple):
    """How this host shares in the connections to an instance.

    Attributes
    ----------
    divisor : int
        Number of hosts among which the connections are divided; 0 if this host is
        none of them.
    is_substitute : bool
        Whether this host only takes the place of hosts that cannot be reached, so that
        it closes idle connections soon.
    """

    divisor: int
    is_substitute: bool = False


GetHolding = collections.abc.Callable[[str], Holding]


class BackendOptions(typing.NamedTuple):
    """Settings of the connections of this host to backend servers.

    Attributes
    ----------
    availability_zone : str
        Zone of this host.
    connections_per_instance : int
        Most connections that this host opens to one instance.
    policy : str
        Registered name of the policy that orders replicas.
    pool : pool.PoolSettings
    reserved : int
        Connections of each instance that are not shared among the hosts.
    min_connections : int
        Connections that this host may open to an instance even if its share is
        smaller. The hosts then take turns, and an instance refuses the connections
        beyond its limit.
    region_by_zone : mapping of str to str
        Region of each availability zone; empty if unknown.
    spare_factor : float
        Connections of an instance that idle ones leave free, as a multiple of its
        slots, up to `MAX_SPARE_SHARE` of its limit.
    min_idle : int
        Idle connections that this host may keep at least, so that reuse does not suffer
        where connections are scarce.
    """

    availability_zone: str
    connections_per_instance: int
    policy: str
    pool: pool.PoolSettings
    reserved: int = shares.RESERVED_CONNECTIONS
    min_connections: int = 0
    region_by_zone: collections.abc.Mapping[str, str] = records.EMPTY_MAPPING
    spare_factor: float = 0.0
    min_idle: int = 1


class _PoolEntry(typing.NamedTuple):
    """A pool, and the connections that its instance accepts from all hosts together."""

    instance_pool: pool.InstancePool
    max_connections: int


class Backends:
    """Creates, limits and closes the pools to all instances, and orders replicas.

    Parameters
    ----------
    servers : directory.EntryDirectory
    driver : base.Driver
    build_slots : callable
        Builds the slot queue of a pool from its capacity.
    is_drained : callable
        Returns whether a backend server is drained.
    options : BackendOptions
    rng : random.Random
        Used by the routing policy.
    get_holding : callable, optional
        ``get_holding(instance)`` returns this host's part of the connections to an
        instance. By default, they are divided as `share` says.
    load_router : router.Router or None
        Decides the shares for the policy ``local_first``.

    Attributes
    ----------
    share : shares.EntryShare
        Section of the heartbeat that limits the pools to the share of this host.
    """

    def __init__(
        self,
        servers: directory.EntryDirectory,
        driver: base.Driver,
        build_slots: BuildSlots,
        is_drained: collections.abc.Callable[[directory.BackendServer], bool],
        options: BackendOptions,
        rng: random.Random,
        get_holding: GetHolding | None = None,
        load_router: router.Router | None = None,
    ):
        self._router = load_router
        # The last decision about each group, for the metrics.
        self._choices: dict[str, router.Choice] = {}
        self._get_holding = get_holding
        self._servers = servers
        self._driver = driver
        self._build_slots = build_slots
        self._is_drained = is_drained
        self._options = options
        self._rng = rng
        self._pools: dict[base.Target, _PoolEntry] = {}
        self._reserved_instances: frozenset[str] = frozenset()
        self.share = shares.EntryShare(self._is_within_share, self._limit_pools)

    def get_servers(self, group: str) -> list[directory.BackendServer]:
        """Return the announced instances of a group."""
        return self._servers.get_group(group)

    def get_announced(self) -> dict[str, directory.BackendServer]:
        """Return every announced instance by its id."""
        return self._servers.servers

    def get_server(self, instance: str) -> directory.BackendServer | None:
        """Return an announced instance by its id, None if it is not announced."""
        return self._servers.servers.get(instance)

    def is_instance_drained(self, instance: str) -> bool:
        """Return whether an instance is announced and drained."""
        server = self.get_server(instance)
        return server is not None and self._is_drained(server)

    def get_pool(
        self, server: directory.BackendServer, database: str
    ) -> pool.InstancePool:
        """Return the pool to a database of an instance; create it on first use."""
        target = base.Target(
            server.host, server.port, database, instance=server.instance
        )
        entry = self._pools.get(target)
        if entry is None:
            divisor = self.share.divisor
            capacity = self._get_capacity_less_reserved(
                target, server.max_connections, divisor
            )
            instance_pool = pool.InstancePool(
                self._driver,
                target,
                self._build_slots(max(capacity, 1)),
                capacity,
                self._options.pool,
            )
            entry = self._pools[target] = _PoolEntry(
                instance_pool, server.max_connections
            )
            self._limit_idle(target.instance, entry, capacity, divisor)
            self._limit_statements(target.instance, instance_pool)
        elif entry.max_connections != server.max_connections:
            entry = self._pools[target] = _PoolEntry(
                entry.instance_pool, server.max_connections
            )
            self._limit_pools(self.share.divisor)
        return entry.instance_pool

    def reserve_connections(self, instances: collections.abc.Iterable[str]) -> None:
        """Keep one connection of this host's share unused at the given instances.

        The reservation ends at the instances that are not given. When every host
        reserves a connection, the leader can connect to an instance whose
        connections would otherwise all be in use, and order a change of primary.
        """
        reserved = frozenset(instances)
        if reserved != self._reserved_instances:
            self._reserved_instances = reserved
            self._limit_pools(self.share.divisor)

    def update_capacities(self) -> None:
        """Limit the pools again, after the holders of connections have changed."""
        self._limit_pools(self.share.divisor)

    async def close_surplus(self) -> None:
        """Close idle connections beyond this host's share of an instance."""
        for entry in list(self._pools.values()):
            await entry.instance_pool.close_surplus()

    def order_replicas(
        self,
        servers: list[directory.BackendServer],
        primary: str,
        get_load: GetLoad,
    ) -> list[directory.BackendServer]:
        """Return the replicas among `servers`, best first by the routing policy.

        Parameters
        ----------
        servers : list of directory.BackendServer
        primary : str
            Instance id of the primary, which is left out.
        get_load : callable
            Returns the load that a statement for a backend server meets.
        """
        replicas = [server for server in servers if server.instance != primary]
        shares_by_instance = self._get_shares(replicas, primary, get_load)
        eligible = [
            candidates.Candidate(
                server,
                False,
                get_load(server),
                self._get_round_trip_s(server),
                shares_by_instance.get(server.instance),
            )
            for server in replicas
        ]
        order = policies.get_policy(self._options.policy)
        return [candidate.server for candidate in order(eligible, self._rng)]

    def is_near(self, server: directory.BackendServer) -> bool:
        """Return whether an instance is known to be in this host's region."""
        return self._get_distance(server) < len(_PLACES) - 1

    def record_read(self, server: directory.BackendServer, elapsed_s: float) -> None:
        """Record where a read ran, and the time gained or lost if it left the zone.

        Parameters
        ----------
        server : directory.BackendServer
        elapsed_s : float
            Time from its sending to its answer, in seconds.
        """
        choice = self._choices.get(server.group)
        if choice is None:
            return
        distance = self._get_distance(server)
        exposition.READS_BY_PLACE.labels(_PLACES[distance]).inc()
        if distance > choice.nearest.distance:
            gained_s = choice.nearest_time_s - elapsed_s
            outcome = "gained" if gained_s > 0 else "lost"
            exposition.LEFT_READS.labels(_PLACES[distance], outcome).inc()
            exposition.LEFT_SECONDS.labels(_PLACES[distance], outcome).inc(
                abs(gained_s)
            )

    def _get_shares(
        self,
        replicas: list[directory.BackendServer],
        primary: str,
        get_load: GetLoad,
    ) -> collections.abc.Mapping[str, float]:
        """Return the share of each replica, none without any report."""
        if self._router is None or not replicas:
            return records.EMPTY_MAPPING
        now_s = clocks.get_now_s()
        key = tuple(server.instance for server in replicas)
        choice = self._router.get_kept(key, now_s)
        if choice is None:
            places = [
                router.Place(
                    server.instance,
                    self._get_round_trip_s(server),
                    self._get_distance(server),
                    server.slots,
                    get_load(server).service_s,
                )
                for server in replicas
            ]
            group = replicas[0].group
            announced = [
                server.instance
                for server in self.get_servers(group)
                if server.instance != primary
            ]
            choice = self._router.choose(places, announced, now_s)
            if choice is None:
                return records.EMPTY_MAPPING
            self._choices[group] = choice
        return choice.shares

    def get_loads(self) -> dict[str, pool.PoolLoad]:
        """Return the load of the pool of each announced instance, by instance id."""
        loads = {
            (target.host, target.port): entry.instance_pool.load
            for target, entry in self._pools.items()
        }
        return {
            server.instance: loads[server.host, server.port]
            for server in self._servers.servers.values()
            if (server.host, server.port) in loads
        }

    def count_in_use(self, instance: str) -> int:
        """Return how many requests use or wait for a connection to an instance."""
        server = self.get_server(instance)
        if server is None:
            return 0
        return sum(
            entry.instance_pool.load.in_use + entry.instance_pool.load.waiting
            for target, entry in self._pools.items()
            if (target.host, target.port) == (server.host, server.port)
        )

    async def close_idle(
        self, drained_addresses: set[tuple[str, int]], now_s: float
    ) -> None:
        """Close idle connections past their timeout, and all to drained instances.

        Parameters
        ----------
        drained_addresses : set of (str, int)
            Host and port of the drained instances.
        now_s : float
        """
        for target, entry in list(self._pools.items()):
            if (target.host, target.port) in drained_addresses:
                await entry.instance_pool.close()
            else:
                idle_s = self._get_idle_timeout_s(
                    target.instance, entry.max_connections
                )
                await entry.instance_pool.close_idle(now_s, idle_s)

    async def close_unannounced(self) -> None:
        """Close idle connections to instances that are no longer announced."""
        announced = self._servers.servers
        for target, entry in list(self._pools.items()):
            if target.instance in announced:
                continue
            await entry.instance_pool.close()
            if (
                entry.instance_pool.open_count == 0
                and not entry.instance_pool.load.waiting
            ):
                self._pools.pop(target, None)

    async def close(self) -> None:
        """Close all idle connections."""
        for entry in self._pools.values():
            await entry.instance_pool.close()

    def _get_share(self, instance: str, max_connections: int, divisor: int) -> int:
        if self._get_holding is not None:
            divisor = self._get_holding(instance).divisor
        return shares.get_capacity(max_connections, divisor, self._options.reserved)

    def _get_capacity(self, instance: str, max_connections: int, divisor: int) -> int:
        if divisor == 0:
            return 0
        shared = self._get_share(instance, max_connections, divisor)
        shared = max(shared, self._options.min_connections)
        return min(self._options.connections_per_instance, shared)

    def _get_capacity_less_reserved(
        self, target: base.Target, max_connections: int, divisor: int
    ) -> int:
        """Return the capacity; at a reserved instance one less, unless one is left."""
        capacity = self._get_capacity(target.instance, max_connections, divisor)
        if target.instance in self._reserved_instances:
            return max(capacity - 1, min(capacity, 1))
        return capacity

    def _get_idle_timeout_s(self, instance: str, max_connections: int) -> float | None:
        """Return the idle timeout in seconds, None for the setting of the pool."""
        if self._get_holding is not None and self._get_holding(instance).is_substitute:
            return SCARCE_IDLE_TIMEOUT_S
        shared = self._get_share(instance, max_connections, self.share.divisor)
        return SCARCE_IDLE_TIMEOUT_S if shared < self._options.min_connections else None

    def _limit_pools(self, divisor: int) -> None:
        for target, entry in self._pools.items():
            capacity = self._get_capacity_less_reserved(
                target, entry.max_connections, divisor
            )
            entry.instance_pool.set_capacity(capacity)
            self._limit_idle(target.instance, entry, capacity, divisor)
            self._limit_statements(target.instance, entry.instance_pool)

    def _limit_idle(
        self, instance: str, entry: _PoolEntry, capacity: int, divisor: int
    ) -> None:
        """Limit the idle connections of a pool to leave some of its share free."""
        server = self._servers.servers.get(instance)
        if server is None or not self._options.spare_factor:
            return
        if self._get_holding is not None:
            divisor = self._get_holding(instance).divisor
        spare = min(
            self._options.spare_factor * server.slots,
            MAX_SPARE_SHARE * entry.max_connections,
        )
        limit = capacity - math.ceil(spare / max(divisor, 1))
        entry.instance_pool.set_idle_limit(max(limit, self._options.min_idle))

    def _limit_statements(
        self, instance: str, instance_pool: pool.InstancePool
    ) -> None:
        """Limit the running statements of a pool to this host's part of the slots."""
        server = self._servers.servers.get(instance)
        if instance_pool.scheduler is None or server is None:
            return
        holders = self.share.divisor
        if self._get_holding is not None:
            holders = self._get_holding(instance).divisor
        instance_pool.set_instance_slots(server.slots, holders)

    def _is_within_share(self, divisor: int) -> bool:
        return all(
            entry.instance_pool.open_count
            <= self._get_capacity(target.instance, entry.max_connections, divisor)
            for target, entry in self._pools.items()
        )

    def _get_round_trip_s(self, server: directory.BackendServer) -> float:
        return _ROUND_TRIPS_S[self._get_distance(server)]

    def _get_distance(self, server: directory.BackendServer) -> int:
        """Return 0 in the zone of this host, 1 in its region, 2 elsewhere."""
        own_zone, zone = self._options.availability_zone, server.availability_zone
        if zone == own_zone:
            return 0
        regions = self._options.region_by_zone
        is_own_region = own_zone in regions and regions[own_zone] == regions.get(zone)
        return 1 if is_own_region else 2
