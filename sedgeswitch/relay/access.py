"""Checks which database a caller may use, by its key."""

import typing

from sedgeswitch.databases import documents
from sedgeswitch.databases import sections
from sedgeswitch.drivers import sessions
from sedgeswitch.relay import connections
from sedgeswitch.relay import steps


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
    """

    database: documents.Database
    organisation: str
    is_rate_limited: bool
    version: int
    transaction_idle_s: float


def check_access(
    section: sections.EntrySection, database_name: str, key: str
) -> Access:
    """Return the access of a caller under the document in force.

    Raises
    ------
    steps.FailedError
        ``OVERLOADED`` if this host has not received a document yet,
        ``UNKNOWN_DATABASE`` if the document lacks the database,
        ``UNAUTHENTICATED`` if the key is unknown and the database is not public.
    """
    document = section.document
    if document.version == 0:
        raise steps.FailedError(
            sessions.Failure.OVERLOADED,
            "no configuration received yet; retry after 500 ms",
        )
    database = document.databases.get(database_name)
    if database is None:
        raise steps.FailedError(
            sessions.Failure.UNKNOWN_DATABASE,
            "database: expected the name of a configured database",
        )
    organisation = section.get_organisation(key)
    if organisation is None and not database.is_public:
        raise steps.FailedError(
            sessions.Failure.UNAUTHENTICATED,
            "key: expected the key of a configured organisation",
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
    )
