"""Tests of logs, metrics and traces."""

import io
import json
import logging
import pathlib
import random
import tempfile
import unittest

import loguru

from sedgeswitch.keys import key_format
from sedgeswitch.observability import logs
from sedgeswitch.observability import metrics
from sedgeswitch.observability import traces

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
SAMPLED = f"00-{TRACE_ID}-b7ad6b7169203331-01"
NOT_SAMPLED = f"00-{TRACE_ID}-b7ad6b7169203331-00"
MALFORMED = (
    "x",
    "00-0-0-01",
    f"00-{'0' * 32}-b7ad6b7169203331-01",
    "\u00e9",
    "-" * 999,
)


class TraceTest(unittest.TestCase):
    def setUp(self):
        # The library logs a warning for each malformed header.
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _record_spans(self, body, sample_share=1.0):
        """Return the spans that ``body(tracer)`` records."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "traces.jsonl"
            rng = random.Random(0)
            body(traces.Tracer("entry-0", path, sample_share, rng, key_format.redact))
            return [json.loads(line) for line in path.read_text().splitlines()]

    def test_next_hop_is_a_child_of_the_callers_span(self):
        def body(tracer):
            with traces.end_on_exit(tracer.start_span("entry", SAMPLED)) as span:
                self.assertIn(TRACE_ID, span.traceparent)
                with traces.end_on_exit(tracer.start_span("owner", span.traceparent)):
                    pass

        owner, entry = self._record_spans(body, sample_share=0.0)
        self.assertEqual(entry["context"]["trace_id"], f"0x{TRACE_ID}")
        self.assertEqual(entry["parent_id"], "0xb7ad6b7169203331")
        self.assertEqual(owner["parent_id"], entry["context"]["span_id"])

    def test_request_that_its_caller_did_not_sample_is_not_sampled(self):
        spans = self._record_spans(
            lambda tracer: tracer.start_span("a", NOT_SAMPLED).end()
        )
        self.assertEqual(spans, [])

    def test_malformed_traceparent_is_ignored(self):
        def body(tracer):
            for traceparent in MALFORMED:
                tracer.start_span("entry", traceparent).end()

        spans = self._record_spans(body)
        self.assertEqual(len(spans), len(MALFORMED))
        self.assertEqual({span["parent_id"] for span in spans}, {None})

    def test_api_key_in_a_field_is_redacted(self):
        key = key_format.generate_key(random.Random(1).randbytes).plain

        def body(tracer):
            with traces.end_on_exit(tracer.start_span("entry")) as span:
                span.set_field("group", key)

        (span,) = self._record_spans(body)
        self.assertNotIn(key, json.dumps(span))


class LogTest(unittest.TestCase):
    def test_lines_are_json_with_api_keys_redacted(self):
        key = key_format.generate_key(random.Random(1).randbytes).plain
        stream = io.StringIO()
        self.addCleanup(loguru.logger.remove)
        logs.configure_logs("entry-0", "DEBUG", stream, key_format.redact)
        loguru.logger.bind(given=key).info("got {}", key)
        try:
            raise ValueError(f"Bearer {key}")
        except ValueError:
            loguru.logger.exception("failed with {}", key)
        lines = stream.getvalue().splitlines()
        self.assertEqual(len([json.loads(line) for line in lines]), 2)
        self.assertNotIn(key[4:], stream.getvalue())


class FakeClient:
    """A statsd client that records what is sent, and is its own pipeline."""

    def __init__(self):
        self.sent = []

    def pipeline(self):
        return self

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        pass

    def incr(self, name, count):
        self.sent.append((name, count))

    def gauge(self, name, value):
        self.sent.append((name, value))


class MetricTest(unittest.TestCase):
    def test_counters_are_summed_and_sent_once(self):
        client = FakeClient()
        sender = metrics.Metrics(client)
        sender.count("refusals.overloaded")
        sender.count("refusals.overloaded", 2)
        sender.set_gauge("open", 4.0)
        sender.flush()
        sender.flush()
        self.assertEqual(client.sent, [("refusals.overloaded", 3), ("open", 4.0)])


if __name__ == "__main__":
    unittest.main()
