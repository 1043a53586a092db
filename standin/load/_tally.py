"""Counts and latencies of a run, and the report with these figures."""

import collections
import typing

import hdrh.histogram
import msgspec

from standin.load import _consistency
from standin.load import _mix

LOWEST_LATENCY_US = 1
HIGHEST_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_S = 1_000_000
MICROSECONDS_PER_MS = 1000
MEDIAN_PERCENT = 50
TAIL_PERCENT = 99


class OrganisationReport(typing.NamedTuple):
    """Results of one organisation.

    Attributes
    ----------
    sent, answered : int
        Number of requests, and of those that were answered with a result.
    success_share : float
        `answered` divided by `sent`; 1 without requests.
    refused : dict of int
        Requests that failed after all retries, by the code of the last problem.
    refused_attempts : dict of int
        Failed attempts by code, including those of requests answered later.
    refused_within_rate : int
        Requests that failed although they were within the rate and burst when due.
    throttled_within_rate : int
        Requests within the rate and burst of which an attempt failed with the code
        ``rate_exceeded``.
    p50_ms, p99_ms : float
        Latency of answered requests, counted from the time at which they were due.
    """

    organisation: str
    sent: int
    answered: int
    success_share: float
    refused: dict[str, int]
    refused_attempts: dict[str, int]
    refused_within_rate: int
    throttled_within_rate: int
    p50_ms: float
    p99_ms: float


class Report(typing.NamedTuple):
    """Results of a run.

    Attributes
    ----------
    organisations : tuple of OrganisationReport
        In ascending order of `success_share`, then descending order of `p99_ms`.
    replica_read_share : float
        Share of the answered reads that replicas answered.
    longest_write_gap_ms : dict of float
        Longest time without an acknowledged write in milliseconds, by group.
    dropped_by_tool : int
        Requests that were not sent because too many were pending.
    """

    seed: int
    run: str
    duration_s: float
    sent: int
    answered: int
    refused: dict[str, int]
    organisations: tuple[OrganisationReport, ...]
    replica_read_share: float
    longest_write_gap_ms: dict[str, float]
    dropped_by_tool: int
    violations: list[_consistency.Violation]


class TokenBucket:
    """Token bucket that determines whether requests are within the rate and burst."""

    def __init__(self, rate_per_s: float, burst: float, now_s: float):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_s = now_s

    def take(self, now_s: float) -> bool:
        """Take a token and return whether one was available."""
        filled = self._tokens + (now_s - self._filled_s) * self._rate_per_s
        self._tokens = min(self._burst, filled)
        self._filled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def charge_over_rate(self) -> None:
        """Take the token of a request that was answered although it exceeded the rate.

        The number of tokens may become negative.
        """
        self._tokens -= 1


class OrganisationTally:
    """Counts and latencies of one organisation."""

    def __init__(self, organisation: _mix.Organisation, now_s: float):
        self.bucket = TokenBucket(organisation.rate_per_s, organisation.burst, now_s)
        self.sent = 0
        self.answered = 0
        self.refused: collections.Counter[str] = collections.Counter()
        self.refused_attempts: collections.Counter[str] = collections.Counter()
        self.refused_within_rate = 0
        self.throttled_within_rate = 0
        self.latencies = hdrh.histogram.HdrHistogram(
            LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS
        )

    def record_latency(self, latency_s: float) -> None:
        """Record the latency of an answered request within the histogram's range."""
        latency_us = int(latency_s * MICROSECONDS_PER_S)
        bounded = min(max(latency_us, LOWEST_LATENCY_US), HIGHEST_LATENCY_US)
        self.latencies.record_value(bounded)

    def build_report(self, name: str) -> OrganisationReport:
        """Return the report of the organisation."""
        return OrganisationReport(
            organisation=name,
            sent=self.sent,
            answered=self.answered,
            success_share=self.answered / self.sent if self.sent else 1.0,
            refused=dict(self.refused),
            refused_attempts=dict(self.refused_attempts),
            refused_within_rate=self.refused_within_rate,
            throttled_within_rate=self.throttled_within_rate,
            p50_ms=self._get_latency_ms(MEDIAN_PERCENT),
            p99_ms=self._get_latency_ms(TAIL_PERCENT),
        )

    def _get_latency_ms(self, percent: float) -> float:
        latency_us = self.latencies.get_value_at_percentile(percent)
        return latency_us / MICROSECONDS_PER_MS


class _GroupTally:
    """Time of the last acknowledged write of a group, and the longest gap so far."""

    def __init__(self, now_s: float):
        self.last_s = now_s
        self.longest_s = 0.0

    def add(self, now_s: float) -> None:
        self.longest_s = max(self.longest_s, now_s - self.last_s)
        self.last_s = now_s


class Tally:
    """Counts and latencies of a run.

    Parameters
    ----------
    organisations : sequence of _mix.Organisation
    now_s : float
        Start of the run.
    """

    def __init__(self, organisations: typing.Sequence[_mix.Organisation], now_s: float):
        self._started_s = now_s
        self.organisations = {
            entry.organisation: OrganisationTally(entry, now_s)
            for entry in organisations
        }
        groups = {group for entry in organisations for group in entry.groups}
        self._groups = {group: _GroupTally(now_s) for group in sorted(groups)}
        self.reads = 0
        self.replica_reads = 0
        self.dropped = 0

    def record_write(self, group: str, now_s: float) -> None:
        """Record an acknowledged write of a group."""
        self._groups[group].add(now_s)

    def finish(self, now_s: float) -> None:
        """Count the time since the last write of each group as a gap, at the end."""
        for group in self._groups.values():
            group.add(now_s)

    def build_report(
        self,
        seed: int,
        run: str,
        duration_s: float,
        violations: list[_consistency.Violation],
    ) -> Report:
        """Return the report of the run."""
        reports = [
            tally.build_report(name) for name, tally in self.organisations.items()
        ]
        reports.sort(key=lambda entry: (entry.success_share, -entry.p99_ms))
        refused: collections.Counter[str] = collections.Counter()
        for entry in reports:
            refused.update(entry.refused)
        gaps = {name: entry.longest_s * 1000 for name, entry in self._groups.items()}
        return Report(
            seed=seed,
            run=run,
            duration_s=duration_s,
            sent=sum(entry.sent for entry in reports),
            answered=sum(entry.answered for entry in reports),
            refused=dict(refused),
            organisations=tuple(reports),
            replica_read_share=self.replica_reads / self.reads if self.reads else 0.0,
            longest_write_gap_ms=gaps,
            dropped_by_tool=self.dropped,
            violations=violations,
        )


def encode_report(report: Report) -> bytes:
    """Return the report as a JSON object."""
    document = report._asdict()
    document["organisations"] = [entry._asdict() for entry in report.organisations]
    document["violations"] = [entry._asdict() for entry in report.violations]
    return msgspec.json.encode(document)


def format_report(report: Report) -> str:
    """Return the report as text tables."""
    lines = [
        f"run {report.run}, seed {report.seed}: {report.sent} sent, "
        f"{report.answered} answered, {report.dropped_by_tool} not sent by the tool",
        f"reads by replicas: {report.replica_read_share:.1%}",
        "",
        f"{'organisation':20} {'sent':>8} {'success':>8} {'p50 ms':>8} {'p99 ms':>8} "
        f"{'wrongful':>8}  refused",
    ]
    for entry in report.organisations:
        codes = ", ".join(f"{code} {count}" for code, count in entry.refused.items())
        lines.append(
            f"{entry.organisation:20} {entry.sent:8} {entry.success_share:8.2%} "
            f"{entry.p50_ms:8.1f} {entry.p99_ms:8.1f} "
            f"{entry.refused_within_rate:8}  {codes}"
        )
    lines += ["", "longest time without an acknowledged write:"]
    for group, gap_ms in report.longest_write_gap_ms.items():
        lines.append(f"{group:20} {gap_ms:8.0f} ms")
    lines += ["", f"violations: {len(report.violations)}"]
    for entry in report.violations:
        lines.append(f"  {entry.kind.value} {entry.request_id}: {entry.detail}")
    return "\n".join(lines)
