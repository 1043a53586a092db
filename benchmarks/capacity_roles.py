"""Cost of session floors and of watching a database group on an entry host.

Usage: ``python -m benchmarks.capacity_roles``

The replica of session floors runs in this process. The cost of watching is the
processor time of real entry hosts without callers that watch one group of three
stand-in instances.
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

# Fewer than the replica stores at most, so that none is evicted.
SESSIONS = 150_000
BATCH = 10
QUERY_BATCHES = 5000
SETTLE_S = 5.0
MEMBERS_VERSION = 1
# Factor of the session hashes; odd, so that they spread over all buckets.
_PRIME = 7919


async def _read_primary(group: str) -> positions.Position:  # noqa: ARG001
    return positions.Position(1, 100)


async def measure_session_floors() -> None:
    """Print time and memory of one recorded floor, and the time of one query."""
    replica = floor_replica.FloorReplica("e0", _read_primary, 0.0)
    members = [machine.Member(f"e{n}", "1", "z", "127.0.0.1", 1) for n in range(3)]
    replica.set_placement(placement.build_placement(MEMBERS_VERSION, members), -1.0)
    before = processes.read_usage("self")
    for first in range(0, SESSIONS, BATCH):
        records = [
            messages.FloorRecord((first + n) * _PRIME, f"g{n}", 1, first)
            for n in range(BATCH)
        ]
        await replica.answer_record(messages.RecordFloors(records))
    after = processes.read_usage("self")
    record_us = (after.cpu_s - before.cpu_s) / SESSIONS * 1e6
    size_bytes = (after.resident_bytes - before.resident_bytes) / SESSIONS
    queries = [
        messages.FloorQuery(n * _PRIME, "g1", MEMBERS_VERSION) for n in range(BATCH)
    ]
    started_s = time.process_time()
    for _ in range(QUERY_BATCHES):
        await replica.answer_query(messages.QueryFloors(queries))
    query_us = (time.process_time() - started_s) / QUERY_BATCHES / BATCH * 1e6
    print(
        f"session floors: record {record_us:.1f} us, query {query_us:.1f} us, ", end=""
    )
    print(f"{size_bytes:.0f} bytes a session")


def measure_watcher(first_port: int, window_s: float) -> None:
    """Print the processor time of idle entry hosts without a group, and with one.

    Parameters
    ----------
    first_port : int
        First port of the fleet.
    window_s : float
        Length of each of the two measurements.
    """
    with tempfile.TemporaryDirectory() as folder:
        running_service = service.Service(pathlib.Path(folder), first_port)
        try:
            running_service.fleet.start_control()
            running_service.fleet.start_entry(3)
            time.sleep(SETTLE_S)
            no_group_share = _measure_cpu_share(running_service, window_s)
            running_service.fleet.submit_change(
                running_service.build_operations(), "setup"
            )
            running_service.start_instances()
            running_service.wait_ready()
            time.sleep(SETTLE_S)
            watching_share = _measure_cpu_share(running_service, window_s)
        finally:
            running_service.stop()
    print(f"entry host without a group: {no_group_share * 100:.2f} % of a core")
    print(f"entry host that watches one group: {watching_share * 100:.2f} % of a core")


def _measure_cpu_share(running_service: service.Service, window_s: float) -> float:
    """Return the mean share of a core of the hosts that receive no announcements."""
    measured_processes = running_service.fleet.entry[1:]
    before_s = sum(process.read_usage().cpu_s for process in measured_processes)
    time.sleep(window_s)
    after_s = sum(process.read_usage().cpu_s for process in measured_processes)
    return (after_s - before_s) / len(measured_processes) / window_s


def main() -> None:
    """Print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first-port", type=int, default=30800)
    parser.add_argument("--window-s", type=float, default=10.0)
    options = parser.parse_args()
    trio.run(measure_session_floors)
    measure_watcher(options.first_port, options.window_s)


if __name__ == "__main__":
    main()
