"""What a session home and a watcher of a database group cost an entry host.

Usage: ``python -m benchmarks.capacity_roles``

The session home runs in this process; the watcher's cost is that of real entry
hosts without callers that watch one group of three stand-in instances.
"""

import argparse
import pathlib
import tempfile
import time

import trio

from benchmarks import processes
from benchmarks import service
from sedgeswitch.groups import positions
from sedgeswitch.membership import machine
from sedgeswitch.sessions import floor_replica
from sedgeswitch.sessions import messages
from sedgeswitch.sessions import placement

SESSIONS = 150_000
BATCH = 10
QUERY_BATCHES = 5000
SETTLE_S = 5.0
_PRIME = 7919


async def _read_primary(group: str) -> positions.Position:  # noqa: ARG001
    return positions.Position(1, 100)


async def measure_session_home() -> None:
    """Print the cost and memory of one floor, and the cost of one query."""
    home = floor_replica.FloorReplica("e0", _read_primary, 0.0)
    members = [machine.Member(f"e{n}", "1", "z", "127.0.0.1", 1) for n in range(3)]
    home.set_placement(placement.build_placement(1, members), -1.0)
    own = processes.read_usage("self")
    for first in range(0, SESSIONS, BATCH):
        records = [
            messages.FloorRecord((first + n) * _PRIME, f"g{n}", 1, first)
            for n in range(BATCH)
        ]
        await home.answer_record(messages.RecordFloors(records))
    after = processes.read_usage("self")
    record_us = (after.cpu_s - own.cpu_s) / SESSIONS * 1e6
    size_bytes = (after.resident_bytes - own.resident_bytes) / SESSIONS
    queries = [messages.FloorQuery(n * _PRIME, "g1") for n in range(BATCH)]
    started_s = time.process_time()
    for _ in range(QUERY_BATCHES):
        await home.answer_query(messages.QueryFloors(queries))
    query_us = (time.process_time() - started_s) / QUERY_BATCHES / BATCH * 1e6
    print(f"session home: record {record_us:.1f} us, query {query_us:.1f} us, ", end="")
    print(f"{size_bytes:.0f} bytes a session")


def measure_watcher(first_port: int, window_s: float) -> None:
    """Print the idle share of entry hosts that watch one group, and none."""
    with tempfile.TemporaryDirectory() as folder:
        running = service.Service(pathlib.Path(folder), first_port)
        try:
            running.fleet.start_control()
            running.fleet.start_entry(3)
            time.sleep(SETTLE_S)
            without = _measure_idle(running, window_s)
            running.fleet.change(running.build_operations(), "setup")
            running.start_instances()
            running.wait_ready()
            time.sleep(SETTLE_S)
            watching = _measure_idle(running, window_s)
        finally:
            running.stop()
    print(f"entry host without a group: {without * 100:.2f} % of a core")
    print(f"entry host that watches one group: {watching * 100:.2f} % of a core")


def _measure_idle(running: service.Service, window_s: float) -> float:
    """Return the mean share of the hosts that take no announcements."""
    measured = running.fleet.entry[1:]
    before_s = sum(item.read_usage().cpu_s for item in measured)
    time.sleep(window_s)
    after_s = sum(item.read_usage().cpu_s for item in measured)
    return (after_s - before_s) / len(measured) / window_s


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first-port", type=int, default=30800)
    parser.add_argument("--window-s", type=float, default=10.0)
    given = parser.parse_args()
    trio.run(measure_session_home)
    measure_watcher(given.first_port, given.window_s)


if __name__ == "__main__":
    main()
