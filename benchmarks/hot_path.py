"""Processor time per statement through a real entry host, split by stage.

Usage: ``python -m benchmarks.hot_path [--check]``

The cost is the daemon's user and system time, as counted by the operating system,
divided by the number of answered statements. The split by stage is that of a second
run under cProfile, which overstates code that makes many small calls. ``--check``
returns 1 if a statement of the first access takes more than 350 us or an idle
connection more than 8 KiB of memory.
"""

import argparse
import collections
import pathlib
import pstats
import socket
import tempfile
import time
import typing

from benchmarks import fleet
from benchmarks import service

WARM_UP_S = 2.0
IDLE_CONNECTIONS = 4000
CONNECTIONS = 24
POOL = {"connections_per_instance": 8}
# Target of the processor time per statement; only printed.
TARGET_US = 150.0
# Bound of --check: a daemon must be able to serve its share of the statements on one
# core, with a margin.
MAX_STATEMENT_US = 350.0
MAX_IDLE_CONNECTION_BYTES = 8 * 1024
# Stage of a source file by a part of its path; the first match counts.
STAGE_BY_PATH = {
    "sedgeswitch/callers": "HTTP",
    "httptools": "HTTP",
    "http/": "HTTP",
    "sedgeswitch/statements/requests": "decoding",
    "sedgeswitch/utils/records": "encoding",
    "sedgeswitch/statements/authorisation": "key and selectors",
    "sedgeswitch/configuration": "key and selectors",
    "sedgeswitch/keys": "key and selectors",
    "hashlib": "key and selectors",
    "hmac": "key and selectors",
    "sedgeswitch/admission": "admission",
    "sedgeswitch/membership/directory": "routing",
    "sedgeswitch/routing": "routing",
    "sedgeswitch/statements/backends": "routing",
    "sedgeswitch/sessions": "sessions",
    "sedgeswitch/transport": "calls to other hosts",
    "thrift": "calls to other hosts",
    "sedgeswitch/pools": "pool",
    "sedgeswitch/daemon/slots": "pool",
    "sedgeswitch/drivers": "wire to instances",
    "psycopg": "wire to instances",
    "sedgeswitch/observability": "spans and metrics",
    "opentelemetry": "spans and metrics",
    "trio": "trio",
    "outcome": "trio",
    "selectors.py": "trio",
    "sedgeswitch/statements": "statement",
    "sedgeswitch/groups": "statement",
}


class Cost(typing.NamedTuple):
    """Processor time of the statements of one run.

    Attributes
    ----------
    access : str
        ``read`` or ``write``.
    statements : int
        Statements answered with status 200.
    entry_us : float
        Processor time per statement of the entry host that receives the requests.
    home_us : float
        Processor time per statement of all other entry hosts together. They hold
        replicas of the session floors.
    statements_per_s : float
    """

    access: str
    statements: int
    entry_us: float
    home_us: float
    statements_per_s: float


def measure_cost(
    running_service: service.Service, access: str, duration_s: float, repeats: int
) -> list[Cost]:
    """Return the cost of one access in each of several closed-loop runs."""
    _run_callers(running_service, f"warm-{access}", access, WARM_UP_S)
    return [
        _measure_once(running_service, access, duration_s, number)
        for number in range(repeats)
    ]


def _measure_once(
    running_service: service.Service, access: str, duration_s: float, number: int
) -> Cost:
    others = [
        item
        for item in running_service.fleet.entry
        if item is not running_service.entry
    ]
    before_s = running_service.entry.read_usage().cpu_s
    others_before_s = sum(item.read_usage().cpu_s for item in others)
    outcome = _run_callers(
        running_service, f"timed-{access}-{number}", access, duration_s
    )
    entry_s = running_service.entry.read_usage().cpu_s - before_s
    others_s = sum(item.read_usage().cpu_s for item in others) - others_before_s
    failed = {key: n for key, n in outcome.statuses.items() if key != "200"}
    if failed:
        print(f"{access}: answers with a status other than 200: {failed}")
    count = outcome.answered + outcome.late
    return Cost(
        access,
        count,
        entry_s / count * 1e6,
        others_s / count * 1e6,
        count / outcome.duration_s,
    )


def _run_callers(
    running_service: service.Service, name: str, access: str, duration_s: float
) -> typing.Any:
    process = running_service.start_callers(
        name,
        *("--connections", str(CONNECTIONS), "--duration-s", str(duration_s)),
        access=access,
    )
    return running_service.wait_for_outcome(process)


def measure_idle_connection(running_service: service.Service, count: int) -> float:
    """Return the daemon's resident bytes per idle connection."""
    request = b"GET /v1/health HTTP/1.1\r\nHost: e\r\n\r\n"
    before_bytes = running_service.entry.read_usage().resident_bytes
    opened = []
    try:
        for _ in range(count):
            connection = socket.create_connection(
                (fleet.HOST, running_service.port), 10
            )
            opened.append(connection)
            connection.sendall(request)
            connection.recv(4096)
        time.sleep(1.0)
        after_bytes = running_service.entry.read_usage().resident_bytes
    finally:
        for connection in opened:
            connection.close()
    return (after_bytes - before_bytes) / count


def split_profile(path: pathlib.Path) -> dict[str, float]:
    """Return the share of each stage in the time of a profile, largest first.

    The time in which the process waits for events is left out.
    """
    stats = pstats.Stats(str(path)).stats
    seconds: collections.Counter[str] = collections.Counter()
    for (file, _line, name), (_, _, own_s, _, by_caller) in stats.items():
        if "epoll" in name and "poll" in name:
            continue
        if file != "~":
            seconds[get_stage(file)] += own_s
            continue
        # The time of built-in functions is added to the stages of their callers.
        for (caller_file, _, _), (_, _, caller_own_s, _) in by_caller.items():
            seconds[get_stage(caller_file)] += caller_own_s
    total_s = sum(seconds.values())
    return {name: own_s / total_s for name, own_s in seconds.most_common()}


def get_stage(file: str) -> str:
    """Return the stage that a source file belongs to."""
    for part, stage in STAGE_BY_PATH.items():
        if part in file:
            return stage
    return "other"


def measure(accesses: typing.Sequence[str], options: argparse.Namespace) -> dict:
    """Return the costs and the memory of an idle connection, without a profiler."""
    with tempfile.TemporaryDirectory() as folder:
        changes = {
            "pool": POOL,
            "trace_sample_share": options.trace_share,
        }
        running_service = service.Service(
            pathlib.Path(folder), options.first_port, changes=changes
        )
        try:
            running_service.start()
            costs = [
                cost
                for access in accesses
                for cost in measure_cost(
                    running_service, access, options.duration_s, options.repeats
                )
            ]
            idle_bytes = measure_idle_connection(
                running_service, options.idle_connections
            )
        finally:
            running_service.stop()
    return {
        "costs": [cost._asdict() for cost in costs],
        "idle_connection_bytes": idle_bytes,
    }


def profile(access: str, options: argparse.Namespace) -> dict[str, float]:
    """Return the share of each stage for one access."""
    with tempfile.TemporaryDirectory() as folder:
        running_service = service.Service(
            pathlib.Path(folder),
            options.first_port,
            changes={"pool": POOL},
            profiled=("e1",),
        )
        try:
            running_service.start()
            _run_callers(
                running_service, f"profiled-{access}", access, options.duration_s
            )
        finally:
            running_service.stop()
        path = running_service.fleet.get_profile_path("e1")
        if options.keep_profile:
            options.keep_profile.write_bytes(path.read_bytes())
        return split_profile(path)


def print_costs(accesses: typing.Sequence[str], results: dict) -> dict[str, float]:
    """Print the costs; return the lowest entry host time of each access.

    The lowest is the one least disturbed by other load on the machine.
    """
    lowest_us = {}
    for access in accesses:
        costs = [cost for cost in results["costs"] if cost["access"] == access]
        lowest_us[access] = min(cost["entry_us"] for cost in costs)
        entry_texts = [f"{cost['entry_us']:.0f}" for cost in costs]
        other_texts = [f"{cost['home_us']:.0f}" for cost in costs]
        rate_texts = [f"{cost['statements_per_s']:.0f}" for cost in costs]
        print(f"{access}: us a statement at the entry host {' '.join(entry_texts)}")
        print(
            f"{access}: us a statement at the other entry hosts {' '.join(other_texts)}"
        )
        print(f"{access}: statements/s {' '.join(rate_texts)}")
    print(f"idle connection: {results['idle_connection_bytes']:.0f} bytes", flush=True)
    return lowest_us


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--accesses", default="read,write")
    parser.add_argument("--duration-s", type=float, default=4.0)
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--trace-share", type=float, default=0.0)
    parser.add_argument("--idle-connections", type=int, default=IDLE_CONNECTIONS)
    parser.add_argument("--first-port", type=int, default=28000)
    parser.add_argument("--no-profile", action="store_true")
    parser.add_argument("--keep-profile", type=pathlib.Path)
    parser.add_argument("--check", action="store_true")
    return parser


def main() -> int:
    """Print the results; return 1 if ``--check`` finds an exceeded bound."""
    options = build_parser().parse_args()
    accesses = options.accesses.split(",")
    results = measure(accesses, options)
    lowest_us = print_costs(accesses, results)
    if not options.no_profile:
        for access in accesses:
            print(f"{access}: share of the profile, and of the lowest cost")
            for stage, share in profile(access, options).items():
                part_us = share * lowest_us[access]
                print(f"  {stage:<22}{share * 100:6.1f} %{part_us:8.1f} us")
    read_us = lowest_us[accesses[0]]
    idle_bytes = results["idle_connection_bytes"]
    exceeded_bounds = []
    if read_us > MAX_STATEMENT_US:
        exceeded_bounds.append(
            f"statement: expected at most {MAX_STATEMENT_US} us, got {read_us:.0f}"
        )
    if idle_bytes > MAX_IDLE_CONNECTION_BYTES:
        allowed = MAX_IDLE_CONNECTION_BYTES
        exceeded_bounds.append(
            f"idle connection: expected at most {allowed} bytes, got {idle_bytes:.0f}"
        )
    print(
        f"target {TARGET_US} us a statement; "
        + ("; ".join(exceeded_bounds) or "bounds met")
    )
    return 1 if exceeded_bounds and options.check else 0


if __name__ == "__main__":
    raise SystemExit(main())
