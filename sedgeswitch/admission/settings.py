"""Settings of the fleet-wide rate limit."""

import typing

from sedgeswitch.utils import checks


class Limit(typing.NamedTuple):
    """Rate and burst of one organisation, counted over the whole fleet.

    Attributes
    ----------
    rate_per_s : float
        Requests per second that the bucket is refilled with.
    burst : int
        Requests that a full bucket admits at once.
    """

    rate_per_s: float
    burst: int


class Settings(typing.NamedTuple):
    """How grants are drawn, kept and waited for; the same on all hosts.

    Attributes
    ----------
    draw_interval_s : float
        Shortest time between two regular draws of a host.
    urgent_interval_s : float
        Shortest time between two draws of a host while a request waits.
    draws_max_per_s : float
        Draws per second of all hosts together that the leader answers; hosts of a
        larger fleet draw less often while requests wait, and half as often again
        while none do.
    draw_timeout_s : float
        Time after which an unanswered draw is replaced by a new one.
    lifetime_s : float
        Time after sending a draw for which an entry host may spend its grants.
    drift : float
        Bound of the rate error of each host's monotonic clock, as a fraction.
    prefetch_s : float
        Time for which a host's stock of tokens lasts at its recent demand.
    host_share_max : float
        Largest share of a burst that one host may hold.
    reserve_share : float
        Share of the tokens that is not handed out as stock.
    wait_s : float
        Longest wait of a request for a draw.
    leader_wait_s : float
        Longest wait of a request while draws go unanswered.
    outage_timeout_s : float
        Time without an answered draw after which requests no longer wait for one.
    allowance_delay_s : float
        Time without an answered draw after which a host refills its stock itself,
        at the rate that the leader allowed it.
    host_retention_s : float
        Time for which a host that left stays among the hosts to hear from.
    demand_window_s : float
        Time constant of the demand estimate.
    """

    draw_interval_s: float = 0.1
    urgent_interval_s: float = 0.02
    draws_max_per_s: float = 4000.0
    draw_timeout_s: float = 0.15
    lifetime_s: float = 2.0
    drift: float = 0.001
    prefetch_s: float = 0.25
    host_share_max: float = 0.5
    reserve_share: float = 0.25
    wait_s: float = 0.2
    leader_wait_s: float = 1.0
    outage_timeout_s: float = 2.5
    allowance_delay_s: float = 0.7
    host_retention_s: float = 60.0
    demand_window_s: float = 0.25


def check_limit(limit: Limit) -> Limit:
    """Return `limit` if its rate and burst are usable.

    Raises
    ------
    CheckError
        If the rate is not positive or the burst is below one request.
    """
    checks.check_range("rate_per_s", limit.rate_per_s, 1e-6, 1e9)
    checks.check_range("burst", limit.burst, 1, 1e9)
    return limit


def check_settings(settings: Settings) -> Settings:
    """Return `settings` if every field is in its range.

    Raises
    ------
    CheckError
        If a field is not allowed.
    """
    for field in Settings._fields:
        if field.endswith("_s"):
            checks.check_range(field, getattr(settings, field), 0.001, 86400.0)
    checks.check_range("drift", settings.drift, 0.0, 0.1)
    checks.check_range("host_share_max", settings.host_share_max, 0.01, 1.0)
    checks.check_range("reserve_share", settings.reserve_share, 0.0, 0.9)
    return settings


def get_hold_s(settings: Settings) -> float:
    """Return how long the leader counts a grant as held, on its own clock.

    Notes
    -----
    The entry host's clock may be slow and the leader's fast by the drift bound.
    """
    return settings.lifetime_s * (1 + settings.drift) / (1 - settings.drift)


def get_slow_factor(settings: Settings) -> float:
    """Return the least ratio of the rates of two hosts' clocks."""
    return (1 - settings.drift) / (1 + settings.drift)


def get_host_cap(limit: Limit, settings: Settings) -> int:
    """Return the most tokens of an organisation that one host may hold."""
    return max(1, int(limit.burst * settings.host_share_max))
