"""Storage of the log in one SQLite file."""

import collections.abc
import contextlib
import pathlib
import sqlite3
import typing

import msgspec
import xxhash

from sedgeswitch.agreement import errors
from sedgeswitch.agreement import storage

FILE_NAME = "agreement.sqlite"
_SCHEMA_VERSION = 1
_PRIMARY_CODE_MASK = 0xFF
# With these errors the file may be intact: another process uses it, or the operating
# system refuses access. It must not be replaced by an empty one.
_UNREADABLE_CODES = (
    sqlite3.SQLITE_BUSY,
    sqlite3.SQLITE_CANTOPEN,
    sqlite3.SQLITE_IOERR,
    sqlite3.SQLITE_LOCKED,
    sqlite3.SQLITE_NOMEM,
    sqlite3.SQLITE_PERM,
    sqlite3.SQLITE_READONLY,
)
_SCHEMA = """
CREATE TABLE state (id INTEGER PRIMARY KEY, body BLOB, checksum BLOB);
CREATE TABLE snapshot (id INTEGER PRIMARY KEY, body BLOB, checksum BLOB);
CREATE TABLE entry (
    idx INTEGER PRIMARY KEY, term INTEGER, kind INTEGER, body BLOB, checksum BLOB
);
"""


class _StateRow(typing.NamedTuple):
    """The row that each transaction rewrites.

    It repeats the bounds of the log, so that an entry that was lost can be
    distinguished from one that was never written.
    """

    incarnation: str
    term: int = 0
    voted_for: str = ""
    first_index: int = 1
    last_index: int = 0


class _DamageError(Exception):
    """The file does not contain what was synced to it."""


# A damaged schema makes sqlite3 raise ValueError or UnicodeDecodeError.
_DAMAGE_ERRORS = (_DamageError, sqlite3.Error, msgspec.MsgspecError, ValueError)


class SqliteStorage:
    """Stores the log in one SQLite file, with full synchronization to disk.

    Parameters
    ----------
    folder : pathlib.Path
        The data folder; it is created by `reset` if missing.

    Notes
    -----
    The file uses a rollback journal instead of a write-ahead log: SQLite silently
    drops the tail of a torn write-ahead log, even if the tail was synced and
    acknowledged before. In this file each loss is detected as a failed checksum, as
    a gap in the indexes or as a mismatch with the bounds in the state row.
    """

    def __init__(self, folder: pathlib.Path):
        self._path = pathlib.Path(folder) / FILE_NAME
        self._connection: sqlite3.Connection | None = None
        self._state = _StateRow("")

    def open(self) -> storage.StoredState:
        """Read the data folder; see `storage.Storage.open`.

        Raises
        ------
        errors.StorageError
            If the file is in use or the operating system cannot read it.
        """
        if not self._path.exists():
            return storage.StoredState()
        try:
            self._connect()
            return self._load()
        except _DAMAGE_ERRORS as error:
            self.close()
            code = getattr(error, "sqlite_errorcode", sqlite3.SQLITE_OK)
            if code & _PRIMARY_CODE_MASK in _UNREADABLE_CODES:
                raise errors.StorageError(f"{self._path}: {error}") from error
            return storage.StoredState(damage=f"{self._path}: {error}")

    def reset(self, incarnation: str) -> None:
        """Create a new file; an old one is renamed and its journal deleted."""
        self.close()
        self._path.parent.mkdir(parents=True, exist_ok=True)
        self._rename_damaged_file()
        self._connect()
        with self._transaction() as connection:
            connection.execute(f"PRAGMA user_version = {_SCHEMA_VERSION}")
            for statement in _SCHEMA.split(";"):
                connection.execute(statement)
            self._save_state(_StateRow(incarnation))

    def write(self, changes: collections.abc.Sequence[storage.Change]) -> None:
        """Store all changes in one synced transaction.

        Raises
        ------
        errors.StorageError
            If the changes could not be stored; none of them is then.
        """
        with self._transaction():
            state = self._state
            for change in changes:
                state = self._store(change, state)
            self._save_state(state)

    def close(self) -> None:
        """Close the file."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _connect(self) -> None:
        self._connection = sqlite3.connect(
            self._path, isolation_level=None, check_same_thread=False, timeout=1.0
        )
        self._connection.execute("PRAGMA locking_mode = EXCLUSIVE")
        self._connection.execute("PRAGMA journal_mode = TRUNCATE")
        self._connection.execute("PRAGMA synchronous = FULL")

    def _rename_damaged_file(self) -> None:
        number = 1
        while (target := self._path.with_suffix(f".damaged-{number}")).exists():
            number += 1
        journal = self._path.with_name(FILE_NAME + "-journal")
        journal.unlink(missing_ok=True)
        if self._path.exists():
            self._path.rename(target)

    @contextlib.contextmanager
    def _transaction(self) -> collections.abc.Iterator[sqlite3.Connection]:
        connection = self._connection
        if connection is None:
            raise errors.StorageError(f"{self._path} is not open")
        previous_state = self._state
        try:
            connection.execute("BEGIN IMMEDIATE")
            yield connection
            connection.execute("COMMIT")
        except sqlite3.Error as error:
            self._state = previous_state
            with contextlib.suppress(sqlite3.Error):
                connection.execute("ROLLBACK")
            raise errors.StorageError(f"{self._path}: {error}") from error

    def _store(self, change: storage.Change, state: _StateRow) -> _StateRow:
        match change:
            case storage.SaveVote(term, voted_for):
                return state._replace(term=term, voted_for=voted_for)
            case storage.Append(entries):
                return self._store_entries(entries, state)
            case storage.Truncate(from_index):
                return self._store_truncation(from_index, state)
            case storage.SaveSnapshot(snapshot, keep_from_index):
                return self._store_snapshot(snapshot, keep_from_index, state)
        raise TypeError(f"unknown change {change!r}")

    def _store_entries(
        self, entries: tuple[storage.Entry, ...], state: _StateRow
    ) -> _StateRow:
        rows = [
            (entry.index, entry.term, entry.kind, entry.body, _hash_entry(entry))
            for entry in entries
        ]
        self._connection.executemany("INSERT INTO entry VALUES (?, ?, ?, ?, ?)", rows)
        return state._replace(last_index=entries[-1].index)

    def _store_truncation(self, from_index: int, state: _StateRow) -> _StateRow:
        self._connection.execute("DELETE FROM entry WHERE idx >= ?", (from_index,))
        return state._replace(last_index=min(state.last_index, from_index - 1))

    def _store_snapshot(
        self, snapshot: storage.Snapshot, keep_from_index: int, state: _StateRow
    ) -> _StateRow:
        self._save_row("snapshot", msgspec.msgpack.encode(snapshot))
        self._connection.execute("DELETE FROM entry WHERE idx < ?", (keep_from_index,))
        last_index = max(state.last_index, keep_from_index - 1)
        return state._replace(first_index=keep_from_index, last_index=last_index)

    def _save_state(self, state: _StateRow) -> None:
        self._save_row("state", msgspec.msgpack.encode(state))
        self._state = state

    def _save_row(self, table: str, body: bytes) -> None:
        self._connection.execute(
            f"INSERT OR REPLACE INTO {table} VALUES (1, ?, ?)", (body, _hash(body))
        )

    def _load_row(self, table: str) -> bytes | None:
        row = self._connection.execute(f"SELECT body, checksum FROM {table}").fetchone()
        if row is None:
            return None
        body, checksum = row
        if not isinstance(body, bytes) or checksum != _hash(body):
            raise _DamageError(f"checksum mismatch in the row of table {table!r}")
        return body

    def _load(self) -> storage.StoredState:
        version = self._connection.execute("PRAGMA user_version").fetchone()[0]
        if version != _SCHEMA_VERSION:
            raise _DamageError(
                f"expected schema version {_SCHEMA_VERSION}, found {version}"
            )
        body = self._load_row("state")
        if body is None:
            raise _DamageError("the row of table 'state' is missing")
        state = self._state = msgspec.msgpack.decode(body, type=_StateRow)
        snapshot = self._load_snapshot(state)
        entries = self._load_entries(state)
        return storage.StoredState(
            state.incarnation, state.term, state.voted_for, snapshot, entries
        )

    def _load_snapshot(self, state: _StateRow) -> storage.Snapshot | None:
        body = self._load_row("snapshot")
        if body is None:
            if state.last_index:
                raise _DamageError(
                    "the row of table 'snapshot' is missing although the log has"
                    f" entries up to {state.last_index}"
                )
            return None
        snapshot = msgspec.msgpack.decode(body, type=storage.Snapshot)
        if not state.first_index - 1 <= snapshot.index <= state.last_index:
            raise _DamageError(
                f"the snapshot at index {snapshot.index} does not match the log with"
                f" the entries {state.first_index} to {state.last_index}"
            )
        return snapshot

    def _load_entries(self, state: _StateRow) -> tuple[storage.Entry, ...]:
        rows = self._connection.execute("SELECT * FROM entry ORDER BY idx")
        entries = tuple(_load_entry(row) for row in rows)
        indexes = [entry.index for entry in entries]
        if indexes != list(range(state.first_index, state.last_index + 1)):
            raise _DamageError(
                f"entries are missing: expected {state.first_index} to"
                f" {state.last_index}, found {len(indexes)}"
            )
        return entries


def _hash(body: bytes) -> bytes:
    return xxhash.xxh3_64_digest(body)


def _hash_entry(entry: storage.Entry) -> bytes:
    return _hash(b"%d %d %d " % entry[:3] + entry.body)


def _load_entry(row: tuple) -> storage.Entry:
    index, term, kind, body, checksum = row
    try:
        entry = storage.Entry(index, term, storage.EntryKind(kind), body)
        is_intact = checksum == _hash_entry(entry)
    except (TypeError, ValueError):
        is_intact = False
    if not is_intact:
        raise _DamageError(f"checksum mismatch in entry {index}")
    return entry
