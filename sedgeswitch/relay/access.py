"""Checks which database a caller may use, by its key."""

import typing

from sedgeswitch.databases import documents
from sedgeswitch.databases import sections
from sedgeswitch.drivers import sessions
from sedgeswitch.relay import connections
from sedgeswitch.relay import steps

# Longest time since the leader confirmed the document for which a database or key that
# it lacks counts as unknown, in seconds; three intervals of heartbeats.
MAX_UNCONFIRMED_S = 1.5


class Access(typing.NamedTuple):
    """Access rights and limits of one operation.

    They come from the configuration document in force when the operation began.

    Attributes
    ----------
    database : documents.Database
    organisation : str
        Name under which the operation runs on instances.
    is_rate_limited : bool
        Whether the operation counts against the organisation's rate limit. False
        for a caller without an organisation.
    version : int
        Version of the configuration document.
    transaction_idle_s : float
        Idle time after which an open transaction is rolled back, in seconds.
    allowed_regions : frozenset of str or None
        Regions in which the operation's statements may run; None for all.
    organisation_priority : int
        0 is the highest, also for a caller without an organisation.
    """

    database: documents.Database
    organisation: str
    is_rate_limited: bool
    version: int
    transaction_idle_s: float
    allowed_regions: frozenset[str] | None = None
    organisation_priority: int = 0


def check_access(
    section: sections.EntrySection, database_name: str, key: str, now_s: float
) -> Access:
    """Return the access of a caller under the document in force.

    Raises
    ------
    steps.FailedError
        ``OVERLOADED`` if this host has not received a document yet,
        ``UNKNOWN_DATABASE`` if the document lacks the database,
        ``UNAUTHENTICATED`` if the key is unknown and the database is not public;
        ``OVERLOADED`` in place of these two if a newer document may exist.
    """
    document = section.document
    if document.version == 0:
        raise steps.FailedError(
            sessions.Failure.OVERLOADED,
            "no configuration received yet; retry after 500 ms",
        )
    database = document.databases.get(database_name)
    if database is None:
        raise _build_denial(
            sessions.Failure.UNKNOWN_DATABASE,
            "database: expected the name of a configured database",
            section.get_age_s(now_s),
        )
    organisation = section.get_organisation(key)
    if organisation is None and not database.is_public:
        raise _build_denial(
            sessions.Failure.UNAUTHENTICATED,
            "key: expected the key of a configured organisation",
            section.get_age_s(now_s),
        )
    name = (
        connections.PUBLIC_ORGANISATION if organisation is None else organisation.name
    )
    return Access(
        database,
        name,
        organisation is not None,
        document.version,
        document.transaction_idle_s,
        _get_allowed_regions(database, organisation),
        organisation_priority=0 if organisation is None else organisation.priority,
    )


def update_regions(access: Access, document: documents.Document) -> Access:
    """Return an access with the allowed regions of the document now in force.

    A database or an organisation that the document lacks keeps the limits that the
    operation began with.
    """
    if document.version == access.version:
        return access
    database = document.databases.get(access.database.database)
    organisation = None
    if access.is_rate_limited:
        organisation = document.organisations.get(access.organisation)
    if database is None or (access.is_rate_limited and organisation is None):
        return access
    return access._replace(allowed_regions=_get_allowed_regions(database, organisation))


def _get_allowed_regions(
    database: documents.Database, organisation: documents.Organisation | None
) -> frozenset[str] | None:
    """Return the regions that both allow, None for all regions."""
    organisation_regions = () if organisation is None else organisation.allowed_regions
    return documents.intersect_regions((database.allowed_regions, organisation_regions))


def _build_denial(
    failure: sessions.Failure, detail: str, age_s: float
) -> steps.FailedError:
    """Return the failure of a caller that the document does not know.

    A document that the leader has not confirmed recently may lack what a newer one
    has, so that the caller should try again.
    """
    if age_s <= MAX_UNCONFIRMED_S:
        return steps.FailedError(failure, detail)
    return steps.FailedError(
        sessions.Failure.OVERLOADED,
        f"{detail}; a newer configuration may exist; retry after 500 ms",
        is_retryable=True,
    )
