"""One seeded run of the soak."""

import heapq
import itertools
import json
import pathlib
import shutil
import time
import typing

from benchmarks import processes
from soak import faults as fault_kinds
from soak import fleet as fleets
from soak import operator

LOAD_RATE_PER_S = 60
# How long the load tool sends a request again, and how long the fleet may take to
# serve again once all faults are over, in seconds.
GIVE_UP_S = 60.0
RESTORE_TIMEOUT_S = 60.0
# Faults after which the process is down or does not run.
_STOPPING_KINDS = frozenset(["kill", "stop", "pause", "tear_log"])
_CRASH_MARKS = ("Traceback", "the daemon crashed")


class Options(typing.NamedTuple):
    """What a run is made of.

    Attributes
    ----------
    seed : int
    duration_s : float
        Of the load.
    first_port : int
        First of `fleet.PORTS` free ports.
    folder : pathlib.Path
        Emptied first; logs stay in it.
    """

    seed: int
    duration_s: float
    first_port: int
    folder: pathlib.Path


class Result(typing.NamedTuple):
    """What a run showed.

    Attributes
    ----------
    seed : int
    faults : int
    changes : int
        Changes of the configuration that were acknowledged.
    success_share : float
        Of the requests that callers sent, in the end.
    violations : list of str
    """

    seed: int
    faults: int
    changes: int
    success_share: float
    violations: list[str]


def run(options: Options) -> Result:
    """Run a seed and return what it showed."""
    shutil.rmtree(options.folder, ignore_errors=True)
    options.folder.mkdir(parents=True)
    fleet = fleets.Fleet(options.folder, options.first_port)
    operators = operator.Operators(fleet)
    try:
        fleet.start()
        _set_up(fleet, operators)
        plan = fault_kinds.plan_faults(fleet, options.seed, options.duration_s)
        load = _start_load(fleet, options, f"--duration-s={options.duration_s}")
        operators.start()
        try:
            ended = _inject(fleet, plan, options.duration_s)
        finally:
            operators.stop()
        fault_kinds.wait_restored(fleet, RESTORE_TIMEOUT_S)
        report = _read_report(fleet, load)
        operators.check()
    finally:
        fleet.stop()
    violations = [
        *(f"{item['kind']} {item['detail']}" for item in report["violations"]),
        *operators.violations,
        *(f"{name} ended by itself" for name in ended),
        *_find_crashes(options.folder / "logs"),
    ]
    succeeded = sum(i["success_share"] * i["sent"] for i in report["organisations"])
    share = round(succeeded / max(report["sent"], 1), 4)
    return Result(
        options.seed, len(plan), len(operators.acknowledged), share, violations
    )


def _set_up(fleet: fleets.Fleet, operators: operator.Operators) -> None:
    def is_configured() -> bool:
        return operators.send(fleet.build_operations(), "setup") is not None

    processes.wait_until(is_configured, RESTORE_TIMEOUT_S, "the configuration")
    load = processes.Process(
        "prepare",
        "standin.load",
        [*fleet.build_load_arguments(), *("--prepare", "--duration-s=0", "--json")]
        + [f"--give-up-s={GIVE_UP_S}"],
        fleet.folder / "logs",
    )
    processes.wait_until(lambda: not load.is_running, RESTORE_TIMEOUT_S, "the tables")


def _start_load(
    fleet: fleets.Fleet, options: Options, *arguments: str
) -> processes.Process:
    return processes.Process(
        "load",
        "standin.load",
        [
            *fleet.build_load_arguments(),
            *(f"--rate={LOAD_RATE_PER_S}", f"--seed={options.seed}", "--json"),
            *(f"--give-up-s={GIVE_UP_S}", *arguments),
        ],
        fleet.folder / "logs",
    )


def _inject(
    fleet: fleets.Fleet, plan: list[fault_kinds.Fault], duration_s: float
) -> list[str]:
    """Begin and end the faults; return the processes that ended without one."""
    numbers = itertools.count()
    events = [(fault.at_s, next(numbers), fault, None) for fault in plan]
    heapq.heapify(events)
    stopped: set[str] = set()
    ended: list[str] = []
    started_s = time.monotonic()
    while events:
        at_s, _, fault, undo = heapq.heappop(events)
        time.sleep(max(started_s + at_s - time.monotonic(), 0.0))
        ended += _restart_ended(fleet, stopped)
        is_stopping = fault.kind in _STOPPING_KINDS
        if undo is not None:
            undo()
            if is_stopping:
                stopped.discard(fault.name)
            continue
        if is_stopping and fault.name in stopped:
            continue
        if is_stopping:
            stopped.add(fault.name)
        print(f"{at_s:6.2f} s: {fault.kind} {fault.name} {fault.duration_s:.2f} s")
        undo = fault_kinds.begin(fleet, fault)
        event = (at_s + fault.duration_s, next(numbers), fault, undo)
        heapq.heappush(events, event)
    time.sleep(max(started_s + duration_s - time.monotonic(), 0.0))
    return ended + _restart_ended(fleet, stopped)


def _restart_ended(fleet: fleets.Fleet, stopped: set[str]) -> list[str]:
    ended = [name for name in fleet.list_ended() if name not in stopped]
    for name in ended:
        fleet.start_process(name)
    return ended


def _read_report(fleet: fleets.Fleet, load: processes.Process) -> dict[str, typing.Any]:
    processes.wait_until(lambda: not load.is_running, 3 * GIVE_UP_S, "the load")
    text = (fleet.folder / "logs" / "load.log").read_text().strip()
    try:
        return json.loads(text.splitlines()[-1])
    except (IndexError, json.JSONDecodeError) as error:
        raise OSError(f"the load tool gave no report: {text[-500:]}") from error


def _find_crashes(folder: pathlib.Path) -> list[str]:
    return [
        f"{path.stem}: {mark!r} in its log"
        for path in sorted(folder.glob("*.log"))
        for mark in _CRASH_MARKS
        if mark in path.read_text(errors="replace")
    ]
