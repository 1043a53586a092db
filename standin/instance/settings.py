"""Settings of an instance, and the delays and faults that tests set at run time."""

import dataclasses
import pathlib
import typing

import msgspec

from standin import addresses


class Settings(typing.NamedTuple):
    """Settings of an instance that are fixed at its start.

    Attributes
    ----------
    instance, group : str
        Names of the instance and its database group.
    data_folder : pathlib.Path
        Folder of the SQLite file.
    host : str
        IP address that the instance listens on and announces.
    port, peer_port, control_port : int
        Ports for clients, for replication to other instances, and for statistics
        and faults; 0 for any free port.
    announced_port : int
        Client port that is announced to entry hosts; 0 for `port`.
    is_first_primary : bool
        Whether the instance starts as the primary if it has no data yet.
    peers, announce_to : tuple of Address
        Peer ports of the other instances, and entry hosts that receive the
        announcements.
    availability_zone : str
        Announced availability zone.
    labels : dict
        Announced labels.
    slots : int
        Maximum number of statements that run concurrently.
    max_connections : int
        Maximum number of open connections.
    connect_delay_ms, statement_ms, replication_lag_ms : float
        Initial delays of a new connection, of a statement and of applying a
        received log entry.
    lock_timeout_ms : float
        Timeout of waiting for the write lock.
    announce_interval_s : float
        Interval between two announcements to one entry host.
    """

    instance: str
    group: str
    data_folder: pathlib.Path
    host: str = "127.0.0.1"
    port: int = 0
    peer_port: int = 0
    control_port: int = 0
    announced_port: int = 0
    is_first_primary: bool = False
    peers: tuple[addresses.Address, ...] = ()
    announce_to: tuple[addresses.Address, ...] = ()
    availability_zone: str = ""
    labels: dict[str, str] = {}
    slots: int = 3
    max_connections: int = 20
    connect_delay_ms: float = 0.0
    statement_ms: float = 0.0
    replication_lag_ms: float = 0.0
    lock_timeout_ms: float = 5000.0
    announce_interval_s: float = 1.0


class FaultChange(msgspec.Struct, forbid_unknown_fields=True):
    """Request body of ``POST /faults``; an absent field keeps its value.

    Attributes
    ----------
    replication_lag_ms, statement_ms, connect_delay_ms : float
        Delays, as in `Settings`.
    freeze : bool
        Accept connections, but send no response to clients and peers.
    cut_replication : bool
        Request no log entries from the primary.
    cut_peers : bool
        Connect to no peer and respond to none.
    """

    replication_lag_ms: float | msgspec.UnsetType = msgspec.UNSET
    statement_ms: float | msgspec.UnsetType = msgspec.UNSET
    connect_delay_ms: float | msgspec.UnsetType = msgspec.UNSET
    freeze: bool | msgspec.UnsetType = msgspec.UNSET
    cut_replication: bool | msgspec.UnsetType = msgspec.UNSET
    cut_peers: bool | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass
class Faults:
    """Delays and faults that are in force; see `FaultChange` for the fields."""

    replication_lag_ms: float = 0.0
    statement_ms: float = 0.0
    connect_delay_ms: float = 0.0
    freeze: bool = False
    cut_replication: bool = False
    cut_peers: bool = False

    def change(self, change: FaultChange) -> None:
        """Apply the fields that are set in `change`."""
        for field in dataclasses.fields(self):
            value = getattr(change, field.name)
            if value is not msgspec.UNSET:
                setattr(self, field.name, value)


@dataclasses.dataclass
class Counters:
    """Statistics since the start of the process.

    Attributes
    ----------
    connections, highest_connections, refused_connections : int
        Number of open connections, its maximum, and the number rejected because
        of `max_connections`.
    running_statements, highest_running_statements : int
        Number of statements that hold a slot, and its maximum.
    active_statements : int
        Number of statements that are running or waiting, for example for a slot.
    statements, failed_statements : int
        Number of statements received, and of messages answered with a non-fatal
        error.
    open_transactions : int
        Number of explicit transactions that have not ended; failed ones count.
    last_statement_s : float or None
        Time of the trio clock at which a statement last took a slot.  Calls of
        status functions such as ``pg_is_in_recovery()`` take none.
    """

    connections: int = 0
    highest_connections: int = 0
    refused_connections: int = 0
    running_statements: int = 0
    highest_running_statements: int = 0
    active_statements: int = 0
    statements: int = 0
    failed_statements: int = 0
    open_transactions: int = 0
    last_statement_s: float | None = None


def parse_labels(text: str) -> dict[str, str]:
    """Return the labels of a list ``name=value,...``; none for an empty text.

    Raises
    ------
    ValueError
        If a label has no ``=``.
    """
    labels: dict[str, str] = {}
    for part in filter(None, text.split(",")):
        name, separator, value = part.partition("=")
        if not separator:
            raise ValueError(
                f"labels: expected a list name=value,..., got the item {part!r}"
            )
        labels[name.strip()] = value.strip()
    return labels
