"""Tests of background tasks that outlive unexpected errors."""

import unittest

import loguru
import trio

from sedgeswitch.utils import tasks
from sedgeswitch.utils.tests import virtual_time


class RestartingTaskTest(unittest.TestCase):
    """Guards against a process that one unexpected error ends."""

    def setUp(self):
        self.records = []
        sink = loguru.logger.add(lambda message: self.records.append(message.record))
        self.addCleanup(loguru.logger.remove, sink)
        self.runs = 0

    async def fail_twice(self):
        self.runs += 1
        if self.runs < 3:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.raise_error)

    async def raise_error(self):
        raise OverflowError("int out of range")

    def test_failed_task_is_logged_and_started_again(self):
        virtual_time.run(tasks.run_restarting, self.fail_twice)
        self.assertEqual(3, self.runs)
        self.assertEqual(
            ["task failed, starting it again"] * 2,
            [record["message"] for record in self.records],
        )

    def test_cancelled_task_ends(self):
        async def main():
            with trio.move_on_after(1.0) as scope:
                await tasks.run_restarting(trio.sleep_forever)
            return scope.cancelled_caught

        self.assertTrue(virtual_time.run(main))
        self.assertEqual([], self.records)


if __name__ == "__main__":
    unittest.main()
