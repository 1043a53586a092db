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
    """

    in_recovery: bool
    position: positions.Position


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
    driver: typing.Any, wanted: typing.Iterable[Instance], timeout_s: float
) -> dict[str, InstanceState]:
    """Return the states of the instances that answer within `timeout_s`."""
    states: dict[str, InstanceState] = {}

    async def read(instance: Instance) -> None:
        state = await read_state(driver, instance.target, timeout_s)
        if state is not None:
            states[instance.instance] = state

    async with trio.open_nursery() as nursery:
        for instance in wanted:
            nursery.start_soon(read, instance)
    return states


async def order_promotion(
    driver: typing.Any, target: typing.Any, timeout_s: float
) -> None:
    """Tell an instance to promote itself.

    Notes
    -----
    The order may take effect late or never, whatever happens to the call, so
    that the call gives no result: read the state of the instance.
    """
    await _query_once(driver, target, PROMOTE_QUERY, timeout_s)


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
