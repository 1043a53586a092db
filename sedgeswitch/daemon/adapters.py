"""Adapters that show one slice's state in the shape another slice needs."""

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
    """Return whether a drain of the configuration covers a backend server."""
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
    """The announced backend servers as instances of configured groups.

    Parameters
    ----------
    get_servers : callable
        Returns the announced backend servers by instance id.
    get_document : callable
        Returns the configuration in force.
    is_hidden : callable
        Tells of a backend server whether it is left out.
    """

    def __init__(
        self,
        get_servers: GetServers,
        get_document: GetDocument,
        is_hidden: collections.abc.Callable[[directory.BackendServer], bool],
    ):
        self._get_servers = get_servers
        self._get_document = get_document
        self._is_hidden = is_hidden

    def get_groups(self) -> list[str]:
        """Return the configured groups that have announced instances."""
        configured = self._get_document().groups
        announced = {server.group for server in self._get_servers().values()}
        return sorted(announced & configured.keys())

    def get_instances(self, group: str) -> list[instances.Instance]:
        """Return the announced instances of a group."""
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
            if server.group == group and not self._is_hidden(server)
        ]


def hide_none(server: directory.BackendServer) -> bool:  # noqa: ARG001
    """Leave no backend server out."""
    return False
