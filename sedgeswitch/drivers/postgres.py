"""PostgreSQL connections on trio, based on psycopg's libpq wrapper."""

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

# SQLSTATE character_not_in_repertoire, which PostgreSQL returns for invalid text.
_INVALID_TEXT_SQLSTATE = "22021"
_SESSION_ENDING_SEVERITIES = (b"FATAL", b"PANIC")
_FAILED_STATUSES = (pq.ExecStatus.FATAL_ERROR, pq.ExecStatus.BAD_RESPONSE)


async def _wait_socket(descriptor: int, wanted_state: int) -> int:
    """Wait until a socket is ready; return which of the wanted states it reached."""
    if wanted_state == waiting.WAIT_R:
        await trio.lowlevel.wait_readable(descriptor)
        return waiting.READY_R
    if wanted_state == waiting.WAIT_W:
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


async def _run_connect_generator(steps: collections.abc.Generator) -> typing.Any:
    """Run a psycopg connection generator, which yields its socket at each step."""
    try:
        descriptor, wanted_state = next(steps)
        while True:
            descriptor, wanted_state = steps.send(
                await _wait_socket(descriptor, wanted_state)
            )
    except StopIteration as finished:
        return finished.value


async def _run_generator(
    steps: collections.abc.Generator, descriptor: int
) -> typing.Any:
    """Run a psycopg generator on an open connection."""
    try:
        wanted_state = next(steps)
        while True:
            wanted_state = steps.send(await _wait_socket(descriptor, wanted_state))
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
            With verdict "not run" if the server rejected the statement, since its
            effects are then rolled back; with verdict "may have run" if the
            connection was lost.
        """
        _check_text(sql, parameters)
        values = [None if value is None else value.encode() for value in parameters]
        is_finished = False
        try:
            self._pgconn.send_query_params(sql.encode(), values)
            results = await _run_generator(
                generators.execute(self._pgconn), self._descriptor
            )
            is_finished = True
        except errors.OperationalError as error:
            raise base.DriverError(
                "", str(error), verdicts.Verdict.MAY_HAVE_RUN, is_lost=True
            ) from error
        finally:
            # The answer to a cancelled statement may still arrive, so the connection
            # cannot be reused.
            if not is_finished:
                self._pgconn.finish()
        return self._read_result(results[-1])

    async def close(self) -> None:
        """Close the connection; closing it twice does nothing."""
        self._pgconn.finish()
        await trio.lowlevel.checkpoint()

    def _read_result(self, result: pq.abc.PGresult) -> base.Rows:
        if result.status in _FAILED_STATUSES:
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
        if severity in _SESSION_ENDING_SEVERITIES:
            # The server closes the connection after this error, but libpq may report
            # that only later.
            self._pgconn.finish()
        is_lost = self._pgconn.status != pq.ConnStatus.OK
        verdict = verdicts.Verdict.NOT_RUN
        if is_lost or not sqlstate:
            verdict = verdicts.Verdict.MAY_HAVE_RUN
        return base.DriverError(sqlstate, message, verdict, is_lost)


def _check_text(sql: str, parameters: collections.abc.Sequence[str | None]) -> None:
    """Raise `base.DriverError` if a text contains a zero byte.

    The protocol terminates strings with a zero byte, so it would truncate them.
    """
    if any("\0" in text for text in (sql, *parameters) if text is not None):
        raise base.DriverError(
            _INVALID_TEXT_SQLSTATE,
            "sql and parameters: expected text without zero bytes",
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
            Timeout for connecting, in seconds.

        Raises
        ------
        base.DriverError
            With verdict "not run", if the instance cannot be reached, rejects the
            connection or does not answer within `timeout_s`.
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
                pgconn = await _run_connect_generator(generators.connect(settings))
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
