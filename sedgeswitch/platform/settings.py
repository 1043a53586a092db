"""Reads the settings file that the platform writes for each process."""

import ipaddress
import os
import pathlib
import typing

import msgspec

from sedgeswitch.daemon import relay_groups
from sedgeswitch.scheduling import orders
from sedgeswitch.transport import peer
from sedgeswitch.utils import checks

PATH_VARIABLE = "SEDGESWITCH_NODE_FILE"
MAX_PORT = 65535
# Duration of the lease that a heartbeat renews, in seconds. It is long enough for
# entry hosts to keep serving while the control hosts elect a new leader.
LEASE_S = 4.0
# Value in the platform's field ``contracts`` that asks for scheduling by priority.
CONTRACT_PRESSURE = "pressure"
# Values of the platform's field ``serves``.
SERVES_CLIENTS = "front"
SERVES_CONTROL = "control"
# Voters where there are enough control hosts.
MIN_VOTERS = 5
# Part of the time to catch up after which a voter without contact is replaced. The rest
# is for a successor that starts first, for the change itself and for elections: each
# new leader counts the time anew.
UNRESPONSIVE_SHARE = 1 / 6
# Several heartbeats of a leader may be lost without a reason to replace a voter.
MIN_UNRESPONSIVE_LIMIT_S = 1.0
# Offsets of the ports of the control role and of the entry role from the first of the
# host's internal ports.
CONTROL_PORT_INDEX = 0
ENTRY_PORT_INDEX = 1


class _Bounds(typing.TypedDict, total=False):
    # Time from SIGTERM to SIGKILL.
    graceS: float
    # Window over which the platform counts the requests of an organisation.
    quotaWindowS: float
    # Tolerated excess over an organisation's limit, as a fraction of the requests
    # that the limit allows in a window.
    quotaOverage: float
    # Further requests in a window that are tolerated on top of quotaOverage.
    quotaSlack: float
    # Time after its start at which the successor of a lost control host must be able to
    # stand in for it, so that others may be lost.
    catchUpS: float
    # Time after its acknowledgement within which an evacuation is in force everywhere.
    evacuateMs: float


class _Tolerance(typing.TypedDict, total=False):
    # Number of control hosts that may fail at the same time.
    machines: int


class _CloudApi(typing.TypedDict, total=False):
    address: str
    duties: list[str]


class _File(typing.TypedDict):
    nodeName: str
    serves: list[str]
    ip: str
    zone: str
    # Region of each availability zone.
    zones: typing.NotRequired[dict[str, str]]
    bindAddrs: dict[str, str]
    internalPorts: list[int]
    seeds: list[str]
    bootstrap: bool
    dataDir: typing.NotRequired[str | None]
    bounds: typing.NotRequired[_Bounds]
    faultTolerance: typing.NotRequired[_Tolerance]
    cloudApi: typing.NotRequired[_CloudApi | None]
    # Names of the features that the platform relies on.
    contracts: typing.NotRequired[list[str] | None]


class PlatformSettings(typing.NamedTuple):
    """The settings of one process, as the platform provides them at its start.

    Attributes
    ----------
    host_name : str
        The platform's ``nodeName``, which identifies a machine and a role.
    serves_clients, serves_control : bool
        Whether the process is an entry host, a control host or both.
    ip : str
    availability_zone : str
    region_by_zone : mapping of str to str
        Region of each availability zone; empty if unknown.
    clients, readiness, control : peer.Address or None
        Addresses on which the process listens for client connections, readiness
        checks, and requests of operators and instances; None for what it does not
        serve.
    internal_port : int
        First of the ports that are reserved for this project's internal messages.
    seeds : tuple of peer.Address
        ``control`` addresses of some control hosts.
    is_bootstrap : bool
        True only when all hosts start for the first time.
    data_folder : str or None
        Folder for durable state; None if the host has none.
    grace_s : float
        Time from SIGTERM to SIGKILL.
    promotions : peer.Address or None
        Where the platform accepts orders to promote an instance; None if it does not.
    tolerance : relay_groups.Tolerance
        Tolerated excess over the limits of organisations.
    tolerated_losses : int
        Number of control hosts that may fail at the same time.
    catch_up_s : float
        Time after its start at which the successor of a lost control host must be able
        to stand in for it.
    evacuation_bound_s : float
        Time after its acknowledgement within which an evacuation is in force on every
        host.
    scheduling : str or None
        Order in which statements are started where slots are scarce; see
        `scheduling.orders`. None if the platform does not ask for scheduling.
    """

    host_name: str
    serves_clients: bool
    serves_control: bool
    ip: str
    availability_zone: str
    region_by_zone: typing.Mapping[str, str]
    clients: peer.Address | None
    readiness: peer.Address | None
    control: peer.Address | None
    internal_port: int
    seeds: tuple[peer.Address, ...]
    is_bootstrap: bool
    data_folder: str | None
    grace_s: float
    promotions: peer.Address | None
    tolerance: relay_groups.Tolerance
    tolerated_losses: int
    catch_up_s: float
    evacuation_bound_s: float
    scheduling: str | None = None

    @property
    def voter_count(self) -> int:
        """Number of voters of which a majority remains after the tolerated losses.

        At least `MIN_VOTERS`, so that a voter may be cut off while another restarts.
        """
        return max(2 * self.tolerated_losses + 1, MIN_VOTERS)

    @property
    def unresponsive_limit_s(self) -> float:
        """Time without contact after which another control host replaces a voter."""
        return max(self.catch_up_s * UNRESPONSIVE_SHARE, MIN_UNRESPONSIVE_LIMIT_S)

    @property
    def has_several_zones_per_region(self) -> bool:
        """Whether a region has several availability zones.

        Hosts in zones without instances then depend on those of other zones.
        """
        regions = list(self.region_by_zone.values())
        return len(set(regions)) < len(regions)

    @property
    def control_id(self) -> str:
        """Control host id of this process."""
        return build_control_id(self.ip)

    @property
    def control_peers(self) -> dict[str, peer.Address]:
        """Addresses of the seeds for internal messages, by control host id."""
        port = self.internal_port + CONTROL_PORT_INDEX
        return {
            build_control_id(seed.host): peer.Address(seed.host, port)
            for seed in self.seeds
        }


# Default of `PlatformSettings.grace_s`, in seconds.
_DEFAULT_GRACE_S = 6.0
# Default of `PlatformSettings.catch_up_s`, in seconds.
_DEFAULT_CATCH_UP_S = 6.0
# Default of `PlatformSettings.evacuation_bound_s`, in milliseconds.
_DEFAULT_EVACUATION_BOUND_MS = 5000.0
_MS_PER_S = 1000.0


def build_control_id(ip: str) -> str:
    """Return the id of the control host at an IP address.

    A control host that replaces another has a different address. One that lost its
    disk keeps its address and is distinguished by its new incarnation.
    """
    return f"control-{ip}"


def get_path() -> pathlib.Path:
    """Return the path of the settings file from the environment.

    Raises
    ------
    CheckError
        If the environment variable is not set or is empty.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise checks.CheckError(PATH_VARIABLE, "the path of the settings file", path)
    return pathlib.Path(path)


def load_settings(path: pathlib.Path) -> PlatformSettings:
    """Return the settings from a file.

    Raises
    ------
    CheckError
        If the file is not JSON, or a field is missing or has the wrong type.
    OSError
        If the file cannot be read.
    """
    try:
        document = msgspec.json.decode(path.read_bytes(), type=_File)
    except msgspec.MsgspecError as error:
        raise checks.CheckError(
            str(path),
            "a JSON object with nodeName, serves, ip, zone, bindAddrs, internalPorts,"
            " seeds and bootstrap",
            str(error),
        ) from error
    return _build_settings(document)


def _build_settings(document: _File) -> PlatformSettings:
    listen_addresses = document["bindAddrs"]
    cloud = document.get("cloudApi") or {}
    bounds = document.get("bounds", {})
    return PlatformSettings(
        host_name=document["nodeName"],
        serves_clients=SERVES_CLIENTS in document["serves"],
        serves_control=SERVES_CONTROL in document["serves"],
        ip=document["ip"],
        availability_zone=document["zone"],
        region_by_zone=document.get("zones", {}),
        clients=_find_address(listen_addresses, "front"),
        readiness=_find_address(listen_addresses, "ready"),
        control=_find_address(listen_addresses, "control"),
        internal_port=_get_first_port(document["internalPorts"]),
        seeds=tuple(parse_address(seed) for seed in document["seeds"]),
        is_bootstrap=document["bootstrap"],
        data_folder=document.get("dataDir"),
        grace_s=bounds.get("graceS", _DEFAULT_GRACE_S),
        promotions=_find_address(cloud, "address"),
        tolerance=relay_groups.Tolerance(
            bounds.get("quotaWindowS", 0.0),
            bounds.get("quotaOverage", 0.0),
            bounds.get("quotaSlack", 0.0),
        ),
        tolerated_losses=document.get("faultTolerance", {}).get("machines", 1),
        catch_up_s=bounds.get("catchUpS", _DEFAULT_CATCH_UP_S),
        evacuation_bound_s=_get_evacuation_bound_s(bounds),
        scheduling=(
            orders.DEFAULT_ORDER
            if CONTRACT_PRESSURE in (document.get("contracts") or ())
            else None
        ),
    )


def _get_evacuation_bound_s(bounds: _Bounds) -> float:
    """Return the bound of evacuations, which is at least as long as a lease.

    A host that is cut off from the leader uses instances until its lease expires.
    """
    bound_ms = bounds.get("evacuateMs", _DEFAULT_EVACUATION_BOUND_MS)
    if bound_ms < LEASE_S * _MS_PER_S:
        raise checks.CheckError(
            "bounds.evacuateMs",
            f"at least the lease of {LEASE_S * _MS_PER_S:.0f} ms",
            bound_ms,
        )
    return bound_ms / _MS_PER_S


def _get_first_port(ports: list[int]) -> int:
    if not ports:
        raise checks.CheckError("internalPorts", "a list of at least one port", ports)
    return ports[0]


def _find_address(
    fields: typing.Mapping[str, typing.Any], name: str
) -> peer.Address | None:
    text = fields.get(name)
    return parse_address(text) if text else None


def parse_address(text: str) -> peer.Address:
    """Return the address given by a text such as ``10.0.0.4:8080``.

    Raises
    ------
    CheckError
        If the text has another form.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        checks.check_range("port", int(port), 1, MAX_PORT)
    except ValueError as error:
        raise checks.CheckError(
            "address", "an IPv4 address and a port as in 10.0.0.4:8080", text
        ) from error
    return peer.Address(host, int(port))
