"""Settings of the fleet-wide rate limit."""

import math
import typing

from sedgeswitch.utils import checks

# Least delay of a host's own refill, in regular draw intervals: two from a grant to the
# draw that confirms the next one, and the round trips.
_ALLOWANCE_DELAY_DRAWS = 2.5


class Limit(typing.NamedTuple):
    """Rate and burst of one organisation, counted over the whole fleet.

    Attributes
    ----------
    rate_per_s : float
        Tokens added to the bucket per second; each request spends one.
    burst : int
        Tokens of a full bucket: the most requests admitted at the same time.
    """

    rate_per_s: float
    burst: int


class Settings(typing.NamedTuple):
    """Settings of draws and grants; they must be the same on all hosts.

    A draw is a host's request for tokens; a grant is the leader's answer for one
    organisation.

    Attributes
    ----------
    draw_interval_s : float
        Shortest time between two regular draws of a host.
    urgent_interval_s : float
        Shortest time between two draws of a host while requests wait for a token.
    draws_max_per_s : float
        Draws per second that the leader answers, of all hosts together. If the fleet
        is too large for all hosts to draw at the urgent interval, the leader makes
        that interval longer; the regular interval is at least twice as long.
    draw_timeout_s : float
        Least time after which an unanswered draw is abandoned and a new one is sent;
        see `get_draw_timeout_s`.
    lifetime_s : float
        Time for which a host may spend the tokens of a grant, from sending the draw.
    drift : float
        Largest rate error of any host's monotonic clock, as a fraction.
    prefetch_s : float
        Time of its recent demand for which a host prefetches tokens.
    prefetch_deviations : float
        Number of standard deviations of the requests in that time, if they arrive
        independently, that a host prefetches tokens for in addition.
    host_share_max : float
        Largest share of a burst that one host may hold, from 0.01 to 1.
    host_allowance_share_max : float
        Largest share of a rate at which one host may refill its tokens itself, from
        0.01 to 1.
    reserve_share : float
        Share of the tokens that is not granted ahead of requests, so that hosts
        without tokens can still be granted some; from 0 to 0.9.
    wait_s : float
        Longest time that a request waits for a token while draws are answered; more
        if the urgent interval and the draw timeout together are longer.
    leader_wait_s : float
        Longest time that a request waits for a token while draws are unanswered, or
        while the leader is still collecting reports.
    outage_timeout_s : float
        Time without an answered draw after which a request is denied at once
        if its host has no token.
    allowance_delay_s : float
        Time since the last answered draw after which a host refills its tokens
        itself, at the allowance of that grant. Longer in a fleet whose hosts draw
        less often, see `get_allowance_delay_s`.
    host_retention_s : float
        Time for which a host that left the fleet is still counted among the hosts
        that a new leader must have reports from.
    demand_window_s : float
        Time constant of the moving average of the demand.
    """

    draw_interval_s: float = 0.1
    urgent_interval_s: float = 0.02
    draws_max_per_s: float = 4000.0
    draw_timeout_s: float = 0.15
    lifetime_s: float = 2.0
    drift: float = 0.001
    prefetch_s: float = 0.25
    prefetch_deviations: float = 0.0
    host_share_max: float = 0.5
    # Lower values leave more of the rate to others while a host is missing; higher ones
    # serve more of an organisation whose demand arrives at one host without a leader.
    host_allowance_share_max: float = 0.5
    reserve_share: float = 0.25
    wait_s: float = 0.2
    leader_wait_s: float = 1.0
    outage_timeout_s: float = 2.5
    allowance_delay_s: float = 0.7
    host_retention_s: float = 60.0
    demand_window_s: float = 0.25


def check_limit(limit: Limit) -> Limit:
    """Return `limit` if its rate and burst are in range.

    Raises
    ------
    CheckError
        If the rate is not from 1e-6 to 1e9 or the burst is not from 1 to 1e9.
    """
    checks.check_range("rate_per_s", limit.rate_per_s, 1e-6, 1e9)
    checks.check_range("burst", limit.burst, 1, 1e9)
    return limit


def check_settings(settings: Settings) -> Settings:
    """Return `settings` if every field is in its range.

    Raises
    ------
    CheckError
        If a time is not from 0.001 s to one day, `draws_max_per_s` is not from 0.001
        to 86400, `drift` is not from 0 to 0.1, `prefetch_deviations` is not from 0 to
        10, or a share is not in the range that `Settings` gives for it.
    """
    for field in Settings._fields:
        if field.endswith("_s"):
            checks.check_range(field, getattr(settings, field), 0.001, 86400.0)
    checks.check_range("drift", settings.drift, 0.0, 0.1)
    checks.check_range("host_share_max", settings.host_share_max, 0.01, 1.0)
    share = settings.host_allowance_share_max
    checks.check_range("host_allowance_share_max", share, 0.01, 1.0)
    checks.check_range("reserve_share", settings.reserve_share, 0.0, 0.9)
    checks.check_range("prefetch_deviations", settings.prefetch_deviations, 0.0, 10.0)
    return settings


def get_hold_s(settings: Settings) -> float:
    """Return how long the leader counts granted tokens as held, in seconds.

    Notes
    -----
    This is longer than ``lifetime_s``, because the entry host's clock may be slow and
    the leader's clock fast, each by the drift bound.
    """
    return settings.lifetime_s * (1 + settings.drift) / (1 - settings.drift)


def get_draw_interval_s(settings: Settings, urgent_interval_s: float) -> float:
    """Return the shortest time between two regular draws of a host, in seconds.

    Parameters
    ----------
    settings : Settings
    urgent_interval_s : float
        The urgent interval that the leader has set.
    """
    return max(settings.draw_interval_s, 2 * urgent_interval_s)


def get_draw_timeout_s(
    settings: Settings, urgent_interval_s: float, unanswered: int
) -> float:
    """Return the time after which an unanswered draw is abandoned, in seconds.

    After a change of leader all hosts draw at once, and the leader needs the urgent
    interval to answer all of them. If hosts sent new draws before that, each answer
    would come too late. The timeout doubles with each unanswered draw, for a slower
    leader and for hosts that do not know the interval yet.

    Parameters
    ----------
    settings : Settings
    urgent_interval_s : float
        The urgent interval that the leader has set, or while all hosts report, the one
        that it will set.
    unanswered : int
        Number of draws in a row that were abandoned before.
    """
    first_s = settings.draw_timeout_s + urgent_interval_s
    longest_s = max(first_s, settings.outage_timeout_s)
    return min(first_s * 2 ** min(unanswered, 16), longest_s)


def get_allowance_delay_s(settings: Settings, urgent_interval_s: float) -> float:
    """Return the time after a grant from which a host refills its tokens itself.

    The leader learns with the next draw that a grant has arrived, and until then
    counts the time from the grant before. If the delay were shorter than that, it
    would count hosts as refilling themselves that are not, and grant less than the
    limit allows.

    Parameters
    ----------
    settings : Settings
    urgent_interval_s : float
        The urgent interval that the leader has set.
    """
    interval_s = get_draw_interval_s(settings, urgent_interval_s)
    return max(settings.allowance_delay_s, _ALLOWANCE_DELAY_DRAWS * interval_s)


def get_prefetch(settings: Settings, demand_per_s: float) -> float:
    """Return how many tokens a host should prefetch for its demand.

    Parameters
    ----------
    settings : Settings
    demand_per_s : float
        Recent demand of an organisation at the host, in requests per second.
    """
    mean = demand_per_s * settings.prefetch_s
    return mean + settings.prefetch_deviations * math.sqrt(mean)


def get_min_clock_ratio(settings: Settings) -> float:
    """Return the smallest possible ratio of the rates of two hosts' clocks."""
    return (1 - settings.drift) / (1 + settings.drift)


def get_host_cap(limit: Limit, settings: Settings) -> int:
    """Return how many tokens of an organisation one host may hold at most."""
    return max(1, int(limit.burst * settings.host_share_max))
