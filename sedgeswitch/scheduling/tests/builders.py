"""Loads in virtual time on the slots of one instance, for tests and measurements."""

import collections
import random
import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.admission import fair_queue
from sedgeswitch.scheduling import scheduler
from sedgeswitch.scheduling import work as works


class Source(typing.NamedTuple):
    """Statements of one class that arrive at random times.

    Attributes
    ----------
    priority : int
    kind : works.Kind
    work_s : float
        Mean time that a statement takes at the instance.
    target_s, timeout_s : float
        Target latency, and the time after which the caller gives up.
    late_value : float
        Part of its value that a late answer keeps.
    rate_per_s : float
    organisations : tuple of str
    """

    priority: int
    kind: works.Kind
    work_s: float
    target_s: float
    timeout_s: float
    late_value: float
    rate_per_s: float
    organisations: tuple[str, ...] = tuple(f"ward-{number}" for number in range(12))


# Round trip between a holder and the instance, in another zone of its region, in s.
ROUND_TRIP_S = 0.0028

# The three kinds of load of the design page. With 5 slots, rates of 1 per slot and
# second are a utilisation of 0.011 + 0.033 + 0.055 for each of them.
WRITES = Source(0, works.Kind.WRITE, 0.011, 0.5, 8.0, 0.71, 0.0)
SESSION_READS = Source(1, works.Kind.READ, 0.033, 1.0, 8.0, 0.47, 0.0)
STALE_READS = Source(2, works.Kind.READ, 0.055, 2.5, 20.0, 0.35, 0.0)
KINDS = (WRITES, SESSION_READS, STALE_READS)


class Tally:
    """What became of the statements of one class or organisation."""

    def __init__(self):
        self.arrived = 0
        self.on_time = 0
        self.late = 0
        self.refused = 0
        self.value = 0.0
        self.latencies_s = []

    @property
    def answered(self):
        return self.on_time + self.late

    @property
    def on_time_share(self):
        return self.on_time / max(self.arrived, 1)

    @property
    def value_share(self):
        return self.value / max(self.arrived, 1)


class Instance:
    """Runs `slots` statements at a time; further ones wait in order of arrival."""

    def __init__(self, slots, rng):
        self.slots = slots
        self.slowdown = 1.0
        self.running = 0
        self.busy_s = 0.0
        self.most_queued = 0
        self._rng = rng
        self._queue = collections.deque()

    async def run(self, work_s):
        if self.running >= self.slots:
            turn = trio.Event()
            self._queue.append(turn)
            self.most_queued = max(self.most_queued, len(self._queue))
            try:
                await turn.wait()
            except trio.Cancelled:
                if turn in self._queue:
                    self._queue.remove(turn)
                else:
                    self._free()
                raise
        else:
            self.running += 1
        duration_s = work_s * self.slowdown * self._rng.uniform(0.5, 1.5)
        try:
            await trio.sleep(duration_s)
            self.busy_s += duration_s
        finally:
            self._free()

    def _free(self):
        if self._queue:
            self._queue.popleft().set()
        else:
            self.running -= 1


def build_scheduler(slots=4, holders=1, connections=13, **options):
    """Return a scheduler with the part that one of some holders has."""
    built = scheduler.Scheduler(connections, options.pop("capacity", 200), **options)
    built.set_instance_slots(slots, holders, 0.0)
    return built


def build_fair_queue(connections=13):
    """Return the queue that is used without scheduling."""
    return fair_queue.FairQueue(connections, 200)


class Site:
    """Holders in front of one instance.

    Each organisation has one holder. Every statement is recorded, so that `check`
    finds an accepted one that was never answered.
    """

    def __init__(self, queues, slots, seed=0):
        self.rng = random.Random(seed)
        self.instance = Instance(slots, self.rng)
        self.queues = queues
        self.by_class = collections.defaultdict(Tally)
        self.by_organisation = collections.defaultdict(Tally)
        self.retry_after_ms = []
        self.started = []
        self.unanswered = 0

    def get_queue(self, organisation):
        return self.queues[sum(organisation.encode()) % len(self.queues)]

    async def generate(self, source, duration_s):
        """Send the statements of a source; return when all are answered."""
        async with trio.open_nursery() as nursery:
            end_s = trio.current_time() + duration_s
            while True:
                await trio.sleep(self.rng.expovariate(source.rate_per_s))
                if trio.current_time() >= end_s:
                    return
                organisation = self.rng.choice(source.organisations)
                nursery.start_soon(self.send, source, organisation)

    async def send(self, source, organisation):
        started_s = trio.current_time()
        tallies = (
            self.by_class[source.priority],
            self.by_organisation[organisation],
        )
        for tally in tallies:
            tally.arrived += 1
        self.unanswered += 1
        queue = self.get_queue(organisation)
        deadline_s = started_s + source.timeout_s
        try:
            ticket = await acquire(
                queue, organisation, deadline_s, source, started_s + source.target_s
            )
        except verdicts.RefusedError as error:
            self.retry_after_ms.append(error.refusal.retry_after_ms)
            for tally in tallies:
                tally.refused += 1
            self.unanswered -= 1
            return
        self.started.append((trio.current_time(), source.priority, organisation))
        with trio.move_on_at(deadline_s):
            await trio.sleep(ROUND_TRIP_S / 2)
            await self.instance.run(source.work_s)
            await trio.sleep(ROUND_TRIP_S / 2)
        now_s = trio.current_time()
        queue.release(ticket, now_s)
        self.unanswered -= 1
        for tally in tallies:
            tally.latencies_s.append(now_s - started_s)
            if now_s - started_s <= source.target_s:
                tally.on_time += 1
                tally.value += 1
            elif now_s < deadline_s:
                tally.late += 1
                tally.value += source.late_value


async def acquire(queue, organisation, deadline_s, source, target_s):
    now_s = trio.current_time()
    if isinstance(queue, fair_queue.FairQueue):
        return await queue.acquire(organisation, deadline_s, now_s)
    work = works.build_work(source.kind, source.priority, 0, target_s)
    return await queue.acquire(organisation, deadline_s, now_s, work)


def build_usual_load(slots, utilisation=0.6, mix=(0.2, 0.4, 0.4)):
    """Return the three kinds at a utilisation of the slots, divided by `mix`."""
    return [
        kind._replace(rate_per_s=slots * utilisation * share / kind.work_s)
        for kind, share in zip(KINDS, mix, strict=True)
    ]
