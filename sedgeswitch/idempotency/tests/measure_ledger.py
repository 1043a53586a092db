"""Measure how much time the ledger adds to a write, in virtual time.

Run as ``python -m sedgeswitch.idempotency.tests.measure_ledger``.
"""

import random
import statistics
import sys

import trio

from sedgeswitch.statements.tests import builders

WRITES = 1000
PAUSE_S = 0.2
ROUND_TRIPS_S = (0.001, 0.006, 0.02)


def measure(round_trip_s, is_identified):
    """Return the mean delay of a write, in seconds.

    Parameters
    ----------
    round_trip_s : float
        Round-trip time to each instance.
    is_identified : bool
        Whether each write carries an idempotency key.
    """

    async def scenario(group, host):
        for instance in group.instances:
            instance.latency_s = round_trip_s
        delays_s = []
        rng = random.Random(1)
        for number in range(WRITES):
            # Random pauses keep the writes from being aligned with the polling of the
            # replicas.
            await trio.sleep(rng.uniform(0.0, PAUSE_S))
            started_s = trio.current_time()
            await host.write(key=f"k{number}" if is_identified else "")
            delays_s.append(trio.current_time() - started_s)
        return statistics.fmean(delays_s)

    return builders.run_group(scenario)


def main():
    """Write one row for each round-trip time."""
    for round_trip_s in ROUND_TRIPS_S:
        delays_ms = [1000 * measure(round_trip_s, flag) for flag in (False, True)]
        cells = [f"{1000 * round_trip_s:.0f}", *(f"{item:.1f}" for item in delays_ms)]
        sys.stdout.write("| " + " | ".join(cells) + " |\n")


if __name__ == "__main__":
    main()
