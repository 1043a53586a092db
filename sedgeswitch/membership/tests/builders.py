"""A small fleet of real heartbeat servers and clients over a lossy network."""

import collections
import random
import typing

import loguru
import trio
import trio.testing

from sedgeswitch import verdicts
from sedgeswitch.membership import directory
from sedgeswitch.membership import heartbeat_client
from sedgeswitch.membership import heartbeat_server
from sedgeswitch.membership import machine
from sedgeswitch.membership import messages
from sedgeswitch.transport import failures

LEASE_S = 2.0
HEARTBEAT_S = 0.5

loguru.logger.disable("sedgeswitch.membership")


class Leadership(typing.NamedTuple):
    term: int


def build_server(instance="lots-0", **changes):
    server = directory.BackendServer(
        instance, "lots", "10.0.0.1", 5432, "bagmati", {"rack": "a"}, 3, 20
    )
    return server._replace(**changes)


def build_heartbeat(host_id, sequence=1, is_leaving=False, incarnation="run-1"):
    return messages.Heartbeat(
        host_id, incarnation, "bagmati", "10.0.0.9", 7000, {}, is_leaving, sequence
    )


class FakeLog:
    """One control host's replicated log, which applies in order after a delay."""

    leader_id = None
    leader_address = None

    def __init__(self, members, rng=None):
        self.members = members
        self.rng = rng or random.Random(0)
        self.term = 0
        self.delay_s = 0.0
        self.lose_next = False
        self.pending = 0
        self._lock = trio.StrictFIFOLock()

    def get_leadership(self, now_s):  # noqa: ARG002
        return Leadership(self.term) if self.term else None

    async def propose(self, machine_name, body, timeout_s):  # noqa: ARG002
        is_lost, self.lose_next = self.lose_next, False
        self.pending += 1
        async with self._lock:
            await trio.sleep(self.delay_s)
            self.members.apply(0, body)
        self.pending -= 1
        if is_lost:
            raise OSError("the outcome is not known")
        return b""


class Fleet:
    """Entry hosts, and control hosts that share one replicated state."""

    def __init__(self, seed, entry_count=4, control_count=2, loss=0.1):
        self.rng = random.Random(seed)
        self.loss = loss
        self.delays_s = [0.001, 0.01, 0.05, 0.4, 1.5]
        self.members = machine.MembersMachine()
        self.logs = [FakeLog(self.members, self.rng) for _ in range(control_count)]
        self.heartbeat_servers = [
            heartbeat_server.HeartbeatServer(log, self.members, LEASE_S)
            for log in self.logs
        ]
        self.heartbeat_clients = [
            self._build_heartbeat_client(index) for index in range(entry_count)
        ]
        self.sent = collections.Counter()
        self.cut = set()
        self.leader = 0
        self.logs[0].term = 1

    def _build_heartbeat_client(self, index):
        identity = machine.Member(
            f"entry-{index}", f"run-{index}", "bagmati", "10.0.0.9", 7000 + index
        )
        return heartbeat_client.HeartbeatClient(
            identity, Network(self, index), HEARTBEAT_S
        )

    def change_leader(self):
        term = self.logs[self.leader].term
        self.logs[self.leader].term = 0
        self.leader = (self.leader + 1) % len(self.logs)
        self.logs[self.leader].term = term + 1

    def stop_faults(self):
        """Stop losing and delaying messages."""
        self.cut = set()
        self.loss = 0.0
        self.delays_s = [0.001, 0.01]

    def get_delay_s(self):
        return self.rng.choice(self.delays_s)

    async def run(self, duration_s, check, step=None):
        """Run all hosts; call `check` every 20 ms and `step` every second."""
        async with trio.open_nursery() as nursery:
            for item in (*self.heartbeat_servers, *self.heartbeat_clients):
                nursery.start_soon(item.run)
            for tick in range(int(duration_s / 0.02)):
                await trio.sleep(0.02)
                if step is not None and tick % 50 == 0:
                    step()
                check(trio.current_time())
            nursery.cancel_scope.cancel()


class Network:
    """An entry host's connection to the leader, which loses and delays messages."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.index = index

    async def call(self, message, timeout_s):
        fleet = self.fleet
        fleet.sent[type(message)] += 1
        error = failures.CallError("timeout", "", verdicts.Verdict.MAY_HAVE_RUN)
        replies = []
        with trio.move_on_after(timeout_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._deliver, message, replies)
        if not replies or self.index in fleet.cut:
            raise error
        if isinstance(replies[0], failures.CallError):
            raise replies[0]
        return replies[0]

    async def _deliver(self, message, replies):
        fleet = self.fleet
        if fleet.rng.random() < fleet.loss or self.index in fleet.cut:
            await trio.sleep_forever()
        await trio.sleep(fleet.get_delay_s())
        serving = fleet.heartbeat_servers[fleet.leader]
        answer = serving.answer_heartbeat
        if isinstance(message, messages.Watch):
            answer = serving.answer_watch
        try:
            reply = await answer(message)
        except failures.CallError as error:
            reply = error
        if fleet.rng.random() < fleet.loss:
            await trio.sleep_forever()
        await trio.sleep(fleet.get_delay_s())
        replies.append(reply)
