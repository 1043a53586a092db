"""Tests of the directory of backend servers."""

import random
import unittest

from sedgeswitch.membership import directory
from sedgeswitch.membership.tests import builders
from sedgeswitch.transport import catalog

ANNOUNCEMENT_INTERVAL_S = 2.5


class Hosts:
    """Entry hosts and two control hosts, of which one leads."""

    def __init__(self, seed, count=2):
        self.rng = random.Random(seed)
        self.entries = [directory.EntryDirectory() for _ in range(count)]
        self.leaders = [directory.ControlDirectory(self.rng) for _ in range(2)]
        self.leader = self.leaders[0]
        self.leader.start_leadership(0.0)

    def change_leader(self, now_s):
        self.leader = self.leaders[self.leader is self.leaders[0]]
        self.leader.start_leadership(now_s)

    def send_heartbeat(self, index, now_s, loss=0.0):
        """Exchange one heartbeat; the report or its answer may be lost."""
        entry = self.entries[index]
        report = entry.build_report(now_s)
        if self.rng.random() < loss:
            return
        answer = self.leader.answer_report(f"entry-{index}", report, now_s)
        if self.rng.random() < loss:
            return
        entry.receive_answer(answer, now_s)


class DirectoryTest(unittest.TestCase):
    def test_copies_equal_announcements_after_random_loss_and_leader_changes(self):
        for seed in range(30):
            with self.subTest(seed=seed):
                self._run_random(seed)

    def _run_random(self, seed):
        hosts = Hosts(seed)
        rng = hosts.rng
        servers = {f"lots-{i}": builders.build_server(f"lots-{i}") for i in range(6)}
        now_s = 0.0
        for tick in range(240):
            now_s += 0.5
            is_fault_free = tick > 120
            if not is_fault_free and rng.random() < 0.02:
                hosts.change_leader(now_s)
            if not is_fault_free and rng.random() < 0.1:
                name = rng.choice(sorted(servers))
                labels = {"rack": rng.choice("abc")}
                servers[name] = servers[name]._replace(labels=labels)
            if not is_fault_free and len(servers) > 3 and rng.random() < 0.02:
                del servers[rng.choice(sorted(servers))]
            for number, server in enumerate(servers.values()):
                if (tick + number) % int(ANNOUNCEMENT_INTERVAL_S / 0.5) == 0:
                    rng.choice(hosts.entries).record_announcement(server)
            for index in range(len(hosts.entries)):
                hosts.send_heartbeat(index, now_s, 0.0 if is_fault_free else 0.2)
        self.assertEqual(hosts.leader.servers, servers)
        for entry in hosts.entries:
            self.assertEqual(entry.servers, servers)

    def test_announcement_expires(self):
        hosts = Hosts(0)
        hosts.entries[0].record_announcement(builders.build_server())
        hosts.send_heartbeat(0, 1.0)
        hosts.send_heartbeat(1, 5.0)
        self.assertIn("lots-0", hosts.entries[1].servers)
        hosts.send_heartbeat(1, 1.0 + directory.ANNOUNCEMENT_LEASE_S)
        self.assertEqual(hosts.entries[1].servers, {})

    def test_changed_labels_in_lost_report_arrive_with_next_report(self):
        hosts = Hosts(0)
        entry = hosts.entries[0]
        changed = builders.build_server(labels={"rack": "b"})
        entry.record_announcement(builders.build_server())
        hosts.send_heartbeat(0, 1.0)
        entry.record_announcement(changed)
        hosts.send_heartbeat(0, 2.0, loss=1.0)
        entry.record_announcement(changed)
        hosts.send_heartbeat(0, 3.0)
        self.assertEqual(hosts.leader.servers["lots-0"], changed)

    def test_labels_changed_back_over_another_host_arrive(self):
        hosts = Hosts(0)
        first = builders.build_server()
        for index, labels in ((0, "a"), (1, "b"), (0, "a"), (0, "a")):
            server = builders.build_server(labels={"rack": labels})
            hosts.entries[index].record_announcement(server)
            hosts.send_heartbeat(index, 1.0)
        self.assertEqual(hosts.leader.servers["lots-0"], first)

    def test_new_leader_removes_nothing_within_one_announcement_lease(self):
        hosts = Hosts(0)
        hosts.entries[0].record_announcement(builders.build_server())
        hosts.send_heartbeat(0, 11.0)
        hosts.change_leader(12.0)
        for now_s in (12.5, 17.0, 21.9):
            hosts.send_heartbeat(0, now_s)
            self.assertIn("lots-0", hosts.entries[0].servers)
        hosts.send_heartbeat(0, 12.0 + directory.ANNOUNCEMENT_LEASE_S)
        self.assertEqual(hosts.entries[0].servers, {})


class ColdInstanceTest(unittest.TestCase):
    def test_announcement_without_the_field_is_of_a_warm_instance(self):
        """Guards against announcements of hosts of an earlier release."""
        message = directory.build_message(builders.build_server())
        self.assertIsNone(message.is_cold)
        self.assertFalse(directory.build_server(message).is_cold)

    def test_directory_changes_twice_for_each_start(self):
        hosts = Hosts(0)
        versions = set()
        for second, is_cold in enumerate((False, True, True, True, False, False)):
            server = builders.build_server()._replace(is_cold=is_cold)
            hosts.leader.record_announcement(server, float(second))
            versions.add(hosts.leader.get_version())
            hosts.send_heartbeat(0, float(second))
            self.assertEqual(is_cold, hosts.entries[0].servers["lots-0"].is_cold)
        self.assertEqual(3, len(versions))

    def test_new_leader_starts_with_cold_instances(self):
        message = directory.build_message(
            builders.build_server()._replace(is_cold=True)
        )
        decoded = catalog.decode_struct(type(message), catalog.encode_struct(message))
        self.assertTrue(directory.build_server(decoded).is_cold)


if __name__ == "__main__":
    unittest.main()
