"""The settings file of the daemon.

The settings contain what a process needs before it can connect to other hosts: its
name, addresses, availability zone and data folder. Everything that operators change
at run time is in the replicated configuration instead.
"""

import pathlib
import typing

import msgspec

from sedgeswitch.routing import policies
from sedgeswitch.utils import checks
from sedgeswitch.utils import records

ENTRY_ROLE = "entry"
CONTROL_ROLE = "control"

Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
Text = typing.Annotated[str, msgspec.Meta(min_length=1)]
Digest = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r"\A[0-9a-f]{64}\Z", description="a SHA-256 digest of 64 hex digits"
    ),
]
Role = typing.Literal["entry", "control"]
LogLevel = typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"]
Seconds = typing.Annotated[float, msgspec.Meta(ge=0.01, le=3600)]
Milliseconds = typing.Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class Listen(typing.NamedTuple):
    """An address that the daemon listens on.

    Attributes
    ----------
    host : str
        IP address.
    port : int
    """

    host: Text
    port: Port


class ControlHost(typing.NamedTuple):
    """The addresses of a control host, listed in the settings of every host.

    Attributes
    ----------
    host_id : str
    host : str
        IP address.
    port : int
        Port for Thrift messages between daemons.
    http_port : int
        Port of the HTTP API for operators.
    """

    host_id: records.Name
    host: Text
    port: Port
    http_port: Port


class Statsd(typing.NamedTuple):
    """The StatsD server to which metrics are sent by UDP.

    Attributes
    ----------
    host : str
    port : int
    prefix : str
        Prefix of all metric names.
    """

    host: Text
    port: Port
    prefix: records.Name = "sedgeswitch"


class Requests(typing.NamedTuple):
    """Limits on the requests of callers.

    Attributes
    ----------
    max_body_bytes : int
    header_timeout_s : float
        Longest time from the first byte of a request to the end of its headers.
    idle_timeout_s : float
        Time without a request after which a connection is closed.
    default_deadline_ms : int
        Deadline of a request that does not specify one.
    max_connections : int
        Largest number of open connections of callers.
    """

    max_body_bytes: Count = 1_000_000
    header_timeout_s: Seconds = 5.0
    idle_timeout_s: Seconds = 60.0
    default_deadline_ms: Milliseconds = 5_000
    max_connections: Count = 10_000


class Pool(typing.NamedTuple):
    """Limits on the connections to backend servers.

    Attributes
    ----------
    connections_per_instance : int
        Largest number of connections from this host to one instance.
    connect_timeout_s : float
    idle_timeout_s : float
        Time after which an unused connection is closed.
    """

    connections_per_instance: Count = 3
    connect_timeout_s: Seconds = 2.0
    idle_timeout_s: Seconds = 300.0


class Agreement(typing.NamedTuple):
    """Timeouts of the replicated log of the control hosts.

    Attributes
    ----------
    election_timeout_s : float
        Shortest time without messages of a leader after which a host starts an
        election.
    append_interval_s : float
        Time between messages of the leader to each follower when there are no new
        log entries.
    propose_timeout_s : float
        Longest time that a proposal waits for its result.
    snapshot_entries : int
        Number of log entries after which they are replaced by a snapshot.
    """

    election_timeout_s: Seconds = 1.0
    append_interval_s: Seconds = 0.1
    propose_timeout_s: Seconds = 3.0
    snapshot_entries: Count = 1_000


class Settings(typing.NamedTuple):
    """The settings of one daemon.

    Attributes
    ----------
    host_id : str
        Unique name of the host.
    roles : tuple of str
        ``entry``, ``control`` or both.
    availability_zone : str
    region : str
    data_folder : str
        Folder of the replicated state; used by the control role only.
    callers : Listen
        HTTP address for callers, operators and the announcements of instances.
    peers : Listen
        Address for Thrift messages from other daemons.
    control_hosts : tuple of ControlHost
    heartbeat_interval_s : float
    lease_s : float
        Duration of the lease, which is renewed by heartbeats.
    freshness_bound_s : float
        Age of the configuration above which requests with a key are rejected.
    statsd : Statsd or None
    trace_sample_share : float
        Fraction of requests that are traced, from 0 to 1.
    log_level : str
    routing_policy : str
        Registered name of the policy that orders the instances for a read.
    requests : Requests
    pool : Pool
    agreement : Agreement
    operator_token_digest : str or None
        SHA-256 digest of the operators' token; if None, the HTTP API for operators
        requires no token.
    """

    host_id: records.Name
    roles: tuple[Role, ...]
    availability_zone: records.Name
    region: records.Name
    data_folder: Text
    callers: Listen
    peers: Listen
    control_hosts: tuple[ControlHost, ...]
    heartbeat_interval_s: Seconds = 0.5
    lease_s: Seconds = 2.0
    freshness_bound_s: Seconds = 5.0
    statsd: Statsd | None = None
    trace_sample_share: typing.Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    log_level: LogLevel = "INFO"
    routing_policy: str = policies.DEFAULT_POLICY
    requests: Requests = Requests()
    pool: Pool = Pool()
    agreement: Agreement = Agreement()
    operator_token_digest: Digest | None = None


def load_settings(path: str | pathlib.Path) -> Settings:
    """Read the settings from a JSON file.

    Parameters
    ----------
    path : str or pathlib.Path

    Returns
    -------
    Settings

    Raises
    ------
    CheckError
        If the file is not JSON, or as `build_settings` does.
    OSError
        If the file cannot be read.
    """
    body = pathlib.Path(path).read_bytes()
    return build_settings(records.decode_json(body, str(path)))


def build_settings(document: typing.Any) -> Settings:
    """Validate a decoded JSON document and return the settings that it describes.

    Parameters
    ----------
    document : object
        A mapping; see `build_example_settings` for an example.

    Returns
    -------
    Settings

    Raises
    ------
    CheckError
        If a field is unknown, missing or invalid, or if fields contradict each other.

    Examples
    --------
    >>> build_settings(build_example_settings()).lease_s
    2.0
    """
    settings = records.build_record(Settings, document)
    _check_roles(settings)
    _check_control_hosts(settings)
    _check_times(settings)
    checks.check_choice(
        "routing_policy", settings.routing_policy, policies.list_policies()
    )
    return settings


def build_example_settings() -> dict[str, typing.Any]:
    """Return example settings of a host with both roles, as a plain document."""
    control_hosts = tuple(
        ControlHost(f"c{number}", f"10.0.0.{number}", 7100, 7000)
        for number in (1, 2, 3)
    )
    settings = Settings(
        host_id="c1",
        roles=(ENTRY_ROLE, CONTROL_ROLE),
        availability_zone="bagmati-1",
        region="bagmati",
        data_folder="/var/lib/sedgeswitch",
        callers=Listen("10.0.0.1", 7000),
        peers=Listen("10.0.0.1", 7100),
        control_hosts=control_hosts,
        statsd=Statsd("127.0.0.1", 8125),
    )
    return records.to_plain(settings)


def _check_roles(settings: Settings) -> None:
    roles = settings.roles
    if not roles or len(set(roles)) != len(roles):
        raise checks.CheckError("roles", "'entry', 'control' or both, once each", roles)


def _check_control_hosts(settings: Settings) -> None:
    host_ids = [host.host_id for host in settings.control_hosts]
    if not host_ids or len(set(host_ids)) != len(host_ids):
        allowed = "at least one control host, each host_id once"
        raise checks.CheckError("control_hosts", allowed, host_ids)
    addresses = {(host.host, host.port) for host in settings.control_hosts}
    if len(addresses) != len(host_ids):
        allowed = "a different host and port for each control host"
        raise checks.CheckError("control_hosts", allowed, sorted(addresses))


def _check_times(settings: Settings) -> None:
    # A lease must not expire when one heartbeat is lost.
    shortest_lease_s = 2 * settings.heartbeat_interval_s
    checks.check_range("lease_s", settings.lease_s, shortest_lease_s)
    checks.check_range(
        "freshness_bound_s", settings.freshness_bound_s, settings.heartbeat_interval_s
    )
    agreement = settings.agreement
    checks.check_range(
        "agreement.election_timeout_s",
        agreement.election_timeout_s,
        2 * agreement.append_interval_s,
    )
