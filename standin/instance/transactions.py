"""Runs the statements of one client connection, in transactions."""

import enum
import re
import sqlite3
import time
import typing

import trio

from standin.instance import errors
from standin.instance import options
from standin.instance import server
from standin.instance import store as store_module
from standin.instance import translation

_READ_ONLY = re.compile(r"\bread\s+only\b", re.IGNORECASE)


class TransactionStatus(enum.Enum):
    """State of the transaction, as the message ReadyForQuery encodes it."""

    IDLE = b"I"
    OPEN = b"T"
    FAILED = b"E"


class Result(typing.NamedTuple):
    """The result of one statement.

    Attributes
    ----------
    columns : tuple of str
        Names of the columns; empty for a statement without a result set.
    rows : tuple
        Rows of values as text, None for NULL.
    command_tag : str
        Tag of the message CommandComplete, such as ``INSERT 0 1``.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[str | None, ...], ...]
    command_tag: str


def build_status_result(command_tag: str) -> Result:
    """Return a result that has a command tag but no columns and rows."""
    return Result((), (), command_tag)


class Transactions:
    """The transactions of one client connection.

    Parameters
    ----------
    instance : server.Instance
    process_id : int
        Result of ``pg_backend_pid()``.
    settings : options.Options
        Settings of the session.

    Notes
    -----
    Reads before the first write of a transaction see the data committed at that
    time, as in the isolation level read committed.  The first write acquires the
    write lock of the instance, which is held until the transaction ends.  Writes
    outside an explicit transaction are committed by `finish_implicit`.
    """

    def __init__(
        self, instance: server.Instance, process_id: int, settings: options.Options
    ):
        self._instance = instance
        self._process_id = process_id
        self._settings = settings
        self._connection = instance.store.build_connection()
        self._logged_statements: list[store_module.LoggedStatement] = []
        self._write_tags: list[str] = []
        self._is_read_only = False
        self._has_write_lock = False
        self.status = TransactionStatus.IDLE
        self._register_functions()

    async def execute(
        self, statement: translation.Statement, values: typing.Sequence[str | None]
    ) -> Result:
        """Run one statement.

        Raises
        ------
        errors.DatabaseError
            If the statement is rejected, fails or exceeds its timeout.  The caller
            must call `fail` then.
        """
        try:
            with trio.move_on_after(
                self._settings.get_timeout_s(options.STATEMENT_TIMEOUT)
            ) as scope:
                return await self._execute(statement, values)
        except sqlite3.Error as error:
            raise errors.build_database_error(error) from error
        assert scope.cancelled_caught
        raise errors.DatabaseError(
            errors.QUERY_CANCELED, "canceling statement due to statement timeout"
        )

    def fail(self) -> None:
        """Roll back the transaction; an explicit one stays failed until it ends."""
        self._roll_back()
        if self.status is TransactionStatus.OPEN:
            self._set_status(TransactionStatus.FAILED)

    def finish_implicit(self) -> None:
        """Commit the writes that ran outside an explicit transaction.

        Raises
        ------
        errors.DatabaseError
            If the commit fails; the writes are then rolled back.
        """
        if self.status is not TransactionStatus.IDLE:
            return
        try:
            self._commit()
        except sqlite3.Error as error:
            raise errors.build_database_error(error) from error

    def close(self) -> None:
        """Roll back and close the SQLite connection."""
        self._roll_back()
        self._set_status(TransactionStatus.IDLE)
        self._connection.close()

    async def _execute(
        self, statement: translation.Statement, values: typing.Sequence[str | None]
    ) -> Result:
        if self.status is TransactionStatus.FAILED and statement.kind not in (
            translation.Kind.COMMIT,
            translation.Kind.ROLLBACK,
        ):
            raise errors.DatabaseError(
                errors.FAILED_TRANSACTION,
                "current transaction is aborted, commands ignored until end of "
                "transaction block",
            )
        match statement.kind:
            case translation.Kind.READ:
                return await self._read(statement, values)
            case translation.Kind.WRITE:
                return await self._write(statement, values)
            case translation.Kind.STATUS:
                return self._run(statement, values)
            case translation.Kind.PROMOTE:
                return await self._promote(statement, values)
        return self._run_session_command(statement)

    async def _promote(
        self, statement: translation.Statement, values: typing.Sequence[str | None]
    ) -> Result:
        """Promote the instance if the statement's condition, if any, holds."""
        await self._instance.wait_while_frozen()
        result = self._run(statement, values)
        if result.rows:
            await self._instance.promote()
        return result

    async def _read(
        self, statement: translation.Statement, values: typing.Sequence[str | None]
    ) -> Result:
        async with self._instance.hold_slot(trio.current_time()):
            await self._instance.wait_while_frozen()
            result = self._run(statement, values)
            if statement.tag:
                self._record_tagged_statement(statement.tag, is_write=False)
            return result

    async def _write(
        self, statement: translation.Statement, values: typing.Sequence[str | None]
    ) -> Result:
        self._check_writable()
        async with self._instance.hold_slot(trio.current_time()):
            pass
        # No slot is held while waiting for the write lock: the transaction that
        # holds the lock needs a slot for its next statement.
        await self._acquire_write_lock()
        await self._instance.wait_while_frozen()
        self._check_writable()
        if not self._connection.in_transaction:
            self._connection.execute("BEGIN IMMEDIATE")
        result = self._run(statement, values)
        self._logged_statements.append(
            store_module.LoggedStatement(statement.sql, tuple(values))
        )
        if statement.tag:
            self._write_tags.append(statement.tag)
        return result

    def _run(
        self, statement: translation.Statement, values: typing.Sequence[str | None]
    ) -> Result:
        self._check_parameters(statement, values)
        bindings = translation.build_bindings(values)
        try:
            cursor = self._connection.execute(statement.translated, bindings)
            rows = cursor.fetchall()
        except sqlite3.OperationalError:
            self._check_current_lsn_available(statement)
            raise
        columns = [field[0] for field in cursor.description or ()]
        text_rows = tuple(tuple(map(translation.format_value, row)) for row in rows)
        return Result(
            tuple(map(translation.format_column, columns)),
            text_rows,
            _build_command_tag(statement.verb, cursor.rowcount, len(rows)),
        )

    def _check_parameters(
        self, statement: translation.Statement, values: typing.Sequence[str | None]
    ) -> None:
        if len(values) < statement.parameter_count:
            raise errors.DatabaseError(
                errors.PROTOCOL_VIOLATION,
                f"parameters: expected {statement.parameter_count} or more, "
                f"got {len(values)}",
            )

    def _check_current_lsn_available(self, statement: translation.Statement) -> None:
        """Raise PostgreSQL's error for ``pg_current_wal_lsn()`` on a replica.

        SQLite reports an exception of the function as an unspecific error.
        """
        if (
            not self._instance.is_primary
            and "pg_current_wal_lsn" in statement.translated.lower()
        ):
            raise errors.DatabaseError(
                errors.NOT_IN_PREREQUISITE_STATE, "recovery is in progress"
            )

    def _check_writable(self) -> None:
        if not self._instance.is_primary or self._is_transaction_read_only():
            raise errors.DatabaseError(
                errors.READ_ONLY_TRANSACTION,
                "cannot execute the statement in a read-only transaction",
            )

    def _is_transaction_read_only(self) -> bool:
        if self.status is TransactionStatus.OPEN and self._is_read_only:
            return True
        return self._settings.is_read_only

    async def _acquire_write_lock(self) -> None:
        if self._has_write_lock:
            return
        timeout_s = min(
            self._settings.get_timeout_s(options.LOCK_TIMEOUT),
            self._instance.settings.lock_timeout_ms / 1000,
        )
        with trio.move_on_after(timeout_s):
            await self._instance.write_lock.acquire()
            self._has_write_lock = True
            return
        raise errors.DatabaseError(
            errors.LOCK_NOT_AVAILABLE, "canceling statement due to lock timeout"
        )

    def _release_write_lock(self) -> None:
        if self._has_write_lock:
            self._has_write_lock = False
            self._instance.write_lock.release()

    def _run_session_command(self, statement: translation.Statement) -> Result:
        match statement.kind:
            case translation.Kind.BEGIN:
                self._is_read_only = bool(_READ_ONLY.search(statement.translated))
                self._set_status(TransactionStatus.OPEN)
                return build_status_result("BEGIN")
            case translation.Kind.COMMIT:
                return self._end_transaction(
                    is_commit=self.status is not TransactionStatus.FAILED
                )
            case translation.Kind.ROLLBACK:
                return self._end_transaction(is_commit=False)
            case translation.Kind.SET:
                self._set_option(statement.translated)
                return build_status_result("SET")
            case translation.Kind.RESET:
                self._settings.reset()
                return build_status_result(statement.translated.upper())
            case translation.Kind.SHOW:
                name = statement.translated.split()[-1].lower()
                rows = ((self._settings.get(name),),)
                return Result((name,), rows, "SHOW")
        raise errors.DatabaseError(
            errors.FEATURE_NOT_SUPPORTED,
            f"the stand-in does not support the statement {statement.verb}",
        )

    def _set_option(self, translated: str) -> None:
        is_named = self._settings.set(translated)
        if (
            not is_named
            and self.status is TransactionStatus.OPEN
            and _READ_ONLY.search(translated)
        ):
            self._is_read_only = True

    def _end_transaction(self, is_commit: bool) -> Result:
        self._set_status(TransactionStatus.IDLE)
        self._is_read_only = False
        if not is_commit:
            self._roll_back()
            return build_status_result("ROLLBACK")
        self._commit()
        return build_status_result("COMMIT")

    def _commit(self) -> None:
        try:
            if not self._connection.in_transaction:
                return
            self._check_still_primary()
            self._instance.store.commit(self._connection, self._logged_statements)
            for tag in self._write_tags:
                self._record_tagged_statement(tag, is_write=True)
            self._instance.notify_commit()
        finally:
            self._roll_back()

    def _check_still_primary(self) -> None:
        if not self._instance.is_primary:
            raise errors.DatabaseError(
                errors.CANNOT_CONNECT_NOW,
                "commit rejected: the instance has become a replica",
                fatal=True,
            )

    def _roll_back(self) -> None:
        if self._connection.in_transaction:
            self._connection.execute("ROLLBACK")
        self._logged_statements.clear()
        self._write_tags.clear()
        self._release_write_lock()

    def _set_status(self, status: TransactionStatus) -> None:
        counters = self._instance.counters
        counters.open_transactions += (status is not TransactionStatus.IDLE) - (
            self.status is not TransactionStatus.IDLE
        )
        self.status = status

    def _record_tagged_statement(self, tag: str, is_write: bool) -> None:
        store = self._instance.store
        lsn = store_module.format_lsn(store.lsn)
        statement = server.TaggedStatement(
            id=tag, lsn=lsn, timeline=store.timeline, is_write=is_write
        )
        self._instance.executed_statements.append(statement)

    def _register_functions(self) -> None:
        functions: dict[str, tuple[int, typing.Callable]] = {
            "pg_is_in_recovery": (0, self._get_is_in_recovery),
            "pg_current_wal_lsn": (0, self._get_current_lsn),
            "pg_last_wal_replay_lsn": (0, self._get_replay_lsn),
            "pg_wal_lsn_diff": (2, _get_lsn_difference),
            "pg_promote": (0, lambda: translation.BOOLEAN_TRUE),
            # Times are milliseconds here, and so are intervals.
            "clock_timestamp": (0, lambda: time.time() * 1000),
            "pg_backend_pid": (0, lambda: self._process_id),
            "standin_timeline": (0, lambda: self._instance.store.timeline),
        }
        for name, (count, function) in functions.items():
            self._connection.create_function(name, count, function)

    def _get_is_in_recovery(self) -> str:
        if self._instance.is_primary:
            return translation.BOOLEAN_FALSE
        return translation.BOOLEAN_TRUE

    def _get_current_lsn(self) -> str:
        if not self._instance.is_primary:
            raise RuntimeError("recovery is in progress")
        return store_module.format_lsn(self._instance.store.lsn)

    def _get_replay_lsn(self) -> str | None:
        if self._instance.is_primary:
            return None
        return store_module.format_lsn(self._instance.store.lsn)


def _get_lsn_difference(left: str | None, right: str | None) -> int | None:
    if left is None or right is None:
        return None
    return store_module.parse_lsn(left) - store_module.parse_lsn(right)


def _build_command_tag(verb: str, changed_count: int, row_count: int) -> str:
    count = row_count if row_count else max(changed_count, 0)
    match verb:
        case "SELECT" | "VALUES" | "WITH" | "EXPLAIN":
            return f"SELECT {row_count}"
        case "INSERT":
            return f"INSERT 0 {count}"
        case "UPDATE" | "DELETE":
            return f"{verb} {count}"
    return verb
