"""Heartbeats of instances, decoded into announcements of backend servers."""

import typing

import msgspec

from sedgeswitch.membership import directory
from sedgeswitch.platform import settings
from sedgeswitch.utils import checks

_STATES = ("ready", "draining")


class _Heartbeat(typing.TypedDict):
    # Name of the instance's group.
    service: str
    address: str
    zone: str
    # Version of the instance's software.
    version: typing.NotRequired[str]
    slots: int
    state: str
    # How much longer the instance is slow after its start.
    coldLeftMs: typing.NotRequired[float]
    # Grows with each heartbeat of one start of the instance.
    sequence: int
    # Unix time of the instance's start, in milliseconds.
    born: typing.NotRequired[int]


class Announcement(typing.NamedTuple):
    """What a heartbeat says.

    Attributes
    ----------
    server : directory.BackendServer
    born_ms : int
        When the instance started, by its own clock.
    sequence : int
        Grows with each heartbeat since then.
    """

    server: directory.BackendServer
    born_ms: int
    sequence: int


_decoder = msgspec.json.Decoder(_Heartbeat)


def decode_heartbeat(
    instance: str, body: bytes, max_connections: typing.Mapping[str, int]
) -> Announcement:
    """Return what a heartbeat says.

    Parameters
    ----------
    instance : str
        Id of the instance.
    body : bytes
    max_connections : mapping of str to int
        Connections that an instance takes, by the groups that are configured.

    Raises
    ------
    CheckError
        If the heartbeat can't be read, or names no known state or group.
    """
    try:
        heartbeat = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise checks.CheckError("heartbeat", "a whole one", str(error)) from error
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
    )
    return Announcement(server, heartbeat.get("born", 0), heartbeat["sequence"])


class _Known(typing.NamedTuple):
    order: tuple[int, int]
    address: tuple[str, int]


class HeartbeatFilter:
    """Tells late heartbeats from new ones.

    An instance may start anew under its id, or at the address of another that is
    gone; whatever started later is what is there now.
    """

    def __init__(self):
        self._known: dict[str, _Known] = {}
        self._born_ms_by_address: dict[tuple[str, int], int] = {}

    def accept(self, announcement: Announcement) -> bool:
        """Return whether a heartbeat is newer than all before it."""
        server = announcement.server
        address = (server.host, server.port)
        order = (announcement.born_ms, announcement.sequence)
        known = self._known.get(server.instance)
        if known is not None and order < known.order:
            return False
        if announcement.born_ms < self._born_ms_by_address.get(address, 0):
            return False
        self._known[server.instance] = _Known(order, address)
        self._born_ms_by_address[address] = announcement.born_ms
        return True

    def find_replaced(self, announcement: Announcement) -> list[str]:
        """Return the other instances that were at an announcement's address."""
        server = announcement.server
        address = (server.host, server.port)
        return [
            instance
            for instance, known in self._known.items()
            if known.address == address
            and instance != server.instance
            and known.order[0] < announcement.born_ms
        ]
