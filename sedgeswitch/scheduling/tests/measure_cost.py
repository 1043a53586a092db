"""Measure the processor time of an uncontended statement with either queue.

Run ``python -m sedgeswitch.scheduling.tests.measure_cost``.
"""

import sys
import time

import trio
import trio.testing

from sedgeswitch.forwarding import messages
from sedgeswitch.scheduling import work as works
from sedgeswitch.scheduling.tests import builders
from sedgeswitch.transport import catalog

STATEMENTS = 20_000
ROUNDS = 5


async def use_fair_queue(queue):
    for _ in range(STATEMENTS):
        now_s = trio.current_time()
        ticket = await queue.acquire("ward-4", now_s + 8.0, now_s)
        queue.release(ticket, trio.current_time())


async def use_scheduler(queue):
    for _ in range(STATEMENTS):
        now_s = trio.current_time()
        work = works.build_work(works.Kind.READ, 1, 0, now_s + 1.0)
        ticket = await queue.acquire("ward-4", now_s + 8.0, now_s, work)
        queue.release(ticket, trio.current_time())


def measure_acquire(use, queue):
    """Return the processor time to acquire and release a slot, in us."""
    best_s = float("inf")
    for _ in range(ROUNDS):
        started_s = time.process_time()
        trio.run(use, queue)
        best_s = min(best_s, time.process_time() - started_s)
    return best_s / STATEMENTS * 1e6


async def measure_contended(waiting):
    """Return the processor time to start one statement while others wait, in us."""
    queue = builders.build_scheduler(1, connections=100, capacity=10_000)
    now_s = trio.current_time()
    work = works.build_work(works.Kind.READ, 1, 0, now_s + 60.0)
    held = [await queue.acquire("ward", now_s + 99.0, now_s, work)]

    async def wait(organisation):
        held.append(await queue.acquire(organisation, now_s + 99.0, now_s, work))

    async with trio.open_nursery() as nursery:
        for number in range(20 * waiting):
            nursery.start_soon(wait, f"ward-{number % waiting}")
        await trio.testing.wait_all_tasks_blocked()
        spent_s = 0.0
        for index in range(10 * waiting):
            started_s = time.process_time()
            queue.release(held[index], now_s)
            spent_s += time.process_time() - started_s
            await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    return spent_s / (10 * waiting) * 1e6


def measure_answer(load):
    """Return the processor time to encode and decode an answer, in us."""
    best_s = float("inf")
    for _ in range(ROUNDS):
        started_s = time.process_time()
        for _ in range(STATEMENTS):
            answer = messages.ForwardAnswer(
                messages.Outcome.ANSWERED, rows=[b"x"], service_ms=11
            )
            if load:
                answer.load = messages.InstanceLoad(
                    slots=5, running=2, waiting=0, holders=4, service_ms=11
                )
            body = catalog.encode_struct(answer)
            catalog.decode_struct(messages.ForwardAnswer, body)
        best_s = min(best_s, time.process_time() - started_s)
    return best_s / STATEMENTS * 1e6, len(body)


def main():
    """Write the processor times of both queues and of answers."""
    fair_us = measure_acquire(use_fair_queue, builders.build_fair_queue())
    scheduler_us = measure_acquire(use_scheduler, builders.build_scheduler())
    sys.stdout.write(f"fair queue {fair_us:.1f} us, scheduler {scheduler_us:.1f} us\n")
    for waiting in (10, 60):
        contended_us = trio.run(measure_contended, waiting)
        sys.stdout.write(f"start, {waiting} organisations: {contended_us:.1f} us\n")
    for load in (False, True):
        answer_us, size = measure_answer(load)
        sys.stdout.write(f"answer, load {load}: {answer_us:.1f} us, {size} bytes\n")


if __name__ == "__main__":
    main()
