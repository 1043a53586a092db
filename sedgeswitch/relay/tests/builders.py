"""An in-memory database group, and sessions of one entry host that use it."""

import random

import trio

from sedgeswitch import verdicts
from sedgeswitch.admission import fair_queue
from sedgeswitch.databases import documents
from sedgeswitch.databases import machine
from sedgeswitch.databases import messages
from sedgeswitch.databases import sections
from sedgeswitch.drivers import base
from sedgeswitch.drivers import sessions
from sedgeswitch.groups import positions
from sedgeswitch.groups import table
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.membership import directory
from sedgeswitch.observability import decisions
from sedgeswitch.observability import startup
from sedgeswitch.pools import pool
from sedgeswitch.relay import connections
from sedgeswitch.relay import context
from sedgeswitch.relay import session
from sedgeswitch.relay import steps
from sedgeswitch.routing import eligibility
from sedgeswitch.routing import policies
from sedgeswitch.statements import backends
from sedgeswitch.statements import interruption
from sedgeswitch.transport import catalog

GROUP = "lots"
KEY = "key-1"
ORGANISATION = "ward-4"
STALENESS_S = 1.5
TIMEOUT_S = 1.0
LEASE_S = 1000.0


def build_document(version=1, **changes):
    databases = {
        name: documents.Database(
            f"rule-{name}", name, GROUP, freshness, TIMEOUT_S, 0.4, 0, STALENESS_S
        )
        for name, freshness in (
            ("primary", documents.Freshness.PRIMARY),
            ("bounded", documents.Freshness.BOUNDED),
            ("session", documents.Freshness.SESSION),
        )
    }
    defaults = {
        "databases": databases,
        "groups": {GROUP: documents.Group(GROUP, 20, 1)},
        "organisations": {
            ORGANISATION: documents.Organisation(ORGANISATION, (KEY,), 100.0, 100.0)
        },
        "transaction_idle_s": 3.0,
    }
    return documents.Document(version=version, **(defaults | changes))


class FakeInstance:
    """An in-memory instance.

    The log of the group is `World.log`, a list of writes. The primary has applied all
    of them, a replica the first `applied`.
    """

    def __init__(self, name, is_primary, world):
        self.name = name
        self.is_primary = is_primary
        self.world = world
        self.term = 1
        self.applied = 0
        self.is_frozen = False
        self.is_refusing = False
        self.loses_answers = False
        self.failures = []
        self.ran = []
        # When each statement arrived, including the beginnings of transactions.
        self.arrived_s = []
        self.connections = []
        self.connection_limit = 1000

    def restart(self):
        """Close all connections, as a restart of the instance does."""
        for connection in self.connections:
            connection.is_lost = True

    def count_open(self):
        return sum(connection.is_open for connection in self.connections)

    @property
    def position(self):
        count = len(self.world.log) if self.is_primary else self.applied
        return positions.Position(self.term, count)


class FakeConnection:
    def __init__(self, instance, organisation):
        self.instance = instance
        self.organisation = organisation
        self.position = None
        self.values = {}
        self.transaction = None
        self.is_open = True
        self.is_lost = False
        instance.connections.append(self)

    @property
    def is_usable(self):
        return self.is_open and self.transaction is None

    @property
    def is_closed_by_peer(self):
        return self.is_lost

    async def run(self, statement, shape=None, floor=None):
        self._arrive()
        word = statement.text.split()[0]
        is_write = word == b"WRITE" or (shape is not None and shape.is_write)
        await self._simulate_latency()
        if self._is_behind(floor):
            return self._reply(sessions.Failure.BEHIND)
        if self.instance.failures:
            return self._reply(self.instance.failures.pop(0))
        if is_write and not self.instance.is_primary:
            return self._reply(sessions.Failure.READ_ONLY)
        self.instance.ran.append((statement.text, self.organisation, dict(self.values)))
        if word == b"COMMIT":
            self.instance.world.log += self.transaction
            self.transaction = None
        elif is_write and self.transaction is not None:
            self.transaction.append(statement.text)
        elif is_write:
            self.instance.world.log.append(statement.text)
        if self.instance.loses_answers:
            await self.close()
            raise sessions.ConnectionLostError("lost")
        await self._simulate_latency()
        return self._reply()

    async def begin(self, is_read_only, floor=None):
        self._arrive()
        await self._simulate_latency()
        if self._is_behind(floor):
            return self._reply(sessions.Failure.BEHIND)
        if not is_read_only and not self.instance.is_primary:
            return self._reply(sessions.Failure.READ_ONLY)
        self.transaction = []
        return self._reply()

    async def roll_back(self):
        self._arrive()
        await self._simulate_latency()
        self.transaction = None
        return self._reply()

    async def set_session_values(self, values):
        self.values = dict(values)

    async def close(self):
        self.is_open = False
        self.transaction = None

    async def _simulate_latency(self):
        try:
            while self.instance.is_frozen:
                await trio.sleep(0.05)
            await trio.sleep(0.005)
        except trio.Cancelled:
            self.is_open = False
            raise

    def _arrive(self):
        if self.is_lost:
            self.is_open = False
            self.transaction = None
            raise sessions.ConnectionLostError("closed by the instance")
        self.instance.arrived_s.append(trio.current_time())

    def _is_behind(self, floor):
        return floor is not None and self.instance.position < floor

    def _reply(self, failure=None):
        self.position = self.instance.position
        signature = b"" if failure else b"signed-" + self.instance.name.encode()
        is_open = self.transaction is not None
        return sessions.Reply((), signature, failure, "", is_open, False, self.position)


class FakeDriver:
    is_bound_to_user = True

    def __init__(self, world):
        self._world = world

    async def connect(self, target, timeout_s):
        instance = self._world.instances[target.instance]
        self._world.connects += 1
        with trio.move_on_after(timeout_s):
            await trio.sleep(0.01)
            while instance.is_frozen:
                await trio.sleep(0.05)
            if instance.count_open() >= instance.connection_limit:
                raise base.DriverError(
                    "TOO_MANY_CONNECTIONS", "", verdicts.Verdict.NOT_RUN, is_lost=True
                )
            if not instance.is_refusing:
                return FakeConnection(instance, target.user)
        raise base.DriverError("", "no", verdicts.Verdict.NOT_RUN, is_lost=True)


class FakeObservations:
    def __init__(self):
        self.acknowledged = []
        self.used = set()
        self.observed = None

    def record_group_use(self, group, now_s):
        self.used.add(group)

    def get_primary_position(self, group, now_s):
        """Return the position observed by another host's probe, and its age in s."""
        if self.observed is None:
            return None
        position, requested_s = self.observed
        return position, now_s - requested_s

    def record_acknowledged(self, group, timeline, position, before_lsn):
        self.acknowledged.append((group, position, before_lsn))


class World:
    """One group of three instances, and one entry host with a valid lease."""

    def __init__(self, max_connections=20, divisor=1, min_connections=0):
        self.log = []
        self.connects = 0
        names = ("a", "b", "c")
        self.instances = {name: FakeInstance(name, name == "a", self) for name in names}
        self.admitted = []
        self.restrictions = eligibility.Restrictions()
        self.refusal = None
        self.servers = directory.EntryDirectory()
        for place, name in enumerate(names):
            self.announce(name, place, max_connections)
        self.groups = table.GroupTable()
        self.groups.set_lease(LEASE_S)
        self.change_group(1, "a", 1)
        self.databases = sections.EntrySection(lambda text: self.document)
        self.put_in_force(build_document())
        self.observations = FakeObservations()
        self.backends = backends.Backends(
            self.servers,
            FakeDriver(self),
            lambda capacity: fair_queue.FairQueue(capacity, 100),
            lambda server: False,
            backends.BackendOptions(
                "bagmati",
                1000,
                policies.DEFAULT_POLICY,
                pool.PoolSettings(),
                min_connections=min_connections,
            ),
            random.Random(0),
        )
        self.backends.share.receive_answer(
            catalog.encode_struct(build_share(divisor)), 0.0
        )
        self.components = context.Components(
            self.databases,
            self.groups,
            self.observations,
            self.backends,
            connections.PoolConnector(self.backends),
            interruption.Interrupter(self.groups),
            context.LocalObservations(self.groups),
            decisions.DecisionLog(),
            startup.StartupTimes(0.0),
            self.admit,
            random.Random(0),
            lambda: self.restrictions,
        )

    def announce(self, name, place, max_connections=20, is_leaving=False):
        self.servers.servers[name] = directory.BackendServer(
            name, GROUP, f"10.0.0.{place}", 80, "bagmati", {}, 3, max_connections,
            is_leaving,
        )  # fmt: skip
        self.servers._by_group = {}

    def change_server(self, name, **changes):
        """Announce an instance with other values, as after an answer of the leader."""
        servers = self.servers.servers
        servers[name] = servers[name]._replace(**changes)
        self.servers._by_group = {}
        for listener in self.servers._listeners:
            listener()

    def restrict(self, version=2, database_regions=(), organisation_regions=()):
        """Put a document in force that limits all databases and the organisation."""
        document = build_document(version)
        databases = {
            name: database._replace(allowed_regions=database_regions)
            for name, database in document.databases.items()
        }
        organisations = {
            name: organisation._replace(allowed_regions=organisation_regions)
            for name, organisation in document.organisations.items()
        }
        self.put_in_force(
            build_document(version, databases=databases, organisations=organisations)
        )

    def put_in_force(self, document):
        self.document = document
        answer = messages.Answer(document.version, machine.zlib.compress(b"x"))
        self.databases.receive_answer(catalog.encode_struct(answer), 0.0)
        self.databases.confirm(LEASE_S)

    def change_group(self, term, primary, version, phase=ttypes.GroupPhase.SERVING):
        group = ttypes.Group(
            GROUP, term, term, primary, phase, version, ["a", "b", "c"], "", [], []
        )
        self.groups.apply_changes(version, [group])

    def promote(self, name, term, version):
        for instance in self.instances.values():
            instance.is_primary = instance.name == name
            instance.term = term
        self.change_group(term, name, version)

    async def admit(self, organisation, deadline_s):
        if self.refusal is not None:
            raise self.refusal
        self.admitted.append(organisation)

    def build_session(self, database="primary", key=KEY):
        return session.Session(self.components, database, key)

    def replicate(self):
        for instance in self.instances.values():
            instance.applied = len(self.log)


def build_share(divisor):
    from sedgeswitch.pools import messages as pool_messages

    return pool_messages.ShareAnswer(divisor)


def build_step(text, number=0):
    kinds = {
        b"READ": steps.Kind.READ,
        b"WRITE": steps.Kind.WRITE,
        b"BEGIN": steps.Kind.BEGIN,
        b"COMMIT": steps.Kind.COMMIT,
        b"ROLLBACK": steps.Kind.ROLL_BACK,
    }
    return steps.Step(
        kinds[text.split()[0]],
        b"id-%d" % number,
        text,
        is_read_only=text == b"BEGIN READ",
    )


async def run_texts(caller_session, *texts):
    return [
        await caller_session.run(build_step(text, i)) for i, text in enumerate(texts)
    ]
