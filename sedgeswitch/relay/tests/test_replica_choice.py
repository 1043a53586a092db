"""Tests of which replica a read goes to in a fleet of several regions.

The pattern: hosts in zones without an instance of their own, whose region has a replica
in another zone. Bytes between regions are dear, and the round trip is longer.
"""

import random
import unittest

from sedgeswitch.admission import fair_queue
from sedgeswitch.membership import directory
from sedgeswitch.pools import pool
from sedgeswitch.routing import policies
from sedgeswitch.statements import backends

REGIONS = {"bagmati-a": "bagmati", "bagmati-b": "bagmati", "koshi-a": "koshi"}
IDLE = pool.PoolLoad(10, 0, 0, 1, 0.02, 0.0)


def build_server(name, zone):
    return directory.BackendServer(name, "lots", name, 80, zone, {}, 3, 128)


def build_backends(regions):
    return backends.Backends(
        directory.EntryDirectory(),
        None,
        lambda capacity: fair_queue.FairQueue(capacity, 100),
        lambda server: False,
        backends.BackendOptions(
            "bagmati-b",
            1000,
            policies.DEFAULT_POLICY,
            pool.PoolSettings(),
            region_by_zone=regions,
        ),
        random.Random(1),
    )


class RegionTest(unittest.TestCase):
    SERVERS = (build_server("far", "koshi-a"), build_server("near", "bagmati-a"))

    def list_first(self, regions, get_load=lambda server: IDLE):
        host = build_backends(regions)
        return {
            host.order_replicas(list(self.SERVERS), "primary", get_load)[0].instance
            for _ in range(20)
        }

    def test_replica_in_region_of_host_comes_first(self):
        self.assertEqual({"near"}, self.list_first(REGIONS))

    def test_unknown_regions_are_equally_far(self):
        self.assertEqual({"near", "far"}, self.list_first({}))

    def test_slow_replica_in_region_is_left_for_another(self):
        def get_load(server):
            is_near = server.instance == "near"
            return IDLE._replace(service_s=0.5 if is_near else 0.02)

        self.assertEqual({"far"}, self.list_first(REGIONS, get_load))


if __name__ == "__main__":
    unittest.main()
