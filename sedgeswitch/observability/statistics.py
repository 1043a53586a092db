"""Log lines with the metrics of a process, and what the lines of a fleet add up to."""

import bisect
import collections
import collections.abc
import itertools
import typing

import loguru

from sedgeswitch.observability import explain
from sedgeswitch.observability import exposition
from sedgeswitch.observability import stages

GAUGES_LINE = "statistics"
STAGES_LINE = "statement stages"
_MS_PER_S = 1000


class StageTimes(typing.NamedTuple):
    """The times of a stage, in the form of a histogram.

    Attributes
    ----------
    sum_s : float
    counts : tuple of int
        Number of times in each bucket of `exposition.BUCKETS_S`, and above the last.
    """

    sum_s: float
    counts: tuple[int, ...]


_Key = tuple[str, str]
# Times of each stage by kind of operation and stage.
Histograms = collections.abc.Mapping[_Key, StageTimes]


class StageSummary(typing.NamedTuple):
    """What operations of a kind spent in a stage.

    Attributes
    ----------
    kind, stage : str
    count : int
        Operations that were in the stage.
    mean_ms : float
    p50_ms, p95_ms : float
        Upper bounds of the buckets that contain these quantiles; infinite above the
        last bucket.
    share : float
        Part of the total time of the kind.
    """

    kind: str
    stage: str
    count: int
    mean_ms: float
    p50_ms: float
    p95_ms: float
    share: float


def log_gauges(values: dict[str, float]) -> None:
    """Log the values of a process; those that are 0 are left out."""
    fields = {name: f"{value:.6g}" for name, value in values.items() if value}
    loguru.logger.info(GAUGES_LINE, **fields)


def log_stages() -> None:
    """Log the times of all stages since the start of the process."""
    fields = {
        f"{kind}.{stage}": " ".join([f"{times.sum_s:.6f}", *map(str, times.counts)])
        for (kind, stage), times in collect_stages().items()
    }
    if fields:
        loguru.logger.info(STAGES_LINE, **fields)


def collect_stages() -> dict[_Key, StageTimes]:
    """Return the times of all stages since the start of the process."""
    sums_s: dict[_Key, float] = {}
    cumulative: dict[_Key, list[int]] = collections.defaultdict(list)
    for metric in exposition.STAGE_SECONDS.collect():
        for sample in metric.samples:
            key = (sample.labels["kind"], sample.labels["stage"])
            if sample.name.endswith("_bucket"):
                cumulative[key].append(round(sample.value))
            elif sample.name.endswith("_sum"):
                sums_s[key] = sample.value
    return {
        key: StageTimes(
            sums_s[key],
            tuple(b - a for a, b in itertools.pairwise([0, *counts])),
        )
        for key, counts in cumulative.items()
    }


def add_up(
    lines: collections.abc.Iterable[explain.LogLine],
    since_s: float = float("-inf"),
    until_s: float = float("inf"),
) -> dict[_Key, StageTimes]:
    """Return the times of all stages that the lines of a fleet show for an interval.

    Parameters
    ----------
    lines : iterable of explain.LogLine
        Of any number of hosts; those without times of stages are skipped.
    since_s, until_s : float
        Interval as Unix times. What happened between two lines of a host counts for the
        later one.

    Returns
    -------
    dict of (str, str) to StageTimes
        By kind of operation and stage.
    """
    totals: dict[_Key, StageTimes] = {}
    last: dict[str, Histograms] = {}
    for line in sorted(lines, key=lambda item: item.time_s):
        if line.message != STAGES_LINE:
            continue
        present = _decode_fields(line.fields)
        before = last.get(line.host_id, {})
        last[line.host_id] = present
        if since_s <= line.time_s <= until_s:
            _add(totals, _subtract(present, before))
    return totals


def summarise(totals: Histograms) -> list[StageSummary]:
    """Return a summary of each stage, by kind and from the longest time down."""
    total_s = {
        kind: times.sum_s for (kind, name), times in totals.items()
        if name == stages.TOTAL
    }  # fmt: skip
    summaries = [
        StageSummary(
            kind,
            stage,
            sum(times.counts),
            times.sum_s / sum(times.counts) * _MS_PER_S,
            _get_quantile_ms(times.counts, 0.5),
            _get_quantile_ms(times.counts, 0.95),
            times.sum_s / total_s[kind] if total_s.get(kind) else 0.0,
        )
        for (kind, stage), times in totals.items()
        if sum(times.counts)
    ]
    return sorted(summaries, key=lambda item: (item.kind, -item.share))


def _decode_fields(fields: dict[str, str]) -> dict[_Key, StageTimes]:
    """Return the times of the stages that a line names; other fields are skipped."""
    decoded = {}
    for name, text in fields.items():
        kind, dot, stage = name.partition(".")
        values = text.split()
        if dot and len(values) == len(exposition.BUCKETS_S) + 2:
            try:
                sum_s, counts = float(values[0]), tuple(map(int, values[1:]))
            except ValueError:
                continue
            decoded[kind, stage] = StageTimes(sum_s, counts)
    return decoded


def _subtract(present: Histograms, before: Histograms) -> dict[_Key, StageTimes]:
    """Return what was added between two lines of a host, which may have restarted."""
    added = {}
    for key, times in present.items():
        earlier = before.get(key)
        if earlier is None or sum(times.counts) < sum(earlier.counts):
            added[key] = times
        else:
            added[key] = StageTimes(
                times.sum_s - earlier.sum_s,
                tuple(b - a for a, b in zip(earlier.counts, times.counts, strict=True)),
            )
    return added


def _add(totals: dict[_Key, StageTimes], added: Histograms) -> None:
    for key, times in added.items():
        total = totals.get(key)
        if total is not None:
            counts = zip(total.counts, times.counts, strict=True)
            times = StageTimes(total.sum_s + times.sum_s, tuple(map(sum, counts)))
        totals[key] = times


def _get_quantile_ms(counts: collections.abc.Sequence[int], share: float) -> float:
    reached = list(itertools.accumulate(counts))
    index = bisect.bisect_left(reached, share * reached[-1])
    bounds_s = (*exposition.BUCKETS_S, float("inf"))
    return bounds_s[index] * _MS_PER_S
