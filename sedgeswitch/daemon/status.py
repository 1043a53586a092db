"""The status of control hosts, entry hosts, groups and instances for operators."""

import collections.abc
import typing

from sedgeswitch.configuration import selectors
from sedgeswitch.daemon import adapters
from sedgeswitch.groups.generated import ttypes

Provider = collections.abc.Callable[[float], list]


class GroupStatus(typing.NamedTuple):
    """The state of a database group that the control hosts have agreed on."""

    group: str
    term: int
    primary: str
    phase: str
    timeline: int
    instances: tuple[str, ...]


class EntryStatus(typing.NamedTuple):
    """The lease of an entry host."""

    host_id: str
    availability_zone: str
    address: str
    lease_left_ms: int


class BackendStatus(typing.NamedTuple):
    """A backend server, its role and the progress of its drain.

    Attributes
    ----------
    in_use : int or None
        Running and waiting requests of a drained instance on all entry hosts
        together; None if it is not drained or a host has not reported yet.
    is_idle : bool
        Whether the instance is drained and a replica, and runs no requests. It
        then also receives no new ones.
    """

    instance: str
    group: str
    address: str
    availability_zone: str
    labels: dict[str, str]
    role: str
    is_drained: bool
    in_use: int | None
    is_idle: bool


def build_providers(control: typing.Any) -> dict[str, Provider]:
    """Return the function that lists the entries of each kind of status, by kind.

    Parameters
    ----------
    control : sedgeswitch.daemon.control.ControlHost
    """

    def list_groups(now_s: float) -> list[GroupStatus]:  # noqa: ARG001
        return [_build_group(group) for group in control.groups.get_groups()]

    def list_entry_hosts(now_s: float) -> list[EntryStatus]:
        return [
            EntryStatus(
                member.host_id,
                member.availability_zone,
                f"{member.host}:{member.port}",
                int(
                    (control.heartbeat_server.leases.get_expiry(member.host_id) - now_s)
                    * 1e3
                ),
            )
            for member in control.heartbeat_server.get_holders(now_s)
        ]

    def list_control_hosts(now_s: float) -> list:
        return [control.node.get_status(now_s)]

    def list_backend_servers(now_s: float) -> list[BackendStatus]:
        servers = sorted(control.directory.servers.values())
        return [_build_backend(control, server, now_s) for server in servers]

    return {
        "groups": list_groups,
        "entry": list_entry_hosts,
        "control": list_control_hosts,
        "backend": list_backend_servers,
    }


def _build_group(group: ttypes.Group) -> GroupStatus:
    phase = ttypes.GroupPhase._VALUES_TO_NAMES[group.phase].lower()
    return GroupStatus(
        group.group,
        group.term,
        group.primary,
        phase,
        group.timeline,
        tuple(group.instances),
    )


def _build_backend(
    control: typing.Any, server: typing.Any, now_s: float
) -> BackendStatus:
    group = control.groups.get_group(server.group)
    is_primary = group is not None and group.primary == server.instance
    document = control.configuration.document
    is_drained = adapters.is_drained(document, server)
    in_use = None
    if is_drained:
        version = control.configuration.version
        in_use = control.draining.count_in_use(server.instance, version, now_s)
    return BackendStatus(
        server.instance,
        server.group,
        f"{server.host}:{server.port}",
        server.availability_zone,
        selectors.merge_labels(document, server.instance, server.labels),
        "primary" if is_primary else "replica",
        is_drained,
        in_use,
        is_drained and not is_primary and in_use == 0,
    )
