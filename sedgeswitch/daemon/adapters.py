"""Adapters that present the state of one package in the types of another."""

import collections.abc

from sedgeswitch.admission import settings as admission_settings
from sedgeswitch.configuration import documents
from sedgeswitch.configuration import selectors
from sedgeswitch.drivers import base
from sedgeswitch.groups import instances
from sedgeswitch.membership import directory

GetServers = collections.abc.Callable[[], dict[str, directory.BackendServer]]
GetDocument = collections.abc.Callable[[], documents.Document]


def is_drained(document: documents.Document, server: directory.BackendServer) -> bool:
    """Return whether the labels of a backend server match a configured drain."""
    labels = selectors.merge_labels(document, server.instance, server.labels)
    return selectors.is_drained(document, labels)


def build_limits(
    document: documents.Document,
) -> dict[str, admission_settings.Limit]:
    """Return the rate and burst of each organisation."""
    return {
        name: admission_settings.Limit(item.rate_per_s, int(item.burst))
        for name, item in document.organisations.items()
    }


class GroupDirectory:
    """The announced backend servers as instances of the configured groups.

    Parameters
    ----------
    get_servers : callable
        Returns the announced backend servers by instance id.
    get_document : callable
        Returns the configuration in force.
    is_excluded : callable
        ``is_excluded(server)`` returns whether a backend server is excluded.
    """

    def __init__(
        self,
        get_servers: GetServers,
        get_document: GetDocument,
        is_excluded: collections.abc.Callable[[directory.BackendServer], bool],
    ):
        self._get_servers = get_servers
        self._get_document = get_document
        self._is_excluded = is_excluded

    def get_groups(self) -> list[str]:
        """Return the sorted names of configured groups with announced instances."""
        configured = self._get_document().groups
        announced = {server.group for server in self._get_servers().values()}
        return sorted(announced & configured.keys())

    def get_instances(self, group: str) -> list[instances.Instance]:
        """Return the announced instances of a group that are not excluded."""
        document = self._get_document()
        configured = document.groups.get(group)
        if configured is None:
            return []
        return [
            instances.Instance(
                server.instance,
                base.Target(server.host, server.port, configured.database),
                server.availability_zone,
            )
            for server in self._get_servers().values()
            if server.group == group and not self._is_excluded(server)
        ]


def exclude_none(server: directory.BackendServer) -> bool:  # noqa: ARG001
    """Return False, so that no backend server is excluded."""
    return False
