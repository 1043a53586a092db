import collections
import http.client
import itertools
import os
import pathlib
import threading
import unittest

from sedgeswitch.daemon.tests import builders
from sedgeswitch.daemon.tests import sessions

GOLDEN = pathlib.Path(__file__).parent / "golden"
RECORD_VARIABLE = "SEDGESWITCH_RECORD_GOLDEN"
TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"
ENOUGH = 20


class FleetTest(unittest.TestCase):
    """Starts a fleet for each class; after each test no key was written down."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = builders.Fleet()
        cls.addClassCleanup(cls.fleet.remove)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()

    def tearDown(self):
        for path, text in self.fleet.list_texts().items():
            for key in self.fleet.keys.values():
                self.assertNotIn(key, text, path)


class Traffic:
    """Threads that insert slips on the given hosts until they are stopped."""

    def __init__(self, fleet, name, host_ids):
        self.acknowledged = []
        self.cut = []
        self.counts = collections.Counter()
        self.left = set()
        self._fleet = fleet
        self._is_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(f"{name}-{number}", host_id))
            for number, host_id in enumerate(host_ids)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exception):
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()

    def wait_for_more(self):
        aim = len(self.acknowledged) + ENOUGH
        builders.wait_until(lambda: len(self.acknowledged) >= aim, "more writes")

    def _run(self, name, host_id):
        connection = self._fleet.connect(host_id)
        numbers = itertools.count()
        while not self._is_stopped.is_set() and host_id not in self.left:
            slip_id = f"{name}-{next(numbers)}"
            sql = builders.INSERT_SQL.format(id=slip_id)
            body = builders.build_statement("write", sql, slip_id, name)
            try:
                status, headers, _ = self._fleet.send(
                    host_id,
                    body,
                    connection=connection,
                    **{"Idempotency-Key": slip_id, "Sedge-Session": name},
                )
            except (OSError, http.client.HTTPException) as error:
                self.cut.append((slip_id, repr(error)))
                break
            self.counts[host_id, status] += 1
            if status == 200:
                self.acknowledged.append(slip_id)
            if headers["Connection"] == "close":
                self.left.add(host_id)
        connection.close()


class SessionsTest(FleetTest):
    def test_sessions_are_as_in_the_golden_files(self):
        for path in sorted(GOLDEN.glob("*.txt")):
            with self.subTest(session=path.name):
                expected = path.read_text()
                found = sessions.Session(self.fleet).run(expected)
                if os.environ.get(RECORD_VARIABLE):
                    path.write_text(found)
                self.assertEqual(found, expected)

    def test_each_hop_of_a_write_and_a_read_has_a_span(self):
        answer = self.fleet.insert("c2", "traced", traceparent=TRACEPARENT)
        self.assertEqual(answer[0], 200)
        body = builders.build_statement("read", builders.SELECT_SQL)
        self.fleet.send("c3", body, traceparent=TRACEPARENT)
        spans = [
            span
            for span in self.fleet.list_spans()
            if span["context"]["trace_id"].endswith(TRACE_ID)
        ]
        names = sorted(span["name"] for span in spans)
        hops = ["entry.admission", "entry.statement"] * 2
        self.assertEqual(names, sorted([*hops, "instance.read", "instance.write"]))

    def test_household_sees_what_its_organisation_wrote_despite_lag(self):
        sql = "SELECT id FROM slips WHERE id = 'desk'"
        body = builders.build_statement("read", sql)
        session = {"Sedge-Session": "h1"}
        # c3 and lots-c are in one zone; until its homes know, reads go elsewhere.
        builders.wait_until(
            lambda: self.fleet.send("c3", body, **session)[2]["instance"] == "lots-c",
            "a read from the near replica",
        )
        faults = {"replication_lag_ms": 4000}
        self.fleet.control_instance("lots-c", "POST", "/faults", faults)
        self.assertEqual(self.fleet.insert("c1", "desk")[0], 200)
        for host_id in builders.HOST_IDS * 4:
            _, _, seen = self.fleet.send(host_id, body, **session)
            self.assertEqual(seen.get("rows"), [["desk"]], seen)


class LeavingTest(FleetTest):
    def test_drained_instance_gets_no_new_work(self):
        with Traffic(self.fleet, "drain", builders.HOST_IDS) as traffic:
            traffic.wait_for_more()
            # The primary is among the drained: it moves first.
            self.fleet.check_operate(
                "drain", "cleaning=monday", "--watch", "--watch-seconds", "30"
            )
            before = self.fleet.control_instance("lots-a", "GET", "/ran")
            traffic.wait_for_more()
            body = builders.build_statement("read", builders.SELECT_SQL)
            for host_id in builders.HOST_IDS * ENOUGH:
                self.assertEqual(self.fleet.send(host_id, body)[0], 200)
            after = self.fleet.control_instance("lots-a", "GET", "/ran")
        self.assertEqual(after["executed"], before["executed"])
        stats = self.fleet.control_instance("lots-a", "GET", "/stats")
        self.assertEqual((stats["in_use"], stats["is_primary"]), (0, False))
        self.assertEqual(traffic.cut, [])

    def test_graceful_shutdown_cuts_no_request(self):
        leaving = builders.HOST_IDS[2]
        with Traffic(self.fleet, "leave", [leaving] * 4) as traffic:
            traffic.wait_for_more()
            self.fleet.processes[leaving].terminate()
            code = self.fleet.processes[leaving].wait(builders.GIVE_UP_S)
        self.assertEqual(code, 0)
        self.assertEqual(traffic.cut, [])
        self.assertEqual(traffic.left, {leaving})


class FailoverTest(FleetTest):
    def test_killed_primary_loses_and_doubles_no_acknowledged_write(self):
        with Traffic(self.fleet, "kill", builders.HOST_IDS * 2) as traffic:
            traffic.wait_for_more()
            self.fleet.kill(builders.INSTANCES[0])
            builders.wait_until(
                lambda: self.fleet.get_primary() != builders.INSTANCES[0], "a primary"
            )
            traffic.wait_for_more()
        self.assertEqual(traffic.cut, [])
        body = builders.build_statement("read", builders.SELECT_SQL)
        _, _, answer = self.fleet.send("c1", body)
        counts = {slip_id: int(runs) for slip_id, runs in answer["rows"]}
        lost = [slip_id for slip_id in traffic.acknowledged if slip_id not in counts]
        self.assertEqual(lost, [])
        self.assertEqual({runs for runs in counts.values() if runs != 1}, set())

    def test_fleet_that_is_stopped_at_once_ends_cleanly(self):
        fleet = builders.Fleet()
        self.addCleanup(fleet.remove)
        self.addCleanup(fleet.stop)
        fleet.start()
        codes = fleet.stop()
        self.assertEqual({codes[name] for name in builders.HOST_IDS}, {0})


# Only its subclasses are tests.
del FleetTest
