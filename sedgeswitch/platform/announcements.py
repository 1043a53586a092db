"""Decodes heartbeats of instances into announcements of backend servers."""

import collections.abc
import typing

import msgspec

from sedgeswitch.membership import directory
from sedgeswitch.platform import settings
from sedgeswitch.transport import catalog
from sedgeswitch.utils import checks

_STATES = ("ready", "draining")
# Largest integer that JSON carries exactly.
_MAX_INTEGER = 2**53 - 1

_Slots = typing.Annotated[int, msgspec.Meta(ge=0, le=catalog.MAX_INT32)]
_Integer = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]


class _Heartbeat(typing.TypedDict):
    # Name of the instance's group.
    service: str
    address: str
    zone: str
    # Version of the instance's software.
    version: typing.NotRequired[str]
    slots: _Slots
    state: str
    # Remaining time for which the instance is slow after its start.
    coldLeftMs: typing.NotRequired[float]
    # Increases with each heartbeat and begins again when the instance restarts.
    sequence: _Integer
    # Unix time of the instance's start, in milliseconds.
    born: typing.NotRequired[_Integer]


class Announcement(typing.NamedTuple):
    """The content of a heartbeat.

    Attributes
    ----------
    server : directory.BackendServer
    born_ms : int
        Unix time at which the instance started, by its own clock, in milliseconds.
    sequence : int
        Number that increases with each heartbeat since that start.
    """

    server: directory.BackendServer
    born_ms: int
    sequence: int


_decoder = msgspec.json.Decoder(_Heartbeat)


def decode_heartbeat(
    instance: str,
    body: bytes,
    max_connections: typing.Mapping[str, int],
    limited_groups: collections.abc.Container[str] = (),
) -> Announcement:
    """Return the announcement that a heartbeat contains.

    Parameters
    ----------
    instance : str
        Id of the instance.
    body : bytes
        The heartbeat as JSON.
    max_connections : mapping of str to int
        Maximum number of connections to an instance, by configured group.
    limited_groups : container of str, optional
        Groups that limit the rate of statements to an instance that is slow after its
        start.

    Raises
    ------
    CheckError
        If the heartbeat is malformed, or its state or group is unknown.
    """
    try:
        heartbeat = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise checks.CheckError(
            "heartbeat",
            "a JSON object with service, address, zone, slots, state and sequence",
            str(error),
        ) from error
    checks.check_name("id", instance)
    checks.check_name("zone", heartbeat["zone"])
    checks.check_choice("state", heartbeat["state"], _STATES)
    checks.check_choice("service", heartbeat["service"], tuple(max_connections))
    address = settings.parse_address(heartbeat["address"])
    server = directory.BackendServer(
        instance,
        heartbeat["service"],
        address.host,
        address.port,
        heartbeat["zone"],
        {},
        heartbeat["slots"],
        max_connections[heartbeat["service"]],
        heartbeat["state"] == "draining",
        heartbeat.get("coldLeftMs", 0.0) > 0 and heartbeat["service"] in limited_groups,
    )
    return Announcement(server, heartbeat.get("born", 0), heartbeat["sequence"])


class _LatestHeartbeat(typing.NamedTuple):
    # Start time of the instance and sequence number of the heartbeat.
    order: tuple[int, int]
    address: tuple[str, int]


class HeartbeatFilter:
    """Rejects heartbeats that are older than one already accepted.

    An instance may restart under the same id, or start at the address of another
    instance that has ended. In both cases the later start time wins.
    """

    def __init__(self):
        self._latest: dict[str, _LatestHeartbeat] = {}
        self._born_ms_by_address: dict[tuple[str, int], int] = {}

    def accept(self, announcement: Announcement) -> bool:
        """Record a heartbeat and return True, or return False if it is outdated."""
        server = announcement.server
        address = (server.host, server.port)
        order = (announcement.born_ms, announcement.sequence)
        latest = self._latest.get(server.instance)
        if latest is not None and order < latest.order:
            return False
        if announcement.born_ms < self._born_ms_by_address.get(address, 0):
            return False
        self._latest[server.instance] = _LatestHeartbeat(order, address)
        self._born_ms_by_address[address] = announcement.born_ms
        return True

    def find_replaced(self, announcement: Announcement) -> list[str]:
        """Return the ids of earlier instances at the address of an announcement."""
        server = announcement.server
        address = (server.host, server.port)
        return [
            instance
            for instance, latest in self._latest.items()
            if latest.address == address
            and instance != server.instance
            and latest.order[0] < announcement.born_ms
        ]
