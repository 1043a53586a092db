"""Measure loads with the fair queue and with each order, in virtual time.

Run ``python -m sedgeswitch.scheduling.tests.measure_loads``.
"""

import sys

import trio

from sedgeswitch.scheduling import orders
from sedgeswitch.scheduling.tests import builders
from sedgeswitch.utils.tests import virtual_time

SLOTS = 5
SEEDS = 3
HOLDERS = 4


def build_queues(name, holders):
    if name == "fair_queue":
        return [builders.build_fair_queue() for _ in range(holders)]
    return [
        builders.build_scheduler(SLOTS, holders, order=name) for _ in range(holders)
    ]


async def run_phases(site, phases):
    """Run phases of sources, each beginning at its time whatever still waits."""
    async with trio.open_nursery() as nursery:
        for sources, duration_s in phases:
            for source in sources:
                nursery.start_soon(site.generate, source, duration_s)
            await trio.sleep(duration_s)


def scale(sources, factor):
    return [
        source._replace(rate_per_s=source.rate_per_s * factor) for source in sources
    ]


def build_phases(name):
    usual = builders.build_usual_load(SLOTS)
    if name == "burst 2.4":
        return [(usual, 5.0), (scale(usual, 2.4), 7.0), (usual, 10.0)]
    if name == "overload 1.3":
        return [(scale(usual, 1.3 / 0.6), 40.0)]
    flood = [
        source._replace(rate_per_s=source.rate_per_s * 1.5, organisations=("ward-0",))
        for source in usual
    ]
    return [(usual, 5.0), (usual + flood, 10.0), (usual, 10.0)]


def measure(load, name, holders, seed):
    async def main():
        site = builders.Site(build_queues(name, holders), SLOTS, seed)
        await run_phases(site, build_phases(load))
        return site

    return virtual_time.run(main, seed=seed)


def main():
    """Write the mean value and share on time of each class, and of the worst others."""
    names = sys.argv[1:] or ["fair_queue", *sorted(orders._ORDERS)]
    for load in ("burst 2.4", "overload 1.3", "flood 7"):
        for holders in (1, HOLDERS):
            for name in names:
                sites = [measure(load, name, holders, seed) for seed in range(SEEDS)]
                cells = []
                for priority in range(3):
                    tallies = [site.by_class[priority] for site in sites]
                    value = sum(tally.value_share for tally in tallies) / SEEDS
                    on_time = sum(tally.on_time_share for tally in tallies) / SEEDS
                    cells.append(f"{value:.3f} ({on_time:.2f})")
                others = [
                    tally
                    for site in sites
                    for name_, tally in site.by_organisation.items()
                    if name_ != "ward-0"
                ]
                worst = min(tally.value_share for tally in others)
                queued = max(site.instance.most_queued for site in sites)
                row = (load, str(holders), name, *cells, f"{worst:.3f}", str(queued))
                sys.stdout.write(" | ".join(row) + "\n")
                sys.stdout.flush()


if __name__ == "__main__":
    main()
