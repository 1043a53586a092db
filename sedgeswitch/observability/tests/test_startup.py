"""Tests of the line about a host's startup."""

import unittest

import loguru

from sedgeswitch.observability import startup


class StartupTimesTest(unittest.TestCase):
    def setUp(self):
        self.records = []
        sink = loguru.logger.add(lambda message: self.records.append(message.record))
        self.addCleanup(loguru.logger.remove, sink)
        self.times = startup.StartupTimes(100.0)

    def test_first_answered_statement_logs_the_stages_and_failures_before(self):
        self.times.record_stage("lease_ms", 100.4)
        self.times.record_stage("lease_ms", 107.0)
        self.times.record_statement(False, 100.5)
        self.times.record_stage("configuration_ms", 100.6)
        self.times.record_statement(True, 101.0)
        record = self.records[0]
        self.assertEqual("first statement answered", record["message"])
        self.assertEqual(
            {"after_start_ms": 1000, "failures_before": 1, "lease_ms": 400,
             "configuration_ms": 600},
            record["extra"],
        )  # fmt: skip

    def test_later_statements_log_nothing(self):
        self.times.record_statement(True, 101.0)
        self.times.record_statement(True, 102.0)
        self.times.record_statement(False, 103.0)
        self.assertEqual(1, len(self.records))


if __name__ == "__main__":
    unittest.main()
