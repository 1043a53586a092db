"""A fake database group, control hosts and entry hosts in virtual time."""

import contextlib
import random
import typing

import trio
import trio.testing

from sedgeswitch.agreement import errors
from sedgeswitch.groups import assignment
from sedgeswitch.groups import control_section
from sedgeswitch.groups import entry_section
from sedgeswitch.groups import instances
from sedgeswitch.groups import leader_context
from sedgeswitch.groups import leases
from sedgeswitch.groups import machine
from sedgeswitch.groups import positions
from sedgeswitch.groups import settings
from sedgeswitch.groups import supervisor
from sedgeswitch.groups import table
from sedgeswitch.groups.generated import ttypes

ZONES = ("bagmati", "gandaki", "koshi")
LEASE_S = 2.0
LEASE_MARGIN_S = 0.1
HEARTBEAT_S = 0.5
REJOIN_S = 1.0


class Leadership(typing.NamedTuple):
    term: int
    started_s: float


class Rows(typing.NamedTuple):
    rows: list


class FakeInstance:
    """A fake database server whose log is a list of write ids, 8 bytes each."""

    def __init__(self, group, name, zone):
        self.group = group
        self.name = name
        self.zone = zone
        self.log = []
        self.timeline = 1
        self.in_recovery = True
        self.is_killed = False
        self.is_frozen = False
        # Whether another instance answers at its address.
        self.is_replaced = False
        self.extra_latency_s = 0.0
        self.is_full = False
        self.promotion_s = 0.15
        self.freezes_on_order = False

    @property
    def position(self):
        return positions.Position(self.timeline, 8 * len(self.log))

    @property
    def is_live(self):
        return not (self.is_killed or self.is_frozen or self.is_replaced)


class Finished(Exception):  # noqa: N818
    """Raised by a scenario to end the run early."""


class FakeError(Exception):
    def __init__(self, sqlstate=None):
        super().__init__(sqlstate)
        self.sqlstate = sqlstate


class World:
    """The instances, control hosts and entry hosts of one test.

    Attributes
    ----------
    cut : set of tuple
        Pairs of names between which packets are held back.
    paused : set of str
        Names of hosts whose packets are all held back.
    withdrawn : set of str
        Instances that are no longer announced.
    """

    def __init__(self, seed=0, groups=("lots",), entry_count=6, **changes):
        self.rng = random.Random(seed)
        self.settings = settings.GroupSettings(**changes)
        self.cut = set()
        self.paused = set()
        self.withdrawn = set()
        self.acked = []
        self.reports = []
        self.unacked = 0
        self.promoted = []
        self.instances = {
            f"{group}-{place}": FakeInstance(group, f"{group}-{place}", zone)
            for group in groups
            for place, zone in enumerate(ZONES)
        }
        for group in groups:
            self.instances[f"{group}-0"].in_recovery = False
        self.machine = machine.GroupsMachine()
        self.controls = [FakeControl(self, f"control-{i}", ZONES[i]) for i in (0, 1)]
        self.entries = [
            FakeEntry(self, f"entry-{i}", ZONES[i % 3]) for i in range(entry_count)
        ]
        self.zone_by_name = {
            item.name: item.zone
            for item in (*self.instances.values(), *self.controls, *self.entries)
        }
        self.leader = self.controls[0]
        self.leadership = Leadership(1, 0.0)
        self.on_propose = None
        self.evacuated_zones = set()

    def get_groups(self):
        return sorted({item.group for item in self.instances.values()})

    def get_instances(self, group):
        return [
            instances.Instance(item.name, item.name, item.zone)
            for item in self.instances.values()
            if item.group == group and item.name not in self.withdrawn
        ]

    def get_delay_s(self, a, b):
        base_s = 0.0005 if self.zone_by_name[a] == self.zone_by_name[b] else 0.010
        return base_s * self.rng.uniform(1.0, 1.5)

    async def deliver_packet(self, a, b):
        """Wait for a packet from a to b; it is held back while the pair is cut."""
        await trio.sleep(self.get_delay_s(a, b))
        while (self.cut or self.paused) and self.is_cut(a, b):
            await trio.sleep(0.05)

    def add_instance(self, name, group, zone):
        """Add an empty replica, which then replicates from the primary."""
        self.instances[name] = FakeInstance(group, name, zone)
        self.zone_by_name[name] = zone
        self.nursery.start_soon(self.replicate, name)

    def isolate(self, name, others):
        """Cut all traffic between a name and others; returns a function to undo it."""
        pairs = {(name, other) for other in others}
        self.cut |= pairs
        return lambda: self.cut.difference_update(pairs)

    def is_cut(self, a, b):
        return bool({(a, b), (b, a)} & self.cut or {a, b} & self.paused)

    def change_leader(self, now_s):
        self.leader = self.controls[1 - self.controls.index(self.leader)]
        self.leadership = Leadership(self.leadership.term + 1, now_s)
        self.leader.start_leadership(now_s)

    async def run(self, scenario, duration_s):
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for control in self.controls:
                nursery.start_soon(control.supervisor.run)
            for entry in self.entries:
                nursery.start_soon(entry.section.run)
                nursery.start_soon(entry.heartbeat)
                for group in self.get_groups() if entry in self.entries[:3] else ():
                    nursery.start_soon(entry.write, group)
            for name in self.instances:
                nursery.start_soon(self.replicate, name)
            await trio.sleep(1.5 + self.rng.random())
            with trio.move_on_after(duration_s), contextlib.suppress(Finished):
                await scenario(self)
                await trio.sleep_forever()
            nursery.cancel_scope.cancel()

    async def replicate(self, name):
        """Replicate from the reachable primary with the newest timeline."""
        replica = self.instances[name]
        while True:
            await trio.sleep(0.01)
            source = self._find_primary(replica)
            if source is None or not replica.is_live:
                continue
            if not replica.in_recovery or not is_prefix(replica.log, source.log):
                await trio.sleep(REJOIN_S)  # Time to demote or rewind it.
                if self._find_primary(replica) is source and replica.is_live:
                    replica.in_recovery, replica.log = True, list(source.log)
                    replica.timeline = source.timeline
                continue
            sent, timeline = list(source.log), source.timeline
            await trio.sleep(self.get_delay_s(name, source.name))
            if replica.in_recovery and replica.is_live and is_prefix(replica.log, sent):
                replica.log, replica.timeline = sent, timeline

    def _find_primary(self, replica):
        found = [
            item
            for item in self.instances.values()
            if item.group == replica.group
            and item is not replica
            and not item.in_recovery
            if item.is_live
            and item.timeline >= replica.timeline + (not replica.in_recovery)
            if not {(replica.name, item.name), (item.name, replica.name)} & self.cut
        ]
        group_state = self.machine.get_group(replica.group)
        primary = None if group_state is None else group_state.primary
        return max(
            found, key=lambda item: (item.timeline, item.name == primary), default=None
        )


def is_prefix(short, long):
    return len(short) <= len(long) and (not short or long[len(short) - 1] == short[-1])


class FakeDriver:
    def __init__(self, world, host):
        self._world = world
        self._host = host

    async def connect(self, target, timeout_s):
        with trio.move_on_after(timeout_s):
            connection = FakeConnection(self._world, self._host, target)
            await connection.send_request()
            await trio.sleep(0.010)
            return connection
        raise FakeError

    def __repr__(self):
        return self._host


class FakeConnection(instances.StateQueryMixin):
    def __init__(self, world, host, target):
        self._world = world
        self._host = host
        self._instance = world.instances[target]

    async def close(self):
        await trio.lowlevel.checkpoint()

    async def send_request(self):
        """Deliver a request and return the server; raise if it refuses or is down."""
        await self._world.deliver_packet(self._host, self._instance.name)
        while self._instance.is_frozen:
            await trio.sleep(0.05)
        await trio.sleep(self._instance.extra_latency_s)
        if self._instance.is_killed:
            raise FakeError
        if self._instance.is_full:
            raise FakeError("53300")
        if self._instance.is_replaced:
            raise FakeError("WRONG_INSTANCE")
        return self._instance

    async def execute(self, sql, parameters=()):
        """Run a statement; it takes effect even if the caller is cancelled."""
        if sql == instances.PROMOTE_QUERY and self._instance.freezes_on_order:
            self._instance.is_frozen = True
        sender, receiver = trio.open_memory_channel(1)
        self._world.nursery.start_soon(self._run, sql, parameters, sender)
        outcome = await receiver.receive()
        if isinstance(outcome, FakeError):
            raise outcome
        await self._world.deliver_packet(self._instance.name, self._host)
        return outcome

    async def _run(self, sql, parameters, sender):
        try:
            server = await self.send_request()
            if sql == instances.PROMOTE_QUERY:
                if trio.current_time() < float(parameters[0]):
                    await trio.sleep(server.promotion_s)
                    _promote(server)
            elif sql == "write":
                _write(server, parameters)
        except FakeError as error:
            sender.send_nowait(error)
            return
        if sql == instances.DEADLINE_QUERY:
            row = (str(trio.current_time() + float(parameters[0].split()[0]) / 1000),)
        else:
            row = (str(server.in_recovery), _format(server), server.timeline)
        sender.send_nowait(Rows([row]))


def _promote(server):
    if server.in_recovery and server.is_live:
        server.in_recovery = False
        server.timeline += 1


def _write(server, parameters):
    if server.in_recovery:
        raise FakeError("25006")
    server.log.append(parameters[0])


def _format(server):
    return positions.format_lsn(server.position.lsn)


class FakeControl:
    def __init__(self, world, name, zone):
        self.name = name
        self.zone = zone
        self._world = world
        self._until_s = {}
        self.section = control_section.ControlSection(
            world.machine, self._get_live_hosts, world.settings
        )
        self.context = leader_context.LeaderContext(
            machine=world.machine,
            propose=self.propose,
            get_leadership=self.get_leadership,
            leases=self,
            directory=world,
            driver=FakeDriver(world, name),
            settings=world.settings,
            get_promotion_rank=lambda group, instance: (),  # noqa: ARG005
            record_report=world.reports.append,
            may_promote=lambda name: (
                world.instances[name].zone not in world.evacuated_zones
            ),
        )
        self.supervisor = supervisor.Supervisor(self.context, self.section)

    def get_leadership(self, now_s):  # noqa: ARG002
        return self._world.leadership if self._world.leader is self else None

    def start_leadership(self, now_s):
        self.section.start_leadership(now_s)
        self._until_s = {
            entry.name: now_s + LEASE_S + LEASE_MARGIN_S
            for entry in self._world.entries
        }

    async def propose(self, machine_name, body, timeout_s):  # noqa: ARG002
        await trio.sleep(0.02)
        command = machine.catalog.decode_struct(ttypes.Command, body)
        if self._world.on_propose is not None:
            self._world.on_propose(command)
        if self._world.leader is not self:
            raise errors.NotLeaderError(self._world.leader.name)
        result = self._world.machine.apply(0, body)
        if command.promoted is not None:
            self._world.promoted.append((trio.current_time(), command.promoted))
        for entry in self._world.entries:
            entry.wake()
        if self._world.rng.random() < 0.1:
            raise errors.OutcomeUnknownError
        return result

    def answer(self, host_id, body, now_s):
        self._until_s[host_id] = now_s + LEASE_S + LEASE_MARGIN_S
        return self.section.answer_report(host_id, body, now_s)

    def get_holders(self, now_s):  # noqa: ARG002
        return {
            host_id: leases.EntryHostLease(
                until_s, self.section.get_acknowledged_version(host_id)
            )
            for host_id, until_s in self._until_s.items()
        }

    def _get_live_hosts(self, now_s):
        return [
            assignment.EntryHost(entry.name, entry.zone)
            for entry in self._world.entries
            if self._until_s.get(entry.name, 0.0) > now_s
        ]


class FakeEntry:
    def __init__(self, world, name, zone):
        self.name = name
        self.zone = zone
        self._world = world
        self._woken = trio.Event()
        self._driver = FakeDriver(world, name)
        self.table = table.GroupTable()
        self.section = entry_section.EntrySection(
            self.table, world, self._driver, world.settings
        )

    def wake(self):
        self._woken.set()

    async def heartbeat(self):
        await trio.sleep(self._world.rng.random() * HEARTBEAT_S)
        while True:
            with trio.move_on_after(HEARTBEAT_S):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._watch, nursery.cancel_scope)
                    await self.section.wait_urgent()
                    nursery.cancel_scope.cancel()
            with trio.move_on_after(1.0):
                await self._send_heartbeat()

    async def _watch(self, scope):
        await self._woken.wait()
        await self._world.deliver_packet(self._world.leader.name, self.name)
        self._woken = trio.Event()
        scope.cancel()

    async def _send_heartbeat(self):
        sent_s = trio.current_time()
        leader = self._world.leader
        body = self.section.build_report(sent_s)
        await self._world.deliver_packet(self.name, leader.name)
        if self._world.leader is not leader:
            return
        answer = leader.answer(self.name, body, trio.current_time())
        await self._world.deliver_packet(leader.name, self.name)
        self.section.receive_answer(answer, trio.current_time())
        self.table.set_lease(sent_s + LEASE_S)

    async def write(self, group):
        """Write every 20 to 60 ms, checking the permit as an entry host must."""
        number = 0
        while True:
            await trio.sleep(self._world.rng.uniform(0.02, 0.06))
            number += 1
            with trio.move_on_after(1.0):
                permit = self.table.get_write_permit(group, trio.current_time())
                if permit is None:
                    continue
                self.section.record_group_use(group, trio.current_time())
                await self._write_once(permit, f"{self.name}:{group}:{number}")

    async def _write_once(self, permit, write_id):
        server = self._world.instances[permit.primary]
        connection = FakeConnection(self._world, self.name, permit.primary)
        try:
            await connection.execute("write", [write_id])
        except FakeError:
            return
        floor = positions.Position(permit.timeline, 8 * len(server.log))
        await self._wait_ack_set(permit, floor)
        if self.table.is_permit_valid(permit, trio.current_time()):
            self._world.acked.append((trio.current_time(), permit, write_id))
        else:
            self._world.unacked += 1

    async def _wait_ack_set(self, permit, floor):
        wanted = self._world.settings.ack_instances - 1
        replicas = [
            item
            for item in self._world.instances.values()
            if item.name in self.table.get_ack_instances(permit.group)
            if item.name != permit.primary
        ]
        while True:
            reached = [
                item
                for item in replicas
                if item.is_live and positions.confirms_write(item.position, floor)
            ]
            if len(reached) >= wanted:
                return
            await trio.sleep(0.01)


def run(world, scenario, duration_s=12.0):
    """Run a scenario in virtual time; the same seed gives the same run."""
    # trio shuffles tasks with a random generator of its own, which Hypothesis
    # seeds in the same way.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(world.rng.random())
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(world.run, scenario, duration_s, clock=clock)


def get_gap_s(world, group="lots"):
    """Return the longest time without an acknowledged write."""
    times = [time_s for time_s, permit, _ in world.acked if permit.group == group]
    return max(after - before for before, after in zip(times, times[1:], strict=False))
