"""Tests of rate-limited and buffered logs, and of explaining a request by its logs."""

import io
import os
import unittest

import loguru

from sedgeswitch.observability import decisions
from sedgeswitch.observability import explain
from sedgeswitch.observability import lines
from sedgeswitch.observability import logs


class LoggingTest(unittest.TestCase):
    def setUp(self):
        self.stream = io.StringIO()
        self.configure_logs(self.stream, "e1")
        self.addCleanup(loguru.logger.remove)

    def configure_logs(self, stream, host_id):
        logs.configure_logs(host_id, "INFO", stream)

    def read_lines(self):
        return explain.read_lines(self.stream.getvalue().splitlines())


class DecisionLogTest(LoggingTest):
    def test_lines_above_the_rate_limit_are_counted_by_kind(self):
        log = decisions.DecisionLog(lines_per_s=3)
        for number in range(100):
            log.note("statement overloaded", 1.0, request=number)
        log.note("statement in_doubt", 1.5, request="x")
        log.note("statement overloaded", 9.0, request="y")
        messages = [line.message for line in self.read_lines()]
        self.assertEqual(4, messages.count("statement overloaded"))
        self.assertEqual(1, messages.count("statement in_doubt"))
        summary = next(
            x for x in self.read_lines() if x.message == "log lines suppressed"
        )
        self.assertEqual("97", summary.fields["statement overloaded"])


class ExplainTest(LoggingTest):
    def test_request_is_shown_with_state_of_its_host(self):
        loguru.logger.info("lease lost", reason="timeout")
        loguru.logger.info("something else")
        loguru.logger.info("statement overloaded", request="5c0e", detail="no primary")
        self.configure_logs(self.stream, "c1")
        loguru.logger.info("group fenced", group="lots")
        loguru.logger.info("lease lost", reason="of another host")
        explanation = explain.explain(self.read_lines(), "5c0e")
        self.assertEqual(
            [("e1", "lease lost", False), ("e1", "statement overloaded", True),
             ("c1", "group fenced", False)],
            [(line.host_id, line.message, is_own) for line, is_own in explanation],
        )  # fmt: skip

    def test_evacuation_is_shown_that_had_begun_long_before(self):
        # Guards against an explanation that omits the cause because it is older than
        # the lines that are shown otherwise.
        def build(time_s, host_id, message, zone):
            return explain.LogLine(time_s, host_id, message, {"zone": zone})

        found = [
            build(100.0, "c1", "evacuation started", "zone-a"),
            build(100.1, "e1", "evacuation in force", "zone-a"),
            build(100.1, "e2", "evacuation in force", "zone-a"),
            build(101.0, "c1", "evacuation started", "zone-b"),
            build(102.0, "c2", "evacuation ended", "zone-b"),
            explain.LogLine(900.0, "e1", "statement aborted", {"request": "5c0e"}),
            build(900.2, "e2", "evacuation ended a transaction", "zone-a"),
            build(950.0, "c2", "evacuation ended", "zone-a"),
        ]
        self.assertEqual(
            [
                ("c1", "evacuation started"),
                ("e1", "evacuation in force"),
                ("e1", "statement aborted"),
                ("e2", "evacuation ended a transaction"),
            ],
            [
                (line.host_id, line.message)
                for line, _ in explain.explain(found, "5c0e")
            ],
        )

    def test_unknown_request_returns_nothing(self):
        loguru.logger.info("lease lost")
        self.assertEqual([], explain.explain(self.read_lines(), "5c0e"))

    def test_text_that_is_not_a_log_line_is_skipped(self):
        texts = ["no line", "{broken", '{"a": 1}', '{"time": 3, "host_id": "x"}']
        self.assertEqual([], explain.read_lines(texts))


class LineBufferTest(unittest.TestCase):
    def test_slow_reader_drops_lines_without_blocking(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(writer, False)
        buffer = lines.LineBuffer(writer)
        line = "x" * 1023 + "\n"
        for _ in range(1000):
            buffer.write(line)
            buffer.flush()
        self.assertGreater(buffer.dropped, 0)
        self.assertLess(buffer.dropped, 1000)
        # Lines that were accepted are written completely and in order.
        received = os.read(reader, 64 * 1024)
        buffer.flush()
        self.assertTrue(received.startswith(line.encode()))
