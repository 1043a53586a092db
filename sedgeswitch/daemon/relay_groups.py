"""Announced backend servers as instances of the groups of a document."""

import collections.abc
import typing

from sedgeswitch.admission import settings as admission_settings
from sedgeswitch.databases import documents
from sedgeswitch.drivers import base
from sedgeswitch.groups import instances
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.membership import directory

# Tokens in hand outlast the election of a leader, and their lifetime the lease. The
# demand is averaged for longer than an election takes, so that a short lull just
# before one does not empty the stock.
ADMISSION = admission_settings.Settings(
    prefetch_s=3.0,
    lifetime_s=4.0,
    demand_window_s=2.0,
    host_share_max=0.3,
    reserve_share=0.1,
    # The longest objective of most callers.
    leader_wait_s=0.8,
    # A draw costs a leader on a small host about a millisecond.
    draws_max_per_s=400.0,
)
# Part of the tolerance that is used; a request that is tried twice counts twice.
TOLERANCE_SHARE = 0.7
# Lowest rate that the fleet-wide limit can express, per second.
_LOWEST_RATE_PER_S = 1e-3


class RelayDirectory:
    """The announced instances of the groups that a document names.

    Parameters
    ----------
    get_servers : callable
        Returns the announced backend servers by instance id.
    get_document : callable
        Returns the document in force.
    """

    def __init__(
        self,
        get_servers: collections.abc.Callable[[], dict[str, directory.BackendServer]],
        get_document: collections.abc.Callable[[], documents.Document],
    ):
        self._get_servers = get_servers
        self._get_document = get_document

    def get_groups(self) -> list[str]:
        """Return the configured groups that have announced instances."""
        announced = {server.group for server in self._get_servers().values()}
        return sorted(announced & self._get_document().groups.keys())

    def get_instances(self, group: str) -> list[instances.Instance]:
        """Return the announced instances of a group."""
        return [
            instances.Instance(
                server.instance,
                base.Target(server.host, server.port, group, instance=server.instance),
                server.availability_zone,
            )
            for server in self._get_servers().values()
            if server.group == group
        ]


def list_fenced(
    states: collections.abc.Iterable[ttypes.Group],
) -> set[str]:
    """Return the instances of the groups whose primary is being changed."""
    return {
        name
        for state in states
        if state.phase == ttypes.GroupPhase.FENCED
        for name in state.instances
    }


class Tolerance(typing.NamedTuple):
    """What may pass beyond an organisation's limit.

    Attributes
    ----------
    window_s : float
        Time over which requests are counted.
    overage : float
        Part of what the limit allows in a window that may come on top of it.
    slack : float
        Requests that may come on top of that.
    """

    window_s: float = 0.0
    overage: float = 0.0
    slack: float = 0.0


def build_limits(
    document: documents.Document, tolerance: Tolerance
) -> dict[str, admission_settings.Limit]:
    """Return the rate and burst of each organisation.

    A bucket refilled at the rate never passes more in a window than its size
    and the rate times the window, so that the tolerance goes into its size.
    """
    return {
        name: admission_settings.Limit(
            max(item.rate_per_s, _LOWEST_RATE_PER_S), _get_size(item, tolerance)
        )
        for name, item in document.organisations.items()
    }


def _get_size(item: documents.Organisation, tolerance: Tolerance) -> int:
    allowed = item.rate_per_s * tolerance.window_s + item.burst
    on_top = allowed * tolerance.overage + tolerance.slack
    return max(int(item.burst + on_top * TOLERANCE_SHARE), 1)
