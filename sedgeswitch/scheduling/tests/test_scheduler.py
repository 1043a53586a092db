"""Tests of single decisions of the scheduler."""

import random
import unittest

import trio
import trio.testing

from sedgeswitch import verdicts
from sedgeswitch.scheduling import counts as class_counts
from sedgeswitch.scheduling import orders
from sedgeswitch.scheduling import retries
from sedgeswitch.scheduling import scheduler
from sedgeswitch.scheduling import slot_limit
from sedgeswitch.scheduling import work as works
from sedgeswitch.scheduling.tests import builders
from sedgeswitch.utils.tests import virtual_time

READ = works.Kind.READ
WRITE = works.Kind.WRITE
TRANSACTION = works.Kind.TRANSACTION


def run(body, **options):
    async def main():
        async with trio.open_nursery() as nursery:
            await body(Caller(builders.build_scheduler(**options), nursery))
            nursery.cancel_scope.cancel()

    virtual_time.run(main)


class Caller:
    """Starts requests at a scheduler and records the order in which they start."""

    def __init__(self, queue, nursery):
        self.queue = queue
        self.started = []
        self.refusals = {}
        self.tickets = {}
        self._nursery = nursery

    async def request(self, name, priority=0, organisation="a", **options):
        self._nursery.start_soon(self._request, name, priority, organisation, options)
        await trio.testing.wait_all_tasks_blocked()

    async def _request(self, name, priority, organisation, options):
        now_s = trio.current_time()
        work = works.build_work(
            options.get("kind", READ),
            priority,
            options.get("weight_priority", 0),
            now_s + options.get("target_s", 1.0),
        )
        deadline_s = now_s + options.get("timeout_s", 8.0)
        try:
            ticket = await self.queue.acquire(organisation, deadline_s, now_s, work)
        except verdicts.RefusedError as error:
            self.refusals[name] = error.refusal
            return
        self.started.append(name)
        self.tickets[name] = ticket

    async def release(self, name):
        self.queue.release(self.tickets.pop(name), trio.current_time())
        await trio.testing.wait_all_tasks_blocked()

    async def drain(self):
        """Let each started request run for 10 ms until nothing waits."""
        while self.tickets:
            await trio.sleep(0.01)
            await self.release(next(iter(self.tickets)))


class OrderTest(unittest.TestCase):
    def test_higher_class_starts_before_lower_class_that_came_first(self):
        async def body(caller):
            await caller.request("running")
            await caller.request("stale read", priority=2)
            await caller.request("write", priority=0)
            await caller.drain()
            self.assertEqual(["running", "write", "stale read"], caller.started)

        run(body, slots=1)

    def test_least_slack_starts_first_and_late_statement_last(self):
        async def body(caller):
            await caller.request("running")
            await caller.request("late", target_s=-1.0)
            await caller.request("can wait", target_s=3.0)
            await caller.request("urgent", target_s=0.5)
            await caller.drain()
            self.assertEqual(["running", "urgent", "can wait", "late"], caller.started)

        run(body, slots=1)

    def test_due_statement_starts_before_deferrable_one_of_its_class(self):
        async def body(caller):
            await caller.request("running")
            await caller.request("soon due", organisation="b", target_s=1.0)
            await trio.sleep(0.9)
            await caller.request("fresh", organisation="c", target_s=1.0)
            await caller.drain()
            self.assertEqual(["running", "soon due", "fresh"], caller.started)

        run(body, slots=1)

    def test_organisations_share_slots_by_weight(self):
        async def body(caller):
            await caller.request("running")
            for number in range(12):
                await caller.request(f"a{number}", organisation="a", timeout_s=60.0)
            for number in range(12):
                await caller.request(
                    f"b{number}", organisation="b", weight_priority=1, timeout_s=60.0
                )
            await caller.drain()
            first = [name[0] for name in caller.started[1:10]]
            self.assertEqual(6, first.count("a"))

        run(body, slots=1)

    def test_lowest_class_gets_its_guaranteed_share(self):
        async def body(caller):
            await caller.request("running")
            for number in range(60):
                await caller.request(f"high{number}", priority=0, timeout_s=60.0)
            for number in range(30):
                await caller.request(f"low{number}", priority=2, timeout_s=60.0)
            await caller.drain()
            first = caller.started[1:41]
            lows = sum(name.startswith("low") for name in first)
            share = scheduler.GUARANTEED_SHARE / 2
            self.assertAlmostEqual(share * len(first), lows, delta=1)

        run(body, slots=1)

    def test_unknown_order_is_an_error_at_start(self):
        with self.assertRaises(KeyError):
            builders.build_scheduler(order="unknown")
        self.assertIn(orders.DEFAULT_ORDER, orders._ORDERS)


class SlotTest(unittest.TestCase):
    def test_running_statements_are_limited_by_part_of_slots_not_connections(self):
        async def body(caller):
            for number in range(5):
                await caller.request(f"r{number}")
            # 5 slots among 2 holders, rounded up.
            self.assertEqual(3, len(caller.started))

        run(body, slots=5, holders=2, connections=10)

    def test_holder_uses_idle_slots_of_others_beyond_its_part(self):
        """Without it, one organisation's burst leaves most slots idle."""
        limit = slot_limit.SlotLimit(5, 4)
        self.assertEqual(2, limit.current)
        for _ in range(60):
            limit.record(READ, 0.03, running=limit.current, waiting=5)
        # Half as many again as the slots: the instance queues a few.
        self.assertEqual(7, limit.current)

    def test_holder_returns_to_its_part_when_instance_slows_down(self):
        """Without it, saturated holders build up a queue at the instance."""
        limit = slot_limit.SlotLimit(5, 4)
        for _ in range(20):
            limit.record(READ, 0.03, running=limit.current, waiting=5)
        for _ in range(10):
            limit.record(READ, 0.09, running=5, waiting=5)
        self.assertEqual(limit.fair, limit.current)

    def test_refusal_of_instance_returns_holder_to_its_part(self):
        limit = slot_limit.SlotLimit(5, 4)
        for _ in range(20):
            limit.record(READ, 0.03, running=limit.current, waiting=5)
        limit.record_busy()
        self.assertEqual(2, limit.current)

    def test_absurd_announcements(self):
        """Announced slots below 0 or far above the connections must not break it."""
        limit = slot_limit.SlotLimit(4, 2)
        limit.set_slots(-3, 2)
        self.assertEqual(0, limit.current)
        limit.set_slots(10**9, 0)
        self.assertEqual(10**9, limit.current)

        async def body(caller):
            caller.queue.set_instance_slots(10**9, 2, trio.current_time())
            for number in range(20):
                await caller.request(f"r{number}")
            self.assertEqual(13, len(caller.started))

        run(body, connections=13)

    def test_fewer_slots_let_running_statements_end(self):
        async def body(caller):
            for number in range(4):
                await caller.request(f"r{number}")
            caller.queue.set_instance_slots(1, 1, trio.current_time())
            await caller.request("later")
            for number in range(3):
                await caller.release(f"r{number}")
            self.assertNotIn("later", caller.started)
            await caller.release("r3")
            self.assertIn("later", caller.started)

        run(body, slots=4)

    def test_query_of_proxy_itself_needs_no_slot(self):
        """A probe must not wait behind a backlog, or the primary looks dead."""

        async def body(caller):
            await caller.request("running")
            await caller.request("waiting")
            now_s = trio.current_time()
            ticket = await caller.queue.acquire("a", now_s + 1.0, now_s)
            self.assertEqual(now_s, trio.current_time())
            caller.queue.release(ticket, now_s, is_observed=False)
            self.assertEqual(1, caller.queue.running)

        run(body, slots=1)


class TransactionTest(unittest.TestCase):
    def test_paused_transaction_keeps_connection_but_no_slot(self):
        async def body(caller):
            await caller.request("t", kind=TRANSACTION)
            caller.queue.pause(caller.tickets["t"], trio.current_time())
            await caller.request("read")
            self.assertEqual(["t", "read"], caller.started)
            self.assertEqual(2, caller.queue.running)
            self.assertEqual(1, caller.queue.running_statements)

        run(body, slots=1)

    def test_open_transaction_resumes_before_waiting_statements(self):
        async def body(caller):
            await caller.request("t", kind=TRANSACTION, priority=2)
            ticket = caller.tickets.pop("t")
            caller.queue.pause(ticket, trio.current_time())
            await caller.request("running")
            await caller.request("waiting")
            resumed = []

            async def resume():
                now_s = trio.current_time()
                resumed.append(await caller.queue.resume(ticket, now_s + 1, now_s))

            caller._nursery.start_soon(resume)
            await trio.testing.wait_all_tasks_blocked()
            await caller.release("running")
            self.assertEqual([True], resumed)
            self.assertNotIn("waiting", caller.started)

        run(body, slots=1)

    def test_transaction_without_slot_in_time_is_told_so(self):
        async def body(caller):
            await caller.request("t", kind=TRANSACTION)
            ticket = caller.tickets.pop("t")
            caller.queue.pause(ticket, trio.current_time())
            await caller.request("running")
            now_s = trio.current_time()
            self.assertFalse(await caller.queue.resume(ticket, now_s + 0.2, now_s))
            self.assertEqual(0, caller.queue.waiting)
            caller.queue.release(ticket, trio.current_time())

        run(body, slots=1)

    def test_idle_transactions_leave_connections_for_statements(self):
        """Load pattern: idle transactions hold connections."""

        async def body(caller):
            for organisation in ("a", "b", "c"):
                for number in range(10):
                    name = f"{organisation}{number}"
                    await caller.request(
                        name, organisation=organisation, kind=TRANSACTION
                    )
                    if name in caller.tickets:
                        caller.queue.pause(caller.tickets[name], trio.current_time())
                    await trio.testing.wait_all_tasks_blocked()
            # 10 connections, of which 4 are reserved for the 4 slots.
            self.assertEqual(6, len(caller.started))
            # One organisation has at most half of the others.
            self.assertEqual(3, sum(name[0] == "a" for name in caller.started))
            for number in range(4):
                await caller.request(f"read{number}", organisation="d")
            self.assertEqual(10, len(caller.started))

        run(body, slots=4, connections=10)


class RefusalTest(unittest.TestCase):
    def test_work_that_cannot_be_answered_is_refused_at_once_lowest_class_first(self):
        async def body(caller):
            await caller.request("running")
            for number in range(40):
                await caller.request(f"r{number}", priority=1, timeout_s=60.0)
                await caller.request(f"l{number}", priority=2, timeout_s=60.0)
            await caller.request("low", priority=2, timeout_s=0.3)
            await caller.request("high", priority=0, timeout_s=0.3)
            self.assertIn("low", caller.refusals)
            self.assertNotIn("high", caller.refusals)
            refusal = caller.refusals["low"]
            self.assertEqual(verdicts.Verdict.NOT_RUN, refusal.verdict)
            self.assertGreater(refusal.retry_after_ms, 300)

        run(body, slots=1)

    def test_waiting_statement_is_refused_while_its_caller_still_waits(self):
        async def body(caller):
            await caller.request("running")
            await caller.request("waiting", timeout_s=1.0)
            await trio.sleep(0.995)
            self.assertIn("waiting", caller.refusals)
            self.assertEqual(0, caller.queue.waiting)

        run(body, slots=1)

    def test_full_queue_refuses_lowest_class_down_to_its_guaranteed_part(self):
        async def body(caller):
            await caller.request("running")
            for number in range(10):
                await caller.request(f"low{number}", priority=2, timeout_s=60.0)
            for number in range(20):
                await caller.request(f"high{number}", priority=0, timeout_s=60.0)
            waiting = caller.queue.get_waiting_by_priority()
            self.assertEqual(10, sum(waiting.values()))
            part = int(10 * scheduler.GUARANTEED_SHARE / 2)
            self.assertEqual(part, waiting[2])
            self.assertIn("low9", caller.refusals)

        run(body, slots=1, capacity=10)

    def test_full_queue_refuses_late_statement_before_one_in_time(self):
        """Late statements must not keep those out that can still be on time."""

        async def body(caller):
            await caller.request("running")
            for name, target_s in (("late", 0.05), ("in time", 5.0), ("newer", 5.0)):
                await caller.request(name, target_s=target_s, timeout_s=60.0)
            await trio.sleep(0.1)
            await caller.request("newest", target_s=5.0, timeout_s=60.0)
            self.assertEqual(["late"], list(caller.refusals))
            await caller.request("one more", target_s=5.0, timeout_s=60.0)
            self.assertEqual(["late", "one more"], list(caller.refusals))

        run(body, slots=1, capacity=3)

    def test_retry_after_is_spread_and_shortest_for_longest_waiting(self):
        """Retries of one moment that arrive together meet the same backlog again."""
        times = retries.RetryTimes()
        after = [times.get_retry_after_ms(0.1, 0.02, 0.0, 5.0) for _ in range(10)]
        self.assertEqual(sorted(set(after)), after)
        self.assertEqual(180, after[-1] - after[0])
        waited = times.get_retry_after_ms(0.1, 0.02, 0.9, 5.0)
        self.assertLess(waited, after[-1])
        self.assertGreaterEqual(waited, 100)

    def test_retry_after_is_bounded_after_clock_went_back(self):
        times = retries.RetryTimes()
        times.get_retry_after_ms(0.1, 0.02, 0.0, 1e6)
        after_ms = times.get_retry_after_ms(0.1, 0.02, 0.0, 5.0)
        self.assertLessEqual(after_ms, 1000 * retries.MAX_RETRY_AFTER_S)


class RecordTest(unittest.TestCase):
    """Counts and log lines from which operators see what was decided."""

    def test_each_outcome_is_counted_in_its_class(self):
        counts = class_counts.build_counts()

        async def body(caller):
            await caller.request("running", priority=1)
            await caller.request("deferred", priority=2, target_s=3.0)
            await caller.request("late", priority=2, target_s=0.001)
            await caller.request("refused", priority=2, timeout_s=0.02)
            loads = caller.queue.get_class_loads(trio.current_time() + 0.5)
            self.assertEqual((0, 1, 0.0), loads[1])
            self.assertEqual((2, 0, 0.5), loads[2])
            await trio.sleep(0.05)
            await caller.drain()

        run(body, slots=1, counts=counts)
        self.assertEqual((1, 0), (counts[1].on_time, counts[1].late))
        low = counts[2]
        self.assertEqual(
            (1, 1, 1, 1), (low.deferred, low.refused, low.on_time, low.late)
        )

    def test_refusal_is_logged_with_its_inputs(self):
        lines = []

        async def body(caller):
            await caller.request("running")
            await caller.request("refused", priority=1, timeout_s=0.02)
            await trio.sleep(0.05)

        def note(kind, now_s, **fields):
            lines.append((kind, fields))

        run(body, slots=1, note=note)
        [(kind, fields)] = lines
        self.assertEqual("statement refused for lack of slots", kind)
        expected = {"priority": 1, "organisation": "a", "running": 1, "slots": 1}
        self.assertEqual(fields, fields | expected)
        self.assertGreater(fields["retry_after_ms"], 0)


class RandomTest(unittest.TestCase):
    def test_random_loads_leak_no_slot_and_answer_everything(self):
        """Cancellation, timeouts, pauses and changes of slots at any point."""
        for seed in range(15):
            virtual_time.run(self.run_random, seed, seed=seed)

    async def run_random(self, seed):
        rng = random.Random(seed)
        queue = builders.build_scheduler(3, 1, 6, capacity=15)
        finished = []

        async def call():
            await trio.sleep(rng.random())
            now_s = trio.current_time()
            kind = rng.choice(list(works.Kind))
            work = works.build_work(
                kind, rng.randrange(3), rng.randrange(2), now_s + rng.random()
            )
            with trio.move_on_after(rng.choice([0.0, 0.05, 5.0])):
                try:
                    ticket = await queue.acquire(
                        rng.choice("abcd"), now_s + rng.random(), now_s, work
                    )
                except verdicts.RefusedError:
                    finished.append("refused")
                    return
                try:
                    await trio.sleep(0.03 * rng.random())
                    if kind is TRANSACTION:
                        queue.pause(ticket, trio.current_time())
                        await trio.sleep(0.03 * rng.random())
                        await queue.resume(
                            ticket, trio.current_time() + 0.05, trio.current_time()
                        )
                        await trio.sleep(0.01)
                finally:
                    self.assertLessEqual(queue.running, 6)
                    queue.release(ticket, trio.current_time())
            finished.append("ended")

        async with trio.open_nursery() as nursery:
            for _ in range(150):
                nursery.start_soon(call)
            for _ in range(10):
                await trio.sleep(0.1)
                queue.set_instance_slots(rng.randrange(5), 1, trio.current_time())
            queue.set_instance_slots(3, 1, trio.current_time())
        self.assertEqual(150, len(finished))
        self.assertEqual((0, 0, 0), (queue.running, queue.waiting, queue._running))
        self.assertEqual({}, queue._transactions)
        for item in queue._classes.values():
            self.assertEqual((0, 0, {}), (item.waiting, item.running, item.flows))


if __name__ == "__main__":
    unittest.main()
