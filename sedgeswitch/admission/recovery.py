"""Restores an earlier leader's buckets from the reports of the entry hosts."""

import collections
import typing

from sedgeswitch.admission import bucket
from sedgeswitch.admission import messages
from sedgeswitch.admission import settings as admission_settings


class HostReport(typing.NamedTuple):
    """The report of one host: its first draw under a new leader.

    Attributes
    ----------
    arrived_s : float
        When the leader received it.
    uptime_s : float
        How long the host's process had been running when it built the report.
    memories : dict of str to messages.BucketMemory
        The last bucket states that the host received, by organisation.
    holdings : dict of str to messages.Holding
        The tokens that the host held and its allowance until then, by organisation.
    """

    arrived_s: float
    uptime_s: float
    memories: dict[str, messages.BucketMemory]
    holdings: dict[str, messages.Holding]


class Recovery:
    """Collects the reports of all hosts that may hold granted tokens.

    Parameters
    ----------
    settings : settings.Settings
    started_s : float
        Start of the leadership.

    Attributes
    ----------
    started_s : float

    Notes
    -----
    Each grant carries the state of the bucket after it. If every host has reported
    and has been up since the latest of these states, no host has received a later
    grant, and the bucket may continue from that state.
    """

    def __init__(self, settings: admission_settings.Settings, started_s: float):
        self._settings = settings
        self.started_s = started_s
        self._reports: dict[str, HostReport] = {}
        self._reported_runs: set[bucket.HostKey] = set()
        self._tokens: collections.Counter[str] = collections.Counter()
        self._allowances_per_s: collections.Counter[str] = collections.Counter()

    def add(self, draw: messages.Draw, now_s: float) -> None:
        """Store a host's report, in place of one from an earlier run of the host.

        Only the first report of a run states grants of an earlier leader; the holdings
        of later ones may be grants of this one.
        """
        key = bucket.HostKey(draw.host_id, draw.incarnation)
        if key not in self._reported_runs:
            self._reported_runs.add(key)
            for holding in draw.holdings:
                tokens = max(holding.in_hand, holding.capacity or 0)
                self._tokens[holding.organisation] += max(0, tokens)
                allowance_per_s = max(0.0, holding.allowance_per_s)
                self._allowances_per_s[holding.organisation] += allowance_per_s
        memories = {memory.organisation: memory for memory in draw.memories}
        holdings = {holding.organisation: holding for holding in draw.holdings}
        self._reports[draw.host_id] = HostReport(
            now_s,
            draw.uptime_s,
            memories,
            holdings,
        )

    def get_total_tokens(self, organisation: str) -> int:
        """Return how many tokens of an earlier leader the reported hosts held."""
        return self._tokens[organisation]

    def get_total_allowance_per_s(self, organisation: str) -> float:
        """Return the sum of the reported hosts' allowances from an earlier leader."""
        return self._allowances_per_s[organisation]

    def count_unreported(self, host_ids: typing.Collection[str]) -> int:
        """Return how many of the hosts have not reported."""
        return sum(host_id not in self._reports for host_id in host_ids)

    def get_level(
        self,
        organisation: str,
        limit: admission_settings.Limit,
        host_ids: typing.Collection[str],
        now_s: float,
    ) -> float:
        """Return the level that the bucket may continue from, in tokens.

        The level is 0 where the reports do not show that more tokens are left. It is
        below 0 where hosts refilled themselves with more than that.
        """
        if limit.burst > limit.rate_per_s * self._settings.host_retention_s:
            # A host that left longer ago may have spent tokens that no report lists
            # and that are not refilled yet.
            return 0.0
        reports = [self._reports[host_id] for host_id in host_ids]
        with_memory = [report for report in reports if organisation in report.memories]
        if not with_memory:
            return self._get_unused_level(limit, reports, now_s)
        latest = max(with_memory, key=lambda report: _get_order(report, organisation))
        memory = latest.memories[organisation]
        if not all(self._is_up_since(report, memory) for report in reports):
            return 0.0
        rate_per_s = min(limit.rate_per_s, memory.rate_per_s)
        elapsed_s = memory.received_age_s + now_s - latest.arrived_s
        level = memory.bucket + rate_per_s * elapsed_s * self._get_min_clock_ratio()
        level = min(level, limit.burst - memory.held)
        level = max(level, self._get_idle_level(organisation, limit, latest, reports))
        holdings = _list_holdings(reports, organisation)
        return level - sum(holding.refilled for holding in holdings)

    def _get_idle_level(
        self,
        organisation: str,
        limit: admission_settings.Limit,
        latest: HostReport,
        reports: list[HostReport],
    ) -> float:
        """Return the level at the start of the leadership, if all hosts were idle then.

        Notes
        -----
        Until any host last spent a token, the refill is limited by all tokens that the
        earlier leader counted as held; after that, only by those that hosts still
        have. The level is 0 if a token was spent after the leadership started.
        """
        factor = self._get_min_clock_ratio()
        memory = latest.memories[organisation]
        received_s = latest.arrived_s - memory.received_age_s * factor
        spent_s = max(
            report.arrived_s - report.memories[organisation].spent_age_s * factor
            for report in reports
            if organisation in report.memories
        )
        idle_since_s = max(received_s, spent_s)
        if idle_since_s >= self.started_s:
            return 0.0
        rate_per_s = min(limit.rate_per_s, memory.rate_per_s) * factor
        level = memory.bucket + rate_per_s * (idle_since_s - received_s)
        level = min(level, limit.burst - memory.held)
        level += rate_per_s * (self.started_s - idle_since_s)
        holdings = _list_holdings(reports, organisation)
        return min(level, limit.burst - sum(item.in_hand for item in holdings))

    def _get_unused_level(
        self,
        limit: admission_settings.Limit,
        reports: list[HostReport],
        now_s: float,
    ) -> float:
        """Return the level of a bucket of which no host has received a grant yet."""
        uptimes_s = [report.uptime_s + now_s - report.arrived_s for report in reports]
        idle_s = min(uptimes_s, default=0.0) * self._get_min_clock_ratio()
        return min(limit.burst, limit.rate_per_s * idle_s)

    def _is_up_since(self, report: HostReport, memory: messages.BucketMemory) -> bool:
        """Return whether the host ran before the draw behind `memory` was sent."""
        factor = self._get_min_clock_ratio()
        latest_start_s = report.arrived_s - report.uptime_s * factor
        # The report was built after the leadership started, because only a reply of
        # this leader requests it; how long it took to arrive is not known.
        earliest_sent_s = self.started_s - memory.sent_age_s / factor
        return latest_start_s <= earliest_sent_s

    def _get_min_clock_ratio(self) -> float:
        return (1 - self._settings.drift) / (1 + self._settings.drift)


def _list_holdings(
    reports: typing.Iterable[HostReport], organisation: str
) -> list[messages.Holding]:
    found = (report.holdings.get(organisation) for report in reports)
    return [holding for holding in found if holding is not None]


def _get_order(report: HostReport, organisation: str) -> tuple[int, int]:
    memory = report.memories[organisation]
    return memory.term, memory.index


def restore_bucket(
    fleet_bucket: bucket.FleetBucket, level: float, now_s: float
) -> None:
    """Raise a bucket to `level` less the tokens granted since it was created."""
    fleet_bucket.restore(level - fleet_bucket.granted, now_s)
