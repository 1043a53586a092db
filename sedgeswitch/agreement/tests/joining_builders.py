"""Builders of clusters whose hosts join and are replaced without an operator."""

import trio

from sedgeswitch import verdicts
from sedgeswitch.agreement import joining
from sedgeswitch.agreement import messages
from sedgeswitch.agreement.tests import builders
from sedgeswitch.transport import failures
from sedgeswitch.transport import leader_hints

# Round trip of a call to another host, in seconds.
_ROUND_TRIP_S = 0.02


class KnownHosts:
    """The control hosts that one host knows, which it asks for the leader in turn.

    Parameters
    ----------
    fleet : JoiningCluster
    names : sequence of str
        Names of the first known hosts.
    """

    def __init__(self, fleet, names):
        self._fleet = fleet
        self._names = list(names)
        self._answered = None

    def learn_addresses(self, addresses):
        self._names += [name for name in addresses if name not in self._names]

    def get_leader(self):
        return self._answered

    async def call(self, request, timeout_s):
        self._answered = None
        for name in list(self._names):
            await trio.sleep(_ROUND_TRIP_S)
            manager = self._fleet.managers.get(name)
            if manager is None:
                continue
            try:
                reply = await manager.answer_join(request)
            except failures.CallError as error:
                hint = leader_hints.decode_hint(error.detail)
                if hint is not None and hint.host_id not in self._names:
                    self._names.insert(0, hint.host_id)
                continue
            self._answered = leader_hints.Hint(name, builders.build_address(name))
            return reply
        raise failures.CallError("unreachable", "", verdicts.Verdict.NOT_RUN)


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
        self.managers = {}
        self._scopes = {}
        self._founders = ()

    async def bootstrap(self, founders, others=()):
        """Start the hosts, and wait until all voters have the log."""
        self._founders = founders
        self.cluster.set_founders(*founders)
        for name in (*founders, *others):
            await self.start(name)
        with trio.fail_after(60):
            while not await self._has_all_voters():
                await trio.sleep(0.1)
        await self.cluster.wait_until_caught_up(await self.get_voters())
        # Founders that have lost their disks must not form another cluster.
        self.cluster.set_founders()

    async def _has_all_voters(self):
        leader = await self.cluster.wait_for_leader()
        status = self.cluster.hosts[leader].node.get_status(trio.current_time())
        return len(status.voters) >= self._voter_count and not status.is_changing_voters

    async def start(self, name, known=()):
        """Start a host that knows the given control hosts, by default the founders."""
        await self.cluster.start(name, uptime_s=builders.STARTUP_S)
        node = self.cluster.hosts[name].node
        manager = joining.VoterManager(node, self._voter_count, **self._options)
        identity = messages.JoinRequest(name, *builders.build_address(name))
        known_hosts = KnownHosts(self, known or self._founders)
        requester = joining.JoinRequester(node, identity, known_hosts)
        scope = self._scopes[name] = trio.CancelScope()
        self.managers[name] = manager

        async def run():
            with scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(manager.run)
                    nursery.start_soon(requester.run)

        self._nursery.start_soon(run)

    async def kill(self, name):
        self._scopes.pop(name).cancel()
        del self.managers[name]
        await self.cluster.kill(name)

    async def restart_all(self, down_s, without_disk=()):
        """Kill all hosts at once and start them again, some with an empty disk."""
        names = list(self.managers)
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
