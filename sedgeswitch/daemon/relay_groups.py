"""Announced backend servers as instances of the groups of a document."""

import collections.abc

from sedgeswitch.admission import settings as admission_settings
from sedgeswitch.databases import documents
from sedgeswitch.drivers import base
from sedgeswitch.groups import instances
from sedgeswitch.membership import directory

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


def build_limits(
    document: documents.Document,
) -> dict[str, admission_settings.Limit]:
    """Return the rate and burst of each organisation."""
    return {
        name: admission_settings.Limit(
            max(item.rate_per_s, _LOWEST_RATE_PER_S), max(int(item.burst), 1)
        )
        for name, item in document.organisations.items()
    }
