"""A fleet of entry hosts in memory that forward statements to each other."""

import random

import trio

from sedgeswitch import verdicts
from sedgeswitch.admission import fair_queue
from sedgeswitch.forwarding import admission
from sedgeswitch.forwarding import forwarder
from sedgeswitch.forwarding import holder
from sedgeswitch.forwarding import host_calls
from sedgeswitch.forwarding import loads
from sedgeswitch.forwarding import messages
from sedgeswitch.forwarding import placement
from sedgeswitch.membership import machine
from sedgeswitch.observability import decisions
from sedgeswitch.observability import startup
from sedgeswitch.pools import pool
from sedgeswitch.relay import cold_instances
from sedgeswitch.relay import connections
from sedgeswitch.relay import context
from sedgeswitch.relay import session
from sedgeswitch.relay.tests import builders as relay_builders
from sedgeswitch.routing import policies
from sedgeswitch.routing import router
from sedgeswitch.scheduling import host as host_scheduling
from sedgeswitch.scheduling import orders
from sedgeswitch.statements import backends
from sedgeswitch.statements import interruption
from sedgeswitch.transport import catalog
from sedgeswitch.transport import failures

REGIONS = {"bagmati": "bagmati", "bagmati-b": "bagmati", "koshi": "koshi"}
RESERVED_CONNECTIONS = 4
LINK_DELAY_S = 0.001


def build_member(host_id, zone="bagmati", incarnation="1"):
    return machine.Member(host_id, incarnation, zone, "10.1.0.1", 7000)


class FakePeers:
    """Carries calls between the hosts of a `Fleet`, each encoded as on the wire."""

    def __init__(self, fleet, own_id):
        self._fleet = fleet
        self._own_id = own_id

    def is_connected(self, host_id):
        return host_id not in self._fleet.dead

    async def call(self, host_id, message, timeout_s):
        fleet = self._fleet
        if host_id in fleet.dead:
            raise failures.CallError("unreachable", host_id, verdicts.Verdict.NOT_RUN)
        body = catalog.encode_struct(message)
        request = catalog.decode_struct(type(message), body)
        host = fleet.hosts[host_id]
        handler = host.home.answer
        if isinstance(request, messages.ForwardRequest):
            fleet.calls.append((self._own_id, host_id, request.operation))
            fleet.requests.append(request)
            handler = host.holder.answer
        answer = None
        with trio.move_on_after(timeout_s):
            await trio.sleep(LINK_DELAY_S)
            while host_id in fleet.frozen:
                await trio.sleep(0.01)
            answer = await handler(request)
            if isinstance(request, messages.ForwardRequest):
                fleet.encoded_answers.append(catalog.encode_struct(answer))
            if host_id in fleet.loses_answers:
                raise failures.CallError(
                    "connection_lost", host_id, verdicts.Verdict.MAY_HAVE_RUN
                )
            fleet.answers.append(answer)
            await trio.sleep(LINK_DELAY_S)
        if answer is None:
            raise failures.CallError("timeout", host_id, verdicts.Verdict.MAY_HAVE_RUN)
        return catalog.decode_struct(type(answer), catalog.encode_struct(answer))


class Host:
    """One entry host; its sessions use the instances of the world."""

    def __init__(self, fleet, member, is_scheduling=False):
        world = fleet.world
        self.member = member
        self.decisions = decisions.DecisionLog()
        self.scheduling = host_scheduling.HostScheduling(
            orders.DEFAULT_ORDER, 100, self.decisions.note
        )
        self.world = world
        self.router = self.loads = None
        if fleet.policy == policies.LOCAL_FIRST:
            self.router = router.Router(
                member.host_id,
                lambda instance, now_s: self.loads.build_report(instance, now_s),
            )
        self.backends = backends.Backends(
            world.servers,
            relay_builders.FakeDriver(world),
            (
                self.scheduling.build
                if is_scheduling
                else lambda capacity: fair_queue.FairQueue(capacity, 100)
            ),
            lambda server: False,
            backends.BackendOptions(
                member.availability_zone,
                1000,
                fleet.policy,
                pool.PoolSettings(),
                RESERVED_CONNECTIONS,
                2,
                REGIONS,
            ),
            random.Random(1),
            self.get_holding,
            self.router,
        )
        self.cold = cold_instances.ColdInstances(
            world.servers,
            world.groups,
            lambda: world.databases.document.groups,
            self.get_holding,
        )
        local = cold_instances.LimitedConnector(
            connections.PoolConnector(self.backends), self.cold
        )
        if self.router is not None:
            self.loads = loads.HolderLoads(
                self.backends, self.get_holding, self.router.reports
            )
        self.placement = placement.Placement(REGIONS)
        self.hosts = host_calls.HostCalls(FakePeers(fleet, member.host_id))
        self.forwarder = forwarder.Forwarder(
            forwarder.Options(
                member.host_id,
                RESERVED_CONNECTIONS,
                lambda: world.databases.document.transaction_idle_s,
                is_scheduling,
            ),
            self.placement,
            self.hosts,
            loads.build_own_connector(local, self.loads),
            self.router,
        )
        self.admission = admission.HomeAdmission(
            member.host_id,
            member.availability_zone,
            self.placement,
            self.hosts,
            self.admit_locally,
        )
        self.home = admission.Home(self.admit_locally)
        self.admitted = []
        self.refusal = None
        self.token_delay_s = 0.0
        self.components = context.Components(
            world.databases,
            world.groups,
            world.observations,
            self.backends,
            self.forwarder,
            interruption.Interrupter(world.groups),
            context.LocalObservations(world.groups),
            self.decisions,
            startup.StartupTimes(0.0),
            self.admission.admit,
            random.Random(2),
            lambda: world.restrictions,
            is_scheduling=is_scheduling,
        )
        self.holder = holder.Holder(
            self.components._replace(connector=local), self.loads
        )
        self.set_share(1)

    def get_holding(self, instance):
        return self.forwarder.get_holding(self.world.servers.servers[instance])

    def set_members(self, members):
        self.placement.set_members(members)
        self.hosts.set_members(members)
        self.backends.update_capacities()

    def set_share(self, divisor):
        share = relay_builders.build_share(divisor)
        self.backends.share.receive_answer(catalog.encode_struct(share), 0.0)

    async def admit_locally(self, organisation, deadline_s):
        with trio.move_on_at(deadline_s) as scope:
            await trio.sleep(self.token_delay_s)
        if scope.cancelled_caught:
            raise verdicts.build_not_run(429, "rate_exceeded", "no token in time", 500)
        if self.refusal is not None:
            raise self.refusal
        self.admitted.append(organisation)

    def build_session(self, database="primary", key=relay_builders.KEY):
        return session.Session(self.components, database, key)


class Fleet:
    """Several hosts in front of one group of three instances in one zone.

    Attributes
    ----------
    calls : list of (str, str, int)
        Caller's host, holder and operation of each forwarded request.
    requests, answers : list
        Messages of the forwarded requests and of all answers.
    dead, frozen, loses_answers : set of str
        Hosts that refuse connections, that do not answer, and whose connection is lost
        after they have run a request.
    """

    def __init__(
        self,
        zones=("bagmati",) * 4,
        max_connections=20,
        policy=policies.DEFAULT_POLICY,
        is_scheduling=False,
    ):
        self.policy = policy
        self.world = relay_builders.World(max_connections)
        self.calls = []
        self.requests = []
        self.answers = []
        # Answers of holders to forwarded requests, as encoded.
        self.encoded_answers = []
        self.dead = set()
        self.frozen = set()
        self.loses_answers = set()
        members = [
            build_member(f"host-{number}", zone) for number, zone in enumerate(zones)
        ]
        self.hosts = {
            member.host_id: Host(
                self, member, self._is_scheduling(member, is_scheduling)
            )
            for member in members
        }
        self.set_members(members)

    def _is_scheduling(self, member, setting):
        """Return whether a host schedules; a setting may name those that do."""
        return setting if isinstance(setting, bool) else member.host_id in setting

    def set_members(self, members):
        for host in self.hosts.values():
            host.set_members(members)

    async def run(self, body):
        """Run the background tasks of all hosts around ``body(fleet)``."""
        async with trio.open_nursery() as nursery:
            for host in self.hosts.values():
                nursery.start_soon(host.forwarder.run)
                nursery.start_soon(host.holder.run)
            await trio.testing.wait_all_tasks_blocked()
            await body(self)
            nursery.cancel_scope.cancel()

    def get_home(self, instance="a", organisation=relay_builders.ORGANISATION):
        """Return the id of the first holder of an organisation's statements."""
        any_host = next(iter(self.hosts.values()))
        return any_host.placement.order_hosts(
            self.get_location(instance), organisation
        )[0]

    def get_location(self, instance):
        server = self.world.servers.servers[instance]
        return placement.Location(
            instance,
            server.availability_zone,
            server.max_connections - RESERVED_CONNECTIONS,
        )

    def get_other(self):
        """Return a host that is not the first holder at the primary."""
        home = self.get_home()
        return next(host for name, host in self.hosts.items() if name != home)

    def count_connections(self):
        """Return how many connections were opened to instances."""
        return self.world.connects
