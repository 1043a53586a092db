"""Tests of the end of a process within its grace time, with real processes."""

import signal
import subprocess
import sys
import time
import unittest

GRACE_S = 1.0

# Runs `program.run` with roles whose tasks do not end when they are cancelled, as tasks
# of a host whose share of the processor is used up.
PROGRAM = f"""
import pathlib, random, sys, types
import trio
from sedgeswitch.observability import lines, logs
from sedgeswitch.platform import program

class Process:
    grace_s = {GRACE_S}
    def __init__(self, *arguments):
        pass
    async def start(self, nursery):
        nursery.start_soon(self.run)
    async def run(self):
        with trio.CancelScope(shield=True):
            await trio.sleep(30.0)
    async def shut_down(self):
        pass

program.Process = Process
buffer = lines.LineBuffer(sys.stdout.fileno())
logs.configure_logs("host-0", "INFO", buffer)
settings = types.SimpleNamespace(serves_control=False, seeds=())
trio.run(program.run, pathlib.Path("none"), settings, random.Random(0), buffer)
"""


class GraceTest(unittest.TestCase):
    def test_process_with_tasks_that_do_not_end_exits_within_its_grace_time(self):
        # 12 of 92 processes were killed because they still ran after 6 s.
        process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE, text=True
        )
        try:
            line = process.stdout.readline()
            self.assertIn("started", line)
            process.send_signal(signal.SIGTERM)
            sent_s = time.monotonic()
            rest, _ = process.communicate(timeout=20.0)
            elapsed_s = time.monotonic() - sent_s
        finally:
            process.kill()
        self.assertEqual(0, process.returncode)
        self.assertLess(elapsed_s, GRACE_S)
        self.assertIn("stopped at the end of the grace time", rest)


if __name__ == "__main__":
    unittest.main()
