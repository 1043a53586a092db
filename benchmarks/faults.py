"""Run a deployment under random faults and check every answer.

    python -m benchmarks.faults --deployment daura-lots --seed 1 --seconds 60

Processes of the fleet are killed and restarted, or stopped and continued, and replicas
are delayed; the seed determines the sequence. The load tool compares every answer with
the writes that it recorded; the exit code is 1 if it finds a violation.
"""

import argparse
import json
import pathlib
import random
import signal
import sys
import time
import typing

from benchmarks import deployment_fleet

PORT_OFFSET = 4000
# Time without faults at the start and at the end of the load.
QUIET_START_S = 4.0
QUIET_END_S = 12.0
# Range of the time between two faults.
SHORTEST_PAUSE_S = 2.0
LONGEST_PAUSE_S = 6.0
# Range of the duration of a fault.
SHORTEST_FAULT_S = 0.5
LONGEST_FAULT_S = 6.0
LOAD_TIMEOUT_S = 90.0
BUSY_FACTOR = 1.0
LAGS_MS = (0, 200, 1500)


class Fault(typing.NamedTuple):
    """One fault of a run.

    Attributes
    ----------
    at_s : float
        Time since the start of the load.
    kind : str
        ``kill``, ``freeze`` or ``lag``.
    name : str
        Process of the fleet. ``lag`` is set on all instances "-c" instead.
    duration_s : float
        Time until the process is started again or continued.
    lag_ms : int
        Replication lag; for ``lag`` only.
    """

    at_s: float
    kind: str
    name: str
    duration_s: float
    lag_ms: int


class Report(typing.NamedTuple):
    """Results of one run."""

    deployment: str
    seed: int
    duration_s: float
    faults: list[Fault]
    sent: int
    answered: int
    success_share: float
    longest_write_gap_ms: dict[str, float]
    violations: list


def plan_faults(names: list[str], seed: int, duration_s: float) -> list[Fault]:
    """Return the faults of a run; they depend only on the arguments.

    At most one process is down or frozen at a time, so that the fleet must tolerate
    each fault.
    """
    rng = random.Random(seed)
    faults = []
    at_s = QUIET_START_S
    while at_s < duration_s - QUIET_END_S:
        kind = rng.choice(("kill", "kill", "freeze", "lag"))
        length_s = rng.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S)
        fault = Fault(at_s, kind, rng.choice(names), length_s, rng.choice(LAGS_MS))
        faults.append(fault)
        at_s += length_s + rng.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S)
    return faults


def run(deployment: str, seed: int, duration_s: float, rate_per_s: float) -> Report:
    """Run a deployment under faults and return the results."""
    folder = deployment_fleet.ROOT / "run" / f"faults-{deployment}"
    settings = deployment_fleet.FleetSettings(deployment, folder, PORT_OFFSET, {})
    fleet = deployment_fleet.Fleet(settings)
    try:
        fleet.start()
        names = sorted(path.name for path in (folder / "pids").iterdir())
        organisations = json.loads(
            (deployment_fleet.EXAMPLES / deployment / "configuration.json").read_text()
        )["organisations"]
        fleet.create_keys(min(organisations), BUSY_FACTOR)
        faults = plan_faults(names, seed, duration_s)
        load_report = _send_load(fleet, faults, seed, duration_s, rate_per_s)
    finally:
        _continue_all(folder)
        fleet.stop()
    return _build_report(deployment, faults, load_report)


def _send_load(
    fleet: deployment_fleet.Fleet,
    faults: list[Fault],
    seed: int,
    duration_s: float,
    rate_per_s: float,
) -> dict[str, typing.Any]:
    path = fleet.folder / "load.json"
    with path.open("w") as output:
        fleet.start_load(["--prepare", "--duration-s=0"], output).wait(LOAD_TIMEOUT_S)
    arguments = [f"--rate={rate_per_s}", f"--duration-s={duration_s}", f"--seed={seed}"]
    with path.open("w") as output:
        load = fleet.start_load([*arguments, "--give-up-s=15"], output)
        try:
            _inject(fleet, faults)
            load.wait(duration_s + LOAD_TIMEOUT_S)
        finally:
            load.kill()
    return json.loads(path.read_text())


def _inject(fleet: deployment_fleet.Fleet, faults: list[Fault]) -> None:
    started_s = time.monotonic()
    for fault in faults:
        time.sleep(max(started_s + fault.at_s - time.monotonic(), 0))
        print(f"{fault.at_s:6.1f} s: {fault.kind} {fault.name}", flush=True)
        if fault.kind == "lag":
            for instance in fleet.list_instances("-c"):
                fleet.set_faults(instance, replication_lag_ms=fault.lag_ms)
        elif fault.kind == "kill":
            fleet.kill(fault.name)
            time.sleep(fault.duration_s)
            fleet.restart(fault.name)
        else:
            fleet.send_signal(fault.name, signal.SIGSTOP)
            time.sleep(fault.duration_s)
            fleet.send_signal(fault.name, signal.SIGCONT)


def _continue_all(folder: pathlib.Path) -> None:
    """Continue stopped processes, so that they handle the signal to terminate."""
    for path in (folder / "pids").iterdir():
        deployment_fleet.send_signal(int(path.read_text()), signal.SIGCONT)


def _build_report(
    deployment: str, faults: list[Fault], load_report: dict[str, typing.Any]
) -> Report:
    organisations = load_report["organisations"]
    succeeded = sum(item["success_share"] * item["sent"] for item in organisations)
    return Report(
        deployment,
        load_report["seed"],
        load_report["duration_s"],
        faults,
        load_report["sent"],
        load_report["answered"],
        round(succeeded / load_report["sent"], 4),
        load_report["longest_write_gap_ms"],
        load_report["violations"],
    )


def main() -> int:
    """Print the report; return 1 if there were violations."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--deployment", default="daura-lots")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--rate", type=float, default=60.0)
    options = parser.parse_args()
    report = run(options.deployment, options.seed, options.seconds, options.rate)
    document = report._asdict() | {"faults": [item._asdict() for item in report.faults]}
    print(json.dumps(document, indent=2))
    return 1 if report.violations else 0


if __name__ == "__main__":
    sys.exit(main())
