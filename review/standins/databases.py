"""Instances of a service: the line protocol, replication and changes of primary."""

import asyncio
import typing

from standins import records
from standins import requests

MAX_LINE_BYTES = 1024 * 1024
HEARTBEAT_S = 1.2
# Time from an order to the moment at which the named instance leads, in seconds.
PROMOTE_S = 0.3
# Time for which an old primary continues once it can reach the new one, in seconds.
OLD_PRIMARY_S = 1.0
REPLICATION_INTERVAL_S = 0.005
COMMIT_POLL_S = 0.002
IDLE, OPEN, FAILED = "I", "T", "E"


class Position(typing.NamedTuple):
    """A position in the log, compared as a tuple."""

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"


class Write(typing.NamedTuple):
    """One write of a commit."""

    item: str
    data: str
    statement_id: str


class Entry(typing.NamedTuple):
    """One commit in the log."""

    position: Position
    writes: tuple[Write, ...]


class Answer(typing.NamedTuple):
    """The answer to a statement; an empty code stands for success."""

    code: str = ""
    text: str = ""
    rows: tuple[str, ...] = ()
    signature: str = "-"


class LostError(Exception):
    """The instance gives no answer and closes the connection."""


def parse_position(text: str) -> Position:
    """Return the position with the text TERM.NUMBER."""
    term, _, number = text.partition(".")
    return Position(int(term), int(number))


class Session:
    """The state of one connection to an instance."""

    def __init__(self, who: str, writer: asyncio.StreamWriter):
        self.who = who
        self.writer = writer
        self.state = IDLE
        self.is_read_only = False
        self.has_lost_lead = False
        self.writes: list[Write] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}

    def end_transaction(self) -> None:
        """Leave the transaction; nothing that it wrote is kept."""
        self.state = IDLE
        self.is_read_only = self.has_lost_lead = False
        self.writes = []


class Instance:
    """One instance of a service.

    Attributes
    ----------
    is_alive, is_deaf : bool
        Whether its process runs; whether it receives no commits.
    host_delay_s : float
        Round trip to hosts of the system, added to answers to their own statements.
    state : str
        ``ready`` or ``draining``, as it announces itself.
    """

    def __init__(
        self,
        group: "Group",
        name: str,
        address: tuple[str, int],
        zone: str,
        is_primary: bool,
    ):
        self.group = group
        self.name = name
        self.address = address
        self.zone = zone
        self.is_primary = is_primary
        self.term = 1
        self.held_term = 0
        self.log: list[Entry] = [Entry(Position(1, 1), ())]
        # Number up to which a replica has the log, by term.
        self.received: dict[int, int] = {}
        self.is_alive = False
        self.is_deaf = False
        self.host_delay_s = 0.0
        self.state = "ready"
        # When the announcement that it is draining was acknowledged.
        self.drained_s: float | None = None
        self.born_ms = 0
        self._sequence = 0
        self._runs = 0
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task | None = None
        self._sessions: set[Session] = set()

    @property
    def position(self) -> Position:
        """Position of the last entry in the log."""
        return self.log[-1].position

    async def start(self, born_ms: int) -> None:
        """Listen and send heartbeats."""
        self.is_alive = True
        self.born_ms, self._sequence = born_ms, 0
        self._server = await asyncio.start_server(
            self._serve, *self.address, limit=MAX_LINE_BYTES
        )
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def leave(self, drain_s: float, longer_s: float) -> float:
        """Announce the end, serve on and end; return when it was acknowledged.

        Parameters
        ----------
        drain_s : float
            Time for which it serves at least after the acknowledgement.
        longer_s : float
            Time for which it serves beyond that.
        """
        self.state = "draining"
        loop = asyncio.get_running_loop()
        while not await self._send_heartbeat():
            await asyncio.sleep(0.1)
        acknowledged_s = self.drained_s = loop.time()
        self.group.record.note(f"{self.name} is draining, which was acknowledged")
        await asyncio.sleep(drain_s + longer_s)
        for address in self.group.control_addresses:
            response = await requests.send(
                address, "DELETE", f"/-/instances/{self.name}"
            )
            if response is not None and 200 <= response.status < 300:
                break
        self.kill()
        self.group.record.note(f"{self.name} has ended")
        return acknowledged_s

    def kill(self) -> None:
        """End as by SIGKILL: connections break, the log stays."""
        self.is_alive = False
        if self._server is not None:
            self._server.close()
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for session in list(self._sessions):
            session.writer.transport.abort()

    def demote(self, term: int) -> None:
        """Become a replica; open plain transactions lose the lead."""
        self.is_primary = False
        self.term = max(self.term, term)
        for session in self._sessions:
            session.has_lost_lead = session.state == OPEN and not session.is_read_only

    def get_value(self, item: str) -> str:
        """Return the data of an item in the log."""
        for entry in reversed(self.log):
            for write in reversed(entry.writes):
                if write.item == item:
                    return write.data
        return "none"

    async def _send_heartbeats(self) -> None:
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _send_heartbeat(self) -> bool:
        """Send one heartbeat and return whether it was acknowledged."""
        self._sequence += 1
        body = {
            "service": self.group.name,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.group.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "dbRole": "primary" if self.is_primary else "replica",
            "sequence": self._sequence,
            "born": self.born_ms,
        }
        path = f"/-/instances/{self.name}"
        for address in self.group.control_addresses:
            response = await requests.send(address, "PUT", path, body)
            if response is not None and 200 <= response.status < 300:
                return True
        return False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        session = None
        try:
            session = await self._handshake(reader, writer)
            if session is None:
                return
            self._sessions.add(session)
            while line := await reader.readuntil(b"\r\n"):
                if not await self._serve_line(session, line[:-2].decode()):
                    return
        except (OSError, asyncio.IncompleteReadError, LostError):
            return
        finally:
            if session is not None:
                self._sessions.discard(session)
            writer.close()

    async def _handshake(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Session | None:
        fields = (await reader.readuntil(b"\r\n")).decode().split()
        names = [self.group.name, self.name]
        expected = [*fields[1:2], *(fields[3:] or [self.name])]
        is_named = fields[:1] == ["CONNECT"] and expected == names
        code = "" if is_named else "WRONGNODE"
        if len(self._sessions) >= self.group.max_connections:
            code = "CONNLIMIT"
        if code:
            writer.write(f"ERROR {code} {self.name}\r\n".encode())
            await writer.drain()
            return None
        writer.write(f"READY I {self.position}\r\n".encode())
        return Session(fields[2] if len(fields) > 2 else "", writer)

    async def _serve_line(self, session: Session, line: str) -> bool:
        keyword, _, rest = line.partition(" ")
        if keyword != "QUERY":
            return False
        statement_id, _, text = rest.partition(" ")
        if statement_id == "-" and self.host_delay_s:
            await asyncio.sleep(self.host_delay_s)
        answer = await self._answer(session, statement_id, text)
        lines = [f"ROW {row}" for row in answer.rows]
        if answer.code:
            lines = [f"ERROR {answer.code} {answer.text or self.name}"]
        else:
            lines.append(f"COMPLETE {answer.signature}")
        lines.append(f"READY {session.state} {self.position}")
        session.writer.write("".join(f"{item}\r\n" for item in lines).encode())
        await session.writer.drain()
        return True

    async def _answer(self, session: Session, statement_id: str, text: str) -> Answer:
        floor = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            floor = parse_position(position)
        keyword, _, rest = text.partition(" ")
        refusal = self._find_refusal(session, keyword, floor)
        if refusal is not None:
            return refusal
        handler = getattr(self, f"_do_{keyword.lower()}", None)
        if handler is None:
            return Answer("MALFORMED")
        return await handler(session, statement_id, rest)

    def _find_refusal(
        self, session: Session, keyword: str, floor: Position | None
    ) -> Answer | None:
        """Return why a statement is not run, None if it may run."""
        if session.state == FAILED and keyword not in ("ROLLBACK", "COMMIT"):
            return Answer("MALFORMED")
        if session.has_lost_lead and not self._may_end(session, keyword):
            session.state = FAILED
            return Answer("READONLY")
        if floor is not None and self.position < floor:
            return Answer("LAGGING")
        return None

    @staticmethod
    def _may_end(session: Session, keyword: str) -> bool:
        if keyword == "COMMIT":
            return not session.writes
        return keyword == "ROLLBACK"

    def _sign(self) -> str:
        self._runs += 1
        return f"{self.term:x}.{self._runs:x}.{self.name}"

    async def _do_begin(self, session: Session, _: str, rest: str) -> Answer:
        if session.state != IDLE:
            return Answer("MALFORMED")
        if rest != "READ" and not self.is_primary:
            return Answer("READONLY")
        session.state = OPEN
        session.is_read_only = rest == "READ"
        return Answer()

    async def _do_commit(self, session: Session, statement_id: str, _: str) -> Answer:
        if session.state == IDLE:
            return Answer("MALFORMED")
        if session.state == FAILED:
            session.end_transaction()
            return Answer("ABORTED")
        writes = tuple(session.writes)
        session.end_transaction()
        await asyncio.sleep(self.group.work_s)
        if writes:
            await self.group.commit(self, writes)
        self.group.note_run(self, session, statement_id, "COMMIT")
        return Answer(signature=self._sign())

    async def _do_rollback(self, session: Session, *_: str) -> Answer:
        if session.state == IDLE:
            return Answer("MALFORMED")
        session.end_transaction()
        return Answer()

    async def _do_read(self, session: Session, statement_id: str, item: str) -> Answer:
        return await self._read(session, statement_id, item, "")

    async def _read(
        self, session: Session, statement_id: str, item: str, shape: str
    ) -> Answer:
        await asyncio.sleep(self.group.work_s)
        self.group.note_run(self, session, statement_id, f"READ {item} shape {shape}")
        row = self.get_value(item)
        return Answer(
            rows=(f"{shape}:{row}" if shape else row,), signature=self._sign()
        )

    async def _do_write(self, session: Session, statement_id: str, rest: str) -> Answer:
        item, _, data = rest.partition(" ")
        if session.is_read_only or not self.is_primary:
            if session.state == OPEN:
                session.state = FAILED
            return Answer("READONLY")
        write = Write(item, data, statement_id)
        if session.state == OPEN:
            session.writes.append(write)
            return Answer(signature=self._sign())
        await asyncio.sleep(self.group.work_s)
        if not self.is_primary:
            return Answer("READONLY")
        await self.group.commit(self, (write,))
        self.group.note_run(self, session, statement_id, f"WRITE {item}")
        return Answer(signature=self._sign())

    async def _do_set(self, session: Session, _: str, rest: str) -> Answer:
        name, _, value = rest.partition(" ")
        session.values[name] = value
        return Answer()

    async def _do_prepare(self, session: Session, _: str, rest: str) -> Answer:
        name, kind, shape = rest.split(" ", 2)
        session.prepared[name] = (kind, shape)
        return Answer()

    async def _do_execute(self, session: Session, number: str, rest: str) -> Answer:
        name, _, arguments = rest.partition(" ")
        if name not in session.prepared:
            return Answer("NOSTMT")
        kind, shape = session.prepared[name]
        if kind == "WRITE":
            return await self._do_write(session, number, arguments)
        return await self._read(session, number, arguments, shape)

    async def _do_dealloc(self, session: Session, _: str, name: str) -> Answer:
        session.prepared.pop(name, None)
        return Answer()

    async def _do_reset(self, session: Session, *_: str) -> Answer:
        session.values.clear()
        session.prepared.clear()
        return Answer()

    async def _do_status(self, *_: object) -> Answer:
        role = "primary" if self.is_primary else "replica"
        fields = (role, self.term, self.position, self.held_term, 0, 0, 1)
        return Answer(rows=(" ".join(str(field) for field in fields),))

    async def _do_pause(self, _: Session, __: str, rest: str) -> Answer:
        term = int(rest)
        if self.is_primary or term <= self.term:
            return Answer("READONLY")
        self.held_term = max(self.held_term, term)
        return await self._do_status()

    async def _do_resume(self, *_: object) -> Answer:
        self.held_term = 0
        return await self._do_status()

    async def _do_stepdown(self, _: Session, __: str, rest: str) -> Answer:
        if self.is_primary and int(rest) > self.term:
            self.demote(self.term)
        return await self._do_status()


class Group:
    """A service: its instances, their replication and their primary.

    Attributes
    ----------
    cuts : set of frozenset of str
        Pairs of names of instances that cannot reach each other.
    """

    def __init__(
        self,
        name: str,
        record: records.Record,
        control_addresses: list[tuple[str, int]],
        latency_s: float = 0.012,
        work_s: float = 0.002,
    ):
        self.name = name
        self.instances: dict[str, Instance] = {}
        self.control_addresses = control_addresses
        self.cuts: set[frozenset[str]] = set()
        self.slots = 8
        self.max_connections = 60
        self.work_s = work_s
        self.runs: dict[str, list[str]] = {}
        self._latency_s = latency_s
        self.record = record
        self._tasks: set[asyncio.Task] = set()
        self._old_since_s: dict[str, float] = {}

    def start(self) -> None:
        """Start to replicate."""
        self._spawn(self._replicate_forever())

    def stop(self) -> None:
        """End all instances and tasks."""
        for instance in self.instances.values():
            if instance.is_alive:
                instance.kill()
        for task in self._tasks:
            task.cancel()

    @property
    def newest_primary(self) -> Instance | None:
        """The living primary of the highest term, if any."""
        primaries = [
            item
            for item in self.instances.values()
            if item.is_alive and item.is_primary
        ]
        return max(primaries, key=lambda item: item.term, default=None)

    def cut_off(self, name: str) -> None:
        """Partition an instance from all others of the service."""
        for other in self.instances:
            if other != name:
                self.cuts.add(frozenset((name, other)))

    def note_run(
        self, instance: Instance, session: Session, statement_id: str, text: str
    ) -> None:
        """Record a statement that an instance has run for a client."""
        self.runs.setdefault(statement_id, []).append(text)
        self.record.note(
            f"{instance.name} ran {statement_id} for {session.who}: {text}"
        )

    async def commit(self, primary: Instance, writes: tuple[Write, ...]) -> None:
        """Append a commit to the log; return once one replica has received it.

        Raises
        ------
        LostError
            If the primary is no longer one before that.
        """
        position = Position(primary.term, primary.position.number + 1)
        primary.log.append(Entry(position, writes))
        while primary.received.get(position.term, 0) < position.number:
            if not (primary.is_alive and primary.is_primary):
                raise LostError
            await asyncio.sleep(COMMIT_POLL_S)
        ids = ", ".join(write.statement_id for write in writes)
        self.record.note(f"{primary.name} committed {position}: {ids}")

    def _is_cut(self, first: Instance, second: Instance) -> bool:
        return frozenset((first.name, second.name)) in self.cuts

    def _can_receive(self, other: Instance, source: Instance, term: int) -> bool:
        """Return whether a replica takes the log of a primary of a term."""
        is_running = other.is_alive and not (other.is_deaf or other.is_primary)
        is_current = other.term <= term and other.held_term <= term
        return is_running and is_current and not self._is_cut(source, other)

    async def _replicate_forever(self) -> None:
        """Let replicas follow the newest primary that they can reach."""
        while True:
            await asyncio.sleep(REPLICATION_INTERVAL_S)
            for item in list(self.instances.values()):
                self._check_old_primary(item)
                source = self._find_source(item)
                if source is None:
                    continue
                if source.term > item.term or source.log != item.log:
                    self._spawn(
                        self._transfer(source, item, source.term, list(source.log))
                    )

    def _find_source(self, item: Instance) -> Instance | None:
        """Return the primary that a replica follows, if any."""
        sources = [
            other
            for other in self.instances.values()
            if other.is_alive
            and other.is_primary
            and other is not item
            and self._can_receive(item, other, other.term)
        ]
        return max(sources, key=lambda other: other.term, default=None)

    async def _transfer(
        self, source: Instance, item: Instance, term: int, log: list[Entry]
    ) -> None:
        """Bring the log of a primary to a replica, and back the acknowledgement."""
        await asyncio.sleep(self._latency_s)
        if not self._can_receive(item, source, term):
            return
        if term > item.term or len(log) > len(item.log):
            if item.log != log[: len(item.log)]:
                self.record.note(f"{item.name} follows {source.name}, rolled back")
            item.term = term
            item.log = log
        number = item.position.number
        await asyncio.sleep(self._latency_s)
        if source.is_alive and not self._is_cut(source, item):
            source.received[term] = max(source.received.get(term, 0), number)

    def _check_old_primary(self, item: Instance) -> None:
        """Demote a primary some time after it can reach a newer one."""
        newest = self.newest_primary
        now_s = asyncio.get_running_loop().time()
        if (
            not (item.is_alive and item.is_primary)
            or newest.term <= item.term
            or self._is_cut(item, newest)
        ):
            self._old_since_s.pop(item.name, None)
            return
        since_s = self._old_since_s.setdefault(item.name, now_s)
        if now_s - since_s > OLD_PRIMARY_S:
            item.demote(item.term)
            self.record.note(f"{item.name} found {newest.name} and is a replica")

    def start_promotion(self, name: str) -> int:
        """Let an instance lead the next term soon; return the HTTP status."""
        instance = self.instances.get(name)
        if instance is None or not instance.is_alive:
            return 409
        if self.newest_primary is not instance:
            self._spawn(self._promote(instance))
        return 200

    async def _promote(self, instance: Instance) -> None:
        await asyncio.sleep(PROMOTE_S)
        if not instance.is_alive or self.newest_primary is instance:
            return
        instance.term = max(item.term for item in self.instances.values()) + 1
        instance.is_primary = True
        instance.held_term = 0
        self.record.note(
            f"{instance.name} leads term {instance.term} of {self.name} with"
            f" {instance.position}"
        )

    def restart(self, instance: Instance) -> None:
        """Prepare the start of a crashed instance: a replica if another one leads."""
        others = [item.term for item in self.instances.values() if item is not instance]
        if max(others, default=0) > instance.term:
            instance.is_primary = False
        instance.held_term = 0

    def _spawn(self, work: typing.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
