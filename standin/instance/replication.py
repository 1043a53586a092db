"""Replicates the log of the group's primary to the other instances.

Each instance polls the status of each peer, and requests log entries from the
source: the peer that is the primary on the highest timeline.  A primary becomes a
replica when a peer reports that it is the primary on a higher timeline.  An
instance whose log has diverged from the primary's drops its data and copies the
whole log.

Peers exchange JSON messages, one per line.
"""

import collections
import typing

import msgspec
import trio

from standin import addresses
from standin.instance import server
from standin.instance import store

STATUS_INTERVAL_S = 0.1
LONG_POLL_S = 1.0  # A request for entries waits this long for a new one.
ANSWER_TIMEOUT_S = 2.0
APPLY_POLL_S = 0.02
ENTRIES_PER_ANSWER = 500
MAX_RECEIVED_ENTRIES = 5000
RECEIVE_BYTES = 65536


class Request(typing.NamedTuple):
    """Requests the status of a peer, and the log entries after `after_lsn`.

    With `after_lsn` None, no log entries are requested.
    """

    after_lsn: int | None


class Answer(typing.NamedTuple):
    """Status of a peer, with the log entries that were requested."""

    instance: str
    is_primary: bool
    lsn: int
    history: tuple[store.TimelineSwitch, ...]
    entries: tuple[store.LogEntry, ...]

    @property
    def timeline(self) -> int:
        """The current timeline of the peer."""
        return self.history[-1].timeline


class _ReceivedEntry(typing.NamedTuple):
    """A received log entry and its time of receipt on the trio clock."""

    entry: store.LogEntry
    received_s: float


class _PeerUnreachableError(Exception):
    """The fault `cut_peers` is set, or the peer closed the connection."""


class _LineReader:
    """Reads lines that end with a line feed from a stream."""

    def __init__(self, stream: trio.abc.Stream):
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> bytes:
        while (end := self._buffer.find(b"\n")) < 0:
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                raise _PeerUnreachableError
            self._buffer += data
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 1]
        return line


_CONNECTION_ERRORS = (
    _PeerUnreachableError,
    OSError,
    trio.BrokenResourceError,
    trio.TooSlowError,
    msgspec.DecodeError,
)


def has_diverged(
    lsn: int,
    history: typing.Sequence[store.TimelineSwitch],
    primary_history: typing.Sequence[store.TimelineSwitch],
) -> bool:
    """Return whether a log has entries that are not in the primary's log.

    Parameters
    ----------
    lsn : int
        Last position of the log.
    history, primary_history : sequence of store.TimelineSwitch
        Timelines of the log and of the primary's log, the oldest first.
    """
    length = len(history)
    if tuple(history) != tuple(primary_history[:length]):
        return True
    return length < len(primary_history) and lsn > primary_history[length].start_lsn


class Replicator:
    """Sends and receives the log of one instance.

    Parameters
    ----------
    instance : server.Instance

    Notes
    -----
    Received entries stay in a queue until the replication lag has passed.  A
    promotion applies the whole queue first.
    """

    def __init__(self, instance: server.Instance):
        self._instance = instance
        self._received: collections.deque[_ReceivedEntry] = collections.deque()
        self._statuses: dict[addresses.Address, Answer] = {}
        self._source_history: tuple[store.TimelineSwitch, ...] = ()
        self._received_event = trio.Event()
        instance.before_promotion = self._apply_all_received

    async def run(self) -> None:
        """Poll every peer and apply the received entries until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._apply)
            for address in self._instance.settings.peers:
                nursery.start_soon(self._poll_peer, address)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Respond to the requests of one peer until the connection ends."""
        lines = _LineReader(stream)
        async with stream:
            try:
                while True:
                    request = msgspec.json.decode(await lines.read(), type=Request)
                    await self._instance.wait_while_frozen()
                    answer = await self._build_answer(request)
                    self._check_reachable()
                    await self._instance.wait_while_frozen()
                    await stream.send_all(msgspec.json.encode(answer) + b"\n")
            except _CONNECTION_ERRORS:
                return

    async def _build_answer(self, request: Request) -> Answer:
        instance = self._instance
        entries: list[store.LogEntry] = []
        if request.after_lsn is not None:
            if instance.store.lsn <= request.after_lsn:
                with trio.move_on_after(LONG_POLL_S):
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
            raise _PeerUnreachableError

    async def _poll_peer(self, address: addresses.Address) -> None:
        while True:
            try:
                with trio.fail_after(ANSWER_TIMEOUT_S):
                    self._check_reachable()
                    stream = await trio.open_tcp_stream(*address)
                async with stream:
                    await self._exchange(address, stream)
            except _CONNECTION_ERRORS:
                self._statuses.pop(address, None)
            await trio.sleep(STATUS_INTERVAL_S)

    async def _exchange(
        self, address: addresses.Address, stream: trio.SocketStream
    ) -> None:
        lines = _LineReader(stream)
        while True:
            await self._instance.wait_while_frozen()
            self._check_reachable()
            request = self._build_request(address)
            with trio.fail_after(ANSWER_TIMEOUT_S):
                await stream.send_all(msgspec.json.encode(request) + b"\n")
                answer = msgspec.json.decode(await lines.read(), type=Answer)
            await self._instance.wait_while_frozen()
            self._check_reachable()
            self._statuses[address] = answer
            await self._receive(address, request, answer)
            if request.after_lsn is None:
                await trio.sleep(STATUS_INTERVAL_S)

    def _build_request(self, address: addresses.Address) -> Request:
        is_source = address == self._get_source()
        is_full = len(self._received) >= MAX_RECEIVED_ENTRIES
        if is_full or not is_source or self._instance.faults.cut_replication:
            return Request(None)
        return Request(self._get_received_lsn())

    def _get_source(self) -> addresses.Address | None:
        """Return the peer that is the primary on the highest timeline, if any.

        Its timeline must not be below that of this instance, and must be above
        it if this instance is a primary too.
        """
        timeline = self._instance.store.timeline
        min_timeline = timeline + 1 if self._instance.is_primary else timeline
        primaries = [
            (answer.timeline, address)
            for address, answer in self._statuses.items()
            if answer.is_primary and answer.timeline >= min_timeline
        ]
        return max(primaries)[1] if primaries else None

    def _get_received_lsn(self) -> int:
        if self._received:
            return self._received[-1].entry.lsn
        return self._instance.store.lsn

    async def _receive(
        self, address: addresses.Address, request: Request, answer: Answer
    ) -> None:
        """Process the answer of a peer; ignored unless the peer is the source."""
        if address != self._get_source():
            return
        if self._instance.is_primary:
            self._received.clear()
            self._instance.demote()
        if self._instance.faults.cut_replication:
            return
        own_store = self._instance.store
        if has_diverged(own_store.lsn, own_store.history, answer.history):
            await self._rewind()
            return
        if answer.history != self._source_history:
            self._received.clear()
            self._source_history = answer.history
            self._received_event.set()
        if request.after_lsn == self._get_received_lsn():
            now_s = trio.current_time()
            self._received += [_ReceivedEntry(entry, now_s) for entry in answer.entries]
            self._received_event.set()
        if own_store.lsn >= answer.lsn:
            self._instance.is_rewinding = False

    async def _rewind(self) -> None:
        """Drop the data, so that the next request asks for the whole log.

        All client sessions end, and none is accepted until the log is copied.
        """
        instance = self._instance
        instance.is_rewinding = True
        instance.end_sessions()
        self._received.clear()
        async with instance.write_lock:
            instance.store.drop_data()

    async def _apply(self) -> None:
        while True:
            if not self._received:
                await self._received_event.wait()
            self._received_event = trio.Event()
            await trio.sleep(self._get_wait_s(trio.current_time()))
            await self._instance.wait_while_frozen()
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
        self._apply_entries(due)

    def _apply_all_received(self) -> None:
        entries = [received.entry for received in self._received]
        self._received.clear()
        self._apply_entries(entries)

    def _apply_entries(self, entries: list[store.LogEntry]) -> None:
        self._instance.store.apply(entries, self._source_history)
        if entries:
            self._instance.notify_commit()
