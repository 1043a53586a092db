"""What one host knows for the policy ``local_first``, and the shares that follow."""

import collections.abc
import typing

from sedgeswitch.routing import health
from sedgeswitch.routing import overflow
from sedgeswitch.routing import reports
from sedgeswitch.routing import shares

# Shortest time between two decisions about the same instances, in seconds. It bounds
# the processor time that decisions take.
DECISION_INTERVAL_S = 0.5
# Interval at which old reports are dropped, in seconds.
DROP_INTERVAL_S = 5.0

BuildOwnReport = collections.abc.Callable[[str, float], reports.Report | None]


class Place(typing.NamedTuple):
    """An instance that a read may go to, as the host that decides sees it.

    Attributes
    ----------
    instance : str
    round_trip_s : float
        Network round trip, in seconds.
    distance : int
        0 in the zone of the host, 1 in its region, 2 elsewhere.
    slots : int
        Announced slots.
    service_s : float
        Service time that is assumed without a report, in seconds.
    """

    instance: str
    round_trip_s: float
    distance: int
    slots: int
    service_s: float


class Choice(typing.NamedTuple):
    """The decision about a set of instances.

    Attributes
    ----------
    shares : dict of str to float
        Share of the reads of each instance; they add up to 1.
    nearest : Place
    nearest_time_s : float
        Expected time of a read at the nearest instance, in seconds.
    distances : dict of str to int
        Distance of each instance; see `Place`.
    """

    shares: dict[str, float]
    nearest: Place
    nearest_time_s: float
    distances: dict[str, int]


class _Kept(typing.NamedTuple):
    choice: Choice
    decided_s: float


def _build_no_report(instance: str, now_s: float) -> reports.Report | None:  # noqa: ARG001
    return None


class Router:
    """Decides which shares of a host's reads go to each instance of a group.

    Parameters
    ----------
    host_id : str
    build_own_report : callable, optional
        ``build_own_report(instance, now_s)`` returns the report of this host if it
        holds the instance, else None.

    Attributes
    ----------
    reports : reports.ReportTable
        Reports that arrived with the answers of holders.
    holders_unhealthy : dict of str to int
        How many holders call an instance unhealthy, as the leader distributes it.
    """

    def __init__(
        self, host_id: str, build_own_report: BuildOwnReport = _build_no_report
    ):
        self._host_id = host_id
        self._build_own_report = build_own_report
        self.reports = reports.ReportTable()
        self.holders_unhealthy: dict[str, int] = {}
        self._shares = shares.ShareTable()
        self._returns = health.ReturnTable()
        self._overflow = overflow.OverflowTable(
            DECISION_INTERVAL_S, shares.MOVE_PER_DELAY / reports.AVERAGING_S
        )
        self._kept: dict[tuple[str, ...], _Kept] = {}
        self._drop_due_s = float("-inf")

    def set_holders_unhealthy(self, counts: dict[str, int]) -> None:
        """Set how many holders call each instance unhealthy."""
        self.holders_unhealthy = counts

    def count_ejected(self, now_s: float) -> int:
        """Return how many instances are ejected or have not fully returned."""
        return self._returns.count_partial(now_s)

    def get_kept(self, instances: tuple[str, ...], now_s: float) -> Choice | None:
        """Return the decision about a set of instances, None if a new one is due."""
        kept = self._kept.get(instances)
        if kept is None or not 0 <= now_s - kept.decided_s < DECISION_INTERVAL_S:
            return None
        return kept.choice

    def choose(
        self, places: list[Place], replicas: list[str], now_s: float
    ) -> Choice | None:
        """Return the shares of the given instances, None without any report.

        Parameters
        ----------
        places : list of Place
            At least one; those that a read may go to.
        replicas : list of str
            All announced replicas of the group, also those that this read may not go
            to. The primary is not ejected; its change is up to the groups.
        now_s : float
        """
        key = tuple(place.instance for place in places)
        kept = self.get_kept(key, now_s)
        if kept is not None:
            return kept
        self._drop_old(now_s)
        choice = self._decide(places, replicas, now_s)
        if choice is not None:
            self._kept[key] = _Kept(choice, now_s)
        return choice

    def choose_holder(
        self,
        instance: str,
        slots: int,
        holders: list[str],
        draw: collections.abc.Callable[[], float],
        now_s: float,
    ) -> str:
        """Return the holder that takes a statement.

        Parameters
        ----------
        instance : str
        slots : int
            Announced slots of the instance.
        holders : list of str
            Those that are available, best first for the organisation; at least one.
        draw : callable
            Returns a random number from 0 to 1.
        now_s : float
        """
        for host_id in holders[:-1]:
            if self._overflow.is_due(instance, host_id, now_s):
                loads = self._get_loads(instance, slots, holders, now_s)
                self._overflow.decide(instance, host_id, loads, now_s)
            kept = self._overflow.get_kept_share(instance, host_id)
            if kept >= 1.0 or draw() < kept:
                return host_id
        return holders[-1]

    def _get_loads(
        self, instance: str, slots: int, holders: list[str], now_s: float
    ) -> dict[str, float]:
        """Return the load of each holder; without a report, its part of the slots."""
        loads = {}
        for host_id in holders:
            report = self.reports.get_report(instance, host_id, now_s)
            loads[host_id] = (
                slots / len(holders)
                if report is None
                else report.running + report.waiting
            )
        return loads

    def _decide(
        self, places: list[Place], replicas: list[str], now_s: float
    ) -> Choice | None:
        options = [self._build_option(place, now_s) for place in places]
        if all(option.view.age_s > reports.MAX_AGE_S for option in options):
            return None
        ejected = self._update_ejected(replicas, now_s)
        usable = [x for x in options if x.instance not in ejected]
        if not usable:
            usable, ejected = options, frozenset()
        decided = self._shares.decide(usable, now_s)
        parts = health.limit_parts(
            {x.instance: self._returns.get_part(x.instance, now_s) for x in usable},
            health.get_ejected_max(len(replicas) + 1) - len(ejected),
        )
        settled = [x for x in usable if parts[x.instance] >= 1.0]
        if settled and len(settled) < len(usable):
            without = self._shares.decide(settled, now_s)
            part = min(parts.values())
            decided = {
                name: part * share + (1 - part) * without.get(name, 0.0)
                for name, share in decided.items()
            }
        usual = 1 - health.PROBE_SHARE * (len(options) - len(usable))
        chosen = {
            option.instance: health.PROBE_SHARE
            if option.instance in ejected
            else usual * decided[option.instance]
            for option in options
        }
        nearest = min(range(len(places)), key=lambda i: places[i].round_trip_s)
        return Choice(
            chosen,
            places[nearest],
            shares.estimate_time_s(options[nearest]),
            {place.instance: place.distance for place in places},
        )

    def _build_option(self, place: Place, now_s: float) -> shares.Option:
        own = self._build_own_report(place.instance, now_s)
        if own is not None:
            self.reports.record(place.instance, self._host_id, own, now_s)
        view = self.reports.get_view(
            place.instance, place.slots, place.service_s, now_s
        )
        return shares.Option(place.instance, place.round_trip_s, place.distance, view)

    def _update_ejected(self, replicas: list[str], now_s: float) -> frozenset[str]:
        """Return the ejected replicas of a group, for all reads alike."""
        unhealthy = {
            name: self.reports.get_view(name, 1, 0.0, now_s).failed_share
            for name in replicas
            if self._is_unhealthy(name, now_s)
        }
        ejected = health.select_ejected(unhealthy, replicas, len(replicas) + 1)
        for name in replicas:
            self._returns.update(name, name in ejected, now_s)
        return ejected

    def _is_unhealthy(self, instance: str, now_s: float) -> bool:
        verdicts, holders = self.reports.count_verdicts(instance, now_s)
        verdicts = max(verdicts, self.holders_unhealthy.get(instance, 0))
        return health.is_agreed(verdicts, holders)

    def _drop_old(self, now_s: float) -> None:
        if now_s < self._drop_due_s:
            return
        self._drop_due_s = now_s + DROP_INTERVAL_S
        self.reports.drop_old(now_s)
        self._returns.drop_old(now_s)
        self._kept = {
            key: kept
            for key, kept in self._kept.items()
            if now_s - kept.decided_s < DROP_INTERVAL_S
        }
        self._overflow.drop(self.reports.list_instances())
