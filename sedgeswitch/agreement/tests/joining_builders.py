"""Builders of clusters whose hosts join and are replaced without an operator."""

import trio

from sedgeswitch import verdicts
from sedgeswitch.agreement import joining
from sedgeswitch.agreement import messages
from sedgeswitch.agreement.tests import builders
from sedgeswitch.transport import failures

# Pause of a host that finds no leader, in seconds.
_RETRY_S = 0.05


class JoiningCluster:
    """A cluster in which each host runs a voter manager and requests to join.

    Parameters
    ----------
    cluster : builders.Cluster
    nursery : trio.Nursery
    voter_count : int
    **options
        Further arguments of `joining.VoterManager`.
    """

    def __init__(self, cluster, nursery, voter_count, **options):
        self.cluster = cluster
        self._nursery = nursery
        self._voter_count = voter_count
        self._options = options
        self._managers = {}
        self._scopes = {}

    async def bootstrap(self, founders, others=()):
        """Start the founders and further hosts, and wait for all voters."""
        self.cluster.set_founders(*founders)
        for name in (*founders, *others):
            await self.start(name)
        with trio.fail_after(60):
            while len(await self.get_voters()) < self._voter_count:
                await trio.sleep(0.1)

    async def start(self, name):
        await self.cluster.start(name, uptime_s=builders.STARTUP_S)
        node = self.cluster.hosts[name].node
        manager = joining.VoterManager(node, self._voter_count, **self._options)
        identity = messages.JoinRequest(name, *builders.build_address(name))
        requester = joining.JoinRequester(node, identity, self._call_leader)
        scope = self._scopes[name] = trio.CancelScope()
        self._managers[name] = manager

        async def run():
            with scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(manager.run)
                    nursery.start_soon(requester.run)

        self._nursery.start_soon(run)

    async def kill(self, name):
        self._scopes.pop(name).cancel()
        del self._managers[name]
        await self.cluster.kill(name)

    async def restart_all(self, down_s, without_disk=()):
        """Kill all hosts at once and start them again, some with an empty disk."""
        names = list(self._managers)
        for name in names:
            await self.kill(name)
        for name in without_disk:
            self.cluster.lose_disk(name)
        await trio.sleep(down_s)
        for name in names:
            await self.start(name)

    async def get_voters(self):
        leader = await self.cluster.wait_for_leader()
        return set(self.cluster.hosts[leader].node.get_voter_addresses())

    async def _call_leader(self, request, timeout_s):
        with trio.move_on_after(timeout_s):
            while (leader := self.cluster.get_leader()) is None:
                await trio.sleep(_RETRY_S)
            return await self._managers[leader].answer_join(request)
        raise failures.CallError("timeout", "no leader", verdicts.Verdict.NOT_RUN)
