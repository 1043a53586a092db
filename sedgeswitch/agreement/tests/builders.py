"""Builders of small clusters in virtual time, on a network that can fail."""

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

SLICE_NAME = "recorder"
LEADER_WITHIN_S = 30.0
# Virtual time does not need real syncs.
MEMORY_FOLDER = "/dev/shm" if pathlib.Path("/dev/shm").is_dir() else None


def build_address(node_id):
    return peer.Address("127.0.0.1", 7000 + int(node_id[1:]))


def build_voter(node_id):
    return settings.VoterAddress(node_id, *build_address(node_id))


class FakeNetwork:
    """Delays, loses and silently cuts messages, each way by itself."""

    def __init__(self, rng):
        self.rng = rng
        self.cuts = set()
        self.loss = 0.0
        self.delay_s = 0.004
        self.extra_s = {}
        self.endpoints = {}

    def isolate(self, node_id, inward=True, outward=True):
        for other in list(self.endpoints):
            if inward:
                self.cuts.add((other, build_address(node_id)))
            if outward:
                self.cuts.add((build_address(node_id), other))

    def heal(self):
        self.cuts.clear()
        self.loss = 0.0

    async def carry(self, source, target):
        delay_s = self.rng.uniform(0.0, self.delay_s) + self.extra_s.get(target, 0.0)
        await trio.sleep(delay_s)
        if (source, target) in self.cuts or self.rng.random() < self.loss:
            await trio.sleep_forever()


class Endpoint:
    """One host's side of the fake network."""

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
        await self.network.carry(self.address, address)
        target = self.network.endpoints.get(address)
        if target is None or type(message) not in target.handlers:
            raise failures.CallError(
                "unreachable", str(address), verdicts.Verdict.NOT_RUN
            )
        body = catalog.encode_struct(message)
        request = catalog.decode_struct(type(message), body)
        reply = await target.handlers[type(message)](request)
        await self.network.carry(address, self.address)
        if self.network.endpoints.get(address) is not target:
            await trio.sleep_forever()
        return reply


class Recorder:
    """A state machine that keeps all bodies and checks the shared history."""

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
    """One running node."""

    def __init__(self, started, recorder, scope):
        self.node = started
        self.recorder = recorder
        self.scope = scope


class Cluster:
    """Hosts on a fake network and real files; records what was promised."""

    def __init__(self, rng, folder, nursery, **overrides):
        self.rng = rng
        self.network = FakeNetwork(rng)
        self.hosts = {}
        self.history = {}
        self.accepted = set()
        self.refused = set()
        self.lease_terms = collections.defaultdict(set)
        self._folder = folder
        self._nursery = nursery
        self._overrides = overrides
        self._bootstrap = ()

    async def bootstrap(self, *node_ids):
        self._bootstrap = tuple(build_voter(node_id) for node_id in node_ids)
        for node_id in node_ids:
            await self.start(node_id)
        return await self.wait_for_leader()

    async def start(self, node_id, uptime_s=0.0):
        listed = any(voter.id == node_id for voter in self._bootstrap)
        node_settings = settings.NodeSettings(
            node_id, self._bootstrap if listed else (), **self._overrides
        )
        recorder = Recorder(self.history)
        registry = state_machines.Registry()
        registry.register_machine(SLICE_NAME, recorder)
        address = build_address(node_id)
        endpoint = Endpoint(self.network, address)
        started = node.Node(
            node_settings,
            sqlite_storage.SqliteStorage(self.get_folder(node_id)),
            endpoint,
            registry,
            self.rng,
            self._run_slowly,
            lambda: uptime_s,
        )
        scope = trio.CancelScope()
        self.hosts[node_id] = Host(started, recorder, scope)

        async def run(task_status):
            with scope:
                await started.run(task_status)

        await self._nursery.start(run)
        self.network.endpoints[address] = endpoint

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
        assert len(found) <= 1, f"two leases at {now_s}: {found}"
        for node_id, leadership in found:
            self.lease_terms[leadership.term].add(node_id)
            assert len(self.lease_terms[leadership.term]) == 1, self.lease_terms
        return found[0][0] if found else None

    async def wait_for_leader(self, other_than=None):
        with trio.fail_after(LEADER_WITHIN_S):
            while (leader := self.get_leader()) in (None, other_than):
                await trio.sleep(0.02)
        return leader

    async def propose(self, node_id, body, timeout_s=1.0):
        """Propose and record what the caller was told."""
        try:
            await self.hosts[node_id].node.propose(SLICE_NAME, body, timeout_s)
        except errors.NotLeaderError:
            self.refused.add(body)
            raise
        self.accepted.add(body)

    async def fill(self, count, prefix="fill"):
        leader = await self.wait_for_leader()
        for number in range(count):
            await self.propose(leader, f"{prefix}-{number}".encode())

    async def wait_until_same(self, node_ids):
        """Wait until the hosts have applied everything that is committed."""
        leader = await self.wait_for_leader()
        await self.hosts[leader].node.read_barrier(5.0)
        index = self.hosts[leader].node.commit_index
        for node_id in node_ids:
            with trio.fail_after(LEADER_WITHIN_S):
                await self.hosts[node_id].node.wait_applied(index)

    def check_promises(self, node_ids):
        for node_id in node_ids:
            bodies = self.hosts[node_id].recorder.bodies
            assert len(bodies) == len(set(bodies)), "a command was applied twice"
            lost = self.accepted - set(bodies)
            assert not lost, f"{node_id} lost accepted {sorted(lost)}"
            untrue = self.refused & set(bodies)
            assert not untrue, f"{node_id} ran refused {sorted(untrue)}"

    async def _run_slowly(self, function, *args):
        # A kill in the first pause loses the write, one in the second only the
        # knowledge of it.
        await trio.sleep(self.rng.uniform(0.0, 0.003))
        result = function(*args)
        await trio.sleep(self.rng.uniform(0.0, 0.001))
        return result


def run_cluster(body, seed=1, **overrides):
    """Run ``await body(cluster)`` in virtual time."""

    async def main():
        with tempfile.TemporaryDirectory(dir=MEMORY_FOLDER) as folder:
            async with trio.open_nursery() as nursery:
                cluster = Cluster(random.Random(seed), folder, nursery, **overrides)
                await body(cluster)
                nursery.cancel_scope.cancel()

    # Failures are expected here; the log would hide the result.
    loguru.logger.disable("sedgeswitch.agreement")
    try:
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    finally:
        loguru.logger.enable("sedgeswitch.agreement")
