"""Builders of random losses of control hosts, within a stated tolerance."""

import contextlib

import trio

from sedgeswitch.agreement import errors
from sedgeswitch.agreement.tests import builders

# Number of hosts that may be lost at the same time.
TOLERATED_LOSSES = 2
# Time after its return, or after the start of its successor, at which a host no longer
# counts as lost, in seconds.
CATCH_UP_S = 6.0
# Longest time for which a host is down or cut off, in seconds.
MAX_LOSS_S = 7.5
# Time between the end of a host and the start of its successor, or the reverse.
SUCCESSOR_GAP_S = 1.0
RESTART_S = 0.5


class RandomLosses:
    """Loses hosts in random ways; never more at once than is tolerated.

    Parameters
    ----------
    hosts : joining_builders.JoiningCluster
    names : sequence of str
        The hosts at the start.
    nursery : trio.Nursery
    """

    def __init__(self, hosts, names, nursery):
        self._hosts = hosts
        self._cluster = hosts.cluster
        self._rng = hosts.cluster.rng
        self._nursery = nursery
        self._lost = set()
        self._successors = 0
        self.alive = list(names)
        self.events = []

    async def run(self, until_s):
        """Lose hosts at random times, and return once no host counts as lost."""
        kinds = (self._stop, self._wipe, self._cut_off, self._replace, self._kill_all)
        while trio.current_time() < until_s:
            await self._rng.choice(kinds)()
            await trio.sleep(self._rng.uniform(0.2, 4.0))
        while self._lost:
            await trio.sleep(0.05)

    def _choose(self, most):
        """Return hosts to lose now, preferably the leader; may be empty."""
        free = min(TOLERATED_LOSSES - len(self._lost), most)
        if free <= 0:
            return []
        candidates = [name for name in self.alive if name not in self._lost]
        chosen = self._rng.sample(candidates, self._rng.randint(1, free))
        leader = self._cluster.get_leader()
        if leader in candidates and leader not in chosen and self._rng.random() < 0.5:
            chosen[0] = leader
        self._lost.update(chosen)
        return chosen

    def _lose(self, kind, chosen, loss):
        if chosen:
            self.events.append((round(trio.current_time(), 2), kind, chosen))
            self._nursery.start_soon(loss, chosen)

    async def _recover(self, chosen):
        await trio.sleep(CATCH_UP_S)
        self._lost.difference_update(chosen)

    async def _stop(self):
        self._lose("stop", self._choose(2), self._stop_for_a_time)

    async def _wipe(self):
        async def wipe(chosen):
            await self._stop_for_a_time(chosen, loses_disks=True)

        self._lose("wipe", self._choose(2), wipe)

    async def _stop_for_a_time(self, chosen, loses_disks=False):
        for name in chosen:
            await self._hosts.kill(name)
            if loses_disks:
                self._cluster.lose_disk(name)
        await trio.sleep(self._rng.uniform(RESTART_S, MAX_LOSS_S))
        for name in chosen:
            await self._hosts.start(name, known=self._choose_known())
        await self._recover(chosen)

    async def _cut_off(self):
        async def cut_off(chosen):
            for name in chosen:
                self._cluster.network.isolate(name)
            await trio.sleep(self._rng.uniform(RESTART_S, MAX_LOSS_S))
            self._cluster.network.heal()
            await self._recover(chosen)

        # Healing the network would also connect hosts that another cut isolates.
        if not self._cluster.network.blocked:
            self._lose("cut off", self._choose(2), cut_off)

    async def _replace(self):
        self._lose("replace", self._choose(1), self._replace_for_good)

    async def _replace_for_good(self, chosen):
        (name,) = chosen
        self._successors += 1
        successor = f"n{50 + self._successors}"
        is_planned = self._rng.random() < 0.5
        if is_planned:
            await self._start_successor(successor)
            await trio.sleep(SUCCESSOR_GAP_S)
        self.alive.remove(name)
        await self._hosts.kill(name)
        left_s = CATCH_UP_S - SUCCESSOR_GAP_S
        if not is_planned:
            await trio.sleep(SUCCESSOR_GAP_S)
            await self._start_successor(successor)
            left_s = CATCH_UP_S
        await trio.sleep(left_s)
        self._lost.discard(name)

    async def _start_successor(self, successor):
        await self._hosts.start(successor, known=self._choose_known())
        self.alive.append(successor)

    async def _kill_all(self):
        if self._lost:
            return
        self._lost.update(self.alive)
        self.events.append((round(trio.current_time(), 2), "kill all"))
        await self._hosts.restart_all(RESTART_S)
        self._nursery.start_soon(self._recover, list(self.alive))

    def _choose_known(self):
        return self._rng.sample(self.alive, 3)


async def propose_changes(cluster):
    """Propose commands at the leader, one after the other, until cancelled."""
    number = 0
    while True:
        await trio.sleep(cluster.rng.uniform(0.2, 1.0))
        leader = cluster.get_leader()
        if leader is not None:
            number += 1
            with contextlib.suppress(errors.AgreementError):
                await cluster.propose(leader, b"change-%d" % number)


async def lose_two_disks_and_power(hosts):
    """Lose two voters' disks right after a change, while all hosts lose power.

    Returns the leader afterwards, which has applied all changes.
    """
    cluster = hosts.cluster
    await cluster.propose_many(1, "last")
    voters = sorted(await hosts.get_voters() & cluster.hosts.keys())
    await hosts.restart_all(0.65, without_disk=cluster.rng.sample(voters, 2))
    leader = await cluster.wait_for_leader()
    await cluster.hosts[leader].node.read_barrier(builders.LEADER_TIMEOUT_S)
    return leader
