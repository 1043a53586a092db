"""The settings file that the platform writes for each process."""

import os
import pathlib
import typing

import msgspec

from sedgeswitch.daemon import relay_groups
from sedgeswitch.transport import peer
from sedgeswitch.utils import checks

PATH_VARIABLE = "SEDGESWITCH_NODE_FILE"
# What a process serves to others, in the platform's words.
SERVES_CALLERS = "front"
SERVES_CONTROL = "control"
# Places of this project's own listeners within the free ports of a host.
CONTROL_PORT_INDEX = 0
ENTRY_PORT_INDEX = 1


class _Bounds(typing.TypedDict, total=False):
    # Time from SIGTERM to SIGKILL.
    graceS: float
    # Window over which requests of an organisation are counted.
    quotaWindowS: float
    # Part of what a limit allows that may come on top of it.
    quotaOverage: float
    # Requests that may come on top of that.
    quotaSlack: float


class _Tolerance(typing.TypedDict, total=False):
    # Control hosts that may be lost at the same time.
    machines: int


class _Cloud(typing.TypedDict, total=False):
    address: str
    duties: list[str]


class _File(typing.TypedDict):
    nodeName: str
    serves: list[str]
    ip: str
    zone: str
    bindAddrs: dict[str, str]
    internalPorts: list[int]
    seeds: list[str]
    bootstrap: bool
    dataDir: typing.NotRequired[str | None]
    bounds: typing.NotRequired[_Bounds]
    faultTolerance: typing.NotRequired[_Tolerance]
    cloudApi: typing.NotRequired[_Cloud | None]


class PlatformSettings(typing.NamedTuple):
    """What a process learns from the platform before it starts.

    Attributes
    ----------
    host_name : str
        The platform's ``nodeName``, which names a machine and a role.
    serves_callers, serves_control : bool
    ip : str
    availability_zone : str
    callers, readiness, control : peer.Address or None
        Where the process listens; None for what it does not serve.
    internal_port : int
        First of the ports that are free for this project's own messages.
    seeds : tuple of peer.Address
        ``control`` addresses of some control hosts.
    is_bootstrap : bool
        True only when the whole fleet starts for the first time.
    data_folder : str or None
    grace_s : float
        Time from SIGTERM to SIGKILL.
    promotions : peer.Address or None
        Where the platform takes orders to promote an instance.
    tolerance : relay_groups.Tolerance
        What may pass beyond the limits of organisations.
    tolerated_losses : int
        Control hosts that may be lost at the same time.
    """

    host_name: str
    serves_callers: bool
    serves_control: bool
    ip: str
    availability_zone: str
    callers: peer.Address | None
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

    @property
    def voter_count(self) -> int:
        """Voters of whom a majority is left after the tolerated losses."""
        return 2 * self.tolerated_losses + 1

    @property
    def control_id(self) -> str:
        """Id of this process as a control host."""
        return build_control_id(self.ip)

    @property
    def control_peers(self) -> dict[str, peer.Address]:
        """Where the seeds take this project's own messages, by their ids."""
        port = self.internal_port + CONTROL_PORT_INDEX
        return {
            build_control_id(seed.host): peer.Address(seed.host, port)
            for seed in self.seeds
        }


# Time from SIGTERM to SIGKILL where the file names none, in seconds.
_DEFAULT_GRACE_S = 6.0


def build_control_id(ip: str) -> str:
    """Return the id of the control host at an address.

    A control host that is replaced comes back at another address; one that has
    lost its disk keeps its address and is told apart by its new incarnation.
    """
    return f"control-{ip}"


def get_path() -> pathlib.Path:
    """Return the path of the settings file.

    Raises
    ------
    CheckError
        If the environment does not name it.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise checks.CheckError(PATH_VARIABLE, "the path of a file", path)
    return pathlib.Path(path)


def load_settings(path: pathlib.Path) -> PlatformSettings:
    """Return the settings that a file holds.

    Raises
    ------
    CheckError
        If the file is not JSON or a field is missing or of another type.
    OSError
        If the file can't be read.
    """
    try:
        document = msgspec.json.decode(path.read_bytes(), type=_File)
    except msgspec.MsgspecError as error:
        raise checks.CheckError(str(path), "settings", str(error)) from error
    return _build_settings(document)


def _build_settings(document: _File) -> PlatformSettings:
    listening = document["bindAddrs"]
    cloud = document.get("cloudApi") or {}
    bounds = document.get("bounds", {})
    return PlatformSettings(
        host_name=document["nodeName"],
        serves_callers=SERVES_CALLERS in document["serves"],
        serves_control=SERVES_CONTROL in document["serves"],
        ip=document["ip"],
        availability_zone=document["zone"],
        callers=_find_address(listening, "front"),
        readiness=_find_address(listening, "ready"),
        control=_find_address(listening, "control"),
        internal_port=document["internalPorts"][0],
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
    )


def _find_address(
    fields: typing.Mapping[str, typing.Any], name: str
) -> peer.Address | None:
    text = fields.get(name)
    return parse_address(text) if text else None


def parse_address(text: str) -> peer.Address:
    """Return the address that a text such as ``10.0.0.4:8080`` stands for.

    Raises
    ------
    CheckError
        If it is no such text.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise checks.CheckError("address", "an IP number and a port", text)
    return peer.Address(host, int(port))
