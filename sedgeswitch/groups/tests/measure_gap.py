"""Measure the gap in acknowledged writes during a failover, in virtual time.

Prints percentiles of the gap and the durations of its phases over many seeds.

Run as ``python -m sedgeswitch.groups.tests.measure_gap [seeds [row]]``.
"""

import statistics
import sys

import loguru
import trio

from sedgeswitch.groups.tests import builders

LONGEST_RUN_S = 20.0
ROWS = (("is_killed", False), ("is_frozen", False), ("is_killed", True))
PHASES = ("detect_s", "lease_wait_s", "choose_s", "promote_s", "learn_s")


def measure(fault, seed, is_silent):
    """Return the gap in seconds and the report of one failover."""
    world = builders.World(seed=seed)

    async def scenario(world):
        setattr(world.instances["lots-0"], fault, True)
        if is_silent:
            world.paused.add("entry-5")
        await trio.sleep(1.0)
        while not world.reports and trio.current_time() < LONGEST_RUN_S:
            await trio.sleep(0.5)
        await trio.sleep(0.5)
        raise builders.Finished

    builders.run(world, scenario, duration_s=LONGEST_RUN_S)
    return builders.get_gap_s(world), world.reports


def main():
    """Print one table row for each kind of fault.

    The phase columns hold median/maximum in seconds.
    """
    loguru.logger.remove()
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    names = ("fault", "gap p50", "gap p99", "gap max", *PHASES)
    sys.stdout.write("| " + " | ".join(names) + " |\n")
    rows = [int(sys.argv[2])] if len(sys.argv) > 2 else range(len(ROWS))
    for fault, is_silent in (ROWS[row] for row in rows):
        runs = [measure(fault, seed, is_silent) for seed in range(seeds)]
        gaps = sorted(gap_s for gap_s, _ in runs)
        reports = [reports[0] for _, reports in runs if reports]
        cells = [
            fault + (" + silent entry host" if is_silent else ""),
            f"{statistics.median(gaps):.2f}",
            f"{gaps[int(0.99 * (len(gaps) - 1))]:.2f}",
            f"{gaps[-1]:.2f}",
        ]
        for phase in PHASES:
            times = [getattr(report, phase) for report in reports]
            cells.append(f"{statistics.median(times):.2f}/{max(times):.2f}")
        sys.stdout.write("| " + " | ".join(cells) + f" | {len(reports)} runs\n")


if __name__ == "__main__":
    main()
