"""The data of an instance: one SQLite file that also holds the log of commits.

The log entry of a transaction is written in the same transaction, so that data
and log are consistent after the process is killed.
"""

import os
import pathlib
import sqlite3
import typing

import msgspec

from standin.instance import translation

DATABASE_FILE = "instance.sqlite"
FIRST_LSN = 0x1000000
"""High enough that all positions have the same number of digits: their texts
then sort in the order of the positions."""
FIRST_TIMELINE = 1

_SCHEMA = """
CREATE TABLE IF NOT EXISTS _wal (
    lsn INTEGER PRIMARY KEY, timeline INTEGER NOT NULL, body BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS _history (
    timeline INTEGER PRIMARY KEY, start_lsn INTEGER NOT NULL, promoter TEXT NOT NULL);
"""
_PRAGMAS = ("journal_mode=WAL", "synchronous=OFF", "foreign_keys=ON")


class LoggedStatement(typing.NamedTuple):
    """A statement of a committed transaction, as the client sent it."""

    sql: str
    values: tuple[str | None, ...]


class LogEntry(typing.NamedTuple):
    """A committed transaction in the log."""

    lsn: int
    timeline: int
    statements: tuple[LoggedStatement, ...]


class TimelineSwitch(typing.NamedTuple):
    """The start of a timeline.

    Attributes
    ----------
    timeline : int
        Number of the timeline.
    start_lsn : int
        Last position of the previous timeline.
    promoter : str
        Name of the instance that was promoted; empty for the first timeline.
    """

    timeline: int
    start_lsn: int
    promoter: str


FIRST_TIMELINE_SWITCH = TimelineSwitch(FIRST_TIMELINE, FIRST_LSN, "")


def format_lsn(lsn: int) -> str:
    """Return the text of a log position in PostgreSQL's format.

    Examples
    --------
    >>> format_lsn(0x1000001)
    '0/1000001'
    """
    return f"{lsn >> 32:X}/{lsn & 0xFFFFFFFF:X}"


def parse_lsn(text: str) -> int:
    """Return the log position whose text is `text`.

    Raises
    ------
    ValueError
        If the text is not a log position.
    """
    high, low = text.split("/")
    return (int(high, 16) << 32) + int(low, 16)


class Store:
    """The SQLite file of an instance.

    Parameters
    ----------
    folder : pathlib.Path
        Data folder; created if missing.

    Attributes
    ----------
    is_new : bool
        Whether the file did not exist before.
    lsn : int
        Position of the last log entry.
    history : tuple of TimelineSwitch
        Timelines of the log, the oldest first.
    """

    def __init__(self, folder: pathlib.Path):
        os.makedirs(folder, exist_ok=True)
        self._path = folder / DATABASE_FILE
        self.is_new = not self._path.exists()
        self._connection = self.build_connection()
        self._connection.executescript(_SCHEMA)
        if not self._connection.execute("SELECT 1 FROM _history").fetchone():
            self._insert_timeline_switch(FIRST_TIMELINE_SWITCH)
        self.lsn = self._load_lsn()
        self.history = self._load_history()

    @property
    def timeline(self) -> int:
        """The current timeline of the instance."""
        return self.history[-1].timeline

    def build_connection(self) -> sqlite3.Connection:
        """Return a new connection to the file, in autocommit mode.

        With a timeout of 0, a locked file raises an error instead of blocking
        the event loop.
        """
        connection = sqlite3.connect(self._path, isolation_level=None, timeout=0)
        for pragma in _PRAGMAS:
            connection.execute(f"PRAGMA {pragma}")
        return connection

    def commit(
        self,
        connection: sqlite3.Connection,
        statements: typing.Sequence[LoggedStatement],
    ) -> int:
        """Log and commit the open transaction of `connection`; return its position."""
        entry = LogEntry(self.lsn + 1, self.timeline, tuple(statements))
        _add_entry(connection, entry)
        connection.execute("COMMIT")
        self.lsn = entry.lsn
        return entry.lsn

    def apply(
        self,
        entries: typing.Sequence[LogEntry],
        history: typing.Sequence[TimelineSwitch],
    ) -> None:
        """Apply the next entries of the primary's log in one transaction.

        Parameters
        ----------
        entries : sequence of LogEntry
            Entries that follow the position of this store.
        history : sequence of TimelineSwitch
            Timelines of the primary; those whose start the applied log has
            reached are added in the same transaction.
        """
        lsn = entries[-1].lsn if entries else self.lsn
        own_length = len(self.history)
        switches = [
            switch for switch in history[own_length:] if switch.start_lsn <= lsn
        ]
        if not entries and not switches:
            return
        self._connection.execute("BEGIN IMMEDIATE")
        try:
            for entry in entries:
                self._apply_entry(entry)
            for switch in switches:
                self._insert_timeline_switch(switch)
            self._connection.execute("COMMIT")
        except BaseException:
            self._connection.execute("ROLLBACK")
            raise
        self.lsn = lsn
        self.history = self._load_history()

    def _apply_entry(self, entry: LogEntry) -> None:
        for logged in entry.statements:
            statement = translation.parse_statement(logged.sql)
            bindings = translation.build_bindings(logged.values)
            self._connection.execute(statement.translated, bindings).fetchall()
        _add_entry(self._connection, entry)

    def load_entries(self, after_lsn: int, limit: int) -> list[LogEntry]:
        """Return up to `limit` log entries after the position `after_lsn`."""
        rows = self._connection.execute(
            "SELECT lsn, timeline, body FROM _wal WHERE lsn > ? ORDER BY lsn LIMIT ?",
            (after_lsn, limit),
        )
        return [
            LogEntry(
                lsn,
                timeline,
                msgspec.json.decode(body, type=tuple[LoggedStatement, ...]),
            )
            for lsn, timeline, body in rows
        ]

    def start_timeline(self, switch: TimelineSwitch) -> None:
        """Add the start of a timeline to the history."""
        self._insert_timeline_switch(switch)
        self.history = self._load_history()

    def drop_data(self) -> None:
        """Remove all tables, the log and the history, as in a new file."""
        connection = self._connection
        connection.execute("PRAGMA foreign_keys=OFF")
        connection.execute("BEGIN IMMEDIATE")
        for kind, name in self._load_tables_and_views():
            connection.execute(f'DROP {kind} IF EXISTS "{name}"')
        connection.execute("DELETE FROM _wal")
        connection.execute("DELETE FROM _history")
        connection.execute("COMMIT")
        connection.execute("PRAGMA foreign_keys=ON")
        self._insert_timeline_switch(FIRST_TIMELINE_SWITCH)
        self.lsn = self._load_lsn()
        self.history = self._load_history()

    def close(self) -> None:
        """Close the connection to the file."""
        self._connection.close()

    def _load_tables_and_views(self) -> list[tuple[str, str]]:
        rows = self._connection.execute(
            "SELECT type, name FROM sqlite_master WHERE type IN ('table', 'view') "
            r"AND name NOT LIKE '\_%' ESCAPE '\' AND name NOT LIKE 'sqlite%'"
        )
        return rows.fetchall()

    def _insert_timeline_switch(self, switch: TimelineSwitch) -> None:
        self._connection.execute("INSERT INTO _history VALUES (?, ?, ?)", switch)

    def _load_lsn(self) -> int:
        row = self._connection.execute("SELECT max(lsn) FROM _wal").fetchone()
        return row[0] or FIRST_LSN

    def _load_history(self) -> tuple[TimelineSwitch, ...]:
        rows = self._connection.execute(
            "SELECT timeline, start_lsn, promoter FROM _history ORDER BY timeline"
        )
        return tuple(TimelineSwitch(*row) for row in rows)


def _add_entry(connection: sqlite3.Connection, entry: LogEntry) -> None:
    body = msgspec.json.encode(entry.statements)
    row = (entry.lsn, entry.timeline, body)
    connection.execute("INSERT INTO _wal VALUES (?, ?, ?)", row)
