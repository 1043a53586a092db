"""One instance: its state, and the tasks that serve it."""

import collections
import contextlib
import typing

import trio

from standin.instance import errors
from standin.instance import settings as settings_module
from standin.instance import store as store_module
from standin.instance import translation

THAW_POLL_S = 0.01
LONGEST_RAN_RECORD = 200_000
RAN_PAGE_ENTRIES = 1000


class RanStatement(typing.TypedDict):
    """A tagged statement that ran here.

    Attributes
    ----------
    id : str
        Tag of the statement.
    lsn : str
        Position after its commit, or the position that a read saw.
    timeline : int
        Timeline at that moment.
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
        Whether writes are taken.  A restarted instance is a replica until it
        is promoted.
    is_rewinding : bool
        Whether the data are being copied anew; no client is served.
    write_lock : trio.StrictFIFOLock
        Held by the one transaction that writes.
    slots : trio.CapacityLimiter
        Statements that run at once.
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
        self.ran: collections.deque[RanStatement] = collections.deque(
            maxlen=LONGEST_RAN_RECORD
        )
        self.sessions: dict[int, typing.Any] = {}
        self.before_promotion: typing.Callable[[], None] = lambda: None
        self._next_process_id = 1
        self._commit_event = trio.Event()

    def take_process_id(self) -> int:
        """Return the id of the next session."""
        process_id = self._next_process_id
        self._next_process_id += 1
        return process_id

    async def wait_thawed(self) -> None:
        """Wait until the instance is not frozen."""
        while self.faults.freeze:
            await trio.sleep(THAW_POLL_S)

    @contextlib.asynccontextmanager
    async def hold_slot(self, now_s: float) -> typing.AsyncIterator[None]:
        """Hold one of the slots for the service time of a statement."""
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
        """Wake those who wait for a new log entry."""
        self._commit_event.set()
        self._commit_event = trio.Event()

    async def wait_commit(self) -> None:
        """Wait for the next log entry."""
        await self._commit_event.wait()

    async def promote(self) -> None:
        """Become the primary on a new timeline.

        Raises
        ------
        errors.DatabaseError
            If the instance is the primary already.
        """
        if self.is_primary:
            raise errors.DatabaseError(
                errors.NOT_IN_PREREQUISITE_STATE, "recovery is not in progress"
            )
        async with self.write_lock:
            self.before_promotion()
            switch = store_module.Switch(
                self.store.timeline + 1, self.store.lsn, self.settings.instance
            )
            self.store.add_switch(switch)
            self.is_primary = True
        self.notify_commit()

    def demote(self) -> None:
        """Become a replica and end all client sessions."""
        self.is_primary = False
        self.end_sessions()

    def end_sessions(self) -> None:
        """End all client sessions."""
        for session in list(self.sessions.values()):
            session.end()

    def get_written_ids(self) -> list[RanStatement]:
        """Return the tagged statements of the log, whoever ran them."""
        found = []
        after_lsn = store_module.FIRST_LSN
        while entries := self.store.load_entries(after_lsn, RAN_PAGE_ENTRIES):
            after_lsn = entries[-1].lsn
            for entry in entries:
                lsn = store_module.format_lsn(entry.lsn)
                tags = [translation.read_statement(s.sql).tag for s in entry.statements]
                found += [
                    RanStatement(
                        id=tag, lsn=lsn, timeline=entry.timeline, is_write=True
                    )
                    for tag in tags
                    if tag
                ]
        return found
