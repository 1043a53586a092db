"""Errors that the stand-in instance sends to its clients, with their SQLSTATE."""

import sqlite3

READ_ONLY_TRANSACTION = "25006"
FAILED_TRANSACTION = "25P02"
LOCK_NOT_AVAILABLE = "55P03"
NOT_IN_PREREQUISITE_STATE = "55000"
TOO_MANY_CONNECTIONS = "53300"
CANNOT_CONNECT_NOW = "57P03"
QUERY_CANCELED = "57014"
PROTOCOL_VIOLATION = "08P01"
FEATURE_NOT_SUPPORTED = "0A000"
INVALID_TEXT_REPRESENTATION = "22P02"
INVALID_STATEMENT_NAME = "26000"
INVALID_CURSOR_NAME = "34000"
SYNTAX_ERROR = "42601"
INTERNAL_ERROR = "XX000"

_SQLSTATE_OF_ERROR_NAME = {
    "SQLITE_CONSTRAINT_UNIQUE": "23505",
    "SQLITE_CONSTRAINT_PRIMARYKEY": "23505",
    "SQLITE_CONSTRAINT_ROWID": "23505",
    "SQLITE_CONSTRAINT_NOTNULL": "23502",
    "SQLITE_CONSTRAINT_FOREIGNKEY": "23503",
    "SQLITE_CONSTRAINT_CHECK": "23514",
    "SQLITE_BUSY": LOCK_NOT_AVAILABLE,
    "SQLITE_BUSY_SNAPSHOT": LOCK_NOT_AVAILABLE,
}
_SQLSTATE_OF_MESSAGE_PART = (
    ("no such table", "42P01"),
    ("no such column", "42703"),
    ("no such function", "42883"),
    ("already exists", "42P07"),
    ("syntax error", SYNTAX_ERROR),
    ("incomplete input", SYNTAX_ERROR),
)


class DatabaseError(Exception):
    """An error that is sent to the client.

    Parameters
    ----------
    sqlstate : str
        Five-character error code of PostgreSQL.
    message : str
        Human-readable text.
    fatal : bool
        Whether the connection is closed after the error.
    """

    def __init__(self, sqlstate: str, message: str, fatal: bool = False):
        super().__init__(f"{sqlstate}: {message}")
        self.sqlstate = sqlstate
        self.message = message
        self.fatal = fatal


def build_database_error(error: sqlite3.Error) -> DatabaseError:
    """Return the error to send to the client for an error of SQLite.

    The SQLSTATE follows from SQLite's error name or, for errors that share one
    name, from a part of the message; otherwise it is ``XX000``.
    """
    message = str(error)
    name = getattr(error, "sqlite_errorname", "")
    if name in _SQLSTATE_OF_ERROR_NAME:
        return DatabaseError(_SQLSTATE_OF_ERROR_NAME[name], message)
    for part, sqlstate in _SQLSTATE_OF_MESSAGE_PART:
        if part in message:
            return DatabaseError(sqlstate, message)
    return DatabaseError(INTERNAL_ERROR, message)
