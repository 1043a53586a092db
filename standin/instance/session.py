"""The session of one client connection, run by one task."""

import contextlib
import secrets
import typing

import trio

from standin.instance import errors
from standin.instance import options
from standin.instance import server
from standin.instance import transactions
from standin.instance import translation
from standin.instance import wire

RECEIVE_BYTES = 65536
SECRET_BITS = 32

_PARAMETER_STATUSES = (
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
    ("TimeZone", "UTC"),
)
_INTEGER_OIDS = (20, 21, 23)
_TEXT_OIDS = (0, 25, 1043)


class _Portal(typing.NamedTuple):
    """A prepared statement with its bound parameter values."""

    statement: translation.Statement
    values: tuple[str | None, ...]
    result_formats: tuple[int, ...]


class Session:
    """Serves one client connection with the PostgreSQL protocol.

    Parameters
    ----------
    instance : server.Instance
    stream : trio.abc.Stream

    Attributes
    ----------
    process_id, secret : int
        Key that a client sends in a cancel request.
    """

    def __init__(self, instance: server.Instance, stream: trio.abc.Stream):
        self._instance = instance
        self._stream = stream
        self._decoder = wire.Decoder()
        self._output = bytearray()
        self._statements: dict[str, wire.Parse] = {}
        self._portals: dict[str, _Portal] = {}
        self._portals_to_describe: set[str] = set()
        self._is_skipping_to_sync = False
        self._session_scope = trio.CancelScope()
        self._statement_scope: trio.CancelScope | None = None
        self._transactions: transactions.Transactions | None = None
        self.process_id = instance.allocate_process_id()
        self.secret = secrets.randbits(SECRET_BITS)

    async def run(self) -> None:
        """Serve the connection until it ends."""
        with self._session_scope, contextlib.suppress(trio.BrokenResourceError):
            async with self._stream:
                try:
                    await self._serve()
                except wire.ProtocolError as error:
                    await self._send_fatal_error(errors.PROTOCOL_VIOLATION, str(error))
                except errors.DatabaseError as error:
                    await self._send_fatal_error(error.sqlstate, error.message)

    def end(self) -> None:
        """Cancel the session and close its connection."""
        self._session_scope.cancel()

    def cancel_statement(self) -> None:
        """Cancel the running statement, if any."""
        if self._statement_scope is not None:
            self._statement_scope.cancel()

    async def _send_fatal_error(self, sqlstate: str, message: str) -> None:
        self._output += wire.encode_error(sqlstate, message, is_fatal=True)
        await self._send()

    async def _serve(self) -> None:
        startup = await self._receive_startup()
        if startup is None:
            return
        with self._register_connection():
            await self._open(startup)
            assert self._transactions is not None
            try:
                await self._serve_messages()
            finally:
                self._transactions.close()

    async def _receive(self) -> wire.Message | None:
        while True:
            message = self._decoder.read_message()
            if message is not None:
                await self._instance.wait_while_frozen()
                return message
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                return None
            self._decoder.feed(data)

    async def _receive_startup(self) -> wire.Startup | None:
        while True:
            message = await self._receive()
            match message:
                case wire.EncryptionRequest():
                    self._output += wire.ENCRYPTION_REFUSED
                    await self._send()
                case wire.CancelRequest():
                    self._cancel_other(message)
                    return None
                case wire.Startup() | None:
                    return message

    def _cancel_other(self, request: wire.CancelRequest) -> None:
        other = self._instance.sessions.get(request.process_id)
        if other is not None and other.secret == request.secret & (2**SECRET_BITS - 1):
            other.cancel_statement()

    @contextlib.contextmanager
    def _register_connection(self) -> typing.Iterator[None]:
        counters = self._instance.counters
        if self._instance.is_rewinding:
            raise errors.DatabaseError(
                errors.CANNOT_CONNECT_NOW, "the database system is starting up"
            )
        if counters.connections >= self._instance.settings.max_connections:
            counters.refused_connections += 1
            raise errors.DatabaseError(
                errors.TOO_MANY_CONNECTIONS, "sorry, too many clients already"
            )
        counters.connections += 1
        counters.highest_connections = max(
            counters.highest_connections, counters.connections
        )
        self._instance.sessions[self.process_id] = self
        try:
            yield
        finally:
            counters.connections -= 1
            del self._instance.sessions[self.process_id]

    async def _open(self, startup: wire.Startup) -> None:
        await trio.sleep(self._instance.faults.connect_delay_ms / 1000)
        await self._instance.wait_while_frozen()
        session_options = options.Options(startup.parameters.get("options", ""))
        self._transactions = transactions.Transactions(
            self._instance, self.process_id, session_options
        )
        self._output += wire.encode_authentication_ok()
        for name, value in _PARAMETER_STATUSES:
            self._output += wire.encode_parameter_status(name, value)
        self._output += wire.encode_backend_key(self.process_id, self.secret)
        await self._send_ready()

    async def _send(self) -> None:
        if self._output:
            await self._instance.wait_while_frozen()
            data = bytes(self._output)
            self._output.clear()
            await self._stream.send_all(data)

    async def _send_ready(self) -> None:
        self._output += wire.encode_ready(self._transactions.status.value)
        await self._send()

    async def _serve_messages(self) -> None:
        while True:
            message = await self._receive()
            if message is None or isinstance(message, wire.Terminate):
                return
            if self._is_skipping_to_sync and not isinstance(message, wire.Sync):
                continue
            try:
                await self._answer(message)
            except errors.DatabaseError as error:
                await self._answer_error(error, message)

    async def _answer_error(
        self, error: errors.DatabaseError, message: wire.Message
    ) -> None:
        if error.fatal:
            raise error
        self._instance.counters.failed_statements += 1
        self._transactions.fail()
        self._output += wire.encode_error(error.sqlstate, error.message, is_fatal=False)
        if isinstance(message, wire.Query | wire.Sync):
            await self._send_ready()
            return
        self._is_skipping_to_sync = True

    async def _answer(self, message: wire.Message) -> None:
        match message:
            case wire.Query():
                await self._answer_query(message)
            case wire.Parse():
                self._statements[message.name] = message
                self._output += wire.encode_parse_complete()
            case wire.Bind():
                self._bind(message)
            case wire.Describe():
                self._describe(message)
            case wire.Execute():
                await self._answer_execute(message)
            case wire.Close():
                self._close(message)
            case wire.Flush():
                await self._send()
            case wire.Sync():
                await self._answer_sync()
            case _:
                raise wire.ProtocolError(
                    "message in an open session: expected none of the startup phase, "
                    f"got {type(message).__name__}"
                )

    async def _answer_query(self, message: wire.Query) -> None:
        sql_statements = translation.split_statements(message.sql)
        if not sql_statements:
            self._output += wire.encode_empty_query()
        for sql in sql_statements:
            result = await self._run(translation.parse_statement(sql), ())
            if result.columns:
                self._output += wire.encode_row_description(result.columns)
            self._append_result(result)
        self._transactions.finish_implicit()
        await self._send_ready()

    async def _answer_sync(self) -> None:
        self._is_skipping_to_sync = False
        self._portals.clear()
        self._portals_to_describe.clear()
        self._transactions.finish_implicit()
        await self._send_ready()

    def _bind(self, message: wire.Bind) -> None:
        parse = self._get_prepared(message.statement)
        values = tuple(
            _read_value(
                value,
                wire.get_format(message.formats, position),
                _get_oid(parse.parameter_oids, position),
            )
            for position, value in enumerate(message.values)
        )
        statement = translation.parse_statement(parse.sql)
        self._portals[message.portal] = _Portal(
            statement, values, message.result_formats
        )
        self._output += wire.encode_bind_complete()

    def _get_prepared(self, name: str) -> wire.Parse:
        if name not in self._statements:
            raise errors.DatabaseError(
                errors.INVALID_STATEMENT_NAME,
                f'prepared statement "{name}" does not exist',
            )
        return self._statements[name]

    def _describe(self, message: wire.Describe) -> None:
        if message.kind is wire.TargetKind.PORTAL:
            # SQLite reports the columns only when the statement runs, so the
            # description is sent with the result of Execute.
            self._portals_to_describe.add(message.name)
            return
        parse = self._get_prepared(message.name)
        count = translation.parse_statement(parse.sql).parameter_count
        oids = [_get_oid(parse.parameter_oids, position) for position in range(count)]
        self._output += wire.encode_parameter_description(
            [oid or wire.TEXT_OID for oid in oids]
        )
        self._output += wire.encode_no_data()

    async def _answer_execute(self, message: wire.Execute) -> None:
        portal = self._portals.get(message.portal)
        if portal is None:
            raise errors.DatabaseError(
                errors.INVALID_CURSOR_NAME, f'portal "{message.portal}" does not exist'
            )
        if not portal.statement.verb:
            self._output += wire.encode_empty_query()
            return
        result = await self._run(portal.statement, portal.values)
        if message.portal in self._portals_to_describe:
            self._portals_to_describe.discard(message.portal)
            self._output += _encode_columns(result, portal.result_formats)
        self._append_result(result)

    def _close(self, message: wire.Close) -> None:
        is_portal = message.kind is wire.TargetKind.PORTAL
        names = self._portals if is_portal else self._statements
        names.pop(message.name, None)
        self._output += wire.encode_close_complete()

    def _append_result(self, result: transactions.Result) -> None:
        for row in result.rows:
            self._output += wire.encode_data_row(row)
        self._output += wire.encode_command_complete(result.command_tag)

    async def _run(
        self, statement: translation.Statement, values: tuple[str | None, ...]
    ) -> transactions.Result:
        counters = self._instance.counters
        counters.statements += 1
        counters.active_statements += 1
        with trio.CancelScope() as self._statement_scope:
            try:
                return await self._transactions.execute(statement, values)
            finally:
                counters.active_statements -= 1
                self._statement_scope = None
        raise errors.DatabaseError(
            errors.QUERY_CANCELED, "canceling statement due to user request"
        )


def _encode_columns(
    result: transactions.Result, formats: typing.Sequence[int]
) -> bytes:
    if not result.columns:
        return wire.encode_no_data()
    return wire.encode_row_description(result.columns, formats)


def _get_oid(oids: typing.Sequence[int], position: int) -> int:
    return oids[position] if position < len(oids) else 0


def _read_value(value: bytes | None, format_code: int, oid: int) -> str | None:
    if value is None:
        return None
    if format_code == wire.BINARY_FORMAT and oid in _INTEGER_OIDS:
        return str(int.from_bytes(value, "big", signed=True))
    if format_code == wire.BINARY_FORMAT and oid not in _TEXT_OIDS:
        raise errors.DatabaseError(
            errors.FEATURE_NOT_SUPPORTED,
            f"parameter of type {oid}: expected text format, got binary format",
        )
    try:
        return value.decode()
    except UnicodeDecodeError as error:
        raise errors.DatabaseError(
            errors.INVALID_TEXT_REPRESENTATION,
            f"text parameter: expected UTF-8: {error}",
        ) from error
