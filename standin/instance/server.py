"""The state of one instance that its tasks share."""

import collections
import contextlib
import typing

import trio

from standin.instance import errors
from standin.instance import settings as settings_module
from standin.instance import store as store_module
from standin.instance import translation

FREEZE_POLL_S = 0.01
MAX_EXECUTED_STATEMENTS = 200_000
LOG_PAGE_ENTRIES = 1000


class TaggedStatement(typing.TypedDict):
    """Record of a statement that carries a tag, a comment ``/* id=... */``.

    Attributes
    ----------
    id : str
        Tag of the statement.
    lsn : str
        For a write, the position of its commit; for a read, the position of the
        data that it read.
    timeline : int
        Timeline of this position.
    is_write : bool
        Whether it was a committed write.
    """

    id: str
    lsn: str
    timeline: int
    is_write: bool


class Instance:
    """The state that the connections and tasks of an instance share.

    Parameters
    ----------
    settings : settings.Settings
    store : store.Store

    Attributes
    ----------
    is_primary : bool
        Whether the instance accepts writes.  A restarted instance is a replica
        until it is promoted.
    is_rewinding : bool
        Whether the data were dropped and are being copied from the primary;
        client connections are rejected meanwhile.
    write_lock : trio.StrictFIFOLock
        Held by the transaction that writes, by a promotion, and while
        replication changes the data.
    slots : trio.CapacityLimiter
        Limits the number of statements that run concurrently.
    executed_statements : deque of TaggedStatement
        The latest tagged statements that clients ran in this process.
    sessions : dict
        Open client sessions by process id.
    before_promotion : callable
        Called by `promote`, with the write lock held, before the new timeline
        starts.
    """

    def __init__(self, settings: settings_module.Settings, store: store_module.Store):
        self.settings = settings
        self.store = store
        self.faults = settings_module.Faults(
            replication_lag_ms=settings.replication_lag_ms,
            statement_ms=settings.statement_ms,
            connect_delay_ms=settings.connect_delay_ms,
        )
        self.counters = settings_module.Counters()
        self.is_primary = settings.is_first_primary and store.is_new
        self.is_rewinding = False
        self.write_lock = trio.StrictFIFOLock()
        self.slots = trio.CapacityLimiter(settings.slots)
        self.executed_statements: collections.deque[TaggedStatement] = (
            collections.deque(maxlen=MAX_EXECUTED_STATEMENTS)
        )
        self.sessions: dict[int, typing.Any] = {}
        self.before_promotion: typing.Callable[[], None] = lambda: None
        self._next_process_id = 1
        self._commit_event = trio.Event()

    def allocate_process_id(self) -> int:
        """Return a new process id for a session."""
        process_id = self._next_process_id
        self._next_process_id += 1
        return process_id

    async def wait_while_frozen(self) -> None:
        """Wait until the fault `freeze` is not set."""
        while self.faults.freeze:
            await trio.sleep(FREEZE_POLL_S)

    @contextlib.asynccontextmanager
    async def hold_slot(self, now_s: float) -> typing.AsyncIterator[None]:
        """Hold a slot during the service time of a statement and the body.

        Parameters
        ----------
        now_s : float
            Time of the trio clock, recorded as that of the last statement.
        """
        async with self.slots:
            self.counters.running_statements += 1
            self.counters.highest_running_statements = max(
                self.counters.highest_running_statements,
                self.counters.running_statements,
            )
            self.counters.last_statement_s = now_s
            try:
                await trio.sleep(self.faults.statement_ms / 1000)
                yield
            finally:
                self.counters.running_statements -= 1

    def notify_commit(self) -> None:
        """Wake all tasks in `wait_commit`."""
        self._commit_event.set()
        self._commit_event = trio.Event()

    async def wait_commit(self) -> None:
        """Wait until a log entry or a timeline is added."""
        await self._commit_event.wait()

    async def promote(self) -> None:
        """Make the instance the primary on a new timeline.

        Raises
        ------
        errors.DatabaseError
            If the instance is already the primary.
        """
        if self.is_primary:
            raise errors.DatabaseError(
                errors.NOT_IN_PREREQUISITE_STATE, "recovery is not in progress"
            )
        async with self.write_lock:
            self.before_promotion()
            switch = store_module.TimelineSwitch(
                self.store.timeline + 1, self.store.lsn, self.settings.instance
            )
            self.store.start_timeline(switch)
            self.is_primary = True
        self.notify_commit()

    def demote(self) -> None:
        """Make the instance a replica and end all client sessions."""
        self.is_primary = False
        self.end_sessions()

    def end_sessions(self) -> None:
        """End all client sessions."""
        for session in list(self.sessions.values()):
            session.end()

    def load_logged_statements(self) -> list[TaggedStatement]:
        """Return the tagged statements in the log, including replicated ones."""
        statements = []
        after_lsn = store_module.FIRST_LSN
        while entries := self.store.load_entries(after_lsn, LOG_PAGE_ENTRIES):
            after_lsn = entries[-1].lsn
            for entry in entries:
                lsn = store_module.format_lsn(entry.lsn)
                tags = [
                    translation.parse_statement(s.sql).tag for s in entry.statements
                ]
                statements += [
                    TaggedStatement(
                        id=tag, lsn=lsn, timeline=entry.timeline, is_write=True
                    )
                    for tag in tags
                    if tag
                ]
        return statements
