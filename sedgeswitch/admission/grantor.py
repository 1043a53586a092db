"""The part of the fleet-wide rate limiter that runs on the control leader."""

import collections
import typing

import loguru

from sedgeswitch.admission import bucket
from sedgeswitch.admission import messages
from sedgeswitch.admission import recovery
from sedgeswitch.admission import settings as admission_settings
from sedgeswitch.utils import checks

# Interval at which all buckets are updated while reports arrive, in seconds. Those of
# the organisations in a draw are updated before it is answered; until then a bucket
# holds back more than it needs to.
UNREPORTED_UPDATE_S = 0.05


class _Session(typing.NamedTuple):
    """The last answered draw of one run of a host.

    Attributes
    ----------
    reply : messages.DrawReply
    answered_s : float
    """

    reply: messages.DrawReply
    answered_s: float


class Grantor:
    """Keeps the bucket of each organisation and grants its tokens to entry hosts.

    Parameters
    ----------
    get_host_ids : callable
        Returns the ids of the entry hosts that may hold granted tokens: all that are
        registered, and those that left within ``settings.host_retention_s``.
    settings : settings.Settings, optional

    Notes
    -----
    Call `draw` only while a quorum confirms the leadership, so that two leaders
    never grant at the same time.

    Examples
    --------
    >>> from sedgeswitch.admission import settings
    >>> leader = Grantor(lambda: ["entry-1"])
    >>> leader.set_limits({"ward-4": settings.Limit(50.0, 20)}, now_s=0.0)
    >>> leader.start_leadership(now_s=0.0, term=1)
    """

    def __init__(
        self,
        get_host_ids: typing.Callable[[], typing.Collection[str]],
        settings: admission_settings.Settings | None = None,
    ):
        given = admission_settings.Settings() if settings is None else settings
        self._settings = admission_settings.check_settings(given)
        self._get_host_ids = get_host_ids
        self._hold_s = admission_settings.get_hold_s(self._settings)
        self._limits: dict[str, admission_settings.Limit] = {}
        self._buckets: dict[str, bucket.FleetBucket] = {}
        self._sessions: dict[bucket.HostKey, _Session] = {}
        self._recovery: recovery.Recovery | None = None
        # Hosts without a report at the last update of the buckets.
        self._unreported = 0
        self._recovery_ends_s = 0.0
        self._unreported_updated_s = 0.0
        self._last_sweep_s = 0.0
        self._term = 0
        self._index = 0
        # When each host last listed an organisation in a draw, oldest first.
        self._drawers: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._draws = 0
        self._reports = 0
        # Reports to this leadership, those that were repeated included.
        self._recovery_reports = 0

    def set_limits(
        self, limits: dict[str, admission_settings.Limit], now_s: float
    ) -> None:
        """Replace the limits of all organisations.

        The bucket of an organisation without a limit is removed; that of a new one
        starts empty.

        Raises
        ------
        CheckError
            If a rate or burst is not allowed.
        """
        for limit in limits.values():
            admission_settings.check_limit(limit)
        self._limits = dict(limits)
        for organisation in list(self._buckets):
            if organisation not in limits:
                del self._buckets[organisation]
            elif self._buckets[organisation].limit != limits[organisation]:
                self._buckets[organisation].set_limit(limits[organisation], now_s)
        if self._term:
            self._add_buckets(now_s)

    def start_leadership(self, now_s: float, term: int) -> None:
        """Reset all buckets and start to collect the reports of the hosts.

        Parameters
        ----------
        now_s : float
        term : int
            Term of this leadership, greater than the terms of all earlier ones.
        """
        checks.check_range("term", term, 1)
        self._term = term
        self._index = 0
        self._buckets.clear()
        self._sessions.clear()
        self._drawers.clear()
        self._recovery = recovery.Recovery(self._settings, now_s)
        self._recovery_reports = 0
        self._recovery_ends_s = now_s + self._hold_s
        self._last_sweep_s = now_s
        self._add_buckets(now_s)

    def draw(self, request: messages.Draw, now_s: float) -> messages.DrawReply:
        """Answer one host's draw for all its organisations.

        Parameters
        ----------
        request : messages.Draw
        now_s : float

        Returns
        -------
        messages.DrawReply
            The earlier reply if the draw was answered before. The status is
            ``REFUSED`` for a host that is not registered or an outdated draw, and
            ``REPORT_WANTED`` for a host that must report to this leader first.
        """
        self._draws += 1
        key = bucket.HostKey(request.host_id, request.incarnation)
        session = self._sessions.get(key)
        if session is not None and request.sequence == session.reply.sequence:
            return session.reply
        if request.host_id not in self._get_host_ids():
            return self._build_reply(request, messages.DrawStatus.REFUSED, now_s)
        if session is not None and request.sequence < session.reply.sequence:
            return self._build_reply(request, messages.DrawStatus.REFUSED, now_s)
        has_reported = session is not None or request.is_report
        if request.term != self._term or not has_reported:
            return self._build_reply(request, messages.DrawStatus.REPORT_WANTED, now_s)
        self._index += 1
        if request.holdings:
            self._drawers[request.host_id] = now_s
            self._drawers.move_to_end(request.host_id)
        self._recover(request, now_s)
        reply = self._build_reply(request, messages.DrawStatus.GRANTED, now_s)
        is_trusted = session is None
        for holding in request.holdings:
            if holding.organisation in self._limits:
                grant = self._grant(key, holding, is_trusted, request.sequence, now_s)
                reply.grants.append(grant)
        self._sessions[key] = _Session(reply, now_s)
        self._sweep(now_s)
        return reply

    def get_gauges(self, now_s: float) -> dict[str, float]:
        """Return the values of the metrics of this leader, by name.

        ``tokens_withheld_share`` is the part of the refill of all buckets that is not
        granted, because hosts may be refilling themselves with it.
        """
        withheld_per_s = sum(
            item.get_withheld_per_s() for item in self._buckets.values()
        )
        refill_per_s = sum(limit.rate_per_s for limit in self._limits.values())
        return {
            "token_draws": self._draws,
            "token_reports": self._reports,
            "token_reports_missing": self._unreported if self._recovery else 0,
            "tokens_withheld_share": withheld_per_s / max(refill_per_s, 1e-9),
            "token_drawers": self._count_drawers(now_s),
            "token_urgent_interval_s": self._get_urgent_interval_s(now_s),
        }

    def _grant(
        self,
        key: bucket.HostKey,
        holding: messages.Holding,
        is_trusted: bool,
        sequence: int,
        now_s: float,
    ) -> messages.Grant:
        fleet_bucket = self._buckets[holding.organisation]
        fleet_bucket.refill(now_s)
        available_tokens = max(0, holding.in_hand)
        fleet_bucket.apply_report(
            key,
            available_tokens,
            holding.spent_total,
            is_trusted,
            holding.answered_sequence,
        )
        pending = max(0, holding.pending)
        demand_per_s = min(max(0.0, holding.demand_per_s), 1e9)
        delay_s = admission_settings.get_allowance_delay_s(
            self._settings, self._get_urgent_interval_s(now_s)
        )
        granted = fleet_bucket.grant(
            key, pending, demand_per_s, now_s, sequence, delay_s
        )
        return messages.Grant(
            organisation=holding.organisation,
            granted=granted,
            keep=fleet_bucket.get_prefetch_target(key),
            share_per_s=fleet_bucket.get_share_per_s(key),
            # A host that got less because of its cap is not short of tokens: its next
            # draw is granted more.
            is_short=granted < pending and fleet_bucket.level < 1,
            bucket=fleet_bucket.level,
            held=float(fleet_bucket.get_reserved()),
            rate_per_s=fleet_bucket.limit.rate_per_s,
            allowance_per_s=fleet_bucket.get_allowance_per_s(key),
        )

    def _build_reply(
        self, request: messages.Draw, status: messages.DrawStatus, now_s: float
    ) -> messages.DrawReply:
        return messages.DrawReply(
            term=self._term,
            sequence=request.sequence,
            index=self._index,
            status=status,
            lifetime_s=self._settings.lifetime_s,
            urgent_interval_s=self._get_urgent_interval_s(now_s),
            grants=[],
            is_collecting=self._recovery is not None,
        )

    def _get_urgent_interval_s(self, now_s: float) -> float:
        """Return the shortest interval that keeps all hosts within the draw rate.

        While reports are collected, all hosts draw; otherwise those that have listed
        an organisation within the lifetime of a grant.
        """
        count = len(self._get_host_ids())
        if self._recovery is None:
            count = min(self._count_drawers(now_s), count)
        shared_s = count / self._settings.draws_max_per_s
        return max(self._settings.urgent_interval_s, shared_s)

    def _count_drawers(self, now_s: float) -> int:
        oldest_s = now_s - self._settings.lifetime_s
        while self._drawers and next(iter(self._drawers.values())) < oldest_s:
            self._drawers.popitem(last=False)
        return len(self._drawers)

    def _add_buckets(self, now_s: float) -> None:
        if self._recovery is not None:
            self._unreported = self._recovery.count_unreported(self._get_host_ids())
        for organisation, limit in self._limits.items():
            if organisation not in self._buckets:
                fleet_bucket = bucket.FleetBucket(limit, self._settings, now_s)
                self._buckets[organisation] = fleet_bucket
        if self._recovery is not None:
            self._update_all_unreported(now_s)

    def _update_all_unreported(self, now_s: float) -> None:
        self._unreported_updated_s = now_s
        self._update_unreported(self._buckets, now_s)

    def _update_unreported(
        self, organisations: typing.Iterable[str], now_s: float
    ) -> None:
        for organisation in organisations:
            self._buckets[organisation].set_unreported_hosts(
                self._unreported,
                now_s,
                self._recovery.get_total_tokens(organisation),
                self._recovery.get_total_allowance_per_s(organisation),
            )

    def _recover(self, request: messages.Draw, now_s: float) -> None:
        """Record a report, and restore the buckets once all hosts have reported.

        After the time for which earlier grants may be held, the recovery ends without
        the missing reports, and the buckets continue from their current levels.
        """
        if request.is_report:
            self._reports += 1
        if self._recovery is None:
            return
        if request.is_report:
            self._recovery_reports += 1
            self._recovery.add(request, now_s)
        host_ids = self._get_host_ids()
        unreported = self._recovery.count_unreported(host_ids)
        if unreported and now_s < self._recovery_ends_s:
            is_more = unreported > self._unreported
            self._unreported = unreported
            age_s = now_s - self._unreported_updated_s
            if is_more or age_s >= UNREPORTED_UPDATE_S:
                self._update_all_unreported(now_s)
            else:
                names = {item.organisation for item in request.holdings}
                self._update_unreported(names & self._buckets.keys(), now_s)
            return
        for organisation, fleet_bucket in self._buckets.items():
            fleet_bucket.set_unreported_hosts(0, min(now_s, self._recovery_ends_s))
            if not unreported:
                limit = self._limits[organisation]
                level = self._recovery.get_level(organisation, limit, host_ids, now_s)
                recovery.restore_bucket(fleet_bucket, level, now_s)
        loguru.logger.info(
            "token reports collected",
            term=self._term,
            hosts=len(host_ids),
            missing=unreported,
            reports=self._recovery_reports,
            took_ms=round((now_s - self._recovery.started_s) * 1000),
        )
        self._recovery = None

    def _sweep(self, now_s: float) -> None:
        """Remove the sessions of hosts that have not drawn for the retention time."""
        if now_s - self._last_sweep_s < self._hold_s:
            return
        self._last_sweep_s = now_s
        oldest_s = now_s - self._settings.host_retention_s
        for key, session in list(self._sessions.items()):
            if session.answered_s < oldest_s:
                del self._sessions[key]
