"""Copies the log of the group's primary from instance to instance.

Each instance asks each peer for its status, and the peer that is the primary on
the highest timeline also for its log.  An instance that is the primary on a
lower timeline becomes a replica; one whose log does not continue into the
primary's history drops its data and copies everything.
"""

import collections
import typing

import msgspec
import trio

from standin import addresses
from standin.instance import server
from standin.instance import store

STATUS_INTERVAL_S = 0.1
WAIT_S = 1.0
ANSWER_TIMEOUT_S = 2.0
APPLY_POLL_S = 0.02
ENTRIES_PER_ANSWER = 500
LONGEST_RECEIVED_ENTRIES = 5000
RECEIVE_BYTES = 65536


class Request(typing.NamedTuple):
    """Asks a peer for its status, and for entries unless `after_lsn` is None."""

    after_lsn: int | None


class Answer(typing.NamedTuple):
    """Status of a peer, with the entries that were asked for."""

    instance: str
    is_primary: bool
    lsn: int
    history: tuple[store.Switch, ...]
    entries: tuple[store.LogEntry, ...]

    @property
    def timeline(self) -> int:
        """The newest timeline of the peer."""
        return self.history[-1].timeline


class _Received(typing.NamedTuple):
    """A log entry and when it was received."""

    entry: store.LogEntry
    received_s: float


class _CutError(Exception):
    """The peers are cut off, or the other side closed the connection."""


class _Lines:
    """Reads lines from a stream."""

    def __init__(self, stream: trio.abc.Stream):
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> bytes:
        while (end := self._buffer.find(b"\n")) < 0:
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                raise _CutError
            self._buffer += data
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 1]
        return line


_LINK_ERRORS = (
    _CutError,
    OSError,
    trio.BrokenResourceError,
    trio.TooSlowError,
    msgspec.DecodeError,
)


def has_diverged(
    lsn: int,
    history: typing.Sequence[store.Switch],
    primary_history: typing.Sequence[store.Switch],
) -> bool:
    """Return whether a log goes on where the primary's history does not.

    Parameters
    ----------
    lsn : int
        Last position of the log.
    history, primary_history : sequence of store.Switch
        Timelines of the log and of the primary.
    """
    known = len(history)
    if tuple(history) != tuple(primary_history[:known]):
        return True
    return known < len(primary_history) and lsn > primary_history[known].start_lsn


class Replicator:
    """Replication tasks of one instance.

    Parameters
    ----------
    instance : server.Instance
    """

    def __init__(self, instance: server.Instance):
        self._instance = instance
        self._received: collections.deque[_Received] = collections.deque()
        self._statuses: dict[addresses.Address, Answer] = {}
        self._source_history: tuple[store.Switch, ...] = ()
        self._arrival = trio.Event()
        instance.before_promotion = self._apply_received

    async def run(self) -> None:
        """Ask every peer and apply what is received, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._apply)
            for address in self._instance.settings.peers:
                nursery.start_soon(self._follow, address)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer the requests of one peer."""
        lines = _Lines(stream)
        async with stream:
            try:
                while True:
                    request = msgspec.json.decode(await lines.read(), type=Request)
                    await self._instance.wait_thawed()
                    answer = await self._build_answer(request)
                    self._check_reachable()
                    await self._instance.wait_thawed()
                    await stream.send_all(msgspec.json.encode(answer) + b"\n")
            except _LINK_ERRORS:
                return

    async def _build_answer(self, request: Request) -> Answer:
        instance = self._instance
        entries: list[store.LogEntry] = []
        if request.after_lsn is not None:
            if instance.store.lsn <= request.after_lsn:
                with trio.move_on_after(WAIT_S):
                    await instance.wait_commit()
            entries = instance.store.load_entries(request.after_lsn, ENTRIES_PER_ANSWER)
        return Answer(
            instance.settings.instance,
            instance.is_primary,
            instance.store.lsn,
            instance.store.history,
            tuple(entries),
        )

    def _check_reachable(self) -> None:
        if self._instance.faults.cut_peers:
            raise _CutError

    async def _follow(self, address: addresses.Address) -> None:
        while True:
            try:
                with trio.fail_after(ANSWER_TIMEOUT_S):
                    self._check_reachable()
                    stream = await trio.open_tcp_stream(*address)
                async with stream:
                    await self._ask(address, stream)
            except _LINK_ERRORS:
                self._statuses.pop(address, None)
            await trio.sleep(STATUS_INTERVAL_S)

    async def _ask(self, address: addresses.Address, stream: trio.SocketStream) -> None:
        lines = _Lines(stream)
        while True:
            await self._instance.wait_thawed()
            self._check_reachable()
            request = self._build_request(address)
            with trio.fail_after(ANSWER_TIMEOUT_S):
                await stream.send_all(msgspec.json.encode(request) + b"\n")
                answer = msgspec.json.decode(await lines.read(), type=Answer)
            await self._instance.wait_thawed()
            self._check_reachable()
            self._statuses[address] = answer
            await self._receive(address, request, answer)
            if request.after_lsn is None:
                await trio.sleep(STATUS_INTERVAL_S)

    def _build_request(self, address: addresses.Address) -> Request:
        is_source = address == self._get_source()
        is_full = len(self._received) >= LONGEST_RECEIVED_ENTRIES
        if is_full or not is_source or self._instance.faults.cut_replication:
            return Request(None)
        return Request(self._get_received_lsn())

    def _get_source(self) -> addresses.Address | None:
        """Return the peer that is the primary on the highest timeline."""
        timeline = self._instance.store.timeline
        least = timeline + 1 if self._instance.is_primary else timeline
        primaries = [
            (answer.timeline, address)
            for address, answer in self._statuses.items()
            if answer.is_primary and answer.timeline >= least
        ]
        return max(primaries)[1] if primaries else None

    def _get_received_lsn(self) -> int:
        if self._received:
            return self._received[-1].entry.lsn
        return self._instance.store.lsn

    async def _receive(
        self, address: addresses.Address, request: Request, answer: Answer
    ) -> None:
        if address != self._get_source():
            return
        if self._instance.is_primary:
            self._received.clear()
            self._instance.demote()
        if self._instance.faults.cut_replication:
            return
        own = self._instance.store
        if has_diverged(own.lsn, own.history, answer.history):
            await self._rewind()
            return
        if answer.history != self._source_history:
            self._received.clear()
            self._source_history = answer.history
            self._arrival.set()
        if request.after_lsn == self._get_received_lsn():
            now_s = trio.current_time()
            self._received += [_Received(entry, now_s) for entry in answer.entries]
            self._arrival.set()
        if own.lsn >= answer.lsn:
            self._instance.is_rewinding = False

    async def _rewind(self) -> None:
        """Drop the data; the whole log is asked for next."""
        instance = self._instance
        instance.is_rewinding = True
        instance.end_sessions()
        self._received.clear()
        async with instance.write_lock:
            instance.store.drop_data()

    async def _apply(self) -> None:
        while True:
            if not self._received:
                await self._arrival.wait()
            self._arrival = trio.Event()
            await trio.sleep(self._get_wait_s(trio.current_time()))
            await self._instance.wait_thawed()
            async with self._instance.write_lock:
                if not self._instance.is_primary:
                    self._apply_due(trio.current_time())

    def _get_wait_s(self, now_s: float) -> float:
        if not self._received:
            return 0.0
        due_s = self._received[0].received_s + self._get_lag_s()
        return min(max(due_s - now_s, 0.0), APPLY_POLL_S)

    def _get_lag_s(self) -> float:
        if self._instance.is_rewinding:
            return 0.0
        return self._instance.faults.replication_lag_ms / 1000

    def _apply_due(self, now_s: float) -> None:
        lag_s = self._get_lag_s()
        due = []
        while self._received and self._received[0].received_s + lag_s <= now_s:
            due.append(self._received.popleft().entry)
        self._run_entries(due)

    def _apply_received(self) -> None:
        entries = [received.entry for received in self._received]
        self._received.clear()
        self._run_entries(entries)

    def _run_entries(self, entries: list[store.LogEntry]) -> None:
        self._instance.store.apply(entries, self._source_history)
        if entries:
            self._instance.notify_commit()
