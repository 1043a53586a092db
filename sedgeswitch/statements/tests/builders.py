"""An in-memory database group and entry hosts that use it, in virtual time."""

import random
import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.admission import fair_queue
from sedgeswitch.drivers import base
from sedgeswitch.groups import entry_section
from sedgeswitch.groups import instances
from sedgeswitch.groups import positions
from sedgeswitch.groups import table
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.idempotency import ledger
from sedgeswitch.membership import directory
from sedgeswitch.observability import metrics
from sedgeswitch.pools import pool
from sedgeswitch.sessions import floors
from sedgeswitch.sessions.tests import builders as session_builders
from sedgeswitch.statements import backends
from sedgeswitch.statements import context
from sedgeswitch.statements import reads
from sedgeswitch.statements import requests
from sedgeswitch.statements import writes

GROUP = "draw"
READ_SQL = "SELECT value"
REPLICATION_STEP_S = 0.005
LATENCY_S = 0.001
UNIX_S = 1.7e9
KNOWN_EMPTY = floors.Floor(None, is_known=True)
UNKNOWN = floors.Floor(None, is_known=False)


class _Claim(typing.NamedTuple):
    key: tuple[str, str]
    digest: str
    answer: str | None = None


def build_lost(verdict=verdicts.Verdict.MAY_HAVE_RUN):
    return base.DriverError("", "lost", verdict, is_lost=True)


def build_refused(sqlstate):
    return base.DriverError(sqlstate, "refused", verdicts.Verdict.NOT_RUN, False)


class Instance:
    """One database server.

    Its log contains writes (str), ledger claims (`_Claim`) and the creation of the
    ledger table (bytes).

    Attributes
    ----------
    lag_s : float
        Replication lag of a replica, in seconds.
    latency_s : float
        Duration of each statement, in seconds.
    has_position : bool
        Whether the instance returns a log position.
    lost_answers : list of str
        Statements whose next run loses its connection after it has taken effect.
    refusals : dict of str to (str or None)
        SQLSTATE with which the next run of a statement is refused; None for a run
        that returns no rows.
    committed : trio.Event
        Set and replaced at each commit and at each end of a transaction.
    open_claims : dict
        Connections that have an uncommitted claim, by its key.
    expired : tuple or None
        Parameters of the last deletion of expired claims.
    resets : int
    """

    def __init__(self, name):
        self.name = name
        self.zone = "koshi"
        self.timeline = 1
        self.in_recovery = True
        self.log = []
        self.lag_s = 0.01
        self.latency_s = LATENCY_S
        self.is_frozen = False
        self.has_position = True
        self.lost_answers = []
        self.refusals = {}
        self.committed = trio.Event()
        self.open_claims = {}
        self.expired = None
        self.resets = 0

    @property
    def position(self):
        return positions.Position(self.timeline, 8 * len(self.log))

    @property
    def values(self):
        return [entry for entry in self.log if isinstance(entry, str)]

    def list_claims(self, entries):
        return {entry.key: entry for entry in entries if isinstance(entry, _Claim)}

    def commit(self, entries):
        self.log.extend(entries)
        self.wake()

    def wake(self):
        self.committed.set()
        self.committed = trio.Event()


class Connection:
    """A connection to an `Instance`; `entries` are those of its open transaction."""

    def __init__(self, instance):
        self.instance = instance
        self.is_open = True
        self.entries = None

    @property
    def is_usable(self):
        return self.is_open and self.entries is None

    async def close(self):
        self.is_open = False
        self._end_transaction()
        await trio.lowlevel.checkpoint()

    async def execute(self, sql, parameters=()):
        if not self.is_open:
            raise build_lost(verdicts.Verdict.NOT_RUN)
        is_done = False
        try:
            await trio.sleep(self.instance.latency_s)
            while self.instance.is_frozen:
                await trio.sleep(0.01)
            rows = await self._run(sql, tuple(parameters))
            if sql in self.instance.lost_answers:
                self.instance.lost_answers.remove(sql)
                raise build_lost()
            is_done = True
            return rows
        except base.DriverError as error:
            is_done = not error.is_lost
            raise
        finally:
            if not is_done:
                self.is_open = False
                self._end_transaction()

    def _end_transaction(self):
        claims = self.instance.open_claims
        for key in [key for key, owner in claims.items() if owner is self]:
            del claims[key]
        self.entries = None
        self.instance.wake()

    async def _run(self, sql, parameters):
        if sql in self.instance.refusals:
            sqlstate = self.instance.refusals.pop(sql)
            if sqlstate is None:
                return base.Rows((), [], "SELECT 0")
            raise build_refused(sqlstate)
        run = {
            instances.STATE_QUERY: self._get_state_rows,
            READ_SQL: self._read,
            ledger.CREATE_SQL: self._create,
            ledger.CREATE_INDEX_SQL: self._create_index,
            ledger.CLAIM_SQL: self._claim,
            ledger.FIND_SQL: self._find,
            ledger.STORE_ANSWER_SQL: self._store_answer,
            ledger.DELETE_EXPIRED_SQL: self._delete_expired,
        }.get(sql)
        if run is not None:
            return await run(parameters)
        if sql.startswith("BEGIN"):
            self.entries = []
        elif sql == "COMMIT":
            entries = self.entries
            self.entries = None
            self.instance.commit(entries)
            self._end_transaction()
        elif sql in ("ROLLBACK", pool.RESET_SQL):
            self.instance.resets += sql == pool.RESET_SQL
            self._end_transaction()
        else:
            return self._write(sql)
        return base.Rows((), [], sql)

    def _write(self, sql):
        if self.instance.in_recovery:
            raise build_refused("25006")
        self._append(sql)
        return base.Rows(("place",), [(str(len(self.instance.log)),)], "INSERT 0 1")

    def _append(self, entry):
        if self.entries is None:
            self.instance.commit([entry])
        else:
            self.entries.append(entry)

    def _list_visible_entries(self):
        return [*self.instance.log, *(self.entries or ())]

    async def _get_state_rows(self, parameters):  # noqa: ARG002
        lsn = positions.format_lsn(self.instance.position.lsn)
        if not self.instance.has_position:
            lsn = None
        in_recovery = "t" if self.instance.in_recovery else "f"
        return base.Rows((), [(in_recovery, lsn, str(self.instance.timeline))], "")

    async def _read(self, parameters):  # noqa: ARG002
        return base.Rows(("value",), [(value,) for value in self.instance.values], "")

    async def _create(self, parameters):  # noqa: ARG002
        self._append(bytes(ledger.CREATE_SQL, "ascii"))
        return base.Rows((), [], "CREATE TABLE")

    async def _create_index(self, parameters):  # noqa: ARG002
        return base.Rows((), [], "CREATE INDEX")

    async def _claim(self, parameters):
        key = parameters[:2]
        if not any(isinstance(entry, bytes) for entry in self._list_visible_entries()):
            raise build_refused(ledger.UNDEFINED_TABLE)
        while key in self.instance.open_claims:
            await self.instance.committed.wait()
        if key in self.instance.list_claims(self._list_visible_entries()):
            return base.Rows((), [], "INSERT 0 0")
        self.instance.open_claims[key] = self
        self.entries.append(_Claim(key, parameters[2]))
        return base.Rows((), [], "INSERT 0 1")

    async def _find(self, parameters):
        found = self.instance.list_claims(self._list_visible_entries()).get(parameters)
        rows = [] if found is None else [(found.digest, found.answer)]
        return base.Rows((), rows, "")

    async def _store_answer(self, parameters):
        claim = self.instance.list_claims(self._list_visible_entries())[parameters[:2]]
        self._append(claim._replace(answer=parameters[2]))
        return base.Rows((), [], "UPDATE 1")

    async def _delete_expired(self, parameters):
        self.instance.expired = parameters
        return base.Rows((), [], "DELETE 0")


class Group:
    """A group of instances and the driver that connects to them.

    The first instance is the primary; `replicate` copies its log to the others.
    """

    def __init__(self, count=3):
        self.instances = [Instance(f"draw-{place}") for place in range(count)]
        self.primary = self.instances[0]
        self.primary.in_recovery = False
        self.term = 1
        self._sent_log_lengths = []

    def build_driver(self, zone):  # noqa: ARG002
        return self

    async def connect(self, target, timeout_s):
        instance = self.instances[target.port]
        with trio.move_on_after(timeout_s):
            await trio.sleep(0.01)
            while instance.is_frozen:
                await trio.sleep(0.01)
            return Connection(instance)
        raise build_lost(verdicts.Verdict.NOT_RUN)

    async def replicate(self):
        while True:
            now_s = trio.current_time()
            self._sent_log_lengths.append((now_s, len(self.primary.log)))
            for instance in self.instances:
                if instance.in_recovery and instance.timeline == self.primary.timeline:
                    self._copy_log(instance, now_s)
            await trio.sleep(REPLICATION_STEP_S)

    def _copy_log(self, instance, now_s):
        for sent_s, length in reversed(self._sent_log_lengths):
            if sent_s <= now_s - instance.lag_s:
                instance.log = self.primary.log[: max(length, len(instance.log))]
                return

    def promote(self, place):
        """Make a replica the primary of a new timeline, which other replicas follow."""
        self.primary = self.instances[place]
        self.primary.in_recovery = False
        self.primary.timeline += 1
        self.term += 1
        self._sent_log_lengths = []
        for instance in self.instances:
            if instance.in_recovery:
                instance.timeline = self.primary.timeline
                instance.log = self.primary.log[: len(instance.log)]

    def build_state(self, phase=ttypes.GroupPhase.SERVING):
        return ttypes.Group(
            group=GROUP,
            term=self.term,
            timeline=self.primary.timeline,
            primary=self.primary.name,
            phase=phase,
            version=0,
            instances=[instance.name for instance in self.instances],
            reason="",
            candidates=[],
            leaving=[],
        )


class Observations:
    """The observations of replicas that the leader has sent to a host."""

    def __init__(self):
        self.views = []

    def record_group_use(self, group, now_s):
        pass

    def get_replicas(self, group, now_s):  # noqa: ARG002
        return self.views

    def set_age(self, instance, age_s):
        view = entry_section.ReplicaView(instance, True, None, age_s)
        self.views = [view]


class Eligibility(typing.NamedTuple):
    """Allows all instances, or the named ones, except those that are drained."""

    host: "Host"
    names: list[str] | None

    def list_servers(self):
        servers = self.host.backends.get_servers(GROUP)
        return [server for server in servers if self.may_run_on(server.instance)]

    def may_run_on(self, instance):
        is_named = self.names is None or instance in self.names
        return is_named and instance not in self.host.drained


class Host:
    """The reader and writer of one entry host."""

    def __init__(self, group, capacity=4, seed=0, zone="koshi", policy="random"):
        self.group = group
        self.table = table.GroupTable()
        self.table.set_lease(trio.current_time() + 1000.0)
        servers = directory.EntryDirectory()
        for place, instance in enumerate(group.instances):
            servers.servers[instance.name] = directory.BackendServer(
                instance.name, GROUP, "127.0.0.1", place, instance.zone, {}, 3, 100
            )
        options = backends.BackendOptions(zone, capacity, policy, pool.PoolSettings())
        self.backends = backends.Backends(
            servers,
            group.build_driver(zone),
            lambda slots: fair_queue.FairQueue(slots, 100),
            lambda server: False,
            options,
            random.Random(seed),
        )
        self.backends.share.divisor = 1
        self.observations = Observations()
        self.drained = set()
        self.floors = floors.LocalFloors()
        self.components = context.Components(
            self.table,
            self.observations,
            self.backends,
            self.floors,
            metrics.Metrics(),
        )
        self.reader = reads.Reader(self.components)
        self.writer = writes.Writer(self.components, lambda: UNIX_S)
        self.apply_group_state()

    def apply_group_state(self, phase=ttypes.GroupPhase.SERVING):
        state = self.group.build_state(phase)
        state.version = self.table.get_version() + 1
        self.table.apply_changes(state.version, [state])

    def end_lease(self):
        self.table._lease_until_s = trio.current_time()

    def build_work(self, names=None, organisation="ward-4"):
        eligibility = Eligibility(self, names)
        return context.AuthorisedWork(
            organisation, GROUP, "db", eligibility, True, 2, 30.0
        )

    async def write(self, sql="lot 1", deadline_s=2.0, key="", **work):
        statement = build_statement(sql, deadline_s, requests.WRITE, key)
        return await self.writer.run(self.build_work(**work), statement)

    async def read(self, floor=KNOWN_EMPTY, deadline_s=2.0, max_age_ms=None, **work):
        statement = build_statement(READ_SQL, deadline_s, requests.READ)
        statement = statement._replace(max_age_ms=max_age_ms)
        return await self.reader.run(self.build_work(**work), statement, floor)


def build_statement(sql, deadline_s, access, key=""):
    deadline_s += trio.current_time()
    return requests.Statement(
        GROUP, "draw", access, sql, (), None, deadline_s, "h1", {}, key, ""
    )


def run_group(scenario, host_count=1, **changes):
    """Run ``await scenario(group, *hosts)`` in virtual time."""

    async def run():
        group = Group()
        hosts = [Host(group, seed=seed, **changes) for seed in range(host_count)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(group.replicate)
            for host in hosts:
                await nursery.start(host.writer.run_background_tasks)
            result = await scenario(group, *hosts)
            nursery.cancel_scope.cancel()
        return result

    return session_builders.run_virtual(run)
