"""Open transactions, each the only user of its connection."""

import collections
import enum
import random
import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.drivers import base
from sedgeswitch.pools import pool

OWNER_SEPARATOR = "~"
ID_BITS = 96
MAX_RECORDED_ENDINGS = 10_000
ROLLBACK_TIMEOUT_S = 1.0
EXPIRY_CHECK_INTERVAL_S = 0.2
IDLE_POLL_INTERVAL_S = 0.05


class Ending(enum.Enum):
    """How a transaction ended."""

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
        What the statement path needs again at the commit.
    expires_s : float
        Time after which the transaction is rolled back.
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


class _OpenTransaction(typing.NamedTuple):
    transaction: Transaction
    instance_pool: pool.InstancePool
    pooled: pool.PooledConnection


class TransactionTable:
    """The transactions that this host owns.

    Parameters
    ----------
    host_id : str
        Put into each id, so that any host can find the owner.
    rng : random.Random
    """

    def __init__(self, host_id: str, rng: random.Random):
        self._host_id = host_id
        self._rng = rng
        self._open: dict[str, _OpenTransaction] = {}
        self._endings: collections.OrderedDict[str, tuple[str, Ending]] = (
            collections.OrderedDict()
        )

    @property
    def open_count(self) -> int:
        """How many transactions are open."""
        return len(self._open)

    async def begin(
        self,
        instance_pool: pool.InstancePool,
        pooled: pool.PooledConnection,
        context: typing.Any,
        expires_s: float,
    ) -> Transaction:
        """Open a transaction; it takes the connection over.

        Raises
        ------
        base.DriverError
            If the server does not open it; the connection is given back.
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
        """Return an open transaction of an organisation, not in use now.

        Raises
        ------
        verdicts.RefusedError
            404 if there is none, 409 if a statement is running in it, 410 if
            it has ended.
        """
        held = self._open.get(transaction_id)
        if held is None or held.transaction.organisation != organisation:
            raise self._build_missing(transaction_id, organisation)
        if held.transaction.is_busy:
            raise verdicts.build_not_run(
                409, "transaction_busy", "a statement is running in the transaction"
            )
        return held.transaction

    def get_ending(self, transaction_id: str, organisation: str) -> Ending | None:
        """Return how a transaction ended, None if that is not known here."""
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
            If the server refuses or is lost; lost work is rolled back. Also
            if the statement ended the transaction itself, by a procedure or
            disguised transaction control; its work may have run.
        """
        held = self._open[transaction.transaction_id]
        transaction.is_busy = True
        is_done = False
        ending = Ending.ROLLED_BACK
        try:
            rows = await held.pooled.execute(sql, parameters)
            # Later statements would run, and commit, one by one.
            if held.pooled.is_usable:
                ending = Ending.UNKNOWN
                raise _build_ended_by_statement()
            is_done = True
            return rows
        except base.DriverError as error:
            is_done = not error.is_lost and not held.pooled.is_usable
            raise
        finally:
            transaction.is_busy = False
            if not is_done:
                await self._finish(held, ending)

    async def commit(self, transaction: Transaction) -> pool.PooledConnection:
        """Commit, and return the connection, still held, for one more question.

        `close` must follow, whatever happens.

        Raises
        ------
        base.DriverError
            With a verdict; the transaction has ended.
        """
        held = self._open[transaction.transaction_id]
        transaction.is_busy = True
        ending = Ending.UNKNOWN
        try:
            rows = await held.pooled.execute("COMMIT")
            # A transaction that has failed answers COMMIT with ROLLBACK.
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
        return held.pooled

    async def close(self, transaction: Transaction) -> None:
        """Give the connection back; an open transaction is rolled back."""
        held = self._open.get(transaction.transaction_id)
        if held is None:
            return
        # Nobody else may use the connection while it is rolled back.
        transaction.is_busy = True
        with trio.CancelScope(shield=True):
            if not held.pooled.is_usable:
                await _roll_back(held.pooled)
            ending = self._endings.get(transaction.transaction_id)
            await self._finish(held, ending[1] if ending else Ending.ROLLED_BACK)

    async def run(self) -> None:
        """Roll back what has expired, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                now_s = trio.current_time()
                for held in self._open.values():
                    transaction = held.transaction
                    if transaction.expires_s <= now_s and not transaction.is_busy:
                        transaction.is_busy = True
                        nursery.start_soon(self.close, transaction)
                await trio.sleep(EXPIRY_CHECK_INTERVAL_S)

    async def wait_idle(self) -> None:
        """Wait until no transaction is open."""
        while self._open:
            await trio.sleep(IDLE_POLL_INTERVAL_S)

    async def _finish(self, held: _OpenTransaction, ending: Ending) -> None:
        transaction = held.transaction
        if self._open.pop(transaction.transaction_id, None) is None:
            return
        self._record_ending(transaction, ending)
        with trio.CancelScope(shield=True):
            await held.instance_pool.release(
                held.pooled, trio.current_time(), is_observed=False
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
                404, "unknown_transaction", "transaction: expected an open one"
            )
        return verdicts.build_not_run(
            410, "transaction_ended", f"the transaction has ended: {ending.value}"
        )


def get_owner(transaction_id: str) -> str:
    """Return the host that owns a transaction, by its id."""
    return transaction_id.rpartition(OWNER_SEPARATOR)[0]


def _build_ended_by_statement() -> base.DriverError:
    return base.DriverError(
        "2D000",
        "the statement ended the transaction, which only commit and rollback may",
        verdicts.Verdict.MAY_HAVE_RUN,
        is_lost=False,
    )


async def _roll_back(pooled: pool.PooledConnection) -> None:
    with trio.move_on_after(ROLLBACK_TIMEOUT_S):
        try:
            await pooled.execute("ROLLBACK")
        except base.DriverError:
            return
