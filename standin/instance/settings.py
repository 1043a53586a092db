"""Settings of an instance, and the faults that tests set at run time."""

import dataclasses
import pathlib
import typing

import msgspec

from standin import addresses


class Settings(typing.NamedTuple):
    """What an instance is told at its start.

    Attributes
    ----------
    instance, group : str
        Names of the instance and its group.
    data_folder : pathlib.Path
        Where the data live.
    host : str
        IP number that the instance listens on and announces.
    port, peer_port, control_port : int
        Ports for clients, the other instances and the tests; 0 for any.
    announced_port : int
        Port that is announced to entry hosts; 0 for `port`.
    is_first_primary : bool
        Whether an instance without data starts as the primary.
    peers, announce_to : tuple of Address
        Peer ports of the other instances, and who is told of this one.
    availability_zone : str
        Announced zone.
    labels : dict
        Announced labels.
    slots : int
        Statements that run at once.
    max_connections : int
        Connections that are open at once.
    connect_delay_ms, statement_ms, replication_lag_ms : float
        Delays of a new connection, a statement and the replay of the log.
    lock_timeout_ms : float
        Longest wait for the write lock.
    announce_interval_s : float
        Time between announcements.
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
    """Body of ``POST /faults``; an absent field stays as it is.

    Attributes
    ----------
    freeze : bool
        Accept, but answer nothing to clients and peers.
    cut_replication : bool
        Fetch no log entries.
    cut_peers : bool
        Reach no peer and answer none.
    """

    replication_lag_ms: float | msgspec.UnsetType = msgspec.UNSET
    statement_ms: float | msgspec.UnsetType = msgspec.UNSET
    connect_delay_ms: float | msgspec.UnsetType = msgspec.UNSET
    freeze: bool | msgspec.UnsetType = msgspec.UNSET
    cut_replication: bool | msgspec.UnsetType = msgspec.UNSET
    cut_peers: bool | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass
class Faults:
    """Delays and faults in force."""

    replication_lag_ms: float = 0.0
    statement_ms: float = 0.0
    connect_delay_ms: float = 0.0
    freeze: bool = False
    cut_replication: bool = False
    cut_peers: bool = False

    def change(self, change: FaultChange) -> None:
        """Put the fields of `change` in force."""
        for field in dataclasses.fields(self):
            value = getattr(change, field.name)
            if value is not msgspec.UNSET:
                setattr(self, field.name, value)


@dataclasses.dataclass
class Counters:
    """Counts since the start of the process.

    Attributes
    ----------
    connections, highest_connections, refused_connections : int
        Connections that are open, the most at once, and those refused.
    running_statements, highest_running_statements : int
        Statements that hold a slot now, and the most at once.
    active_statements : int
        Statements that are not answered yet, waiting ones included.
    statements, failed_statements : int
        Statements that arrived, and those answered with an error.
    open_transactions : int
        Transactions that are open or failed.
    last_statement_s : float or None
        When a statement last took a slot; status functions take none.
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


def get_labels(text: str) -> dict[str, str]:
    """Return the labels of a list ``name=value,...``; empty for no text.

    Raises
    ------
    ValueError
        If a label has no value.
    """
    labels: dict[str, str] = {}
    for part in filter(None, text.split(",")):
        name, separator, value = part.partition("=")
        if not separator:
            raise ValueError(f"labels: expected name=value, got {part!r}")
        labels[name.strip()] = value.strip()
    return labels
