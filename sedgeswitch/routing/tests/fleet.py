"""A fleet of 92 hosts and three instances without a network, in virtual time.

Every host decides alone with the code of the product; instances are queues with a few
slots. Times of the links are those of the page of the design.
"""

import collections
import heapq
import math
import random
import statistics
import typing

from sedgeswitch.forwarding import delays
from sedgeswitch.membership import directory
from sedgeswitch.pools import pool
from sedgeswitch.routing import candidates
from sedgeswitch.routing import health
from sedgeswitch.routing import meters
from sedgeswitch.routing import policies
from sedgeswitch.routing import reports
from sedgeswitch.routing import router

ZONES = ("koshi-a", "koshi-b", "gandaki-a", "gandaki-b", "bagmati-a", "bagmati-b")
# Zones with an instance: one in each region.
INSTANCE_ZONES = ("koshi-a", "gandaki-a", "bagmati-a")
HOSTS = 92
SLOTS = 5
HOLDERS = 3
SERVICE_S = 0.033
CAPACITY_PER_S = len(INSTANCE_ZONES) * SLOTS / SERVICE_S
ONE_WAY_S = (0.0003, 0.0014, 0.012)
ROUND_TRIP_S = (0.0005, 0.003, 0.02)
WAVE = 0.55
# Share of the time of a read after which it is sent elsewhere, and the deadline.
ATTEMPT_S = 0.9
DEADLINE_S = 2.0
VERDICT_INTERVAL_S = 0.5
# Time from a change of a verdict until all hosts have it: a heartbeat and its watch.
DISTRIBUTION_S = 0.3
CALLER_FAILURE_BACKOFF_S = 0.25


def get_distance(zone, other):
    if zone == other:
        return 0
    return 1 if zone.split("-")[0] == other.split("-")[0] else 2


class Scenario(typing.NamedTuple):
    """A load; `faults` maps the time of a change to (instance, field, value)."""

    name: str
    utilisation: float = 0.6
    wave: float = WAVE
    period_s: float = 40.0
    zones: tuple = ZONES
    report_interval_s: float = 0.0
    report_delay_s: float = 0.0
    faults: tuple = ()
    run_s: float = 80.0
    reports_stop_s: float = math.inf


ZONES_WITHOUT = ("koshi-b", "gandaki-b", "bagmati-b")
HANGS_IN_TURN = tuple(
    fault
    for turn in range(5)
    for fault in (
        (15 + 10 * turn, turn % 2, "is_hanging", True),
        (25 + 10 * turn, turn % 2, "is_hanging", False),
    )
)
RETURN = ((0, 0, "is_hanging", True), (40, 0, "is_hanging", False))
POLICIES = ("random", "nearest", policies.DEFAULT_POLICY, policies.LOCAL_FIRST)
SCENARIOS = (
    Scenario("an eighth of the slots busy", 0.125, 0.0),
    Scenario("staggered waves, 0.6", 0.6),
    Scenario("staggered waves, 0.8", 0.8),
    Scenario("waves, 0.75, reports 2 s apart", 0.75, report_interval_s=2.0),
    Scenario("waves, 0.75, reports 2 s late", 0.75, report_delay_s=2.0),
    Scenario("only zones without instances, 0.7", 0.7, zones=ZONES_WITHOUT),
    Scenario("one at a fifth of its speed", 0.4, faults=((30, 0, "speed", 0.2),)),
    Scenario("one fails a third", 0.4, faults=((30, 0, "fails", 0.34),)),
    Scenario("one hangs", 0.4, faults=((30, 0, "is_hanging", True),)),
    Scenario("two hang in turn", 0.4, faults=HANGS_IN_TURN),
    Scenario("one returns, 0.6", 0.6, faults=RETURN),
    Scenario("reports stop", 0.6, reports_stop_s=40.0),
)


class Outcome(typing.NamedTuple):
    mean_ms: float
    p99_ms: float
    outside_zone: float
    outside_region: float
    oscillation: float
    busiest: float
    failed: float
    series: dict


class Instance:
    def __init__(self, name, zone):
        self.name = name
        self.zone = zone
        self.speed = 1.0
        self.fails = 0.0
        self.is_hanging = False
        self.queue = collections.deque()
        self.running = 0
        self.outstanding = [0] * HOLDERS
        self.meters = [meters.LoadMeter() for _ in range(HOLDERS)]
        for meter in self.meters:
            meter.set_part(SLOTS, HOLDERS)
        self.judges = [health.Judge() for _ in range(HOLDERS)]
        self.stuck = []
        self.claims_unhealthy = [False] * HOLDERS


class Host:
    def __init__(self, name, zone, seed):
        self.zone = zone
        self.rng = random.Random(seed)
        self.router = router.Router(name)
        self.delays = delays.ServiceDelays()
        self.reported_s = {}
        self.failed_until_s = {}


class Fleet:
    """Runs one scenario under one policy; times are seconds from the start."""

    def __init__(self, policy, scenario, seed=1):
        self.policy = policy
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.instances = [
            Instance(f"i-{number}", zone) for number, zone in enumerate(INSTANCE_ZONES)
        ]
        self.names = [instance.name for instance in self.instances]
        self.hosts = [
            Host(f"host-{n}", ZONES[n % len(ZONES)], seed * 1000 + n)
            for n in range(HOSTS)
        ]
        self.events = []
        self.count = 0
        self.results = []
        self.arrivals = collections.Counter()
        self.ejections = 0
        self.verdicts = {}
        self.failed = 0
        self.servers = {
            x.name: directory.BackendServer(x.name, "g", "h", 1, x.zone, {}, SLOTS, 66)
            for x in self.instances
        }

    def at(self, time_s, action, *arguments):
        self.count += 1
        heapq.heappush(self.events, (time_s, self.count, action, arguments))

    def run(self):
        scenario = self.scenario
        for zone in scenario.zones:
            self.at(0.0, self.arrive, zone)
        for time_s, number, field, value in scenario.faults:
            self.at(time_s, self.set_fault, number, field, value)
        self.at(0.0, self.compare_verdicts)
        while self.events:
            now_s, _, action, arguments = heapq.heappop(self.events)
            if now_s > scenario.run_s:
                break
            action(now_s, *arguments)
        return self.summarise()

    def set_fault(self, now_s, number, field, value):
        instance = self.instances[number]
        setattr(instance, field, value)
        if field == "is_hanging" and not value:
            stuck, instance.stuck = instance.stuck, []
            for call in stuck:
                self.finish(now_s, instance, call)

    def arrive(self, now_s, zone):
        scenario = self.scenario
        mean = scenario.utilisation * CAPACITY_PER_S / len(scenario.zones)
        phase = 2 * math.pi * ZONES.index(zone) / len(ZONES)
        wave = math.sin(2 * math.pi * now_s / scenario.period_s + phase)
        # Thinning of a process at the highest rate.
        highest = mean * (1 + scenario.wave)
        self.at(now_s + self.rng.expovariate(highest), self.arrive, zone)
        if self.rng.random() < mean * (1 + scenario.wave * wave) / highest:
            host = self.rng.choice([x for x in self.hosts if x.zone == zone])
            self.send(now_s, host, now_s, frozenset())

    def send(self, now_s, host, started_s, tried):
        eligible = [
            x
            for x in self.instances
            if x.name not in tried and host.failed_until_s.get(x.name, 0.0) <= now_s
        ] or [x for x in self.instances if x.name not in tried]
        if not eligible or now_s - started_s >= DEADLINE_S:
            self.failed += 1
            self.results.append((started_s, DEADLINE_S, 2, None))
            return
        chosen = self.choose(now_s, host, eligible)
        instance = next(x for x in self.instances if x.name == chosen)
        distance = get_distance(host.zone, instance.zone)
        self.arrivals[int(now_s), chosen] += 1
        holder = host.rng.randrange(HOLDERS)
        call = {
            "host": host, "started_s": started_s, "tried": tried | {chosen},
            "holder": holder, "distance": distance, "is_done": False,
        }  # fmt: skip
        self.at(now_s + ONE_WAY_S[distance], self.reach, instance, call)
        self.at(now_s + ATTEMPT_S, self.give_up, instance, call)

    def choose(self, now_s, host, eligible):
        places = [
            router.Place(
                x.name,
                ROUND_TRIP_S[get_distance(host.zone, x.zone)],
                get_distance(host.zone, x.zone),
                SLOTS,
                host.delays.get_service_s(x.name, now_s),
            )
            for x in eligible
        ]
        choice = None
        if self.policy == "nearest":
            return min(places, key=lambda x: (x.round_trip_s, host.rng.random()))[0]
        if self.policy == policies.LOCAL_FIRST:
            choice = host.router.choose(places, self.names, now_s)
        options = [
            candidates.Candidate(
                self.servers[place.instance],
                False,
                pool.PoolLoad(1_000_000, 0, 0, 1, place.service_s, 0.0),
                place.round_trip_s,
                choice.shares[place.instance] if choice else None,
            )
            for place in places
        ]
        order = policies.get_policy(self.policy)
        return order(options, host.rng)[0].server.instance

    def reach(self, now_s, instance, call):
        if call["is_done"]:
            return
        holder = call["holder"]
        call["reached_s"] = now_s
        instance.outstanding[holder] += 1
        instance.meters[holder].arrive(now_s)
        instance.meters[holder].send(now_s)
        call["judged"] = instance.judges[holder].start(instance.name, now_s)
        instance.queue.append(call)
        self.start_next(now_s, instance)

    def start_next(self, now_s, instance):
        while instance.queue and instance.running < SLOTS:
            call = instance.queue.popleft()
            if call["is_done"]:
                continue
            instance.running += 1
            call["is_running"] = True
            service_s = self.rng.expovariate(instance.speed / SERVICE_S)
            self.at(now_s + service_s, self.finish, instance, call)

    def finish(self, now_s, instance, call):
        if instance.is_hanging:
            instance.stuck.append(call)
            return
        instance.running -= 1
        if not call["is_done"]:
            is_failure = self.rng.random() < instance.fails
            self.end(now_s, instance, call, is_failure)
        self.start_next(now_s, instance)

    def end(self, now_s, instance, call, is_failure, was_answered=True):
        call["is_done"] = True
        holder = call["holder"]
        judge = instance.judges[holder]
        judge.end(instance.name, call["judged"])
        if was_answered:
            held_s = now_s - call["reached_s"]
            judge.record(instance.name, is_failure, now_s, held_s)
        else:
            judge.record_no_answer(instance.name, call["reached_s"], now_s)
        instance.outstanding[holder] -= 1
        held_s = now_s - call["reached_s"]
        instance.meters[holder].end(now_s)
        report = self.build_report(now_s, instance, holder)
        arrives_s = now_s + ONE_WAY_S[call["distance"]]
        self.at(arrives_s, self.answer, instance, call, report, held_s, is_failure)

    def build_report(self, now_s, instance, holder):
        judge = instance.judges[holder]
        return reports.Report(
            SLOTS,
            instance.outstanding[holder],
            0,
            HOLDERS,
            max(round(instance.meters[holder].get_service_s(now_s), 3), 0.001),
            round(judge.get_failed_share(instance.name, now_s), 2),
            self.is_unhealthy(now_s, instance, holder),
            round(instance.meters[holder].get_demand(now_s), 2),
        )

    def is_unhealthy(self, now_s, instance, holder):
        if instance.claims_unhealthy[holder]:
            return True
        service_s = instance.meters[holder].get_service_s(now_s)
        others_s = [
            x.meters[holder].get_service_s(now_s)
            for x in self.instances
            if x is not instance
        ]
        judge = instance.judges[holder]
        is_unhealthy = judge.is_unhealthy(instance.name, now_s)
        return is_unhealthy or health.is_slow(service_s, others_s)

    def answer(self, now_s, instance, call, report, held_s, is_retried):
        host = call["host"]
        host.delays.record(instance.name, held_s, now_s)
        reported_s = host.reported_s.get(instance.name, -math.inf)
        is_due = now_s - reported_s >= self.scenario.report_interval_s
        if is_due and now_s < self.scenario.reports_stop_s:
            host.reported_s[instance.name] = now_s
            self.at(
                now_s + self.scenario.report_delay_s,
                self.report,
                host,
                instance.name,
                f"holder-{call['holder']}",
                report,
            )
        if is_retried:
            host.failed_until_s[instance.name] = now_s + CALLER_FAILURE_BACKOFF_S
            self.send(now_s, host, call["started_s"], call["tried"])
            return
        delay_s = now_s - call["started_s"]
        self.results.append(
            (call["started_s"], delay_s, call["distance"], instance.name)
        )

    def report(self, now_s, host, instance, holder, report):
        host.router.reports.record(instance, holder, report, now_s)

    def give_up(self, now_s, instance, call):
        if not call["is_done"] and "judged" in call:
            self.end(now_s, instance, call, True, was_answered=False)

    def compare_verdicts(self, now_s):
        self.at(now_s + VERDICT_INTERVAL_S, self.compare_verdicts)
        verdicts = {
            x.name: sum(self.is_unhealthy(now_s, x, n) for n in range(HOLDERS))
            for x in self.instances
        }
        if verdicts != self.verdicts:
            self.verdicts = verdicts
            self.ejections += 1
            self.at(now_s + DISTRIBUTION_S, self.distribute, verdicts)

    def distribute(self, now_s, verdicts):
        for host in self.hosts:
            host.router.holders_unhealthy = verdicts

    def summarise(self, from_s=20.0):
        counted = [x for x in self.results if x[0] >= from_s]
        delays_ms = [1000 * x[1] for x in counted]
        series = {}
        for name in self.names:
            series[name] = []
            for second in range(int(from_s), int(self.scenario.run_s)):
                total = sum(self.arrivals[second, other] for other in self.names)
                series[name].append(self.arrivals[second, name] / max(total, 1))
        changes = [
            abs(later - earlier)
            for values in series.values()
            for earlier, later in zip(values, values[1:], strict=False)
        ]
        by_instance = collections.Counter(x[3] for x in counted)
        return Outcome(
            statistics.fmean(delays_ms),
            statistics.quantiles(delays_ms, n=100)[98],
            sum(x[2] > 0 for x in counted) / len(counted),
            sum(x[2] > 1 for x in counted) / len(counted),
            statistics.fmean(changes),
            max(by_instance[x] for x in self.names) * len(self.names) / len(counted),
            sum(x[3] is None for x in counted) / len(counted),
            series,
        )
