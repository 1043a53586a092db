"""Measure the delay of reads under each routing policy, in virtual time.

Run as ``python -m sedgeswitch.routing.tests.measure_policies``, with the argument
``fleet`` for 92 hosts that decide from reports.
"""

import random
import statistics
import sys
import typing

import trio

from sedgeswitch.routing import policies
from sedgeswitch.routing.tests import fleet
from sedgeswitch.sessions.tests import builders as session_builders
from sedgeswitch.statements.tests import builders

ZONES = ("koshi", "gandaki", "bagmati")
SAME_ZONE_ROUND_TRIP_S = 0.001
OTHER_ZONE_ROUND_TRIP_S = 0.02
CONNECT_S = 0.01
SERVICE_S = 0.005
SLOTS = 3
CAPACITY = 20
RUN_S = 60.0
DEADLINE_S = 5.0
P99_INDEX = 98


class Scenario(typing.NamedTuple):
    """A load of reads on a group of instances.

    Attributes
    ----------
    name : str
    rate_per_s : float
        Reads per second at each entry host.
    slow_factor : float
        Factor by which the service time of one of the two replicas is longer.
    """

    name: str
    rate_per_s: float
    slow_factor: float = 1.0


SCENARIOS = (
    Scenario("light", 50.0),
    Scenario("heavy", 170.0),
    Scenario("slow replica", 100.0, 8.0),
)


class Outcome(typing.NamedTuple):
    """Delays of the reads of one run, and the share that replicas answered."""

    mean_ms: float
    p99_ms: float
    replica_share: float


class ZoneConnection(builders.Connection):
    """A connection with a round-trip time to an instance that has few slots."""

    def __init__(self, instance, round_trip_s):
        super().__init__(instance)
        self._round_trip_s = round_trip_s

    async def execute(self, sql, parameters=()):
        """Run a statement after the round-trip time; a read waits for a slot."""
        await trio.sleep(self._round_trip_s)
        if sql == builders.READ_SQL:
            async with self.instance.slots:
                await trio.sleep(self.instance.draw_service_s())
        return await super().execute(sql, parameters)


class ZoneDriver(typing.NamedTuple):
    """Connects to the instances of a group from one availability zone."""

    group: builders.Group
    zone: str

    async def connect(self, target, timeout_s):  # noqa: ARG002
        """Return a connection after the time to open one."""
        instance = self.group.instances[target.port]
        is_near = instance.zone == self.zone
        round_trip_s = SAME_ZONE_ROUND_TRIP_S if is_near else OTHER_ZONE_ROUND_TRIP_S
        await trio.sleep(round_trip_s + CONNECT_S)
        return ZoneConnection(instance, round_trip_s)


class ZoneGroup(builders.Group):
    """A group with one instance in each availability zone."""

    def __init__(self, slow_factor, rng):
        super().__init__()
        for instance, zone in zip(self.instances, ZONES, strict=True):
            factor = slow_factor if zone == ZONES[1] else 1.0
            instance.zone = zone
            instance.latency_s = 0.0
            instance.slots = trio.Semaphore(SLOTS)
            instance.draw_service_s = lambda mean_s=SERVICE_S * factor: rng.expovariate(
                1 / mean_s
            )

    def build_driver(self, zone):
        """Return the driver of an entry host in an availability zone."""
        return ZoneDriver(self, zone)


def measure(policy, scenario, seed=1):
    """Return the outcome of a run of `RUN_S` with a policy and a load."""
    answers = []

    async def read(host):
        started_s = trio.current_time()
        answer = await host.read(deadline_s=DEADLINE_S)
        answers.append((trio.current_time() - started_s, answer.replica))

    async def run():
        rng = random.Random(seed)
        group = ZoneGroup(scenario.slow_factor, rng)
        hosts = [
            builders.Host(group, CAPACITY, seed, zone, policy=policy) for zone in ZONES
        ]
        end_s = trio.current_time() + RUN_S
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                rate_per_s = scenario.rate_per_s * len(hosts)
                await trio.sleep(rng.expovariate(rate_per_s))
                nursery.start_soon(read, rng.choice(hosts))

    session_builders.run_virtual(run, seed=seed)
    delays_ms = [1000 * delay_s for delay_s, _ in answers]
    replicas = sum(is_replica for _, is_replica in answers)
    p99_ms = statistics.quantiles(delays_ms, n=100)[P99_INDEX]
    return Outcome(statistics.fmean(delays_ms), p99_ms, replicas / len(answers))


def main():
    """Write a Markdown table of the outcomes of all policies under all loads."""
    names = ("load", "policy", "mean ms", "p99 ms", "by replicas")
    write_row(names)
    write_row(["---"] * len(names))
    for scenario in SCENARIOS:
        for policy in policies.list_policies():
            outcome = measure(policy, scenario)
            delays = [f"{outcome.mean_ms:.1f}", f"{outcome.p99_ms:.1f}"]
            write_row([scenario.name, policy, *delays, f"{outcome.replica_share:.0%}"])


def measure_fleet():
    """Write a Markdown table of the policies in a fleet of 92 hosts."""
    names = (
        "load", "policy", "mean ms", "p99 ms", "outside zone", "outside region",
        "oscillation", "busiest", "failed",
    )  # fmt: skip
    write_row(names)
    write_row(["---"] * len(names))
    for scenario in fleet.SCENARIOS:
        for policy in fleet.POLICIES:
            outcome = fleet.Fleet(policy, scenario).run()
            write_row(
                [
                    scenario.name,
                    policy,
                    f"{outcome.mean_ms:.0f}",
                    f"{outcome.p99_ms:.0f}",
                    f"{outcome.outside_zone:.0%}",
                    f"{outcome.outside_region:.0%}",
                    f"{outcome.oscillation:.1%}",
                    f"{outcome.busiest:.2f}",
                    f"{outcome.failed:.2%}",
                ]
            )
            sys.stdout.flush()


def write_row(cells):
    """Write one row of a Markdown table."""
    sys.stdout.write("| " + " | ".join(cells) + " |\n")


if __name__ == "__main__":
    if sys.argv[1:] == ["fleet"]:
        measure_fleet()
    else:
        main()
