import collections
import http.client
import itertools
import json
import os
import pathlib
import threading
import time
import unittest

from sedgeswitch.daemon.tests import builders
from sedgeswitch.daemon.tests import sessions
from sedgeswitch.evacuations import sections

GOLDEN = pathlib.Path(__file__).parent / "golden"
RECORD_VARIABLE = "SEDGESWITCH_RECORD_GOLDEN"
TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"
MIN_COUNT = 20


class FleetTest(unittest.TestCase):
    """Starts a fleet for each class, and checks that no API key is logged or traced."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = builders.Fleet()
        cls.addClassCleanup(cls.fleet.remove)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()

    def tearDown(self):
        for path, text in self.fleet.read_outputs().items():
            for key in self.fleet.keys.values():
                self.assertNotIn(key, text, path)


class Traffic:
    """Threads that insert rows through the given hosts until they are stopped."""

    def __init__(self, fleet, name, host_ids):
        self.acknowledged = []
        self.errors = []
        self.counts = collections.Counter()
        self.closing_hosts = set()
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

    def wait_for_more_writes(self):
        target = len(self.acknowledged) + MIN_COUNT
        builders.wait_until(lambda: len(self.acknowledged) >= target, "more writes")

    def _run(self, name, host_id):
        connection = self._fleet.connect(host_id)
        numbers = itertools.count()
        while not self._is_stopped.is_set() and host_id not in self.closing_hosts:
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
                self.errors.append((slip_id, repr(error)))
                break
            self.counts[host_id, status] += 1
            if status == 200:
                self.acknowledged.append(slip_id)
            if headers["Connection"] == "close":
                self.closing_hosts.add(host_id)
        connection.close()


class SessionsTest(FleetTest):
    def test_golden_sessions_get_the_recorded_answers(self):
        for path in sorted(GOLDEN.glob("*.txt")):
            with self.subTest(session=path.name):
                expected = path.read_text()
                actual = sessions.Session(self.fleet).run(expected)
                if os.environ.get(RECORD_VARIABLE):
                    path.write_text(actual)
                self.assertEqual(actual, expected)

    def test_each_hop_of_a_write_and_a_read_has_a_span(self):
        answer = self.fleet.insert("c2", "traced", traceparent=TRACEPARENT)
        self.assertEqual(answer[0], 200)
        body = builders.build_statement("read", builders.SELECT_SQL)
        self.fleet.send("c3", body, traceparent=TRACEPARENT)
        spans = [
            span
            for span in self.fleet.read_spans()
            if span["context"]["trace_id"].endswith(TRACE_ID)
        ]
        names = sorted(span["name"] for span in spans)
        hops = ["entry.admission", "entry.statement"] * 2
        self.assertEqual(names, sorted([*hops, "instance.read", "instance.write"]))

    def test_session_reads_a_write_of_its_organisation_despite_replication_lag(self):
        sql = "SELECT id FROM slips WHERE id = 'desk'"
        body = builders.build_statement("read", sql)
        session = {"Sedge-Session": "h1"}
        # c3 and lots-c are in one zone. While the floor of the session is not known,
        # reads go to another instance.
        builders.wait_until(
            lambda: self.fleet.send("c3", body, **session)[2]["instance"] == "lots-c",
            "a read from the replica in the zone of c3",
        )
        faults = {"replication_lag_ms": 4000}
        self.fleet.call_instance("lots-c", "POST", "/faults", faults)
        self.assertEqual(self.fleet.insert("c1", "desk")[0], 200)
        for host_id in builders.HOST_IDS * 4:
            _, _, answer = self.fleet.send(host_id, body, **session)
            self.assertEqual(answer.get("rows"), [["desk"]], answer)


class DrainingTest(FleetTest):
    def test_drained_instance_gets_no_new_statements(self):
        with Traffic(self.fleet, "drain", builders.HOST_IDS) as traffic:
            traffic.wait_for_more_writes()
            # The drain covers the primary, so the primary role moves first.
            self.fleet.check_command(
                "drain", "cleaning=monday", "--watch", "--watch-seconds", "30"
            )
            before = self.fleet.call_instance("lots-a", "GET", "/ran")
            traffic.wait_for_more_writes()
            body = builders.build_statement("read", builders.SELECT_SQL)
            for host_id in builders.HOST_IDS * MIN_COUNT:
                self.assertEqual(self.fleet.send(host_id, body)[0], 200)
            after = self.fleet.call_instance("lots-a", "GET", "/ran")
        self.assertEqual(after["executed"], before["executed"])
        stats = self.fleet.call_instance("lots-a", "GET", "/stats")
        self.assertEqual((stats["in_use"], stats["is_primary"]), (0, False))
        self.assertEqual(traffic.errors, [])

    def test_graceful_shutdown_interrupts_no_request(self):
        leaving = builders.HOST_IDS[2]
        with Traffic(self.fleet, "leave", [leaving] * 4) as traffic:
            traffic.wait_for_more_writes()
            self.fleet.processes[leaving].terminate()
            code = self.fleet.processes[leaving].wait(builders.TIMEOUT_S)
        self.assertEqual(code, 0)
        self.assertEqual(traffic.errors, [])
        self.assertEqual(traffic.closing_hosts, {leaving})


class EvacuationTest(FleetTest):
    def test_evacuated_zone_gets_no_statements_and_no_primary_after_the_end(self):
        zone = builders.ZONES[0]
        with Traffic(self.fleet, "evacuate", builders.HOST_IDS) as traffic:
            traffic.wait_for_more_writes()
            self.fleet.check_command("evacuate", zone)
            self.fleet.check_command("evacuate", zone)
            builders.wait_until(
                lambda: self.fleet.get_primary() != builders.INSTANCES[0], "a primary"
            )
            time.sleep(sections.DEFAULT_BOUND_S)
            before = self.fleet.call_instance("lots-a", "GET", "/ran")
            traffic.wait_for_more_writes()
            body = builders.build_statement("read", builders.SELECT_SQL)
            for host_id in builders.HOST_IDS * MIN_COUNT:
                self.assertEqual(self.fleet.send(host_id, body)[0], 200)
            after = self.fleet.call_instance("lots-a", "GET", "/ran")
            listed = self.fleet.check_command("evacuations", "--json").stdout
            self.assertEqual({"zones": [zone]}, json.loads(listed))
            primary = self.fleet.get_primary()
            self.fleet.check_command("end-evacuation", zone)
            traffic.wait_for_more_writes()
            time.sleep(1.0)
            self.assertEqual(primary, self.fleet.get_primary())
        self.assertEqual(after["executed"], before["executed"])
        self.assertEqual(traffic.errors, [])
        refused = self.fleet.run_command("evacuate", "nowhere")
        self.assertIn(zone, refused.stderr)


class FailoverTest(FleetTest):
    def test_killed_primary_neither_loses_nor_repeats_an_acknowledged_write(self):
        with Traffic(self.fleet, "kill", builders.HOST_IDS * 2) as traffic:
            traffic.wait_for_more_writes()
            self.fleet.kill(builders.INSTANCES[0])
            builders.wait_until(
                lambda: self.fleet.get_primary() != builders.INSTANCES[0], "a primary"
            )
            traffic.wait_for_more_writes()
        self.assertEqual(traffic.errors, [])
        body = builders.build_statement("read", builders.SELECT_SQL)
        _, _, answer = self.fleet.send("c1", body)
        counts = {slip_id: int(runs) for slip_id, runs in answer["rows"]}
        lost = [slip_id for slip_id in traffic.acknowledged if slip_id not in counts]
        self.assertEqual(lost, [])
        self.assertEqual({runs for runs in counts.values() if runs != 1}, set())

    def test_daemons_stopped_at_the_same_time_exit_with_code_zero(self):
        fleet = builders.Fleet()
        self.addCleanup(fleet.remove)
        self.addCleanup(fleet.stop)
        fleet.start()
        codes = fleet.stop()
        self.assertEqual({codes[name] for name in builders.HOST_IDS}, {0})


# Removed so that only its subclasses are run as tests.
del FleetTest
