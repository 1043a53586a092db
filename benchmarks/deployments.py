"""Measure a deployment under replica lag, a failover and a busy organisation.

Usage::

    .venv/bin/python -m benchmarks.deployments --deployment daura-lots --check

Starts the fleet of an example and sends statements at a fixed rate (open loop), of
which one organisation sends four times its rate. Meanwhile it sets replication lag,
kills a primary and starts it again. The result is built from the load tool's report.
``--check`` returns 1 unless the result is within `BOUNDS`: no violations, a write gap
of at most 7 s at the failover, at most 0.5 % wrongful refusals, at least 99.5 %
success of the worst organisation, and at least half of the reads from replicas.
"""

import argparse
import json
import pathlib
import sys
import time
import typing

from benchmarks import deployment_fleet as fleet

RESULTS = pathlib.Path(__file__).resolve().parent / "results"
# Demand as a share of the rate, of the busy organisation and of the others.
BUSY_DEMAND_SHARE = 4.0
OTHERS_DEMAND_SHARE = 0.3
# Replication lag of the instances "-b" and "-c".
SHORT_LAG_MS = 300
LONG_LAG_MS = 1500
# Times of the faults, as shares of the duration.
LAG_AT = 0.15
KILL_AT = 0.45
RESTART_AT = 0.7
LOAD_TIMEOUT_S = 90
PORT_OFFSET = 14_000
# Target of the write gap at a failover; a longer one is only printed.
TARGET_WRITE_GAP_S = 3.0
# Exit code of the load tool if it found violations.
VIOLATIONS_EXIT_CODE = 1

BASELINES = ("primary_only", "random")


class Deployment(typing.NamedTuple):
    """Parameters of the benchmark for one deployment.

    Attributes
    ----------
    group : str
        Group that loses its primary.
    busy : str
        Organisation that sends several times its rate.
    """

    group: str
    busy: str


class Bound(typing.NamedTuple):
    """The allowed range of a field of `Result`."""

    measure: str
    minimum: float = float("-inf")
    maximum: float = float("inf")


class Result(typing.NamedTuple):
    """Measurements of one run.

    Attributes
    ----------
    replica_read_share : float
        Reads answered by replicas, of all answered reads.
    failover_write_gap_s : float
        Longest time without an acknowledged write in the group that lost its
        primary.
    other_write_gap_s : float
        The longest such time in any other group.
    worst_organisation : str
        Of the organisations within their rate, the one with the lowest success
        share, and of these the one with the highest p99 latency.
    worst_success_share, worst_p99_ms : float
    wrongful_refusal_share : float
        Requests within the rate that failed, or of which an attempt was refused for
        exceeding the rate, over all requests of the organisations within their rate.
    busy_refused_within_rate : int
        Count of such requests of the busy organisation. It has no bound: whether one
        of its requests is within the rate depends on the order of its retries.
    busy_success_share : float
    busy_answered_per_s : float
    violations : int
        Wrong answers, lost writes and writes that ran twice.
    violation_kinds : list of str
    """

    deployment: str
    policy: str
    seed: int
    duration_s: float
    sent: int
    answered: int
    replica_read_share: float
    failover_write_gap_s: float
    other_write_gap_s: float
    worst_organisation: str
    worst_success_share: float
    worst_p99_ms: float
    wrongful_refusal_share: float
    busy_organisation: str
    busy_success_share: float
    busy_answered_per_s: float
    busy_refused_within_rate: int
    violations: int
    violation_kinds: list[str]


DEPLOYMENTS = {
    "daura-lots": Deployment("draw-bagmati", "ward-offices-koshi"),
    "rijeka": Deployment("visits-kvarner", "fitters-istra"),
}
BOUNDS = (
    Bound("violations", maximum=0),
    Bound("failover_write_gap_s", maximum=7.0),
    Bound("wrongful_refusal_share", maximum=0.005),
    Bound("worst_success_share", minimum=0.995),
    Bound("replica_read_share", minimum=0.5),
)


def run(
    name: str, policy: str, seed: int, duration_s: float, port_offset: int
) -> Result:
    """Run one deployment and return the measurements.

    Parameters
    ----------
    name : str
    policy : str
        Routing policy of the entry hosts.
    seed : int
        Seed of the arrivals.
    duration_s : float
    port_offset : int
    """
    deployment = DEPLOYMENTS[name]
    folder = fleet.ROOT / "run" / f"benchmark-{name}"
    changes = {"routing_policy": policy}
    running_fleet = fleet.Fleet(fleet.FleetSettings(name, folder, port_offset, changes))
    try:
        running_fleet.start()
        running_fleet.create_keys(
            deployment.busy, BUSY_DEMAND_SHARE / OTHERS_DEMAND_SHARE
        )
        rate_per_s = _get_rate(folder, deployment.busy)
        report = _send_load(running_fleet, deployment, rate_per_s, seed, duration_s)
    finally:
        running_fleet.stop()
    return build_result(name, policy, report)


def _get_rate(folder: pathlib.Path, busy: str) -> float:
    organisations = json.loads((folder / "keys" / "organisations.json").read_text())
    return sum(
        item["rate_per_s"]
        * (BUSY_DEMAND_SHARE if item["organisation"] == busy else OTHERS_DEMAND_SHARE)
        for item in organisations
    )


def _send_load(
    running_fleet: fleet.Fleet,
    deployment: Deployment,
    rate_per_s: float,
    seed: int,
    duration_s: float,
) -> dict[str, typing.Any]:
    arguments = [f"--rate={rate_per_s}", f"--duration-s={duration_s}", f"--seed={seed}"]
    path = running_fleet.folder / "load.json"
    with path.open("w") as output:
        prepare = running_fleet.start_load(["--prepare", "--duration-s=0"], output)
        prepare.wait(LOAD_TIMEOUT_S)
    with path.open("w") as output:
        load = running_fleet.start_load([*arguments, "--give-up-s=8"], output)
        try:
            _inject_faults(running_fleet, deployment, duration_s)
            code = load.wait(duration_s + LOAD_TIMEOUT_S)
        finally:
            load.kill()
    if code not in (0, VIOLATIONS_EXIT_CODE):
        raise fleet.FleetError(f"the load tool failed: {path.read_text()}")
    return json.loads(path.read_text())


def _inject_faults(
    running_fleet: fleet.Fleet, deployment: Deployment, duration_s: float
) -> None:
    start_s = time.monotonic()
    _sleep_until(start_s + LAG_AT * duration_s)
    for suffix, lag_ms in (("-b", SHORT_LAG_MS), ("-c", LONG_LAG_MS)):
        for instance in running_fleet.list_instances(suffix):
            running_fleet.set_faults(instance, replication_lag_ms=lag_ms)
    _sleep_until(start_s + KILL_AT * duration_s)
    primary = running_fleet.get_primary(deployment.group)
    running_fleet.kill(primary)
    _sleep_until(start_s + RESTART_AT * duration_s)
    running_fleet.restart(primary)


def _sleep_until(time_s: float) -> None:
    time.sleep(max(time_s - time.monotonic(), 0))


def build_result(name: str, policy: str, report: dict[str, typing.Any]) -> Result:
    """Return the measurements from a report of the load tool."""
    deployment = DEPLOYMENTS[name]
    gaps_ms = dict(report["longest_write_gap_ms"])
    failover_gap_ms = gaps_ms.pop(deployment.group)
    by_organisation = {item["organisation"]: item for item in report["organisations"]}
    busy = by_organisation.pop(deployment.busy)
    worst = min(
        by_organisation.values(),
        key=lambda item: (item["success_share"], -item["p99_ms"]),
    )
    wrongful = sum(_count_wrongful(item) for item in by_organisation.values())
    others_sent = sum(item["sent"] for item in by_organisation.values())
    kinds = sorted(item["kind"] for item in report["violations"])
    return Result(
        deployment=name,
        policy=policy,
        seed=report["seed"],
        duration_s=report["duration_s"],
        sent=report["sent"],
        answered=report["answered"],
        replica_read_share=round(report["replica_read_share"], 4),
        failover_write_gap_s=round(failover_gap_ms / 1000, 3),
        other_write_gap_s=round(max(gaps_ms.values()) / 1000, 3),
        worst_organisation=worst["organisation"],
        worst_success_share=round(worst["success_share"], 4),
        worst_p99_ms=round(worst["p99_ms"], 1),
        wrongful_refusal_share=round(wrongful / others_sent, 5),
        busy_organisation=deployment.busy,
        busy_success_share=round(busy["success_share"], 4),
        busy_answered_per_s=round(busy["answered"] / report["duration_s"], 2),
        busy_refused_within_rate=_count_wrongful(busy),
        violations=len(kinds),
        violation_kinds=kinds,
    )


def _count_wrongful(item: dict[str, typing.Any]) -> int:
    # A request may be counted in both fields, so their sum could count it twice.
    return max(item["throttled_within_rate"], item["refused_within_rate"])


def check(result: Result) -> list[str]:
    """Return a line for each measurement that is out of its bounds."""
    lines = []
    for bound in BOUNDS:
        value = getattr(result, bound.measure)
        if not bound.minimum <= value <= bound.maximum:
            allowed = f"from {bound.minimum} to {bound.maximum}"
            lines.append(f"{bound.measure}: expected {allowed}, got {value}")
    return lines


def main() -> int:
    """Run the benchmark and return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--deployment", choices=DEPLOYMENTS, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--baseline", choices=BASELINES)
    parser.add_argument("--port-offset", type=int, default=PORT_OFFSET)
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--save", action="store_true", help="write to results/")
    options = parser.parse_args()
    policy = options.baseline or "least_expected_delay"
    result = run(
        options.deployment, policy, options.seed, options.seconds, options.port_offset
    )
    text = json.dumps(result._asdict(), indent=2)
    print(text)
    if options.save:
        name = f"{options.deployment}-{policy}-{options.seed}.json"
        RESULTS.mkdir(exist_ok=True)
        (RESULTS / name).write_text(text + "\n")
    out_of_bounds = check(result) if options.check else []
    for line in out_of_bounds:
        print(line, file=sys.stderr)
    if result.failover_write_gap_s > TARGET_WRITE_GAP_S:
        print(f"the write gap is above the target of {TARGET_WRITE_GAP_S} s")
    return 1 if out_of_bounds else 0


if __name__ == "__main__":
    sys.exit(main())
