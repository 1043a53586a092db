"""Runs the statements of one client connection in transactions."""

import enum
import re
import sqlite3
import typing

import trio

from standin.instance import errors
from standin.instance import options
from standin.instance import server
from standin.instance import store as store_module
from standin.instance import translation

_READ_ONLY = re.compile(r"\bread\s+only\b", re.IGNORECASE)


class Status(enum.Enum):
    """State of the transaction, as ReadyForQuery tells it."""

    IDLE = b"I"
    OPEN = b"T"
    FAILED = b"E"


class Result(typing.NamedTuple):
    """The answer to one statement."""

    columns: tuple[str, ...]
    rows: tuple[tuple[str | None, ...], ...]
    status: str


def build_status(text: str) -> Result:
    """Return the result of a statement without rows."""
    return Result((), (), text)


class Transactions:
    """The transactions of one client connection.

    Parameters
    ----------
    instance : server.Instance
    process_id : int
        Answer of ``pg_backend_pid()``.
    settings : options.Options
        Settings of the session.

    Notes
    -----
    Reads before the first write of a transaction see what is committed at that
    moment, as with read committed.  The first write takes the write lock.
    Outside ``BEGIN`` a write is committed by `finish_implicit`.
    """

    def __init__(
        self, instance: server.Instance, process_id: int, settings: options.Options
    ):
        self._instance = instance
        self._process_id = process_id
        self._settings = settings
        self._connection = instance.store.build_connection()
        self._logged: list[store_module.LoggedStatement] = []
        self._write_tags: list[str] = []
        self._is_read_only = False
        self._has_lock = False
        self.status = Status.IDLE
        self._register_functions()

    async def execute(
        self, statement: translation.Statement, values: typing.Sequence[str | None]
    ) -> Result:
        """Run one statement.

        Raises
        ------
        errors.DatabaseError
            If it is refused or fails; the transaction has then failed.
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
        """Undo the transaction; an explicit one waits for its end."""
        self._roll_back()
        if self.status is Status.OPEN:
            self._set_status(Status.FAILED)

    def finish_implicit(self) -> None:
        """Commit what ran outside an explicit transaction.

        Raises
        ------
        errors.DatabaseError
            If the commit fails; nothing has then been written.
        """
        if self.status is not Status.IDLE:
            return
        try:
            self._commit()
        except sqlite3.Error as error:
            raise errors.build_database_error(error) from error

    def close(self) -> None:
        """Roll back and close the connection to the data."""
        self._roll_back()
        self._set_status(Status.IDLE)
        self._connection.close()

    async def _execute(
        self, statement: translation.Statement, values: typing.Sequence[str | None]
    ) -> Result:
        if self.status is Status.FAILED and statement.kind not in (
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
                await self._instance.promote()
                return Result(("pg_promote",), (("t",),), "SELECT 1")
        return self._control(statement)

    async def _read(
        self, statement: translation.Statement, values: typing.Sequence[str | None]
    ) -> Result:
        async with self._instance.hold_slot(trio.current_time()):
            await self._instance.wait_thawed()
            result = self._run(statement, values)
            if statement.tag:
                self._record(statement.tag, is_write=False)
            return result

    async def _write(
        self, statement: translation.Statement, values: typing.Sequence[str | None]
    ) -> Result:
        self._check_writable()
        async with self._instance.hold_slot(trio.current_time()):
            pass
        # Waiting for the lock takes no slot: its holder needs one to go on.
        await self._take_lock()
        await self._instance.wait_thawed()
        self._check_writable()
        if not self._connection.in_transaction:
            self._connection.execute("BEGIN IMMEDIATE")
        result = self._run(statement, values)
        self._logged.append(store_module.LoggedStatement(statement.sql, tuple(values)))
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
            self._check_primary_position(statement)
            raise
        columns = [field[0] for field in cursor.description or ()]
        texts = tuple(tuple(map(translation.format_value, row)) for row in rows)
        return Result(
            tuple(map(translation.format_column, columns)),
            texts,
            _build_tag(statement.verb, cursor.rowcount, len(rows)),
        )

    def _check_parameters(
        self, statement: translation.Statement, values: typing.Sequence[str | None]
    ) -> None:
        if len(values) < statement.parameter_count:
            raise errors.DatabaseError(
                errors.PROTOCOL_VIOLATION,
                f"{len(values)} parameters given, {statement.parameter_count} needed",
            )

    def _check_primary_position(self, statement: translation.Statement) -> None:
        if (
            not self._instance.is_primary
            and "pg_current_wal_lsn" in statement.translated.lower()
        ):
            raise errors.DatabaseError(
                errors.NOT_IN_PREREQUISITE_STATE, "recovery is in progress"
            )

    def _check_writable(self) -> None:
        if not self._instance.is_primary or self._is_read_only_now():
            raise errors.DatabaseError(
                errors.READ_ONLY_TRANSACTION,
                "cannot execute the statement in a read-only transaction",
            )

    def _is_read_only_now(self) -> bool:
        if self.status is Status.OPEN and self._is_read_only:
            return True
        return self._settings.is_read_only

    async def _take_lock(self) -> None:
        if self._has_lock:
            return
        timeout_s = min(
            self._settings.get_timeout_s(options.LOCK_TIMEOUT),
            self._instance.settings.lock_timeout_ms / 1000,
        )
        with trio.move_on_after(timeout_s):
            await self._instance.write_lock.acquire()
            self._has_lock = True
            return
        raise errors.DatabaseError(
            errors.LOCK_NOT_AVAILABLE, "canceling statement due to lock timeout"
        )

    def _release_lock(self) -> None:
        if self._has_lock:
            self._has_lock = False
            self._instance.write_lock.release()

    def _control(self, statement: translation.Statement) -> Result:
        match statement.kind:
            case translation.Kind.BEGIN:
                self._is_read_only = bool(_READ_ONLY.search(statement.translated))
                self._set_status(Status.OPEN)
                return build_status("BEGIN")
            case translation.Kind.COMMIT:
                return self._end(is_commit=self.status is not Status.FAILED)
            case translation.Kind.ROLLBACK:
                return self._end(is_commit=False)
            case translation.Kind.SET:
                self._set_option(statement.translated)
                return build_status("SET")
            case translation.Kind.RESET:
                self._settings.reset()
                return build_status(statement.translated.upper())
            case translation.Kind.SHOW:
                name = statement.translated.split()[-1].lower()
                rows = ((self._settings.get(name),),)
                return Result((name,), rows, "SHOW")
        raise errors.DatabaseError(
            errors.FEATURE_NOT_SUPPORTED, f"unsupported statement {statement.verb}"
        )

    def _set_option(self, translated: str) -> None:
        is_named = self._settings.set(translated)
        if (
            not is_named
            and self.status is Status.OPEN
            and _READ_ONLY.search(translated)
        ):
            self._is_read_only = True

    def _end(self, is_commit: bool) -> Result:
        self._set_status(Status.IDLE)
        self._is_read_only = False
        if not is_commit:
            self._roll_back()
            return build_status("ROLLBACK")
        self._commit()
        return build_status("COMMIT")

    def _commit(self) -> None:
        try:
            if not self._connection.in_transaction:
                return
            self._check_still_primary()
            self._instance.store.commit(self._connection, self._logged)
            for tag in self._write_tags:
                self._record(tag, is_write=True)
            self._instance.notify_commit()
        finally:
            self._roll_back()

    def _check_still_primary(self) -> None:
        if not self._instance.is_primary:
            raise errors.DatabaseError(
                errors.CANNOT_CONNECT_NOW, "the instance is a replica now", fatal=True
            )

    def _roll_back(self) -> None:
        if self._connection.in_transaction:
            self._connection.execute("ROLLBACK")
        self._logged.clear()
        self._write_tags.clear()
        self._release_lock()

    def _set_status(self, status: Status) -> None:
        counters = self._instance.counters
        counters.open_transactions += (status is not Status.IDLE) - (
            self.status is not Status.IDLE
        )
        self.status = status

    def _record(self, tag: str, is_write: bool) -> None:
        store = self._instance.store
        lsn = store_module.format_lsn(store.lsn)
        ran = server.RanStatement(
            id=tag, lsn=lsn, timeline=store.timeline, is_write=is_write
        )
        self._instance.ran.append(ran)

    def _register_functions(self) -> None:
        functions: dict[str, tuple[int, typing.Callable]] = {
            "pg_is_in_recovery": (0, self._get_recovery),
            "pg_current_wal_lsn": (0, self._get_current_lsn),
            "pg_last_wal_replay_lsn": (0, self._get_replay_lsn),
            "pg_wal_lsn_diff": (2, _get_lsn_difference),
            "pg_backend_pid": (0, lambda: self._process_id),
            "standin_timeline": (0, lambda: self._instance.store.timeline),
        }
        for name, (count, function) in functions.items():
            self._connection.create_function(name, count, function)

    def _get_recovery(self) -> str:
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
    return store_module.get_lsn(left) - store_module.get_lsn(right)


def _build_tag(verb: str, changed: int, row_count: int) -> str:
    count = row_count if row_count else max(changed, 0)
    match verb:
        case "SELECT" | "VALUES" | "WITH" | "EXPLAIN":
            return f"SELECT {row_count}"
        case "INSERT":
            return f"INSERT 0 {count}"
        case "UPDATE" | "DELETE":
            return f"{verb} {count}"
    return verb
