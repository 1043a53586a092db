"""The shares of a host's reads that go to each instance, and when it pays to leave.

All functions decide from published figures and the time that they are given. Every
host decides alone; see ``docs/design/leaving_the_zone.md`` for why the sum is stable.
"""

import collections.abc
import typing

from sedgeswitch.routing import meters
from sedgeswitch.routing import reports
from sedgeswitch.routing import waits

# Advantage in seconds that an instance needs to get statements from a nearer one, by
# its distance (same zone, same region, other region). Bytes between regions cost four
# times as much as those between zones.
LEAVING_MARGINS_S = (0.0, 0.001, 0.004)
# Further margin for each second of age of the reports, in seconds: demand that varies
# by 0.55 over a minute changes the wait at a nearly full instance by about as much.
AGE_MARGIN = 0.001
# Part of the margin for the distance that must be lost before statements return;
# between the two, the shares do not change.
RETURN_SHARE = 0.5
# Smallest difference in expected times that moves statements between equally distant
# instances, in seconds.
MIN_BAND_S = 0.001
# Fraction of the equalising move that is made within one delay of the figures. A
# delayed integrator does not overshoot below 1 / e.
MOVE_PER_DELAY = 1 / 3
# Share that the nearest instance keeps, so that its reports still arrive.
MIN_STAYING_SHARE = 0.02
# Smaller shares of other instances end.
MIN_LEAVING_SHARE = 0.005
# Least staying share from which the whole demand is inferred.
_MIN_REFERENCE_SHARE = 0.05
# Halvings of the search for the equalising move; exact to less than a hundredth of it.
_SEARCH_STEPS = 7
# Sets of instances whose shares are kept: several for each group.
MAX_SETS = 2000


class Option(typing.NamedTuple):
    """An instance that statements may go to.

    Attributes
    ----------
    instance : str
    round_trip_s : float
        Network round trip to the instance, in seconds.
    distance : int
        0 in the zone of the host, 1 in its region, 2 elsewhere.
    view : reports.View
    """

    instance: str
    round_trip_s: float
    distance: int
    view: reports.View


Shares = collections.abc.Mapping[str, float]


def estimate_time_s(option: Option, added: float = 0.0) -> float:
    """Return the expected time of a statement: round trip, wait and service.

    Parameters
    ----------
    option : Option
    added : float, optional
        Further statements a second that go to the instance, negative for fewer.
    """
    view = option.view
    service_s = max(view.service_s, 1e-4)
    utilisation = view.utilisation + added * service_s / view.slots
    wait_s = waits.get_wait_s(utilisation, view.slots, service_s)
    # A failed statement is sent again.
    attempts = 1 / (1 - min(view.failed_share, 0.9))
    return (option.round_trip_s + wait_s + service_s) * attempts


def get_margin_s(option: Option, nearest: Option) -> float:
    """Return the advantage over `nearest` that an instance needs, in seconds."""
    if option.distance <= nearest.distance:
        return 0.0
    distance_s = (
        LEAVING_MARGINS_S[option.distance] - LEAVING_MARGINS_S[nearest.distance]
    )
    age_s = min(max(option.view.age_s, nearest.view.age_s), reports.MAX_AGE_S)
    return distance_s + AGE_MARGIN * age_s


def build_first_shares(options: list[Option]) -> dict[str, float]:
    """Return equal shares of the nearest instances and none of the others."""
    round_trip_s = min(option.round_trip_s for option in options)
    nearest = [x.instance for x in options if x.round_trip_s <= round_trip_s]
    return {
        option.instance: (option.instance in nearest) / len(nearest)
        for option in options
    }


def decide_shares(
    options: list[Option], shares: Shares, elapsed_s: float
) -> dict[str, float]:
    """Return the shares that follow from the present ones and the reports.

    Statements move from the instance with the longest expected time to the one with
    the shortest, by a part of what makes both times equal.

    Parameters
    ----------
    options : list of Option
        At least one.
    shares : mapping of str to float
        Present share of each instance; they add up to 1.
    elapsed_s : float
        Time since the last decision.
    """
    nearest = min(options, key=lambda x: (x.round_trip_s, x.instance))
    margins_s = {x.instance: get_margin_s(x, nearest) for x in options}

    def get_cost_s(option: Option, added: float = 0.0) -> float:
        return estimate_time_s(option, added) + margins_s[option.instance]

    used = [x for x in options if shares[x.instance] > 0]
    source = max(used, key=get_cost_s)
    target = min(options, key=get_cost_s)
    band_s = max(
        RETURN_SHARE
        * (LEAVING_MARGINS_S[source.distance] - LEAVING_MARGINS_S[target.distance]),
        MIN_BAND_S if source.distance == target.distance else 0.0,
    )
    if source is target or get_cost_s(source) - get_cost_s(target) <= band_s:
        return dict(shares)
    floor = MIN_STAYING_SHARE if source is nearest else 0.0
    highest = max(shares[source.instance] - floor, 0.0)
    rate = _infer_rate(nearest, shares)
    low, high = 0.0, highest
    for _ in range(_SEARCH_STEPS):
        middle = (low + high) / 2
        excess_s = get_cost_s(source, -rate * middle) - get_cost_s(
            target, rate * middle
        )
        if excess_s > band_s:
            low = middle
        else:
            high = middle
    # An instance that gets few statements is reported on rarely. Its old report has
    # lost its weight, so that the decision depends on the newer one of the two.
    age_s = min(source.view.age_s, target.view.age_s, reports.MAX_AGE_S)
    delay_s = meters.AVERAGING_S + age_s
    # A set of instances that was not used for long does not make its move at once.
    part = MOVE_PER_DELAY * min(elapsed_s / delay_s, 1.0)
    moved = part * (low + high) / 2
    changed = dict(shares)
    changed[source.instance] -= moved
    changed[target.instance] += moved
    if changed[source.instance] < MIN_LEAVING_SHARE and source is not nearest:
        changed[target.instance] += changed[source.instance]
        changed[source.instance] = 0.0
    return changed


def _infer_rate(nearest: Option, shares: Shares) -> float:
    """Return the statements a second that a share of 1 of all alike hosts stands for.

    The load of the nearest instance is taken for that of the hosts that are near it,
    which all keep about the same share there.
    """
    view = nearest.view
    served = view.utilisation * view.slots / max(view.service_s, 1e-4)
    return served / max(shares[nearest.instance], _MIN_REFERENCE_SHARE)


class _Kept(typing.NamedTuple):
    shares: dict[str, float]
    decided_s: float


class ShareTable:
    """The present shares of a host, for each set of instances that it chose from."""

    def __init__(self):
        self._kept: dict[tuple[str, ...], _Kept] = {}

    def decide(self, options: list[Option], now_s: float) -> dict[str, float]:
        """Decide about a set of instances and return the shares."""
        instances = tuple(sorted(option.instance for option in options))
        kept = self._kept.pop(instances, None)
        if kept is None:
            changed = build_first_shares(options)
        else:
            elapsed_s = max(now_s - kept.decided_s, 0.0)
            changed = decide_shares(options, kept.shares, elapsed_s)
        if len(self._kept) >= MAX_SETS:
            # The set that was decided about least recently is first.
            del self._kept[next(iter(self._kept))]
        self._kept[instances] = _Kept(changed, now_s)
        return changed
