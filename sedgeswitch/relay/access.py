"""Who may use which database."""

import typing

from sedgeswitch.databases import documents
from sedgeswitch.databases import sections
from sedgeswitch.drivers import sessions
from sedgeswitch.relay import links
from sedgeswitch.relay import steps


class Access(typing.NamedTuple):
    """What an operation may use, by the document in force when it began.

    Attributes
    ----------
    database : documents.Database
    organisation : str
        Name that instances are told.
    is_limited : bool
        Whether a rate counts the operation.
    version : int
        Version of the document.
    transaction_idle_s : float
    """

    database: documents.Database
    organisation: str
    is_limited: bool
    version: int
    transaction_idle_s: float


def check_access(
    section: sections.EntrySection, database_name: str, key: str
) -> Access:
    """Return what a caller may use now.

    Raises
    ------
    steps.FailedError
        If the database or the key is unknown, or no document has arrived yet.
    """
    document = section.document
    if document.version == 0:
        raise steps.FailedError(
            sessions.Failure.OVERLOADED, "no configuration yet; retry after 500 ms"
        )
    database = document.databases.get(database_name)
    if database is None:
        raise steps.FailedError(
            sessions.Failure.UNKNOWN_DATABASE, "no database has this name"
        )
    organisation = section.get_organisation(key)
    if organisation is None and not database.is_public:
        raise steps.FailedError(
            sessions.Failure.UNAUTHENTICATED, "no organisation holds this key"
        )
    name = links.PUBLIC_ORGANISATION if organisation is None else organisation.name
    return Access(
        database,
        name,
        organisation is not None,
        document.version,
        document.transaction_idle_s,
    )
