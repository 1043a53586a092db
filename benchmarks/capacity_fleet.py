"""What control costs each process of a real fleet, by the number of entry hosts.

Usage: ``python -m benchmarks.capacity_fleet --sizes 10,40,80,160 --control 3``

Starts real daemons on loopback, without callers: processor time is that of the
operating system, bytes and messages those of the frames between the processes.
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

DESIGN_ENTRY_HOSTS = 530
SETTLE_S = 4.0
CHANGES = 6
CHANGE_INTERVAL_S = 1.0
IN_FORCE_TIMEOUT_S = 20.0
# What control may cost a daemon.
MAX_CPU_SHARE = 0.048
MAX_RESIDENT_BYTES = 128 * 1024 * 1024
MAX_BYTES_PER_S = 3000
MAX_IN_FORCE_S = 5.0


class Sample(typing.NamedTuple):
    """Counters of one process at one moment."""

    time_s: float
    cpu_s: float
    resident_bytes: int
    messages: int
    size_bytes: int


class Rates(typing.NamedTuple):
    """What one process did between two samples.

    Attributes
    ----------
    cpu_share : float
        Share of a core.
    messages_per_s : float
        Sent and received.
    bytes_per_s : float
        Sent and received.
    resident_bytes : int
    """

    cpu_share: float
    messages_per_s: float
    bytes_per_s: float
    resident_bytes: float


class Row(typing.NamedTuple):
    """The figures of one size of the fleet."""

    entry_hosts: int
    organisations: int
    leader: Rates
    followers: Rates
    entry: Rates
    in_force_median_s: float
    in_force_worst_s: float
    leader_change_cpu_s: float
    entry_change_cpu_s: float


def read_sample(running: fleet.Fleet, host_id: str) -> Sample:
    """Return the counters of a host now."""
    usage = running.get_process(host_id).read_usage()
    both_ways = running.read_traffic(host_id)
    counts = [
        count for counted in both_ways.values() for count in dict(counted).values()
    ]
    return Sample(
        time.monotonic(),
        usage.cpu_s,
        usage.resident_bytes,
        sum(count["messages"] for count in counts),
        sum(count["size_bytes"] for count in counts),
    )


def build_rates(before: Sample, after: Sample) -> Rates:
    """Return what happened between two samples."""
    elapsed_s = after.time_s - before.time_s
    return Rates(
        (after.cpu_s - before.cpu_s) / elapsed_s,
        (after.messages - before.messages) / elapsed_s,
        (after.size_bytes - before.size_bytes) / elapsed_s,
        after.resident_bytes,
    )


def build_mean(rates: typing.Sequence[Rates]) -> Rates:
    """Return the mean of several processes."""
    return Rates(*(statistics.fmean(values) for values in zip(*rates, strict=True)))


def measure_window(
    running: fleet.Fleet, during: typing.Callable[[], None]
) -> dict[str, Rates]:
    """Return the rates of every host while `during` runs."""
    names = [process.name for process in running.control + running.entry]
    before = {name: read_sample(running, name) for name in names}
    during()
    after = {name: read_sample(running, name) for name in names}
    return {name: build_rates(before[name], after[name]) for name in names}


def make_changes(running: fleet.Fleet, waits_s: list[float]) -> None:
    """Make changes one after another; note how long each took to be in force."""
    for number in range(CHANGES):
        started_s = time.monotonic()
        request_id = f"change-{len(running.entry)}-{running.version}-{number}"
        running.change([build_organisation("churn", 10 + number)], request_id)
        processes.wait_until(running.is_in_force, IN_FORCE_TIMEOUT_S, "in force")
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


def measure_row(running: fleet.Fleet, organisations: int, window_s: float) -> Row:
    """Return the figures of the fleet as it is now."""
    time.sleep(SETTLE_S)
    leader = running.find_leader().host_id
    quiet = measure_window(running, lambda: time.sleep(window_s))
    waits_s: list[float] = []
    started_s = time.monotonic()
    changing = measure_window(running, lambda: make_changes(running, waits_s))
    elapsed_s = time.monotonic() - started_s
    entry_names = [process.name for process in running.entry]
    followers = [host.host_id for host in running.control_hosts]
    followers.remove(leader)
    entry = build_mean([quiet[name] for name in entry_names])
    entry_changing = build_mean([changing[name] for name in entry_names])
    leader_extra = changing[leader].cpu_share - quiet[leader].cpu_share
    entry_extra = entry_changing.cpu_share - entry.cpu_share
    return Row(
        len(entry_names),
        organisations,
        quiet[leader],
        build_mean([quiet[name] for name in followers]),
        entry,
        statistics.median(waits_s),
        max(waits_s),
        leader_extra * elapsed_s / CHANGES,
        entry_extra * elapsed_s / CHANGES,
    )


def print_row(row: Row) -> None:
    """Print the figures of one size."""
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
    """Print and return the slope of each figure by the number of entry hosts."""
    sizes = [row.entry_hosts for row in rows]
    lines = {}
    for role in ("leader", "followers", "entry"):
        for field in Rates._fields:
            figures = [getattr(getattr(row, role), field) for row in rows]
            lines[f"{role}.{field}"] = fits.fit_line(sizes, figures)
    for field in ("in_force_median_s", "in_force_worst_s"):
        figures = [getattr(row, field) for row in rows]
        lines[field] = fits.fit_line(sizes, figures)
    print(f"{'figure':<28}{'at none':>14}{'per host':>14}{'at 530':>14}")
    for name, line in lines.items():
        at_design = line.get_at(DESIGN_ENTRY_HOSTS)
        print(f"{name:<28}{line.intercept:>14.5g}{line.slope:>14.5g}{at_design:>14.5g}")
    return lines


def find_breaches(lines: typing.Mapping[str, fits.Line]) -> list[str]:
    """Return the limits that the fitted figures do not keep at the design size."""
    limits = {
        "entry.cpu_share": MAX_CPU_SHARE,
        "entry.resident_bytes": MAX_RESIDENT_BYTES,
        "entry.bytes_per_s": MAX_BYTES_PER_S,
        "in_force_worst_s": MAX_IN_FORCE_S,
        "leader.cpu_share": 1.0,
    }
    found = []
    for name, limit in limits.items():
        figure = lines[name].get_at(DESIGN_ENTRY_HOSTS)
        if figure > limit:
            found.append(f"{name}: expected at most {limit}, got {figure:.4g}")
    return found


def run(
    sizes: typing.Sequence[int],
    organisations: typing.Sequence[int],
    control_count: int,
    window_s: float,
    first_port: int,
) -> list[Row]:
    """Grow a fleet, measuring at each size, then grow its organisations."""
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        running = fleet.Fleet(pathlib.Path(folder), first_port, control_count)
        try:
            running.start_control()
            for size in sizes:
                running.start_entry(size)
                rows.append(measure_row(running, 1, window_s))
                print_row(rows[-1])
            for count in organisations:
                steps = [build_organisation(f"o{n}", 10) for n in range(count)]
                running.change(steps, f"organisations-{count}")
                rows.append(measure_row(running, count, window_s))
                print_row(rows[-1])
        finally:
            running.stop()
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


def get_numbers(text: str) -> list[int]:
    """Return the numbers of a list with commas."""
    return [int(part) for part in text.split(",") if part]


def main() -> int:
    """Print the figures; 1 if a limit is not kept at the design size."""
    given = build_parser().parse_args()
    sizes = get_numbers(given.sizes)
    rows = run(
        sizes,
        get_numbers(given.organisations),
        given.control,
        given.window_s,
        given.first_port,
    )
    lines = print_fits(rows[: len(sizes)])
    if given.output:
        text = json.dumps(records.to_plain(rows), indent=1)
        given.output.write_text(text + "\n")
    breaches = find_breaches(lines)
    print("\n".join(breaches) or "every limit is kept at the design size")
    return 1 if breaches and given.check else 0


if __name__ == "__main__":
    raise SystemExit(main())
