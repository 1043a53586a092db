import collections
import random
import unittest

import trio
import trio.testing

from sedgeswitch import verdicts
from sedgeswitch.admission import fair_queue

SERVICE_S = 0.01


async def request(queue, organisation, log, timeout_s=60.0, service_s=SERVICE_S):
    start_s = trio.current_time()
    deadline_s = start_s + timeout_s
    try:
        async with queue.slot(organisation, deadline_s) as ticket:
            await trio.sleep(service_s)
        log.append((organisation, "served", ticket.started_s, deadline_s))
    except verdicts.RefusedError as error:
        log.append((organisation, error.refusal, trio.current_time(), deadline_s))


def run(main, *arguments):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, *arguments, clock=clock)


class FairQueueTest(unittest.TestCase):
    def test_organisation_with_few_requests_waits_for_its_fair_share_only(self):
        async def main():
            queue = fair_queue.FairQueue(slots=2, capacity=200)
            log = []
            async with trio.open_nursery() as nursery:
                for _ in range(100):
                    nursery.start_soon(request, queue, "large", log)
                await trio.sleep(0.101)
                begin_s = trio.current_time()
                nursery.start_soon(request, queue, "quiet", log)
            started_s = next(row[2] for row in log if row[0] == "quiet")
            self.assertLessEqual(started_s - begin_s, 2 * SERVICE_S)

        run(main)

    def test_slow_requests_are_charged_their_service_time(self):
        async def main():
            queue = fair_queue.FairQueue(slots=1, capacity=400)
            log = []
            async with trio.open_nursery() as nursery:
                for _ in range(100):
                    nursery.start_soon(request, queue, "slow", log, 60.0, 0.04)
                    nursery.start_soon(request, queue, "fast", log, 60.0, 0.01)
                await trio.sleep(2.0)
                counts = collections.Counter(row[0] for row in log)
            self.assertAlmostEqual(counts["fast"] / counts["slow"], 4.0, delta=0.5)

        run(main)

    def test_request_whose_deadline_passes_in_the_queue_is_refused_then(self):
        async def main():
            queue = fair_queue.FairQueue(1, 10, first_service_s=0.001)
            log = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(request, queue, "a", log, 60.0, 5.0)
                await trio.sleep(0.001)
                nursery.start_soon(request, queue, "b", log, 0.5)
            refused = next(row for row in log if row[0] == "b")
            self.assertAlmostEqual(refused[2], refused[3])
            self.assertIs(refused[1].verdict, verdicts.Verdict.NOT_RUN)
            self.assertEqual((refused[1].status, refused[1].code), (503, "overloaded"))
            self.assertGreater(refused[1].retry_after_ms, 0)

        run(main)

    def test_request_with_estimate_far_beyond_deadline_is_refused_at_once(self):
        async def main():
            queue = fair_queue.FairQueue(1, 100)
            log = []
            async with trio.open_nursery() as nursery:
                for _ in range(50):
                    nursery.start_soon(request, queue, "a", log)
                await trio.sleep(0.001)
                await request(queue, "a", log, timeout_s=0.1)
                self.assertEqual(log[-1][1].code, "overloaded")
                self.assertAlmostEqual(log[-1][2], 0.001)

        run(main)

    def test_estimate_slightly_beyond_deadline_refuses_no_request(self):
        async def main():
            queue = fair_queue.FairQueue(1, 100, first_service_s=0.5)
            log = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(request, queue, "a", log)
                await trio.sleep(0.001)
                nursery.start_soon(request, queue, "b", log, 0.9)
            self.assertEqual([item[1] for item in log], ["served", "served"])

        run(main)

    def test_full_queue_refuses_newest_request_of_longest_queue(self):
        async def main():
            queue = fair_queue.FairQueue(1, 10)
            log = []
            async with trio.open_nursery() as nursery:
                for _ in range(11):
                    await trio.sleep(0.0001)
                    nursery.start_soon(request, queue, "large", log)
                await trio.sleep(0.0001)
                nursery.start_soon(request, queue, "quiet", log)
                await trio.sleep(0.0001)
                self.assertEqual([row[0] for row in log], ["large"])
                self.assertEqual(queue.waiting, 10)
            served = [row[0] for row in log if row[1] == "served"]
            self.assertEqual(collections.Counter(served), {"large": 10, "quiet": 1})

        run(main)

    def test_random_cancellations_free_every_slot_and_place(self):
        async def cancelled(queue, rng, log):
            with trio.move_on_after(rng.uniform(0, 0.1)):
                name = rng.choice("abcd")
                await request(queue, name, log, rng.uniform(0, 0.1), rng.random() / 50)

        async def main(seed):
            rng = random.Random(seed)
            queue = fair_queue.FairQueue(3, 20)
            log = []
            async with trio.open_nursery() as nursery:
                for _ in range(300):
                    nursery.start_soon(cancelled, queue, rng, log)
                    await trio.sleep(rng.uniform(0, 0.004))
                    self.assertLessEqual(queue.running, 3, f"seed {seed}")
                    self.assertLessEqual(queue.waiting, 20, f"seed {seed}")
            self.assertEqual((queue.running, queue.waiting), (0, 0), f"seed {seed}")
            late = [row for row in log if row[1] == "served" and row[2] >= row[3]]
            self.assertEqual(late, [], f"seed {seed}")

        for seed in range(20):
            run(main, seed)

    def test_goodput_stays_near_capacity_at_three_times_the_capacity(self):
        async def main():
            rng = random.Random(1)
            queue = fair_queue.FairQueue(3, 100)
            log = []
            async with trio.open_nursery() as nursery:
                for _ in range(4500):
                    name = rng.choice(["large"] * 5 + ["quiet"])
                    service_s = rng.expovariate(1 / SERVICE_S)
                    arguments = (queue, name, log, 0.1, service_s)
                    nursery.start_soon(request, *arguments)
                    await trio.sleep(rng.expovariate(900))
                elapsed_s = trio.current_time()
            served = [row for row in log if row[1] == "served"]
            self.assertGreater(len(served) / (elapsed_s * 300), 0.9)
            quiet = [row[1] == "served" for row in log if row[0] == "quiet"]
            self.assertGreater(sum(quiet) / len(quiet), 0.8)

        run(main)
