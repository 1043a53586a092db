"""PostgreSQL connections on trio, through psycopg's libpq layer."""

import collections.abc
import typing

import trio
from psycopg import conninfo
from psycopg import errors
from psycopg import generators
from psycopg import pq
from psycopg import waiting

from sedgeswitch import verdicts
from sedgeswitch.drivers import base
from sedgeswitch.groups import instances

# What PostgreSQL answers to text that it cannot store.
_BAD_TEXT = "22021"
_SESSION_ENDED = (b"FATAL", b"PANIC")
_COMMAND_FAILED = (pq.ExecStatus.FATAL_ERROR, pq.ExecStatus.BAD_RESPONSE)


async def _wait_socket(descriptor: int, wanted: int) -> int:
    """Return which of the wanted readiness states the socket has reached."""
    if wanted == waiting.WAIT_R:
        await trio.lowlevel.wait_readable(descriptor)
        return waiting.READY_R
    if wanted == waiting.WAIT_W:
        await trio.lowlevel.wait_writable(descriptor)
        return waiting.READY_W
    ready = 0

    async def wait(wait_function, flag):
        nonlocal ready
        await wait_function(descriptor)
        ready |= flag
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait, trio.lowlevel.wait_readable, waiting.READY_R)
        nursery.start_soon(wait, trio.lowlevel.wait_writable, waiting.READY_W)
    return ready


async def _step_connect(steps: collections.abc.Generator) -> typing.Any:
    """Step a psycopg connection generator, which names its socket each time."""
    try:
        descriptor, wanted = next(steps)
        while True:
            descriptor, wanted = steps.send(await _wait_socket(descriptor, wanted))
    except StopIteration as finished:
        return finished.value


async def _step(steps: collections.abc.Generator, descriptor: int) -> typing.Any:
    """Step a psycopg generator on an open connection."""
    try:
        wanted = next(steps)
        while True:
            wanted = steps.send(await _wait_socket(descriptor, wanted))
    except StopIteration as finished:
        return finished.value


class PostgresConnection(instances.StateQueryMixin):
    """One connection to a PostgreSQL instance.

    Parameters
    ----------
    pgconn : psycopg.pq.PGconn
    """

    def __init__(self, pgconn: pq.abc.PGconn):
        self._pgconn = pgconn
        self._descriptor = pgconn.socket

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and outside any transaction."""
        return (
            self._pgconn.status == pq.ConnStatus.OK
            and self._pgconn.transaction_status == pq.TransactionStatus.IDLE
        )

    async def execute(
        self, sql: str, parameters: collections.abc.Sequence[str | None] = ()
    ) -> base.Rows:
        """Run one statement.

        Parameters
        ----------
        sql : str
            One statement with ``$1``-style parameters.
        parameters : sequence of str or None

        Returns
        -------
        base.Rows

        Raises
        ------
        base.DriverError
            If the server refused it (its work is undone, so it counts as not
            run) or the connection was lost (it may have run).
        """
        _check_text(sql, parameters)
        values = [None if value is None else value.encode() for value in parameters]
        is_finished = False
        try:
            self._pgconn.send_query_params(sql.encode(), values)
            results = await _step(generators.execute(self._pgconn), self._descriptor)
            is_finished = True
        except errors.OperationalError as error:
            raise base.DriverError(
                "", str(error), verdicts.Verdict.MAY_HAVE_RUN, is_lost=True
            ) from error
        finally:
            # A cancelled statement leaves its answer on the wire.
            if not is_finished:
                self._pgconn.finish()
        return self._read_result(results[-1])

    async def close(self) -> None:
        """Close the connection; closing it twice does nothing."""
        self._pgconn.finish()
        await trio.lowlevel.checkpoint()

    def _read_result(self, result: pq.abc.PGresult) -> base.Rows:
        if result.status in _COMMAND_FAILED:
            raise self._build_error(result)
        columns = tuple(result.fname(i).decode() for i in range(result.nfields))
        rows = [
            tuple(
                None if (value := result.get_value(i, j)) is None else value.decode()
                for j in range(result.nfields)
            )
            for i in range(result.ntuples)
        ]
        return base.Rows(columns, rows, (result.command_status or b"").decode())

    def _build_error(self, result: pq.abc.PGresult) -> base.DriverError:
        sqlstate = (result.error_field(pq.DiagnosticField.SQLSTATE) or b"").decode()
        message = (
            result.error_field(pq.DiagnosticField.MESSAGE_PRIMARY) or b""
        ).decode()
        severity = result.error_field(pq.DiagnosticField.SEVERITY_NONLOCALIZED)
        if severity in _SESSION_ENDED:
            # The server closes its side next, seen here sooner or later.
            self._pgconn.finish()
        is_lost = self._pgconn.status != pq.ConnStatus.OK
        verdict = verdicts.Verdict.NOT_RUN
        if is_lost or not sqlstate:
            verdict = verdicts.Verdict.MAY_HAVE_RUN
        return base.DriverError(sqlstate, message, verdict, is_lost)


def _check_text(sql: str, parameters: collections.abc.Sequence[str | None]) -> None:
    """Raise if the protocol, whose texts end at a zero byte, would cut one."""
    if any("\0" in text for text in (sql, *parameters) if text is not None):
        raise base.DriverError(
            _BAD_TEXT,
            "sql and parameters: expected no zero byte",
            verdicts.Verdict.NOT_RUN,
            is_lost=False,
        )


@base.register_driver("postgres")
class PostgresDriver:
    """Opens `PostgresConnection` objects."""

    is_bound_to_user = False

    async def connect(
        self, target: base.Target, timeout_s: float
    ) -> PostgresConnection:
        """Open a connection.

        Parameters
        ----------
        target : base.Target
        timeout_s : float
            How long connecting may take, in seconds.

        Raises
        ------
        base.DriverError
            If the instance cannot be reached or refuses; nothing has run.
        """
        settings = conninfo.make_conninfo(
            host=target.host,
            port=target.port,
            dbname=target.database,
            user=target.user,
            sslmode="disable",
            gssencmode="disable",
            application_name="sedgeswitch",
        )
        try:
            with trio.fail_after(timeout_s):
                pgconn = await _step_connect(generators.connect(settings))
        except trio.TooSlowError as error:
            raise base.DriverError(
                "", "connecting timed out", verdicts.Verdict.NOT_RUN, is_lost=True
            ) from error
        except errors.Error as error:
            raise base.DriverError(
                error.sqlstate or "", str(error), verdicts.Verdict.NOT_RUN, is_lost=True
            ) from error
        pgconn.nonblocking = 1
        return PostgresConnection(pgconn)
