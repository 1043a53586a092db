"""Entry hosts that hold replicas of session floors for each other, in virtual time."""

import random

import trio
import trio.testing

from sedgeswitch import verdicts
from sedgeswitch.groups import positions
from sedgeswitch.membership import machine
from sedgeswitch.sessions import batching
from sedgeswitch.sessions import floor_replica
from sedgeswitch.sessions import floors
from sedgeswitch.sessions import placement
from sedgeswitch.sessions import replicated_floors
from sedgeswitch.transport import failures

LEASE_S = 2.0
PLACEMENT_OVERLAP_S = LEASE_S * 1.1
HEARTBEAT_S = 0.5
REMOVE_AFTER_S = 0.2
GROUP = "draw"
ZONES = ("bagmati", "gandaki", "koshi")


def run_virtual(function, *arguments, seed=0):
    """Run in virtual time; the same seed gives the same order of tasks."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)


def build_member(host_id, incarnation="1", zone=None):
    zone = zone or ZONES[int(host_id[1:]) % len(ZONES)]
    return machine.Member(host_id, incarnation, zone, "127.0.0.1", 1)


def build_key(session, organisation="ward-4"):
    return floors.SessionKey(organisation, session, GROUP)


class Host:
    """One incarnation of an entry host."""

    def __init__(self, fleet, host_id, incarnation):
        self.fleet = fleet
        self.host_id = host_id
        self.member = build_member(host_id, incarnation)
        self.lease_until_s = float("-inf")
        self.scope = trio.CancelScope()
        self.floor_replica = floor_replica.FloorReplica(
            host_id, self.read_primary, PLACEMENT_OVERLAP_S
        )
        self.floors = replicated_floors.ReplicatedFloors(
            self.build_client, self.is_leased, PLACEMENT_OVERLAP_S
        )

    def is_leased(self, now_s):
        return now_s < self.lease_until_s

    def apply_placement(self, current_placement, sent_s):
        """Apply the placement in a heartbeat's answer, which also renews the lease."""
        now_s = trio.current_time()
        if current_placement.version > self.floor_replica._placement.version:
            self.floor_replica.set_placement(current_placement, now_s)
            self.floors.set_placement(current_placement, now_s)
        self.lease_until_s = sent_s + LEASE_S

    async def read_primary(self, group):  # noqa: ARG002
        term = self.fleet.term
        if not self.is_leased(trio.current_time()):
            return None
        await self.fleet.delay_message()
        position = self.fleet.position
        await self.fleet.delay_message()
        is_same = term == self.fleet.term
        return position if is_same and self.is_leased(trio.current_time()) else None

    def build_client(self, host_id):
        if host_id == self.host_id:
            return batching.LocalReplicaClient(self.floor_replica)

        async def call(message, timeout_s):
            with trio.move_on_after(timeout_s):
                return await self.fleet.deliver(host_id, message)
            raise failures.CallError("timeout", "", verdicts.Verdict.MAY_HAVE_RUN)

        return batching.RemoteReplicaClient(call)

    async def run(self, *tasks):
        with self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.floors.run)
                nursery.start_soon(self.send_heartbeat)
                for task in tasks:
                    nursery.start_soon(task, self)

    async def send_heartbeat(self):
        while True:
            sent_s = trio.current_time()
            await self.fleet.delay_message()
            current_placement = self.fleet.answer_heartbeat(self)
            await self.fleet.delay_message()
            if current_placement is not None and self.host_id not in self.fleet.cut:
                self.apply_placement(current_placement, sent_s)
            await trio.sleep(HEARTBEAT_S * self.fleet.rng.random())


class Fleet:
    """Entry hosts, their registered members, and the primary of one group."""

    def __init__(self, seed=0, loss_share=0.0):
        self.rng = random.Random(seed)
        self.loss_share = loss_share
        self.hosts = {}
        self.cut = set()
        self.members = {}
        self.version = 0
        self.lease_expiry_s = {}
        self.term = 1
        self.position = positions.Position(1, 0)
        self.acked = {}
        self.known_count = 0
        self.wrong_floors = []
        self._placement = placement.build_placement(0, [])
        self._incarnations = 0

    def start_host(self, nursery, host_id, *tasks):
        self._incarnations += 1
        host = self.hosts[host_id] = Host(self, host_id, str(self._incarnations))
        nursery.start_soon(host.run, *tasks)
        return host

    def stop_host(self, host_id):
        host = self.hosts.pop(host_id, None)
        if host is not None:
            host.scope.cancel()

    def change_members(self, *changes):
        """Register the given members, and remove those given by host id."""
        for change in changes:
            if isinstance(change, str):
                del self.members[change]
            else:
                self.members[change.host_id] = change
            self.version += 1
        members = list(self.members.values())
        self._placement = placement.build_placement(self.version, members)
        return self._placement

    def answer_heartbeat(self, host):
        if host.host_id in self.cut:
            return None
        if self.members.get(host.host_id) != host.member:
            self.change_members(host.member)
        until_s = trio.current_time() + LEASE_S * 1.01
        self.lease_expiry_s[host.host_id] = until_s
        return self._placement

    async def remove_expired_members(self):
        while True:
            now_s = trio.current_time()
            for host_id in list(self.members):
                if self.lease_expiry_s[host_id] + REMOVE_AFTER_S < now_s:
                    self.change_members(host_id)
            await trio.sleep(0.05)

    async def delay_message(self):
        is_slow = self.rng.random() < self.loss_share
        await trio.sleep(self.rng.uniform(0.0, 1.0 if is_slow else 0.01))

    async def deliver(self, host_id, message):
        await self.delay_message()
        host = self.hosts.get(host_id)
        if host is None or self.rng.random() < self.loss_share:
            raise failures.CallError("lost", "", verdicts.Verdict.MAY_HAVE_RUN)
        if hasattr(message, "records"):
            reply = await host.floor_replica.answer_record(message)
        else:
            reply = await host.floor_replica.answer_query(message)
        await self.delay_message()
        return reply

    def fail_over(self):
        """Change the primary; writes that were not acknowledged may be lost."""
        self.term += 1
        kept = [position.lsn for position in self.acked.values()]
        lsn = max(kept, default=0)
        if self.rng.random() < 0.5:
            lsn = self.position.lsn
        self.position = positions.Position(self.term, lsn)

    def commit(self):
        self.position = positions.Position(self.term, self.position.lsn + 8)
        return self.position

    async def write(self, host, key, deadline_s=4.0):
        """Write once, and return whether the write was acknowledged."""
        deadline_s += trio.current_time()
        term = self.term
        if not await host.floors.wait_ready(key, deadline_s):
            return False
        if term != self.term or not host.is_leased(trio.current_time()):
            return False
        position = self.commit()
        is_recorded = await host.floors.record(key, position, deadline_s)
        await self.delay_message()
        is_leased = host.is_leased(trio.current_time())
        if not is_recorded or term != self.term or not is_leased:
            return False
        for scope in (key, key._replace(session="")):
            known = self.acked.get(scope, position)
            self.acked[scope] = max(known, position)
        return True

    async def read(self, host, key):
        """Query a floor, and record it as wrong if it misses an acknowledged write."""
        expected = self.acked.get(key)
        floor = await host.floors.get_floor(key, trio.current_time() + 1.0)
        if not floor.is_known:
            return floor
        self.known_count += 1
        is_low = floor.position is None or not positions.has_reached(
            floor.position, expected or positions.Position(0, 0)
        )
        if is_low:
            now_s = trio.current_time()
            self.wrong_floors.append(
                (now_s, host.host_id, key, floor.position, expected)
            )
        return floor
