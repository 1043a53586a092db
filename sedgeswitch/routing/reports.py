"""Reports of holders about the load of their instances, and how a host keeps them."""

import math
import typing

from sedgeswitch.routing import waits

# Time constant of the moving average of running and waiting statements, in seconds. A
# holder has one to three slots, so that a single count is mostly noise.
AVERAGING_S = 1.0
# Time after which a report has half of its weight, in seconds: the oldest reports that
# a busy fleet relies on.
HALF_LIFE_S = 2.0
# Time after which a report is dropped, in seconds: five half-lives.
MAX_AGE_S = 10.0
# Utilisation that is assumed of an instance without a report: half, so that neither an
# idle nor a full instance is assumed.
ASSUMED_UTILISATION = 0.5
# Highest demand that is believed: one organisation at 7 times its usual load.
MAX_DEMAND = 5.0
# Bounds of what a report may say; anything else is ignored.
MAX_SLOTS = 1000
MAX_STATEMENTS = 100_000
MAX_HOLDERS = 1000
MAX_SERVICE_S = 600.0


class Report(typing.NamedTuple):
    """What one holder said of an instance.

    Attributes
    ----------
    slots : int
        Statements that the instance runs at the same time, for all holders.
    running, waiting : float
        Statements of the holder that run and that wait.
    holders : int
        Number of holders that divide the instance.
    service_s : float
        Mean time of a statement at the instance, in seconds.
    failed_share : float
        Share of recent statements without a useful answer, from 0 to 1.
    is_unhealthy : bool
        The holder's verdict; see `routing.health`.
    demand : float or None
        Demand as a fraction of the holder's slots; see `routing.meters`.
    """

    slots: int
    running: float
    waiting: float
    holders: int
    service_s: float
    failed_share: float = 0.0
    is_unhealthy: bool = False
    demand: float | None = None


class View(typing.NamedTuple):
    """What a host knows of an instance from the reports of all its holders.

    Attributes
    ----------
    utilisation : float
        Demand as a fraction of what the slots can run.
    slots : int
    service_s : float
        Time of a statement without waiting, in seconds.
    failed_share : float
    age_s : float
        Age of the newest report in seconds; infinite if there is none.
    """

    utilisation: float
    slots: int
    service_s: float
    failed_share: float
    age_s: float


class _Kept(typing.NamedTuple):
    """A moving average of the reports of one holder, and the time of the last."""

    report: Report
    received_s: float


def is_valid(report: Report) -> bool:
    """Return whether the values of a report are possible."""
    return (
        1 <= report.slots <= MAX_SLOTS
        and 0 <= report.running <= MAX_STATEMENTS
        and 0 <= report.waiting <= MAX_STATEMENTS
        and 1 <= report.holders <= MAX_HOLDERS
        and 0 <= report.service_s <= MAX_SERVICE_S
        and 0 <= report.failed_share <= 1
        and (report.demand is None or report.demand >= 0)
    )


def get_weight(age_s: float) -> float:
    """Return the weight of a report, which falls from 1 with its age."""
    return 0.0 if age_s > MAX_AGE_S else 0.5 ** (max(age_s, 0.0) / HALF_LIFE_S)


class ReportTable:
    """The reports that a host has received with answers, by instance and holder."""

    def __init__(self):
        self._kept: dict[str, dict[str, _Kept]] = {}

    def record(self, instance: str, host_id: str, report: Report, now_s: float) -> None:
        """Add a report of a holder to its moving average; ignore an impossible one."""
        if not is_valid(report):
            return
        by_holder = self._kept.setdefault(instance, {})
        kept = by_holder.get(host_id)
        if kept is not None and now_s - kept.received_s <= MAX_AGE_S:
            report = _average(kept.report, report, now_s - kept.received_s)
        by_holder[host_id] = _Kept(report, now_s)

    def drop_old(self, now_s: float) -> None:
        """Drop the reports that have no weight any more."""
        for instance, by_holder in list(self._kept.items()):
            for host_id, kept in list(by_holder.items()):
                if now_s - kept.received_s > MAX_AGE_S:
                    del by_holder[host_id]
            if not by_holder:
                del self._kept[instance]

    def get_report(self, instance: str, host_id: str, now_s: float) -> Report | None:
        """Return the averaged report of one holder, None if there is no recent one."""
        kept = self._kept.get(instance, {}).get(host_id)
        if kept is None or now_s - kept.received_s > MAX_AGE_S:
            return None
        return kept.report

    def count_verdicts(self, instance: str, now_s: float) -> tuple[int, int]:
        """Return how many holders call an instance unhealthy, and how many hold it.

        The holders are 0 if no recent report says how many there are.
        """
        recent = [
            kept.report
            for kept in self._kept.get(instance, {}).values()
            if now_s - kept.received_s <= MAX_AGE_S
        ]
        verdicts = sum(report.is_unhealthy for report in recent)
        return verdicts, max((report.holders for report in recent), default=0)

    def list_instances(self) -> list[str]:
        """Return the instances that there are reports about."""
        return list(self._kept)

    def get_view(
        self, instance: str, slots: int, service_s: float, now_s: float
    ) -> View:
        """Return what is known of an instance.

        Parameters
        ----------
        instance : str
        slots : int
            Announced slots, used without a report.
        service_s : float
            Service time assumed without a report, in seconds.
        now_s : float
        """
        slots = min(max(slots, 1), MAX_SLOTS)
        weights, demand, service_sum, failed_sum = 0.0, 0.0, 0.0, 0.0
        age_s = math.inf
        for report, received_s in self._kept.get(instance, {}).values():
            weight = get_weight(now_s - received_s)
            if not weight:
                continue
            weights += weight
            demand += weight * get_demand(report)
            service_sum += weight * report.service_s
            failed_sum += weight * report.failed_share
            if now_s - received_s < age_s:
                age_s, slots = max(now_s - received_s, 0.0), report.slots
        if not weights:
            return View(ASSUMED_UTILISATION, slots, service_s, 0.0, math.inf)
        weight = get_weight(age_s)
        utilisation = min(demand / weights, MAX_DEMAND)
        return View(
            ASSUMED_UTILISATION + weight * (utilisation - ASSUMED_UTILISATION),
            slots,
            service_s + weight * (service_sum / weights - service_s),
            weight * failed_sum / weights,
            age_s,
        )


def get_demand(report: Report) -> float:
    """Return the demand that a holder reported, as a fraction of its slots.

    If it reported none, it is estimated from its running and waiting statements.
    """
    if report.demand is not None:
        return report.demand
    outstanding = (report.running + report.waiting) * report.holders
    return waits.estimate_utilisation(outstanding, report.slots)


def _average(earlier: Report, newer: Report, elapsed_s: float) -> Report:
    weight = 1 - math.exp(-max(elapsed_s, 0.0) / AVERAGING_S)
    return newer._replace(
        running=earlier.running + weight * (newer.running - earlier.running),
        waiting=earlier.waiting + weight * (newer.waiting - earlier.waiting),
    )
