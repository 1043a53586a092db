"""Tests of the counters of messages and bytes."""

import unittest

import trio.testing

from sedgeswitch import verdicts
from sedgeswitch.transport import failures
from sedgeswitch.transport import frames
from sedgeswitch.transport import traffic


class TrafficTest(unittest.TestCase):
    def test_frame_is_counted_once_as_sent_and_once_as_received(self):
        counted = traffic.PROCESS_TRAFFIC
        nothing = traffic.Count(0, 0)
        sent = counted.sent.get("Failure", nothing)
        received = counted.received.get("Failure", nothing)

        async def exchange():
            here, there = trio.testing.memory_stream_one_way_pair()
            error = failures.CallError("a", "b", verdicts.Verdict.NOT_RUN)
            frame = frames.Frame(1, 7, failures.build_failure(error))
            data = frames.encode_frame(frame)
            await here.send_all(data)
            await frames.FrameReader(there).read()
            return len(data)

        size_bytes = trio.run(exchange)
        expected = (1, size_bytes)
        after = counted.sent["Failure"]
        self.assertEqual((after[0] - sent[0], after[1] - sent[1]), expected)
        after = counted.received["Failure"]
        self.assertEqual((after[0] - received[0], after[1] - received[1]), expected)


if __name__ == "__main__":
    unittest.main()
