"""The configuration document of databases, groups and organisations."""

import collections.abc
import enum
import typing

from sedgeswitch.transport import catalog
from sedgeswitch.utils import checks
from sedgeswitch.utils import records

# Rate and burst of an organisation that has no limit.
UNLIMITED_PER_S = 1e9
# Longest time of a document, in seconds. In milliseconds it fits into the 32 bits of
# the messages between hosts.
LONGEST_S = 86_400.0


class Freshness(enum.Enum):
    """Guarantees of a database about the freshness of its reads.

    With `PRIMARY`, reads run on the primary only. With `BOUNDED`, a replica that runs
    a read must have reached a log position that the primary had at most
    `Database.max_staleness_s` ago. With `SESSION`, it must also have reached the
    session's floor, the log position of the writes that the read must include.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


def clip_time_s(time_s: float) -> float:
    """Return a time in the range that timers and messages represent."""
    return min(max(time_s, 0.0), LONGEST_S)


def clip_rate_per_s(rate_per_s: float) -> float:
    """Return a rate, or a burst, that is not negative and at most unlimited."""
    return min(max(rate_per_s, 0.0), UNLIMITED_PER_S)


def clip_count(count: int) -> int:
    """Return a number in the range that messages represent."""
    return min(max(count, 0), catalog.MAX_INT32)


class Database(typing.NamedTuple):
    """A database as callers name it.

    Attributes
    ----------
    name : str
        Name of the routing rule, for logs.
    database : str
        Database name that callers connect to.
    group : str
        Database group that serves it.
    freshness : Freshness
    statement_timeout_s : float
        Timeout of one statement, in seconds.
    target_latency_s : float
        Target latency of an operation, in seconds.
    priority : int
        0 is the highest.
    max_staleness_s : float
        Maximum age of the data that a read returns, in seconds; 0 for the current
        data of the primary.
    is_public : bool
        Whether callers without a key are served.
    allowed_regions : tuple of str
        Regions in which its statements may run; empty for all.
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
    allowed_regions: tuple[str, ...] = ()


class Group(typing.NamedTuple):
    """A database group.

    Attributes
    ----------
    name : str
    max_connections : int
        Maximum number of connections of all hosts together to each instance.
    sync_replicas : int
        Number of replicas that must have a write before the primary acknowledges
        it.
    cold_start_s : float
        Time for which an instance is slow after its start, in seconds.
    cold_rate_per_s : float
        Statements per second that all hosts together may send to an instance during
        that time; 0 for no limit.
    """

    name: str
    max_connections: int
    sync_replicas: int = 0
    cold_start_s: float = 0.0
    cold_rate_per_s: float = 0.0


class Organisation(typing.NamedTuple):
    """An organisation and its limits.

    Attributes
    ----------
    name : str
    keys : tuple of str
        API keys of its callers.
    rate_per_s, burst : float
        Refill rate and capacity of its token bucket.
    priority : int
        0 is the highest.
    allowed_regions : tuple of str
        Regions in which its statements may run; empty for all.
    """

    name: str
    keys: tuple[str, ...]
    rate_per_s: float
    burst: float
    priority: int = 0
    allowed_regions: tuple[str, ...] = ()


class Document(typing.NamedTuple):
    """The whole configuration that operators set, under one version.

    Attributes
    ----------
    version : int
        0 before the first document.
    databases : mapping of str to Database
        Keyed by the database name that callers connect to.
    groups : mapping of str to Group
    organisations : mapping of str to Organisation
    transaction_idle_s : float
        Idle time in seconds after which an open transaction may be ended.
    """

    version: int = 0
    databases: collections.abc.Mapping[str, Database] = records.EMPTY_MAPPING
    groups: collections.abc.Mapping[str, Group] = records.EMPTY_MAPPING
    organisations: collections.abc.Mapping[str, Organisation] = records.EMPTY_MAPPING
    transaction_idle_s: float = 60.0


Decode = collections.abc.Callable[[bytes], Document]


class Location(typing.NamedTuple):
    """Part of a document that a finding or a difference is about.

    Attributes
    ----------
    collection : str
        Field of `Document`.
    name : str, optional
        Key of the item in the collection; None for the collection itself.
    field : str, optional
        Field of the item; None for the whole item.
    """

    collection: str
    name: str | None = None
    field: str | None = None


class Fault(typing.NamedTuple):
    """A reason to refuse a document."""

    location: Location
    error: checks.CheckError


def check_document(document: Document) -> Document:
    """Return `document` if it is consistent.

    Raises
    ------
    CheckError
        The first fault of `find_faults`.
    """
    for fault in find_faults(document):
        raise fault.error
    return document


def find_faults(document: Document) -> collections.abc.Iterator[Fault]:
    """Yield the reasons to refuse a document.

    A database must name a group of the document and have a statement timeout above 0,
    and no two organisations may share a key.
    """
    for database in document.databases.values():
        if database.group not in document.groups:
            yield _build_fault(
                Location("databases", database.database, "group"),
                "a group of the document",
                database.group,
            )
        if database.statement_timeout_s <= 0:
            yield _build_fault(
                Location("databases", database.database, "statement_timeout_s"),
                "a time in seconds above 0",
                database.statement_timeout_s,
            )
    yield from _find_shared_keys(document)


def remove_faulty(
    document: Document, faults: collections.abc.Iterable[Fault]
) -> Document:
    """Return a document without the items that faults are about."""
    faulty = {(fault.location.collection, fault.location.name) for fault in faults}
    kept = {
        collection: {
            name: item
            for name, item in getattr(document, collection).items()
            if (collection, name) not in faulty
        }
        for collection in ("databases", "groups", "organisations")
    }
    return document._replace(**kept)


def build_group_regions(document: Document) -> dict[str, frozenset[str]]:
    """Return the regions that all databases of a group allow, by group.

    A group whose databases allow all regions is left out.
    """
    lists: dict[str, list[tuple[str, ...]]] = {}
    for database in document.databases.values():
        if database.allowed_regions:
            lists.setdefault(database.group, []).append(database.allowed_regions)
    return {group: intersect_regions(items) for group, items in lists.items()}


def intersect_regions(
    lists: collections.abc.Iterable[collections.abc.Collection[str]],
) -> frozenset[str] | None:
    """Return the regions that every list names; an empty list names all regions.

    Returns
    -------
    frozenset of str or None
        None if all regions are allowed; an empty set if the lists have none in common.
    """
    restricting = [frozenset(regions) for regions in lists if regions]
    return frozenset.intersection(*restricting) if restricting else None


def index_keys(document: Document) -> dict[str, str]:
    """Return the name of the organisation of each key.

    Raises
    ------
    CheckError
        If two organisations share a key. The error does not include the key,
        because it is a secret.
    """
    for fault in _find_shared_keys(document):
        raise fault.error
    return {
        key: organisation.name
        for organisation in document.organisations.values()
        for key in organisation.keys
    }


def _find_shared_keys(document: Document) -> collections.abc.Iterator[Fault]:
    organisation_by_key: dict[str, str] = {}
    for organisation in document.organisations.values():
        for key in organisation.keys:
            owner = organisation_by_key.setdefault(key, organisation.name)
            if owner != organisation.name:
                yield _build_fault(
                    Location("organisations", organisation.name, "keys"),
                    "keys that belong to no other organisation",
                    f"a key of {owner}",
                )


def _build_fault(location: Location, allowed: str, given: object) -> Fault:
    return Fault(location, checks.CheckError(".".join(location), allowed, given))
