"""Instances of a group and what one query tells about them."""

import typing

import loguru
import trio

from sedgeswitch.groups import positions
from sedgeswitch.utils import checks

# PostgreSQL publishes the replayed position of a replica, not what it received.
STATE_QUERY = (
    "SELECT pg_is_in_recovery(),"
    " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn()"
    " ELSE pg_current_wal_lsn() END,"
    " (SELECT timeline_id FROM pg_control_checkpoint())"
)
PROMOTE_QUERY = "SELECT pg_promote()"
_TRUE_TEXTS = ("t", "true")


class Instance(typing.NamedTuple):
    """An announced instance of a group.

    Attributes
    ----------
    instance : str
        Id of the instance.
    target : object
        What the driver needs to connect.
    availability_zone : str
    """

    instance: str
    target: typing.Any
    availability_zone: str


class InstanceState(typing.NamedTuple):
    """What an instance says about itself.

    Attributes
    ----------
    in_recovery : bool
        True for a replica.
    position : positions.Position
    asked_s : float or None
        When the instance was asked, on trio's clock, if that was before the probe.
    log_timeline : int or None
        Timeline in which the log ends, where it may be an earlier one than that of
        `position`, as on a primary before its first write.
    """

    in_recovery: bool
    position: positions.Position
    asked_s: float | None = None
    log_timeline: int | None = None


class PromotionOrder(typing.NamedTuple):
    """The order to make an instance the primary of its group.

    Attributes
    ----------
    group : str
    instance : str
    target : object
        What the driver needs to connect.
    leadership_term : int
        Term of the leader that gives the order; it only grows.
    """

    group: str
    instance: str
    target: typing.Any
    leadership_term: int


class InstanceControl(typing.Protocol):
    """How the leader reads and orders the instances of a group."""

    async def read_state(
        self, target: typing.Any, timeout_s: float
    ) -> InstanceState | None:
        """Return the state of an instance, None without an answer in time."""

    async def fence(
        self, target: typing.Any, timeline: int, timeout_s: float
    ) -> InstanceState | None:
        """Stop a replica from following any primary below `timeline`.

        Returns its state; an instance without this ability only tells its state.
        """

    async def unfence(self, target: typing.Any, timeout_s: float) -> None:
        """Let a replica follow its primary again."""

    async def follow(self, target: typing.Any, timeline: int, timeout_s: float) -> None:
        """Let an instance follow the primary of `timeline`.

        One that leads an older timeline gives that up, if it has this ability.
        """

    async def promote(self, order: PromotionOrder, timeout_s: float) -> None:
        """Order a promotion, which may take effect late or never."""


class StateQueryMixin:
    """Reads the state over a connection that executes SQL."""

    async def read_state(self) -> InstanceState:
        """Return the state of the instance behind this connection.

        Raises
        ------
        Exception
            The driver's, if there is no answer.
        sedgeswitch.utils.checks.CheckError
            If the answer is no state.
        """
        return decode_state(await self.execute(STATE_QUERY, ()))


class SqlInstanceControl:
    """Reads and orders instances over new connections that execute SQL.

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
        """Return the state: PostgreSQL has no order to stop following."""
        return await read_state(self._driver, target, timeout_s)

    async def promote(self, order: PromotionOrder, timeout_s: float) -> None:
        """Tell an instance to promote itself."""
        await _query_once(self._driver, order.target, PROMOTE_QUERY, timeout_s)

    async def follow(
        self,
        target: typing.Any,  # noqa: ARG002
        timeline: int,  # noqa: ARG002
        timeout_s: float,  # noqa: ARG002
    ) -> None:
        """Do nothing: the instances find the primary themselves."""
        await trio.lowlevel.checkpoint()

    async def unfence(
        self,
        target: typing.Any,  # noqa: ARG002
        timeout_s: float,  # noqa: ARG002
    ) -> None:
        """Do nothing: `fence` has stopped nobody."""
        await trio.lowlevel.checkpoint()


class Directory(typing.Protocol):
    """The announced instances."""

    def get_groups(self) -> typing.Iterable[str]:
        """Return the ids of the groups that have announced instances."""

    def get_instances(self, group: str) -> typing.Sequence[Instance]:
        """Return the announced instances of a group."""


def decode_state(rows: typing.Any) -> InstanceState:
    """Return the state that the answer to `STATE_QUERY` holds.

    Raises
    ------
    sedgeswitch.utils.checks.CheckError
        If the answer is not one row of the three values.
    """
    try:
        ((in_recovery, lsn, timeline),) = rows.rows
        timeline = int(timeline)
    except (TypeError, ValueError) as error:
        raise checks.CheckError("state", "one row of three", rows.rows) from error
    return InstanceState(
        in_recovery=_decode_text(in_recovery).lower() in _TRUE_TEXTS,
        position=positions.Position(
            timeline, positions.check_lsn("state.lsn", _decode_text(lsn))
        ),
    )


async def read_state(
    driver: typing.Any, target: typing.Any, timeout_s: float
) -> InstanceState | None:
    """Return the state of an instance over a new connection.

    Returns
    -------
    InstanceState or None
        None if the instance gave no answer within `timeout_s`.
    """
    rows = await _query_once(driver, target, STATE_QUERY, timeout_s)
    try:
        return None if rows is None else decode_state(rows)
    except checks.CheckError as error:
        loguru.logger.warning("unreadable state", target=str(target), error=str(error))
        return None


async def read_states(
    instance_control: InstanceControl,
    wanted: typing.Iterable[Instance],
    timeout_s: float,
) -> dict[str, InstanceState]:
    """Return the states of the instances that answer within `timeout_s`."""
    states: dict[str, InstanceState] = {}

    async def read(instance: Instance) -> None:
        state = await instance_control.read_state(instance.target, timeout_s)
        if state is not None:
            states[instance.instance] = state

    async with trio.open_nursery() as nursery:
        for instance in wanted:
            nursery.start_soon(read, instance)
    return states


async def _query_once(
    driver: typing.Any, target: typing.Any, sql: str, timeout_s: float
) -> typing.Any | None:
    with trio.move_on_after(timeout_s):
        try:
            connection = await driver.connect(target, timeout_s)
        except Exception:
            return None
        try:
            return await connection.execute(sql, ())
        except Exception:
            return None
        finally:
            with trio.CancelScope(shield=True), trio.move_on_after(0.1):
                await connection.close()
    return None


def _decode_text(value: object) -> str:
    return value.decode() if isinstance(value, bytes) else str(value)
