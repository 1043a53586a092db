"""Groups and rate limits of a relay fleet, derived from its configuration document."""

import collections.abc
import typing

from sedgeswitch.admission import settings as admission_settings
from sedgeswitch.databases import documents
from sedgeswitch.drivers import base
from sedgeswitch.groups import instances
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.membership import directory

# The prefetched tokens of a host last longer than the election of a leader, and
# their lifetime is longer than a lease. The demand is averaged over more than the
# time of an election, so that a short lull just before an election does not leave
# a host without tokens.
ADMISSION = admission_settings.Settings(
    prefetch_s=3.0,
    # Most organisations have few requests at one host, whose number in a few seconds
    # varies by more than its mean.
    prefetch_deviations=2.0,
    lifetime_s=4.0,
    demand_window_s=2.0,
    host_share_max=0.3,
    reserve_share=0.1,
    # The longest latency objective that most callers have.
    leader_wait_s=0.8,
    # Answering a draw takes about 1 ms on a leader that runs on a small host.
    draws_max_per_s=400.0,
)
# Share of the tolerance that is used. The rest is a margin, because a request that
# is retried counts twice.
TOLERANCE_SHARE = 0.7
# Lowest rate, and highest rate and burst, that the fleet-wide limit can represent. A
# document may omit limits or set any number.
_LOWEST_RATE_PER_S = 1e-3
_HIGHEST = 1e9


class RelayDirectory:
    """The announced instances of the groups in the configuration document.

    Parameters
    ----------
    get_servers : callable
        Returns the announced backend servers by instance id.
    get_document : callable
        Returns the configuration document in force.
    is_excluded : callable, optional
        ``is_excluded(server)`` returns whether an instance is left out.
    """

    def __init__(
        self,
        get_servers: collections.abc.Callable[[], dict[str, directory.BackendServer]],
        get_document: collections.abc.Callable[[], documents.Document],
        is_excluded: collections.abc.Callable[
            [directory.BackendServer], bool
        ] = lambda server: False,  # noqa: ARG005
    ):
        self._is_excluded = is_excluded
        self._get_servers = get_servers
        self._get_document = get_document

    def get_groups(self) -> list[str]:
        """Return the sorted names of configured groups with announced instances."""
        announced = {server.group for server in self._get_servers().values()}
        return sorted(announced & self._get_document().groups.keys())

    def get_instances(self, group: str) -> list[instances.Instance]:
        """Return the announced instances of a group; the group is their database."""
        return [
            instances.Instance(
                server.instance,
                base.Target(server.host, server.port, group, instance=server.instance),
                server.availability_zone,
            )
            for server in self._get_servers().values()
            if server.group == group and not self._is_excluded(server)
        ]


def list_fenced_instances(
    states: collections.abc.Iterable[ttypes.Group],
) -> set[str]:
    """Return the instances of the groups that are fenced for a change of primary."""
    return {
        name
        for state in states
        if state.phase == ttypes.GroupPhase.FENCED
        for name in state.instances
    }


class Tolerance(typing.NamedTuple):
    """How far an organisation may exceed its limit.

    Attributes
    ----------
    window_s : float
        Time over which requests are counted.
    overage : float
        Excess that is allowed in a window, as a fraction of what the limit allows
        in it.
    slack : float
        Further requests that are allowed in a window.
    """

    window_s: float = 0.0
    overage: float = 0.0
    slack: float = 0.0


def build_limits(
    document: documents.Document, tolerance: Tolerance
) -> dict[str, admission_settings.Limit]:
    """Return the rate and burst of each organisation.

    A token bucket admits in a window at most its size plus the refill rate times
    the window. The tolerance is therefore added to the size of the bucket.
    """
    return {
        name: admission_settings.Limit(
            min(max(item.rate_per_s, _LOWEST_RATE_PER_S), _HIGHEST),
            _get_bucket_size(item, tolerance),
        )
        for name, item in document.organisations.items()
    }


def _get_bucket_size(item: documents.Organisation, tolerance: Tolerance) -> int:
    allowed = item.rate_per_s * tolerance.window_s + item.burst
    tolerated = allowed * tolerance.overage + tolerance.slack
    size = item.burst + tolerated * TOLERANCE_SHARE
    return int(min(max(size, 1), _HIGHEST))
