"""One run of the fault soak with a given seed."""

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
# How long the load tool retries a request, in seconds.
GIVE_UP_S = 60.0
# How long each step of the set-up, and the recovery after the last fault, may take, in
# seconds.
RESTORE_TIMEOUT_S = 60.0
# Kinds of faults during which the process has ended or is paused.
_STOPPING_KINDS = frozenset(["kill", "stop", "pause", "tear_log"])
# Texts in the log of a process that show a crash.
_CRASH_TEXTS = ("Traceback", "the daemon crashed")


class Options(typing.NamedTuple):
    """Options of a run.

    Attributes
    ----------
    seed : int
    duration_s : float
        Duration of the load, in seconds.
    first_port : int
        First of `fleet.PORTS` free ports.
    folder : pathlib.Path
        Emptied at the start of the run; its data and logs are kept afterwards.
    """

    seed: int
    duration_s: float
    first_port: int
    folder: pathlib.Path


class Result(typing.NamedTuple):
    """Result of a run.

    Attributes
    ----------
    seed : int
    faults : int
        Number of planned faults.
    changes : int
        Number of acknowledged configuration changes.
    success_share : float
        Share of the requests that succeeded, retries included.
    violations : list of str
        Descriptions of violated guarantees and of crashes.
    """

    seed: int
    faults: int
    changes: int
    success_share: float
    violations: list[str]


def run(options: Options) -> Result:
    """Start a fleet, inject the faults of a seed under load and check the results."""
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
        *(f"{name} ended without a fault" for name in ended),
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

    processes.wait_until(is_configured, RESTORE_TIMEOUT_S, "acknowledged configuration")
    load = fleet.start_tool(
        "prepare",
        "standin.load",
        [*fleet.build_load_arguments(), *("--prepare", "--duration-s=0", "--json")]
        + [f"--give-up-s={GIVE_UP_S}"],
    )
    processes.wait_until(
        lambda: not load.is_running, RESTORE_TIMEOUT_S, "end of creating the tables"
    )


def _start_load(
    fleet: fleets.Fleet, options: Options, *arguments: str
) -> processes.Process:
    return fleet.start_tool(
        "load",
        "standin.load",
        [
            *fleet.build_load_arguments(),
            *(f"--rate={LOAD_RATE_PER_S}", f"--seed={options.seed}", "--json"),
            *(f"--give-up-s={GIVE_UP_S}", *arguments),
        ],
    )


def _inject(
    fleet: fleets.Fleet, plan: list[fault_kinds.Fault], duration_s: float
) -> list[str]:
    """Start and end the faults; return the processes that ended without a fault."""
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
    processes.wait_until(lambda: not load.is_running, 3 * GIVE_UP_S, "end of the load")
    text = (fleet.folder / "logs" / "load.log").read_text().strip()
    try:
        return json.loads(text.splitlines()[-1])
    except (IndexError, json.JSONDecodeError) as error:
        raise OSError(f"the load tool printed no report: {text[-500:]}") from error


def _find_crashes(folder: pathlib.Path) -> list[str]:
    return [
        f"{path.stem}: its log contains {crash_text!r}"
        for path in sorted(folder.glob("*.log"))
        for crash_text in _CRASH_TEXTS
        if crash_text in path.read_text(errors="replace")
    ]
