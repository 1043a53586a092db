"""Measure how often floors are known, and how long queries and records take.

Run as ``python -m sedgeswitch.sessions.tests.measure_floors [SEEDS]``.
"""

import statistics
import sys

import trio

from sedgeswitch.sessions.tests import builders
from sedgeswitch.sessions.tests import test_replicated_floors

WARM_UP_S = 3.0
RUN_S = 60.0
PAUSE_S = 0.1
P99_INDEX = 98


async def cause_no_fault(fleet, nursery):
    """Cause no fault."""


async def stop_one(fleet, nursery):  # noqa: ARG001
    """Stop one host permanently."""
    fleet.stop_host("e0")


async def restart_often(fleet, nursery):
    """Restart a random host every 10 seconds."""
    while True:
        host_id = f"e{fleet.rng.randrange(test_replicated_floors.HOST_COUNT)}"
        fleet.stop_host(host_id)
        await trio.sleep(1.0)
        fleet.start_host(nursery, host_id)
        await trio.sleep(9.0)


FAULTS = {
    "none": cause_no_fault,
    "one host dead": stop_one,
    "a restart every 10 s": restart_often,
    "cuts, restarts, failovers": test_replicated_floors.cause_faults,
}


class Counts:
    """Results of the calls of all runs."""

    def __init__(self):
        self.read_s = []
        self.record_s = []
        self.known_count = 0
        self.wrong_floors = 0


async def run(seed, fault, counts):
    """Read and write on every host while `fault` runs."""
    fleet = builders.Fleet(seed)

    async def call(host_id):
        while True:
            await trio.sleep(fleet.rng.uniform(0.0, PAUSE_S))
            host = fleet.hosts.get(host_id)
            if host is None or not host.is_leased(trio.current_time()):
                continue
            key = fleet.rng.choice(test_replicated_floors.KEYS)
            started_s = trio.current_time()
            floor = await fleet.read(host, key)
            counts.read_s.append(trio.current_time() - started_s)
            counts.known_count += floor.is_known
            started_s = trio.current_time()
            if await fleet.write(host, key):
                counts.record_s.append(trio.current_time() - started_s)

    with trio.move_on_after(WARM_UP_S + RUN_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.remove_expired_members)
            for number in range(test_replicated_floors.HOST_COUNT):
                fleet.start_host(nursery, f"e{number}")
            await trio.sleep(WARM_UP_S)
            nursery.start_soon(fault, fleet, nursery)
            for number in range(test_replicated_floors.HOST_COUNT):
                nursery.start_soon(call, f"e{number}")
    counts.wrong_floors += len(fleet.wrong_floors)


def main():
    """Print one table row for each fault."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    for name, fault in FAULTS.items():
        counts = Counts()
        for seed in range(seeds):
            builders.run_virtual(run, seed, fault, counts, seed=seed)
        cells = [
            name,
            f"{counts.known_count / len(counts.read_s):.1%}",
            str(counts.wrong_floors),
        ]
        for delays_s in (counts.read_s, counts.record_s):
            quantiles = statistics.quantiles(delays_s, n=100)
            cells.append(f"{1000 * statistics.median(delays_s):.0f}")
            cells.append(f"{1000 * quantiles[P99_INDEX]:.0f}")
        sys.stdout.write("| " + " | ".join(cells) + " |\n")


if __name__ == "__main__":
    main()
