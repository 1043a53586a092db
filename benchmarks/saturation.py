"""Goodput of an entry host at and above its capacity.

Usage: ``python -m benchmarks.saturation [--check]``

A closed loop measures the capacity; open loops then send 1, 2 and 4 times that rate.
Goodput is the rate of answers with status 200 within the deadline. ``--check`` returns
1 if the goodput per second of processor time at 2 or 4 times the capacity is below
90 % of its peak.
"""

import argparse
import pathlib
import tempfile
import time
import typing

from benchmarks import service

FACTORS = (1.0, 2.0, 4.0)
CALLER_PROCESSES = 4
CONNECTIONS = 150
DEADLINE_MS = 1000
# Callers connect during the warm-up. Processor time is counted from `MARGIN_S` after
# it until the callers end.
WARM_UP_S = 2.0
MARGIN_S = 1.5
POOL = {"connections_per_instance": 8}
# Lowest allowed goodput per processor second above capacity, as a share of its peak.
MIN_SHARE_OF_PEAK = 0.9


class Load(typing.NamedTuple):
    """Results at one offered rate.

    Attributes
    ----------
    factor : float
        Offered rate over capacity; 0 for the closed loop.
    offered_per_s : float
    goodput_per_s : float
    late_per_s : float
        Answers with status 200 after the deadline.
    skipped_per_s : float
        Requests not sent because all connections of the callers awaited an answer.
    replica_share : float
        Answers of replicas over all answers.
    cpu_share : float
        Processor time of the entry host as a share of one core.
    goodput_per_cpu_s : float
        Goodput per second of the entry host's processor time, which is less affected
        by other load on the machine than the goodput.
    instances_cpu_share : float
        Processor time of the busiest stand-in instance as a share of one core.
    statuses : dict of str to int
        Count of answers by HTTP status and problem code.
    """

    factor: float
    offered_per_s: float
    goodput_per_s: float
    late_per_s: float
    skipped_per_s: float
    replica_share: float
    cpu_share: float
    goodput_per_cpu_s: float
    instances_cpu_share: float
    statuses: dict[str, int]


def measure_load(
    running_service: service.Service,
    factor: float,
    rate_per_s: float,
    duration_s: float,
) -> Load:
    """Return the results at an offered rate.

    Parameters
    ----------
    running_service : service.Service
    factor : float
        Offered rate over capacity; 0 for a closed loop.
    rate_per_s : float
        Of all callers together; 0 for a closed loop.
    duration_s : float
    """
    connections = CONNECTIONS if factor else 8
    started = [
        running_service.start_callers(
            f"callers-{factor}-{number}",
            *("--connections", str(connections), "--duration-s", str(duration_s)),
            *("--warm-up-s", str(WARM_UP_S)),
            *("--rate-per-s", str(rate_per_s / CALLER_PROCESSES)),
            *("--deadline-ms", str(DEADLINE_MS)),
        )
        for number in range(CALLER_PROCESSES)
    ]
    time.sleep(WARM_UP_S + MARGIN_S)
    measured = [running_service.entry, *running_service.instances]
    before_s = [item.read_usage().cpu_s for item in measured]
    window_started_s = time.monotonic()
    time.sleep(duration_s - MARGIN_S)
    window_s = time.monotonic() - window_started_s
    cpu_shares = [
        (item.read_usage().cpu_s - earlier_s) / window_s
        for item, earlier_s in zip(measured, before_s, strict=True)
    ]
    outcomes = [running_service.wait_for_outcome(process) for process in started]
    statuses: dict[str, int] = {}
    for outcome in outcomes:
        for status, count in outcome.statuses.items():
            statuses[status] = statuses.get(status, 0) + count
    elapsed_s = max(outcome.duration_s for outcome in outcomes)
    answered = sum(outcome.answered for outcome in outcomes)
    replica = sum(outcome.replica for outcome in outcomes)
    return Load(
        factor,
        rate_per_s,
        answered / elapsed_s,
        sum(outcome.late for outcome in outcomes) / elapsed_s,
        sum(outcome.skipped for outcome in outcomes) / elapsed_s,
        replica / max(sum(statuses.values()), 1),
        cpu_shares[0],
        answered / elapsed_s / cpu_shares[0],
        max(cpu_shares[1:]),
        statuses,
    )


def print_load(load: Load) -> None:
    """Print the results at one offered rate as a line."""
    print(
        f"{load.factor:>5.1f}x offered {load.offered_per_s:7.0f}/s  "
        f"goodput {load.goodput_per_s:7.0f}/s  late {load.late_per_s:6.0f}/s  "
        f"skipped {load.skipped_per_s:7.0f}/s  cpu {load.cpu_share * 100:5.1f} %  "
        f"{load.goodput_per_cpu_s:5.0f} a cpu second  "
        f"replicas {load.replica_share * 100:5.1f} %  "
        f"instance cpu {load.instances_cpu_share * 100:5.1f} %  "
        f"{load.statuses}",
        flush=True,
    )


def run(first_port: int, duration_s: float) -> list[Load]:
    """Return the results of the closed loop and of each factor, in this order."""
    with tempfile.TemporaryDirectory() as folder:
        running_service = service.Service(
            pathlib.Path(folder), first_port, changes={"pool": POOL}
        )
        try:
            running_service.start()
            measure_load(running_service, 0.0, 0.0, 2.0)
            loads = [measure_load(running_service, 0.0, 0.0, duration_s)]
            print_load(loads[0])
            capacity_per_s = loads[0].goodput_per_s
            for factor in FACTORS:
                rate_per_s = factor * capacity_per_s
                loads.append(
                    measure_load(running_service, factor, rate_per_s, duration_s)
                )
                print_load(loads[-1])
        finally:
            running_service.stop()
    return loads


def main() -> int:
    """Print the results; return 1 if ``--check`` finds the goodput too low."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration-s", type=float, default=6.0)
    parser.add_argument("--first-port", type=int, default=30400)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    loads = run(options.first_port, options.duration_s)
    peak = max(load.goodput_per_cpu_s for load in loads)
    lowest = min(load.goodput_per_cpu_s for load in loads if load.factor > 1)
    share = lowest / peak
    print(f"lowest goodput a cpu second above capacity: {share:.0%} of its peak")
    return 1 if options.check and share < MIN_SHARE_OF_PEAK else 0


if __name__ == "__main__":
    raise SystemExit(main())
