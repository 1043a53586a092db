"""Instances of a group: their state, and the interface for commanding them."""

import collections.abc
import typing

import loguru
import trio

from sedgeswitch.groups import durations
from sedgeswitch.groups import positions
from sedgeswitch.utils import checks

# The replayed position of a replica is used, rather than the received one, which
# may be ahead of it.
STATE_QUERY = (
    "SELECT pg_is_in_recovery(),"
    " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn()"
    " ELSE pg_current_wal_lsn() END,"
    " (SELECT timeline_id FROM pg_control_checkpoint())"
)
DEADLINE_QUERY = "SELECT clock_timestamp() + $1::interval"
# An instance that was paused may run this long after another one was chosen.
PROMOTE_QUERY = "SELECT pg_promote() WHERE clock_timestamp() < $1::timestamptz"
# Part of the time for a promotion within which the instance must begin it.
_ORDER_VALIDITY_SHARE = 0.5
_TRUE_TEXTS = ("t", "true")


class Instance(typing.NamedTuple):
    """An announced instance of a group.

    Attributes
    ----------
    instance : str
        Id of the instance.
    target : object
        Connection target, in the form that the driver expects.
    availability_zone : str
    """

    instance: str
    target: typing.Any
    availability_zone: str


class InstanceState(typing.NamedTuple):
    """The state that an instance reports.

    Attributes
    ----------
    in_recovery : bool
        True for a replica, False for a primary.
    position : positions.Position
        Last written position of a primary, last replayed position of a replica.
    requested_s : float or None
        Time on trio's clock at which the state was requested, if that was before
        the probe; None for the time of the probe.
    log_timeline : int or None
        Timeline in which the log ends, if the driver reports it. It may be
        earlier than that of `position`, as on a primary before its first write.
    """

    in_recovery: bool
    position: positions.Position
    requested_s: float | None = None
    log_timeline: int | None = None

    @property
    def log_position(self) -> positions.Position:
        """The end of the log; see `positions.get_log_position`."""
        return positions.get_log_position(self.position, self.log_timeline)


class PromotionOrder(typing.NamedTuple):
    """A command to promote an instance to the primary of its group.

    Attributes
    ----------
    group : str
    instance : str
    target : object
        Connection target, in the form that the driver expects.
    leadership_term : int
        Term of the leader that sends the command. It never decreases, so it can
        serve as a fencing token.
    """

    group: str
    instance: str
    target: typing.Any
    leadership_term: int


class InstanceControl(typing.Protocol):
    """Interface through which the leader reads and commands instances.

    Fencing an instance stops its replication from earlier primaries. It is not the
    fence of a group, which ends a term (see `groups.machine`).
    """

    async def read_state(
        self, target: typing.Any, timeout_s: float
    ) -> InstanceState | None:
        """Return the state of an instance, None if the request failed or timed out."""

    async def fence(
        self, target: typing.Any, timeline: int, timeout_s: float
    ) -> InstanceState | None:
        """Stop a replica from replicating from primaries of earlier timelines.

        Only primaries of `timeline` or a later one are followed from then on.
        Returns the state of the instance after that, None if the request failed
        or timed out. On instances that cannot be fenced, only the state is read.
        """

    async def unfence(self, target: typing.Any, timeout_s: float) -> None:
        """Let a fenced replica replicate from its primary again."""

    async def follow(self, target: typing.Any, timeline: int, timeout_s: float) -> None:
        """Make an instance replicate from the primary of `timeline`.

        An instance that is the primary of an older timeline steps down, if it
        supports this.
        """

    async def promote(self, order: PromotionOrder, timeout_s: float) -> None:
        """Send a promotion command, which may take effect late or never."""


class StateQueryMixin:
    """Adds `read_state` to a connection class that has ``execute(sql, parameters)``."""

    async def read_state(self) -> InstanceState:
        """Return the state of the instance behind this connection.

        Raises
        ------
        Exception
            The exception of the driver, if the query fails.
        sedgeswitch.utils.checks.CheckError
            If the result of the query is malformed.
        """
        return decode_state(await self.execute(STATE_QUERY, ()))


class SqlInstanceControl:
    """Reads and commands PostgreSQL instances, by SQL over new connections.

    Parameters
    ----------
    driver : object
        Backend driver, with ``connect(target, timeout_s)``.
    """

    def __init__(self, driver: typing.Any):
        self._driver = driver

    async def read_state(
        self, target: typing.Any, timeout_s: float
    ) -> InstanceState | None:
        """Return the state of an instance over a new connection."""
        return await read_state(self._driver, target, timeout_s)

    async def fence(
        self,
        target: typing.Any,
        timeline: int,  # noqa: ARG002
        timeout_s: float,
    ) -> InstanceState | None:
        """Return the state only: PostgreSQL has no command to stop replication."""
        return await read_state(self._driver, target, timeout_s)

    async def promote(self, order: PromotionOrder, timeout_s: float) -> None:
        """Run ``pg_promote()`` on an instance, unless it would begin too late.

        The deadline is a time of the instance's own clock.
        """
        started_s = trio.current_time()
        validity_s = timeout_s * _ORDER_VALIDITY_SHARE

        async def promote(connection: typing.Any) -> None:
            interval = f"{validity_s * durations.MS_PER_S:.0f} milliseconds"
            rows = await connection.execute(DEADLINE_QUERY, (interval,))
            elapsed_s = trio.current_time() - started_s
            if elapsed_s + validity_s > timeout_s:
                loguru.logger.info(
                    "promotion not requested, the instance answers too slowly",
                    instance=order.instance,
                    elapsed_ms=durations.get_ms(elapsed_s),
                )
                return
            ((deadline,),) = rows.rows
            await connection.execute(PROMOTE_QUERY, (_decode_text(deadline),))

        await _run_once(self._driver, order.target, promote, timeout_s)

    async def follow(
        self,
        target: typing.Any,  # noqa: ARG002
        timeline: int,  # noqa: ARG002
        timeout_s: float,  # noqa: ARG002
    ) -> None:
        """Do nothing: replicas locate the primary without the leader."""
        await trio.lowlevel.checkpoint()

    async def unfence(
        self,
        target: typing.Any,  # noqa: ARG002
        timeout_s: float,  # noqa: ARG002
    ) -> None:
        """Do nothing: `fence` stops no replication here."""
        await trio.lowlevel.checkpoint()


class Directory(typing.Protocol):
    """Access to the announced instances."""

    def get_groups(self) -> typing.Iterable[str]:
        """Return the ids of the groups that have announced instances."""

    def get_instances(self, group: str) -> typing.Sequence[Instance]:
        """Return the announced instances of a group."""


def decode_state(rows: typing.Any) -> InstanceState:
    """Decode the result of `STATE_QUERY`.

    Raises
    ------
    sedgeswitch.utils.checks.CheckError
        If the result is not one row of three values: whether the instance is in
        recovery, its LSN and its timeline.
    """
    try:
        ((in_recovery, lsn, timeline),) = rows.rows
        timeline = int(timeline)
    except (TypeError, ValueError) as error:
        raise checks.CheckError(
            "state", "one row of recovery flag, LSN and timeline", rows.rows
        ) from error
    return InstanceState(
        in_recovery=_decode_text(in_recovery).lower() in _TRUE_TEXTS,
        position=positions.Position(
            timeline, positions.check_lsn("state.lsn", _decode_text(lsn))
        ),
    )


async def read_state(
    driver: typing.Any, target: typing.Any, timeout_s: float
) -> InstanceState | None:
    """Return the state of an instance, read over a new connection.

    Returns
    -------
    InstanceState or None
        None if connecting or the query failed, took longer than `timeout_s` or
        gave a malformed result.
    """
    rows = await _run_once(
        driver,
        target,
        lambda connection: connection.execute(STATE_QUERY, ()),
        timeout_s,
    )
    try:
        return None if rows is None else decode_state(rows)
    except checks.CheckError as error:
        loguru.logger.warning(
            "malformed state returned by an instance",
            target=str(target),
            error=str(error),
        )
        return None


async def read_states(
    instance_control: InstanceControl,
    wanted: typing.Iterable[Instance],
    timeout_s: float,
) -> dict[str, InstanceState]:
    """Return the states of the instances that answer within `timeout_s`, by id."""
    states: dict[str, InstanceState] = {}

    async def read(instance: Instance) -> None:
        state = await instance_control.read_state(instance.target, timeout_s)
        if state is not None:
            states[instance.instance] = state

    async with trio.open_nursery() as nursery:
        for instance in wanted:
            nursery.start_soon(read, instance)
    return states


async def _run_once(
    driver: typing.Any,
    target: typing.Any,
    operation: collections.abc.Callable[
        [typing.Any], collections.abc.Awaitable[typing.Any]
    ],
    timeout_s: float,
) -> typing.Any | None:
    """Return the result of an operation on a new connection, None if it fails."""
    with trio.move_on_after(timeout_s):
        try:
            connection = await driver.connect(target, timeout_s)
        except Exception:
            return None
        try:
            return await operation(connection)
        except Exception:
            return None
        finally:
            with trio.CancelScope(shield=True), trio.move_on_after(0.1):
                await connection.close()
    return None


def _decode_text(value: object) -> str:
    return value.decode() if isinstance(value, bytes) else str(value)
