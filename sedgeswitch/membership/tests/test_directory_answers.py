"""Tests of the answers that the leader's directory gives to entry hosts."""

import random
import unittest

from sedgeswitch.membership import directory


def _build_server(instance):
    return directory.BackendServer(instance, "g", "127.0.0.1", 1, "z", {}, 3, 20)


def _exchange_heartbeat(control, entry, now_s):
    entry.receive_answer(
        control.answer_report("e", entry.build_report(now_s), now_s), now_s
    )


class ControlDirectoryTest(unittest.TestCase):
    def test_host_started_after_change_gets_current_directory(self):
        control = directory.ControlDirectory(random.Random(1))
        control.start_leadership(0.0)
        first, second, third = (directory.EntryDirectory() for _ in range(3))
        first.record_announcement(_build_server("i1"))
        _exchange_heartbeat(control, first, 1.0)
        _exchange_heartbeat(control, second, 1.1)
        first.record_announcement(_build_server("i2"))
        _exchange_heartbeat(control, first, 1.2)
        _exchange_heartbeat(control, third, 1.3)
        _exchange_heartbeat(control, second, 1.4)
        for entry in (first, second, third):
            names = [server.instance for server in entry.get_group("g")]
            self.assertEqual(sorted(names), ["i1", "i2"])

    def test_expired_server_is_removed_from_its_group(self):
        control = directory.ControlDirectory(random.Random(1))
        control.start_leadership(0.0)
        entry = directory.EntryDirectory()
        entry.record_announcement(_build_server("i1"))
        _exchange_heartbeat(control, entry, 11.0)
        self.assertEqual(len(entry.get_group("g")), 1)
        _exchange_heartbeat(control, entry, 11.0 + directory.ANNOUNCEMENT_LEASE_S + 1)
        self.assertEqual(entry.get_group("g"), [])


if __name__ == "__main__":
    unittest.main()
