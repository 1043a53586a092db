"""The document of databases, groups and organisations, and its checks."""

import collections.abc
import enum
import typing

from sedgeswitch.utils import checks
from sedgeswitch.utils import records


class Freshness(enum.Enum):
    """What a database promises about the age of what its reads see."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


class Database(typing.NamedTuple):
    """A database as callers name it.

    Attributes
    ----------
    name : str
        Name of the rule, for logs.
    database : str
        Name that callers connect to.
    group : str
        Database group that serves it.
    freshness : Freshness
    statement_timeout_s : float
        Longest time for one statement.
    target_latency_s : float
        Time within which an operation should end.
    priority : int
        0 is the highest.
    max_staleness_s : float
        Age that a read may have; 0 for the primary's own data.
    is_public : bool
        Whether it serves callers without a key.
    """

    name: str
    database: str
    group: str
    freshness: Freshness
    statement_timeout_s: float
    target_latency_s: float
    priority: int = 0
    max_staleness_s: float = 0.0
    is_public: bool = False


class Group(typing.NamedTuple):
    """A database group.

    Attributes
    ----------
    name : str
    max_connections : int
        Connections that each of its instances takes from all hosts together.
    sync_replicas : int
        Replicas that hold a write before the primary acknowledges it.
    """

    name: str
    max_connections: int
    sync_replicas: int = 0


class Organisation(typing.NamedTuple):
    """An organisation and its limits.

    Attributes
    ----------
    name : str
    keys : tuple of str
    rate_per_s, burst : float
    priority : int
    """

    name: str
    keys: tuple[str, ...]
    rate_per_s: float
    burst: float
    priority: int = 0


class Document(typing.NamedTuple):
    """Everything that operators configure, under one version.

    Attributes
    ----------
    version : int
        0 before the first document.
    databases : mapping of str to Database
        By the name that callers connect to.
    groups : mapping of str to Group
    organisations : mapping of str to Organisation
    transaction_idle_s : float
        Idle time after which an open transaction may be ended.
    """

    version: int = 0
    databases: collections.abc.Mapping[str, Database] = records.EMPTY_MAPPING
    groups: collections.abc.Mapping[str, Group] = records.EMPTY_MAPPING
    organisations: collections.abc.Mapping[str, Organisation] = records.EMPTY_MAPPING
    transaction_idle_s: float = 60.0


Decode = collections.abc.Callable[[bytes], Document]


def check_document(document: Document) -> Document:
    """Return a document whose parts fit together.

    Raises
    ------
    CheckError
        If a database names an unknown group or has no time for a statement, or
        if two organisations share a key.
    """
    for database in document.databases.values():
        if database.group not in document.groups:
            raise checks.CheckError(
                f"databases.{database.database}.group", "a known group", database.group
            )
        if database.statement_timeout_s <= 0:
            raise checks.CheckError(
                f"databases.{database.database}.statement_timeout_s",
                "a time above 0",
                database.statement_timeout_s,
            )
    index_keys(document)
    return document


def index_keys(document: Document) -> dict[str, str]:
    """Return the organisation of each key.

    Raises
    ------
    CheckError
        If two organisations share a key; the error does not show it.
    """
    owners: dict[str, str] = {}
    for organisation in document.organisations.values():
        for key in organisation.keys:
            owner = owners.setdefault(key, organisation.name)
            if owner != organisation.name:
                raise checks.CheckError(
                    f"organisations.{organisation.name}.keys",
                    "keys that no other organisation has",
                    f"a key of {owner}",
                )
    return owners
