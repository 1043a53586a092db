"""Open transactions, each with exclusive use of its connection."""

import collections
import collections.abc
import enum
import random
import typing

import loguru
import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import base
from sedgeswitch.pools import pool

# Separates the id of the owner from the random part of a transaction id.
OWNER_SEPARATOR = "~"
ID_BITS = 96
MAX_RECORDED_ENDINGS = 10_000
ROLLBACK_TIMEOUT_S = 1.0
EXPIRY_CHECK_INTERVAL_S = 0.2
IDLE_POLL_INTERVAL_S = 0.05


class Ending(enum.Enum):
    """How a transaction ended; ``UNKNOWN`` if its commit may have run."""

    COMMITTED = "committed"
    ROLLED_BACK = "rolled_back"
    UNKNOWN = "unknown"


class Transaction:
    """A transaction on one connection of a pool.

    Attributes
    ----------
    transaction_id : str
    organisation : str
    context : object
        Data that the statement path needs at the commit.
    expires_s : float
        Time of trio's clock at which the transaction is rolled back.
    is_busy : bool
        Whether an operation uses the connection of the transaction.
    """

    def __init__(
        self,
        transaction_id: str,
        organisation: str,
        context: typing.Any,
        expires_s: float,
    ):
        self.transaction_id = transaction_id
        self.organisation = organisation
        self.context = context
        self.expires_s = expires_s
        self.is_busy = False


FindZone = collections.abc.Callable[[Transaction], str | None]


class _OpenTransaction(typing.NamedTuple):
    """An open transaction, its connection and the pool of the connection."""

    transaction: Transaction
    instance_pool: pool.InstancePool
    pooled: pool.PooledConnection


class TransactionTable:
    """Begins, runs and ends the transactions that this host owns.

    Parameters
    ----------
    host_id : str
        Part of each transaction id, from which any host finds the owner.
    rng : random.Random
        Generates the random part of transaction ids.
    find_evacuated_zone : callable, optional
        ``find_evacuated_zone(transaction)`` returns the availability zone whose
        evacuation ends an open transaction now, None if there is none.
    """

    def __init__(
        self,
        host_id: str,
        rng: random.Random,
        find_evacuated_zone: FindZone = lambda transaction: None,  # noqa: ARG005
    ):
        self._find_evacuated_zone = find_evacuated_zone
        self._host_id = host_id
        self._rng = rng
        self._open: dict[str, _OpenTransaction] = {}
        self._endings: collections.OrderedDict[str, tuple[str, Ending]] = (
            collections.OrderedDict()
        )

    @property
    def open_count(self) -> int:
        """Number of open transactions."""
        return len(self._open)

    async def begin(
        self,
        instance_pool: pool.InstancePool,
        pooled: pool.PooledConnection,
        context: typing.Any,
        expires_s: float,
    ) -> Transaction:
        """Begin a transaction, which takes over the connection.

        Raises
        ------
        base.DriverError
            If the server did not begin it; the connection was released.
        """
        pooled.is_dirty = True
        is_begun = False
        try:
            await pooled.execute("BEGIN")
            is_begun = True
        finally:
            if not is_begun:
                await instance_pool.release(pooled, trio.current_time())
        secret = f"{self._rng.getrandbits(ID_BITS):024x}"
        transaction_id = f"{self._host_id}{OWNER_SEPARATOR}{secret}"
        transaction = Transaction(
            transaction_id, pooled.organisation, context, expires_s
        )
        self._open[transaction_id] = _OpenTransaction(
            transaction, instance_pool, pooled
        )
        return transaction

    def get(self, transaction_id: str, organisation: str) -> Transaction:
        """Return an open transaction of an organisation that no operation uses.

        Raises
        ------
        verdicts.RefusedError
            404 if there is none, 409 if an operation is running in it, 410 if it has
            ended.
        """
        entry = self._open.get(transaction_id)
        if entry is None or entry.transaction.organisation != organisation:
            raise self._build_missing(transaction_id, organisation)
        if entry.transaction.is_busy:
            raise verdicts.build_not_run(
                409, "transaction_busy", "a statement is running in the transaction"
            )
        return entry.transaction

    def get_ending(self, transaction_id: str, organisation: str) -> Ending | None:
        """Return how a transaction ended, None if this host has no record of it."""
        owner, ending = self._endings.get(transaction_id, ("", None))
        return ending if owner == organisation else None

    async def execute(
        self,
        transaction: Transaction,
        sql: str,
        parameters: typing.Sequence[str | None] = (),
    ) -> base.Rows:
        """Run a statement in a transaction.

        Raises
        ------
        base.DriverError
            If the server refuses the statement, or the connection is lost, which
            rolls back the transaction. Also if the statement itself ended the
            transaction, by a procedure or transaction control that the checks did
            not detect; the work may then have run.
        """
        entry = self._open[transaction.transaction_id]
        transaction.is_busy = True
        is_done = False
        ending = Ending.ROLLED_BACK
        try:
            rows = await entry.pooled.execute(sql, parameters)
            # Without an open transaction, each later statement would commit by itself.
            if entry.pooled.is_usable:
                ending = Ending.UNKNOWN
                raise _build_ended_by_statement()
            is_done = True
            return rows
        except base.DriverError as error:
            is_done = not error.is_lost and not entry.pooled.is_usable
            raise
        finally:
            transaction.is_busy = False
            if not is_done:
                await self._finish(entry, ending)

    async def commit(self, transaction: Transaction) -> pool.PooledConnection:
        """Commit, and return the connection for one more query.

        The caller must call `close` afterwards, also after an error.

        Raises
        ------
        base.DriverError
            With the verdict whether the commit may have run; the transaction has
            ended.
        """
        entry = self._open[transaction.transaction_id]
        transaction.is_busy = True
        ending = Ending.UNKNOWN
        try:
            rows = await entry.pooled.execute("COMMIT")
            # The server answers COMMIT of a failed transaction with ROLLBACK.
            is_committed = rows.status == "COMMIT"
            ending = Ending.COMMITTED if is_committed else Ending.ROLLED_BACK
        except base.DriverError as error:
            if error.verdict is verdicts.Verdict.NOT_RUN:
                ending = Ending.ROLLED_BACK
            raise
        finally:
            self._record_ending(transaction, ending)
        if ending is Ending.ROLLED_BACK:
            raise base.DriverError(
                "25P02",
                "an earlier statement failed, so the transaction was rolled back",
                verdicts.Verdict.NOT_RUN,
                is_lost=False,
            )
        return entry.pooled

    async def close(self, transaction: Transaction) -> None:
        """Roll back the transaction if it is open, and release its connection."""
        await self._end(transaction, may_send=True)

    async def discard(self, transaction: Transaction) -> None:
        """Roll back the transaction by closing its connection, without a statement."""
        await self._end(transaction, may_send=False)

    async def end_if_evacuated(self, transaction: Transaction) -> bool:
        """Discard the transaction if an evacuation ends it now, and return whether."""
        zone = self._find_evacuated_zone(transaction)
        if zone is None:
            return False
        loguru.logger.info(
            "evacuation ended a transaction",
            zone=zone,
            transaction=transaction.transaction_id,
        )
        await self.discard(transaction)
        return True

    async def _end(self, transaction: Transaction, may_send: bool) -> None:
        entry = self._open.get(transaction.transaction_id)
        if entry is None:
            return
        # No other operation may use the connection during the rollback.
        transaction.is_busy = True
        with trio.CancelScope(shield=True):
            if not may_send:
                await entry.pooled.close()
            elif not entry.pooled.is_usable:
                await _roll_back(entry.pooled)
            ending = self._endings.get(transaction.transaction_id)
            await self._finish(entry, ending[1] if ending else Ending.ROLLED_BACK)

    async def run(self) -> None:
        """Roll back expired and evacuated transactions, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                now_s = trio.current_time()
                for entry in self._open.values():
                    transaction = entry.transaction
                    if transaction.is_busy:
                        continue
                    if self._find_evacuated_zone(transaction) is not None:
                        transaction.is_busy = True
                        nursery.start_soon(self.end_if_evacuated, transaction)
                    elif transaction.expires_s <= now_s:
                        transaction.is_busy = True
                        nursery.start_soon(self.close, transaction)
                await trio.sleep(EXPIRY_CHECK_INTERVAL_S)

    async def wait_idle(self) -> None:
        """Wait until no transaction is open."""
        while self._open:
            await trio.sleep(IDLE_POLL_INTERVAL_S)

    async def _finish(self, entry: _OpenTransaction, ending: Ending) -> None:
        transaction = entry.transaction
        if self._open.pop(transaction.transaction_id, None) is None:
            return
        self._record_ending(transaction, ending)
        with trio.CancelScope(shield=True):
            await entry.instance_pool.release(
                entry.pooled, trio.current_time(), is_observed=False
            )

    def _record_ending(self, transaction: Transaction, ending: Ending) -> None:
        outcome = (transaction.organisation, ending)
        self._endings[transaction.transaction_id] = outcome
        if len(self._endings) > MAX_RECORDED_ENDINGS:
            self._endings.popitem(last=False)

    def _build_missing(
        self, transaction_id: str, organisation: str
    ) -> verdicts.RefusedError:
        ending = self.get_ending(transaction_id, organisation)
        if ending is None:
            return verdicts.build_not_run(
                404,
                "unknown_transaction",
                "transaction: expected the id of an open transaction",
            )
        return verdicts.build_not_run(
            410, "transaction_ended", f"the transaction has ended: {ending.value}"
        )


def get_owner(transaction_id: str) -> str:
    """Return the id of the host that owns a transaction."""
    return transaction_id.rpartition(OWNER_SEPARATOR)[0]


def _build_ended_by_statement() -> base.DriverError:
    return base.DriverError(
        "2D000",
        "the statement ended the transaction; only commit and rollback may end it",
        verdicts.Verdict.MAY_HAVE_RUN,
        is_lost=False,
    )


async def _roll_back(pooled: pool.PooledConnection) -> None:
    with trio.move_on_after(ROLLBACK_TIMEOUT_S):
        try:
            await pooled.execute("ROLLBACK")
        except base.DriverError:
            return
