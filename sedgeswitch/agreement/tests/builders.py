"""Builders of clusters in virtual time, on a network with injected faults."""

import collections
import pathlib
import random
import shutil
import tempfile

import loguru
import msgspec
import trio
import trio.testing

from sedgeswitch import verdicts
from sedgeswitch.agreement import errors
from sedgeswitch.agreement import node
from sedgeswitch.agreement import settings
from sedgeswitch.agreement import sqlite_storage
from sedgeswitch.agreement import state_machines
from sedgeswitch.transport import catalog
from sedgeswitch.transport import failures
from sedgeswitch.transport import peer
from sedgeswitch.utils.tests import virtual_time

MACHINE_NAME = "recorder"
LEADER_TIMEOUT_S = 30.0
# Uptime of a process when its host of the log starts, in seconds.
STARTUP_S = 0.4
# A file system in memory makes syncs fast; only the files' content matters here.
MEMORY_FOLDER = "/dev/shm" if pathlib.Path("/dev/shm").is_dir() else None


def build_address(node_id):
    return peer.Address("127.0.0.1", 7000 + int(node_id[1:]))


def build_voter(node_id):
    return settings.VoterAddress(node_id, *build_address(node_id))


class FakeNetwork:
    """Delays, drops and blocks messages, separately in each direction.

    A dropped or blocked message gives its sender no error, only a timeout.
    """

    def __init__(self, rng):
        self.rng = rng
        self.blocked = set()
        self.loss = 0.0
        self.delay_s = 0.004
        self.extra_delay_s = {}
        self.endpoints = {}

    def isolate(self, node_id, inward=True, outward=True):
        for other in list(self.endpoints):
            if inward:
                self.blocked.add((other, build_address(node_id)))
            if outward:
                self.blocked.add((build_address(node_id), other))

    def heal(self):
        self.blocked.clear()
        self.loss = 0.0

    async def deliver(self, source, target):
        delay_s = self.rng.uniform(0.0, self.delay_s) + self.extra_delay_s.get(
            target, 0.0
        )
        await trio.sleep(delay_s)
        if (source, target) in self.blocked or self.rng.random() < self.loss:
            await trio.sleep_forever()


class Endpoint:
    """The `Network` of one host on the fake network."""

    def __init__(self, network, address):
        self.network = network
        self.address = address
        self.handlers = {}

    def register_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        task_status.started()
        await trio.sleep_forever()

    async def call(self, address, message, timeout_s):
        with trio.move_on_after(timeout_s):
            return await self._call(address, message)
        raise failures.CallError("timeout", str(address), verdicts.Verdict.MAY_HAVE_RUN)

    async def _call(self, address, message):
        await self.network.deliver(self.address, address)
        target = self.network.endpoints.get(address)
        if target is None or type(message) not in target.handlers:
            raise failures.CallError(
                "unreachable", str(address), verdicts.Verdict.NOT_RUN
            )
        body = catalog.encode_struct(message)
        request = catalog.decode_struct(type(message), body)
        reply = await target.handlers[type(message)](request)
        await self.network.deliver(address, self.address)
        if self.network.endpoints.get(address) is not target:
            await trio.sleep_forever()
        return reply


class RecordingStateMachine:
    """A state machine that records all commands in the order of application.

    Parameters
    ----------
    history : dict of int to bytes
        The command at each index, shared by all hosts; a host that applies another
        command at an index fails.
    """

    def __init__(self, history):
        self.history = history
        self.bodies = []
        self.last_index = 0

    def apply(self, index, body):
        assert index > self.last_index, f"index {index} after {self.last_index}"
        self.last_index = index
        first = self.history.setdefault(index, body)
        assert first == body, f"index {index} holds {first!r} and {body!r}"
        self.bodies.append(body)
        return str(len(self.bodies)).encode()

    def save_snapshot(self):
        return msgspec.msgpack.encode((self.last_index, self.bodies))

    def load_snapshot(self, body):
        self.last_index, self.bodies = msgspec.msgpack.decode(
            body, type=tuple[int, list[bytes]]
        )


class Host:
    """A running node with its state machine and cancel scope."""

    def __init__(self, node, state_machine, scope):
        self.node = node
        self.state_machine = state_machine
        self.scope = scope


class Cluster:
    """Hosts on a fake network with real files.

    Records which proposals were reported to have run and to have not run.
    """

    def __init__(self, rng, folder, nursery, **overrides):
        self.rng = rng
        self.network = FakeNetwork(rng)
        self.hosts = {}
        self.history = {}
        self.accepted_bodies = set()
        self.rejected_bodies = set()
        self.lease_terms = collections.defaultdict(set)
        self._folder = folder
        self._nursery = nursery
        self._overrides = overrides
        self._bootstrap = ()

    def set_founders(self, *node_ids):
        self._bootstrap = tuple(build_voter(node_id) for node_id in node_ids)

    async def bootstrap(self, *node_ids):
        self.set_founders(*node_ids)
        for node_id in node_ids:
            await self.start(node_id)
        return await self.wait_for_leader()

    async def start(self, node_id, uptime_s=0.0):
        listed = any(voter.id == node_id for voter in self._bootstrap)
        node_settings = settings.NodeSettings(
            node_id, self._bootstrap if listed else (), **self._overrides
        )
        state_machine = RecordingStateMachine(self.history)
        registry = state_machines.Registry()
        registry.register_machine(MACHINE_NAME, state_machine)
        self.register_machines(node_id, registry)
        address = build_address(node_id)
        endpoint = Endpoint(self.network, address)
        started = node.Node(
            node_settings,
            sqlite_storage.SqliteStorage(self.get_folder(node_id)),
            endpoint,
            registry,
            self.rng,
            self._run_with_delays,
            lambda: uptime_s,
        )
        scope = trio.CancelScope()
        self.hosts[node_id] = Host(started, state_machine, scope)

        async def run(task_status):
            with scope:
                await started.run(task_status)

        await self._nursery.start(run)
        self.network.endpoints[address] = endpoint

    def register_machines(self, node_id, registry):
        """Register further state machines of a host; subclasses override this."""

    async def kill(self, node_id):
        host = self.hosts.pop(node_id)
        self.network.endpoints.pop(build_address(node_id), None)
        host.scope.cancel()
        await trio.testing.wait_all_tasks_blocked()

    def get_folder(self, node_id):
        return pathlib.Path(self._folder) / node_id

    def lose_disk(self, node_id):
        shutil.rmtree(self.get_folder(node_id))

    def get_leader(self):
        now_s = trio.current_time()
        found = [
            (node_id, leadership)
            for node_id, host in self.hosts.items()
            if (leadership := host.node.get_leadership(now_s)) is not None
        ]
        assert len(found) <= 1, f"more than one leader lease at {now_s}: {found}"
        for node_id, leadership in found:
            self.lease_terms[leadership.term].add(node_id)
            assert len(self.lease_terms[leadership.term]) == 1, self.lease_terms
        return found[0][0] if found else None

    async def wait_for_leader(self, other_than=None):
        with trio.fail_after(LEADER_TIMEOUT_S):
            while (leader := self.get_leader()) in (None, other_than):
                await trio.sleep(0.02)
        return leader

    async def propose(self, node_id, body, timeout_s=1.0):
        """Propose a command and record the outcome that the caller got."""
        try:
            await self.hosts[node_id].node.propose(MACHINE_NAME, body, timeout_s)
        except errors.NotLeaderError:
            self.rejected_bodies.add(body)
            raise
        self.accepted_bodies.add(body)

    async def propose_many(self, count, prefix="fill"):
        leader = await self.wait_for_leader()
        for number in range(count):
            await self.propose(leader, f"{prefix}-{number}".encode())

    async def wait_until_caught_up(self, node_ids):
        """Wait until the hosts have applied all entries committed before the call."""
        leader = await self.wait_for_leader()
        await self.hosts[leader].node.read_barrier(5.0)
        index = self.hosts[leader].node.commit_index
        for node_id in node_ids:
            with trio.fail_after(LEADER_TIMEOUT_S):
                await self.hosts[node_id].node.wait_applied(index)

    def check_outcomes(self, node_ids):
        """Check that the hosts applied all accepted and no rejected commands."""
        for node_id in node_ids:
            bodies = self.hosts[node_id].state_machine.bodies
            assert len(bodies) == len(set(bodies)), "a command was applied twice"
            lost = self.accepted_bodies - set(bodies)
            assert not lost, f"{node_id} lost accepted commands: {sorted(lost)}"
            wrongly_run = self.rejected_bodies & set(bodies)
            assert not wrongly_run, (
                f"{node_id} ran rejected commands: {sorted(wrongly_run)}"
            )

    async def _run_with_delays(self, function, *args):
        # A kill during the first pause loses the write; a kill during the second one
        # loses only the notice that the write is done.
        await trio.sleep(self.rng.uniform(0.0, 0.003))
        result = function(*args)
        await trio.sleep(self.rng.uniform(0.0, 0.001))
        return result


def run_cluster(body, seed=1, **overrides):
    """Run ``await body(cluster)`` in virtual time.

    Parameters
    ----------
    body : callable
    seed : int
        Seed of the random generator of the cluster and its network, and of the order
        in which trio runs tasks.
    **overrides
        Fields of `settings.NodeSettings`.
    """

    async def main():
        with tempfile.TemporaryDirectory(dir=MEMORY_FOLDER) as folder:
            async with trio.open_nursery() as nursery:
                cluster = Cluster(random.Random(seed), folder, nursery, **overrides)
                await body(cluster)
                nursery.cancel_scope.cancel()

    # Faults are expected here; their log lines would hide the result.
    loguru.logger.disable("sedgeswitch.agreement")
    try:
        virtual_time.run(main, seed=seed)
    finally:
        loguru.logger.enable("sedgeswitch.agreement")
