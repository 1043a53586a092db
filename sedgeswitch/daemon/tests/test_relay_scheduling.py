"""Tests of which queue the pools of an entry host of a relay fleet use."""

import random
import unittest

import trio

from sedgeswitch.admission import fair_queue
from sedgeswitch.daemon import relay_entry
from sedgeswitch.daemon import relay_groups
from sedgeswitch.databases import documents
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.membership import directory
from sedgeswitch.scheduling import orders
from sedgeswitch.scheduling import scheduler
from sedgeswitch.transport import peer
from sedgeswitch.transport import server
from sedgeswitch.utils.tests import virtual_time

SERVER = directory.BackendServer("a", "lots", "10.0.0.9", 80, "bagmati-a", {}, 5, 60)


def build_entry(**options):
    return relay_entry.RelayEntry(
        relay_entry.EntryOptions(
            "entry-1",
            "bagmati-a",
            peer.Address("127.0.0.1", 7561),
            {},
            0.5,
            groups_settings.GroupSettings(),
            relay_groups.Tolerance(),
            {"bagmati-a": "bagmati"},
            **options,
        ),
        lambda text: documents.Document(),
        None,
        server.Server(),
        random.Random(0),
    )


def run_with_entry(body, **options):
    async def main():
        entry = build_entry(**options)
        entry.directory.servers["a"] = SERVER
        body(entry, entry.backends.get_pool(SERVER, "lots"))
        await trio.lowlevel.checkpoint()

    virtual_time.run(main)


class QueueTest(unittest.TestCase):
    def test_without_setting_pools_use_fair_queue(self):
        def body(entry, instance_pool):
            self.assertIs(fair_queue.FairQueue, type(instance_pool._slots))
            self.assertIsNone(instance_pool.scheduler)
            self.assertFalse(entry._components.is_scheduling)
            self.assertIsNone(entry.forwarder._backlogs)
            gauges = entry.get_gauges()
            self.assertFalse([name for name in gauges if "scheduling" in name])

        run_with_entry(body)

    def test_with_setting_pools_use_scheduler_with_announced_slots(self):
        def body(entry, instance_pool):
            self.assertIs(scheduler.Scheduler, type(instance_pool.scheduler))
            self.assertEqual(5, instance_pool.scheduler.limit.slots)
            self.assertTrue(entry._components.is_scheduling)
            entry.directory.servers["a"] = SERVER._replace(slots=3)
            entry.backends.update_capacities()
            self.assertEqual(3, instance_pool.scheduler.limit.slots)
            entry.get_gauges()

        run_with_entry(body, scheduling=orders.DEFAULT_ORDER)

    def test_unknown_order_is_an_error_at_start(self):
        with self.assertRaises(KeyError):
            run_with_entry(lambda entry, pool: None, scheduling="unknown")


if __name__ == "__main__":
    unittest.main()
