"""Cost of the control protocol in each process, by the number of entry hosts.

Usage: ``python -m benchmarks.capacity_fleet --sizes 10,40,80,160 --control 3``

Starts real daemons on loopback, without callers. Processor time and memory are read
from the operating system; bytes and messages are those of the frames between the
processes. A straight line over the number of entry hosts is fitted to each value.
``--check`` returns 1 if a fitted value at 530 entry hosts exceeds its limit: processor
time, memory and bytes of an entry host, time until a change is in force, processor
time of the leader.
"""

import argparse
import json
import pathlib
import statistics
import tempfile
import time
import typing

from benchmarks import fits
from benchmarks import fleet
from benchmarks import processes
from sedgeswitch.utils import records

# Entry hosts of the largest fleet that is designed for.
DESIGN_ENTRY_HOSTS = 530
SETTLE_S = 4.0
CHANGES = 6
CHANGE_INTERVAL_S = 1.0
IN_FORCE_TIMEOUT_S = 20.0
# Limits of the control protocol's cost in an entry host.
MAX_CPU_SHARE = 0.048
MAX_RESIDENT_BYTES = 128 * 1024 * 1024
MAX_BYTES_PER_S = 3000
MAX_IN_FORCE_S = 5.0


class Sample(typing.NamedTuple):
    """Counters of one process at one moment.

    Attributes
    ----------
    time_s : float
        Monotonic time of the sample.
    cpu_s : float
        User and system time since the start of the process.
    resident_bytes : int
    messages : int
        Sent and received.
    size_bytes : int
        Sent and received.
    """

    time_s: float
    cpu_s: float
    resident_bytes: int
    messages: int
    size_bytes: int


class Rates(typing.NamedTuple):
    """Mean rates of one process between two samples.

    Attributes
    ----------
    cpu_share : float
        Processor time as a share of one core.
    messages_per_s : float
        Sent and received.
    bytes_per_s : float
        Sent and received.
    resident_bytes : float
        At the second sample.
    """

    cpu_share: float
    messages_per_s: float
    bytes_per_s: float
    resident_bytes: float


class Row(typing.NamedTuple):
    """Results for one size of the fleet.

    Attributes
    ----------
    entry_hosts, organisations : int
    leader, followers, entry : Rates
        Without changes; means of the follower control hosts and the entry hosts.
    in_force_median_s, in_force_worst_s : float
        Time from submitting a change until it is in force on all hosts.
    leader_change_cpu_s, entry_change_cpu_s : float
        Additional processor time for one change, on the leader and on an entry host.
    """

    entry_hosts: int
    organisations: int
    leader: Rates
    followers: Rates
    entry: Rates
    in_force_median_s: float
    in_force_worst_s: float
    leader_change_cpu_s: float
    entry_change_cpu_s: float


def read_sample(running_fleet: fleet.Fleet, host_id: str) -> Sample:
    """Return the current counters of a host."""
    usage = running_fleet.get_process(host_id).read_usage()
    traffic_by_direction = running_fleet.read_traffic(host_id)
    counts = [
        count
        for counted in traffic_by_direction.values()
        for count in dict(counted).values()
    ]
    return Sample(
        time.monotonic(),
        usage.cpu_s,
        usage.resident_bytes,
        sum(count["messages"] for count in counts),
        sum(count["size_bytes"] for count in counts),
    )


def build_rates(before: Sample, after: Sample) -> Rates:
    """Return the rates between two samples of one process."""
    elapsed_s = after.time_s - before.time_s
    return Rates(
        (after.cpu_s - before.cpu_s) / elapsed_s,
        (after.messages - before.messages) / elapsed_s,
        (after.size_bytes - before.size_bytes) / elapsed_s,
        after.resident_bytes,
    )


def build_mean(rates: typing.Sequence[Rates]) -> Rates:
    """Return the mean rates of several processes."""
    return Rates(*(statistics.fmean(values) for values in zip(*rates, strict=True)))


def measure_window(
    running_fleet: fleet.Fleet, during: typing.Callable[[], None]
) -> dict[str, Rates]:
    """Return the rates of every host, by id, while `during` runs."""
    names = [process.name for process in running_fleet.control + running_fleet.entry]
    before = {name: read_sample(running_fleet, name) for name in names}
    during()
    after = {name: read_sample(running_fleet, name) for name in names}
    return {name: build_rates(before[name], after[name]) for name in names}


def make_changes(running_fleet: fleet.Fleet, waits_s: list[float]) -> None:
    """Submit changes one after another; append the time until each is in force."""
    for number in range(CHANGES):
        started_s = time.monotonic()
        request_id = (
            f"change-{len(running_fleet.entry)}-{running_fleet.version}-{number}"
        )
        running_fleet.submit_change(
            [build_organisation("churn", 10 + number)], request_id
        )
        processes.wait_until(running_fleet.is_in_force, IN_FORCE_TIMEOUT_S, "in force")
        waits_s.append(time.monotonic() - started_s)
        time.sleep(CHANGE_INTERVAL_S)


def build_organisation(name: str, rate_per_s: float) -> dict:
    """Return the operation that sets an organisation."""
    return {
        "operation": "set_organisation",
        "name": name,
        "rate_per_s": rate_per_s,
        "burst": 20,
    }


def measure_row(running_fleet: fleet.Fleet, organisations: int, window_s: float) -> Row:
    """Measure the fleet at its current size, first without and then with changes."""
    time.sleep(SETTLE_S)
    leader = running_fleet.find_leader().host_id
    without_changes = measure_window(running_fleet, lambda: time.sleep(window_s))
    waits_s: list[float] = []
    started_s = time.monotonic()
    with_changes = measure_window(
        running_fleet, lambda: make_changes(running_fleet, waits_s)
    )
    elapsed_s = time.monotonic() - started_s
    entry_names = [process.name for process in running_fleet.entry]
    followers = [host.host_id for host in running_fleet.control_hosts]
    followers.remove(leader)
    entry = build_mean([without_changes[name] for name in entry_names])
    entry_with_changes = build_mean([with_changes[name] for name in entry_names])
    leader_extra = with_changes[leader].cpu_share - without_changes[leader].cpu_share
    entry_extra = entry_with_changes.cpu_share - entry.cpu_share
    return Row(
        len(entry_names),
        organisations,
        without_changes[leader],
        build_mean([without_changes[name] for name in followers]),
        entry,
        statistics.median(waits_s),
        max(waits_s),
        leader_extra * elapsed_s / CHANGES,
        entry_extra * elapsed_s / CHANGES,
    )


def print_row(row: Row) -> None:
    """Print the results for one size."""
    print(f"entry hosts {row.entry_hosts}, organisations {row.organisations}")
    for role in ("leader", "followers", "entry"):
        rates = getattr(row, role)
        print(
            f"  {role:<10} cpu {rates.cpu_share * 100:7.2f} %  "
            f"{rates.messages_per_s:8.1f} messages/s  {rates.bytes_per_s:9.0f} B/s  "
            f"{rates.resident_bytes / 1e6:6.1f} MB"
        )
    print(
        f"  change: in force median {row.in_force_median_s:.2f} s, "
        f"worst {row.in_force_worst_s:.2f} s; cpu "
        f"{row.leader_change_cpu_s * 1e3:.1f} ms leader, "
        f"{row.entry_change_cpu_s * 1e3:.2f} ms entry host",
        flush=True,
    )


def print_fits(rows: typing.Sequence[Row]) -> dict[str, fits.Line]:
    """Print and return the line fitted to each value by the number of entry hosts."""
    sizes = [row.entry_hosts for row in rows]
    lines = {}
    for role in ("leader", "followers", "entry"):
        for field in Rates._fields:
            values = [getattr(getattr(row, role), field) for row in rows]
            lines[f"{role}.{field}"] = fits.fit_line(sizes, values)
    for field in ("in_force_median_s", "in_force_worst_s"):
        values = [getattr(row, field) for row in rows]
        lines[field] = fits.fit_line(sizes, values)
    print(f"{'figure':<28}{'at none':>14}{'per host':>14}{'at 530':>14}")
    for name, line in lines.items():
        at_design = line.get_at(DESIGN_ENTRY_HOSTS)
        print(f"{name:<28}{line.intercept:>14.5g}{line.slope:>14.5g}{at_design:>14.5g}")
    return lines


def find_exceeded_limits(lines: typing.Mapping[str, fits.Line]) -> list[str]:
    """Return a line for each limit that a fitted value exceeds at the design size."""
    limits = {
        "entry.cpu_share": MAX_CPU_SHARE,
        "entry.resident_bytes": MAX_RESIDENT_BYTES,
        "entry.bytes_per_s": MAX_BYTES_PER_S,
        "in_force_worst_s": MAX_IN_FORCE_S,
        "leader.cpu_share": 1.0,
    }
    exceeded = []
    for name, limit in limits.items():
        fitted_value = lines[name].get_at(DESIGN_ENTRY_HOSTS)
        if fitted_value > limit:
            exceeded.append(f"{name}: expected at most {limit}, got {fitted_value:.4g}")
    return exceeded


def run(
    sizes: typing.Sequence[int],
    organisations: typing.Sequence[int],
    control_count: int,
    window_s: float,
    first_port: int,
) -> list[Row]:
    """Return the results for each size of a fleet that grows.

    Parameters
    ----------
    sizes : sequence of int
        Numbers of entry hosts, in ascending order.
    organisations : sequence of int
        Numbers of organisations, measured afterwards at the last size.
    control_count : int
    window_s : float
        Length of the measurement without changes.
    first_port : int
    """
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        running_fleet = fleet.Fleet(pathlib.Path(folder), first_port, control_count)
        try:
            running_fleet.start_control()
            for size in sizes:
                running_fleet.start_entry(size)
                rows.append(measure_row(running_fleet, 1, window_s))
                print_row(rows[-1])
            for count in organisations:
                operations = [build_organisation(f"o{n}", 10) for n in range(count)]
                running_fleet.submit_change(operations, f"organisations-{count}")
                rows.append(measure_row(running_fleet, count, window_s))
                print_row(rows[-1])
        finally:
            running_fleet.stop()
    return rows


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="10,40,80,160")
    parser.add_argument("--organisations", default="")
    parser.add_argument("--control", type=int, default=3)
    parser.add_argument("--window-s", type=float, default=10.0)
    parser.add_argument("--first-port", type=int, default=26000)
    parser.add_argument("--output", type=pathlib.Path)
    parser.add_argument("--check", action="store_true")
    return parser


def parse_integers(text: str) -> list[int]:
    """Return the integers of a comma-separated list."""
    return [int(part) for part in text.split(",") if part]


def main() -> int:
    """Print the results; return 1 if ``--check`` finds an exceeded limit."""
    options = build_parser().parse_args()
    sizes = parse_integers(options.sizes)
    rows = run(
        sizes,
        parse_integers(options.organisations),
        options.control,
        options.window_s,
        options.first_port,
    )
    lines = print_fits(rows[: len(sizes)])
    if options.output:
        text = json.dumps(records.to_plain(rows), indent=1)
        options.output.write_text(text + "\n")
    exceeded_limits = find_exceeded_limits(lines)
    print("\n".join(exceeded_limits) or "every limit is met at the design size")
    return 1 if exceeded_limits and options.check else 0


if __name__ == "__main__":
    raise SystemExit(main())
