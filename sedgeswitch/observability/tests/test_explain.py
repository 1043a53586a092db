"""Tests of the bounded logs and of what explains a request by them."""

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
        self.log(self.stream, "e1")
        self.addCleanup(loguru.logger.remove)

    def log(self, stream, host_id):
        logs.configure_logs(host_id, "INFO", stream)

    def read(self):
        return explain.read_lines(self.stream.getvalue().splitlines())


class DecisionTest(LoggingTest):
    def test_flood_is_summed_up_by_kind(self):
        log = decisions.DecisionLog(lines_per_s=3)
        for number in range(100):
            log.note("statement overloaded", 1.0, request=number)
        log.note("statement in_doubt", 1.5, request="x")
        log.note("statement overloaded", 9.0, request="y")
        messages = [line.message for line in self.read()]
        self.assertEqual(4, messages.count("statement overloaded"))
        self.assertEqual(1, messages.count("statement in_doubt"))
        summary = next(x for x in self.read() if x.message == "lines left out")
        self.assertEqual("97", summary.fields["statement overloaded"])


class ExplainTest(LoggingTest):
    def test_request_stands_with_what_its_host_believed(self):
        loguru.logger.info("lease lost", reason="timeout")
        loguru.logger.info("something else")
        loguru.logger.info("statement overloaded", request="5c0e", detail="no primary")
        self.log(self.stream, "c1")
        loguru.logger.info("group fenced", group="lots")
        loguru.logger.info("lease lost", reason="of another host")
        told = explain.explain(self.read(), "5c0e")
        self.assertEqual(
            [("e1", "lease lost", False), ("e1", "statement overloaded", True),
             ("c1", "group fenced", False)],
            [(line.host_id, line.message, is_own) for line, is_own in told],
        )  # fmt: skip

    def test_unknown_request_gives_nothing(self):
        loguru.logger.info("lease lost")
        self.assertEqual([], explain.explain(self.read(), "5c0e"))

    def test_other_text_is_passed_over(self):
        texts = ["no line", "{broken", '{"a": 1}', '{"time": 3, "host_id": "x"}']
        self.assertEqual([], explain.read_lines(texts))


class BufferTest(unittest.TestCase):
    def test_reader_that_is_slow_makes_nobody_wait(self):
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
        # What was taken is written whole, in order.
        received = os.read(reader, 64 * 1024)
        buffer.flush()
        self.assertTrue(received.startswith(line.encode()))
