"""Tests of the shares of the connections of an instance."""

import random
import unittest

import trio

from sedgeswitch.admission import fair_queue
from sedgeswitch.membership import directory
from sedgeswitch.membership.tests import builders
from sedgeswitch.pools import messages
from sedgeswitch.pools import pool
from sedgeswitch.pools import shares
from sedgeswitch.pools.tests import builders as pool_builders
from sedgeswitch.statements import backends
from sedgeswitch.transport import catalog
from sedgeswitch.utils.tests import virtual_time

MAX_CONNECTIONS = 30
SHARED = MAX_CONNECTIONS - shares.RESERVED_CONNECTIONS


class FakePools:
    """The connections of an entry host; surplus ones are closed after a delay."""

    def __init__(self, item, rng):
        self.heartbeat_client = item
        self.rng = rng
        self.capacity = 0
        self.open = 0
        self.share = shares.EntryShare(self._is_within_share, self._limit_connections)
        item.register_section("shares", self.share)
        item.register_lapse_listener(self.drop)

    def _is_within_share(self, divisor):
        return self.open <= shares.get_capacity(MAX_CONNECTIONS, divisor)

    def _limit_connections(self, divisor):
        self.capacity = shares.get_capacity(MAX_CONNECTIONS, divisor)

    def drop(self):
        self.share.drop()
        self.open = 0

    async def run(self):
        while True:
            await trio.sleep(self.rng.choice([0.01, 0.1, 1.0]))
            if not self.heartbeat_client.is_lease_valid(trio.current_time()):
                self.drop()
            elif self.open < self.capacity:
                self.open = self.rng.randint(self.open, self.capacity)
            else:
                self.open = self.capacity


def build_fleet(seed, entry_count, loss=0.1):
    fleet = builders.Fleet(seed, entry_count, loss=loss)
    for serving in fleet.heartbeat_servers:
        section = shares.ControlShares(
            lambda now_s, table=serving.leases: [
                member.host_id for member in table.get_holders(now_s)
            ]
        )
        serving.register_section("shares", section)
    pools = [FakePools(item, fleet.rng) for item in fleet.heartbeat_clients]
    return fleet, pools


class ShareTest(unittest.TestCase):
    def test_random_faults_never_exceed_connections_of_instance(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                virtual_time.run(self._run_faults, seed)

    async def _run_faults(self, seed):
        fleet, pools = build_fleet(seed, random.Random(seed).randint(2, 6))
        most = 0

        def step():
            event = fleet.rng.random()
            if event < 0.1:
                fleet.change_leader()
            elif event < 0.4:
                size = fleet.rng.randint(0, len(pools))
                fleet.cut = set(fleet.rng.sample(range(len(pools)), size))
            elif event < 0.7:
                fleet.cut = set()

        def check(now_s):
            nonlocal most
            holding = [
                max(item.open, item.capacity)
                for item in pools
                if item.heartbeat_client.is_lease_valid(now_s)
            ]
            most = max(most, sum(holding))
            self.assertLessEqual(sum(holding), SHARED, f"at {now_s}")

        async with trio.open_nursery() as nursery:
            for item in pools:
                nursery.start_soon(item.run)
            await fleet.run(80.0, check, step)
            fleet.stop_faults()
            await fleet.run(20.0, check)
            nursery.cancel_scope.cancel()
        self.assertGreater(most, SHARED // 2)
        self.assertEqual({item.share.divisor for item in pools}, {len(pools)})

    def test_increased_share_is_not_reported_before_connections_are_within_it(self):
        is_within = {2: True, 3: False, 4: False}
        share = shares.EntryShare(is_within.__getitem__, lambda _: None)
        for divisor in (2, 4, 3):
            answer = catalog.encode_struct(messages.ShareAnswer(divisor))
            share.receive_answer(answer, 0.0)
        report = catalog.decode_struct(messages.ShareReport, share.build_report(0.0))
        self.assertEqual(report.divisor, 2)

    def test_reduced_share_limits_connections_before_it_is_reported(self):
        limits = []
        share = shares.EntryShare(lambda _: True, limits.append)
        for divisor in (2, 4):
            answer = catalog.encode_struct(messages.ShareAnswer(divisor))
            share.receive_answer(answer, 0.0)
        self.assertEqual(limits, [2, 4])

    def test_new_leader_increases_no_share_before_all_holders_report(self):
        section = shares.ControlShares(lambda _: ["entry-0", "entry-1"])
        section.start_leadership(0.0)
        given = []
        for host_id, held in (("entry-0", 0), ("entry-1", 2), ("entry-0", 0)):
            report = catalog.encode_struct(messages.ShareReport(held))
            body = section.answer_report(host_id, report, 0.0)
            given.append(catalog.decode_struct(messages.ShareAnswer, body).divisor)
        self.assertEqual(given, [0, 2, 2])

    def test_capacity_of_pools_follows_share_and_announced_limit_at_once(self):
        async def run():
            options = backends.BackendOptions(
                "bagmati", 100, "any", pool.PoolSettings()
            )
            entry = backends.Backends(
                directory.EntryDirectory(),
                pool_builders.FakeServer(),
                lambda capacity: fair_queue.FairQueue(capacity, 10),
                lambda server: False,
                options,
                random.Random(0),
            )
            server = builders.build_server(max_connections=25)
            instance_pool = entry.get_pool(server, "lots")
            capacities = [instance_pool.load.capacity]
            for divisor in (2, 4):
                answer = catalog.encode_struct(messages.ShareAnswer(divisor))
                entry.share.receive_answer(answer, 0.0)
                capacities.append(instance_pool.load.capacity)
            entry.get_pool(server._replace(max_connections=17), "lots")
            capacities.append(instance_pool.load.capacity)
            entry.share.drop()
            capacities.append(instance_pool.load.capacity)
            self.assertEqual(capacities, [0, 10, 5, 3, 0])

        virtual_time.run(run)

    def test_more_hosts_than_connections_gives_capacity_zero(self):
        self.assertEqual(shares.get_capacity(10, 6), 0)
        self.assertEqual(shares.get_capacity(10, 5), 1)


if __name__ == "__main__":
    unittest.main()
