"""A database group whose instances speak the line protocol of PROTOCOL.md."""

import asyncio
import hashlib
import json
import random
import time
import typing

from world import http1
from world import record as records

PRIMARY = "primary"
REPLICA = "replica"
READY = "ready"
DRAINING = "draining"
APPLY_LAG_S = 0.06
RECEIVE_DELAY_S = 0.003
PROMOTE_S = 0.3
# Time after which an old primary that reaches the new one becomes its replica.
REJOIN_S = 1.0
WORK_S = 0.006
HANDSHAKE_S = 0.012
HEARTBEAT_S = 1.2


class Entry(typing.NamedTuple):
    """A commit in the log."""

    term: int
    number: int
    writes: tuple[tuple[str, str], ...]
    statement_id: str = "-"


FIRST = Entry(1, 1, ())


class ProtocolError(Exception):
    """An answer ``ERROR code text``."""

    def __init__(self, code: str, text: str):
        super().__init__(f"{code} {text}")


class Session:
    """The state of one connection to an instance."""

    def __init__(self, tenant: str):
        self.tenant = tenant
        self.state = "I"
        self.is_read_only = False
        self.term = 0
        self.writes: list[tuple[str, str]] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}

    def end(self) -> None:
        """End the transaction."""
        self.state = "I"
        self.writes = []


class Instance:
    """One instance of a group.

    Parameters
    ----------
    group : Group
    name : str
        Its id.
    host : str
    port : int
    zone : str
    """

    def __init__(self, group: "Group", name: str, host: str, port: int, zone: str):
        self.group = group
        self.name = name
        self.host = host
        self.port = port
        self.zone = zone
        self.role = REPLICA
        self.term = 1
        self.state = READY
        self.log: list[Entry] = [FIRST]
        self.applied = 1
        self.is_running = False
        self.is_paused = False
        # Names of the instances that it is partitioned from.
        self.cut_from: set[str] = set()
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.drain_acknowledged_s: float | None = None
        self._slots = asyncio.Semaphore(group.slots)
        self._busy = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._received = asyncio.Event()
        self._beat_now = asyncio.Event()
        self._beats: asyncio.Task | None = None
        # The control address that has acknowledged the last heartbeat.
        self._answered = ""
        self._is_dark = False

    @property
    def address(self) -> str:
        """Its address as ``host:port``."""
        return f"{self.host}:{self.port}"

    def get_position(self) -> str:
        """Return the position up to which statements see the log."""
        entry = self.log[-1] if self.role == PRIMARY else self.log[self.applied - 1]
        return f"{entry.term}.{entry.number}"

    async def start(self) -> None:
        """Listen and send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2 * 1024 * 1024
        )
        self.is_running = True
        self._beats = asyncio.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Crash: close all connections and send nothing any more."""
        self.is_running = False
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def darken(self) -> None:
        """Go dark: connections stay open or are accepted, and nothing is answered."""
        self.is_running = False
        self._is_dark = True
        if self._beats is not None:
            self._beats.cancel()

    async def restart(self) -> None:
        """Come back after a crash with the log, as a replica if another one leads."""
        if self._is_dark:
            self._is_dark = False
            await self.stop()
        primary = self.group.get_primary()
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        await self.start()
        if primary is not None and primary is not self:
            self.set_role(REPLICA, primary.term)
            self.receive()

    def set_role(self, role: str, term: int) -> None:
        """Take a role in a term; it is reported at once."""
        self.role = role
        self.term = term
        self.applied = len(self.log)
        if role == PRIMARY:
            self.is_paused = False
        self._beat_now.set()

    def drain(self) -> None:
        """Report the state draining at once."""
        self.state = DRAINING
        self._beat_now.set()

    def receive(self) -> None:
        """Receive what the primary has, if it is followed."""
        primary = self.group.get_primary(self.term)
        is_stopped = self.is_paused or not self.is_running
        if self.role == PRIMARY or primary is None or is_stopped:
            return
        if primary.name in self.cut_from:
            return
        common = 0
        for own, other in zip(self.log, primary.log, strict=False):
            if own != other:
                break
            common += 1
        del self.log[common:]
        self.applied = min(self.applied, common)
        new = primary.log[common:]
        if new:
            self.log += new
            asyncio.get_running_loop().call_later(
                APPLY_LAG_S, self._apply, len(self.log)
            )
        self.term = primary.term
        primary.notify_received()

    def notify_received(self) -> None:
        """Wake commits that wait for a replica."""
        self._received.set()
        self._received = asyncio.Event()

    def _apply(self, count: int) -> None:
        self.applied = max(self.applied, min(count, len(self.log)))

    async def _send_heartbeats(self) -> None:
        while True:
            self._beat_now.clear()
            await self._send_heartbeat()
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await self._beat_now.wait()
            except TimeoutError:
                pass

    async def _send_heartbeat(self) -> None:
        self.sequence += 1
        state = self.state
        body = json.dumps(
            {
                "service": self.group.name,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.group.slots,
                "state": state,
                "coldLeftMs": 0,
                "dbRole": self.role,
                "sequence": self.sequence,
                "born": self.born_ms,
            }
        ).encode()
        controls = list(self.group.list_controls())
        random.shuffle(controls)
        # The daemon that has answered last is called first.
        controls.sort(key=lambda address: address != self._answered)
        for address in controls:
            response = await http1.call_following(
                address, "PUT", f"/-/instances/{self.name}", body
            )
            if 200 <= response.status < 300:
                self._answered = address
                if state == DRAINING and self.drain_acknowledged_s is None:
                    self.drain_acknowledged_s = time.monotonic()
                    self.group.record.note(f"instance {self.name}: draining acked")
                return

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            session = await self._connect(reader, writer)
            while session is not None:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                await self._wait_while_dark()
                if line == "QUIT":
                    return
                _, statement_id, text = line.split(" ", 2)
                answer = await self._answer(session, statement_id, text)
                await self._wait_while_dark()
                if not self.is_running:
                    return
                ready = f"READY {session.state} {self.get_position()}\r\n"
                writer.write((answer + ready).encode())
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _wait_while_dark(self) -> None:
        while self._is_dark:
            await asyncio.sleep(0.1)

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Session | None:
        line = (await reader.readuntil(b"\r\n"))[:-2].decode()
        await self._wait_while_dark()
        fields = line.split(" ")
        refusal = None
        if fields[0] != "CONNECT" or len(fields) < 3:
            refusal = "MALFORMED expected CONNECT"
        elif fields[1] != self.group.name or fields[3:] not in ([], [self.name]):
            refusal = f"WRONGNODE {self.name}"
        elif len(self._writers) > self.group.max_connections:
            refusal = f"CONNLIMIT {self.name}"
        if refusal is not None:
            writer.write(f"ERROR {refusal}\r\n".encode())
            return None
        async with self._slots:
            await asyncio.sleep(HANDSHAKE_S)
        writer.write(f"READY I {self.get_position()}\r\n".encode())
        return Session(fields[2])

    async def _answer(self, session: Session, statement_id: str, text: str) -> str:
        try:
            rows = await self._run(session, statement_id, text)
        except ProtocolError as error:
            if session.state == "T":
                session.state = "E"
            return f"ERROR {error}\r\n"
        lines = [f"ROW {row}\r\n" for row in rows]
        signature = "-" if statement_id == "-" else self._sign(statement_id)
        return "".join(lines) + f"COMPLETE {signature}\r\n"

    def _sign(self, statement_id: str) -> str:
        text = f"{self.name} {statement_id} {self.get_position()}"
        return f"{self.term}.{hashlib.sha256(text.encode()).hexdigest()[:16]}"

    async def _run(self, session: Session, statement_id: str, text: str) -> list[str]:
        words = text.split(" ")
        if words[0] == "AFTER":
            self._check_floor(words[1])
            words = words[2:]
        if words[0] == "EXECUTE":
            if words[1] not in session.prepared:
                raise ProtocolError("NOSTMT", words[1])
            kind, _ = session.prepared[words[1]]
            words = [kind, *words[2:]]
        if session.state == "E" and words[0] != "ROLLBACK":
            raise ProtocolError("MALFORMED", "the transaction failed")
        handler = getattr(self, f"_run_{words[0].lower()}", None)
        if handler is None:
            raise ProtocolError("MALFORMED", "unknown statement")
        return await handler(session, statement_id, words[1:])

    def _check_floor(self, text: str) -> None:
        term, _, number = text.partition(".")
        own = self.get_position().split(".")
        if (int(own[0]), int(own[1])) < (int(term), int(number)):
            raise ProtocolError("LAGGING", self.name)

    async def _work(self, work_s: float = WORK_S) -> None:
        self._busy += 1
        try:
            async with self._slots:
                await asyncio.sleep(work_s)
        finally:
            self._busy -= 1

    def _check_lead(self, session: Session) -> None:
        is_plain = session.state == "T" and not session.is_read_only
        if is_plain and (self.role != PRIMARY or session.term != self.term):
            raise ProtocolError("READONLY", self.name)

    async def _run_begin(self, session: Session, _id: str, words: list) -> list[str]:
        is_read_only = words == ["READ"]
        if not is_read_only and self.role != PRIMARY:
            raise ProtocolError("READONLY", self.name)
        session.state = "T"
        session.is_read_only = is_read_only
        session.term = self.term
        return []

    async def _run_rollback(self, session: Session, _id: str, _words: list) -> list:
        session.end()
        return []

    async def _run_commit(self, session: Session, statement_id: str, _words) -> list:
        await self._work()
        writes = tuple(session.writes)
        if writes:
            self._check_lead(session)
            await self._commit(session, statement_id, writes)
        session.end()
        return []

    async def _run_read(self, session: Session, statement_id: str, words) -> list:
        self._check_lead(session)
        await self._work()
        count = len(self.log) if self.role == PRIMARY else self.applied
        value = ""
        for entry in self.log[:count]:
            for item, data in entry.writes:
                if item == words[0]:
                    value = data
        self.group.note_run(self, session, statement_id, "READ " + " ".join(words))
        return [value or "none"]

    async def _run_write(self, session: Session, statement_id: str, words) -> list:
        is_in_transaction = session.state == "T"
        if self.role != PRIMARY or (is_in_transaction and session.is_read_only):
            raise ProtocolError("READONLY", self.name)
        self._check_lead(session)
        await self._work()
        self._check_lead(session)
        if self.role != PRIMARY:
            raise ProtocolError("READONLY", self.name)
        self.group.note_run(self, session, statement_id, "WRITE " + " ".join(words))
        write = (words[0], " ".join(words[1:]))
        if is_in_transaction:
            session.writes.append(write)
        else:
            await self._commit(session, statement_id, (write,))
        return []

    async def _commit(self, session: Session, statement_id: str, writes) -> None:
        term = self.term
        entry = Entry(term, self.log[-1].number + 1, writes, statement_id)
        self.log.append(entry)
        loop = asyncio.get_running_loop()
        loop.call_later(RECEIVE_DELAY_S, self.group.replicate)
        while not self.group.has_copies(self, entry):
            await self._received.wait()
        if self.role != PRIMARY or self.term != term or not self.is_running:
            raise OSError("no longer the primary")
        self.group.note_run(self, session, statement_id, f"COMMIT at {entry[:2]}")

    async def _run_set(self, session: Session, _id: str, words: list) -> list[str]:
        session.values[words[0]] = " ".join(words[1:])
        return []

    async def _run_reset(self, session: Session, _id: str, _words: list) -> list[str]:
        session.values.clear()
        session.prepared.clear()
        return []

    async def _run_prepare(self, session: Session, _id: str, words: list) -> list[str]:
        session.prepared[words[0]] = (words[1], " ".join(words[2:]))
        return []

    async def _run_dealloc(self, session: Session, _id: str, words: list) -> list[str]:
        session.prepared.pop(words[0], None)
        return []

    def _build_state(self) -> list[str]:
        last = self.log[-1]
        lag_ms = 0 if self.role == PRIMARY else int(APPLY_LAG_S * 1000)
        return [
            f"{self.role} {self.term} {last.term}.{last.number} 0 {lag_ms}"
            f" {self._busy} {len(self._writers)}"
        ]

    async def _run_status(self, _session, _id: str, _words: list) -> list[str]:
        await self._work(0.002)
        return self._build_state()

    async def _run_pause(self, _session, _id: str, words: list) -> list[str]:
        if self.role == PRIMARY:
            raise ProtocolError("READONLY", self.name)
        if int(words[0]) > self.term:
            self.is_paused = True
        return self._build_state()

    async def _run_resume(self, _session, _id: str, _words: list) -> list[str]:
        self.is_paused = False
        self.receive()
        return self._build_state()

    async def _run_stepdown(self, _session, _id: str, words: list) -> list[str]:
        if self.role == PRIMARY and self.term < int(words[0]):
            self.group.rejoin(self)
        return self._build_state()


class Group:
    """A service: one primary and its replicas.

    Parameters
    ----------
    name : str
    record : records.Record
    sync : int
        Replicas that must have received a commit.
    """

    def __init__(self, name: str, record: records.Record, sync: int = 1):
        self.name = name
        self.record = record
        self.slots = 3
        self.max_connections = 22
        self.instances: list[Instance] = []
        self._sync = sync
        self._controls: list[str] = []
        # Runs of statements of clients: time, id, text and instance.
        self.runs: list[tuple[float, str, str, str]] = []
        # Each promotion: the instance, its term, its log at that moment, and when.
        self.promoted: list[tuple[str, int, list[Entry], float]] = []

    def set_controls(self, addresses: list[str]) -> None:
        """Set the control addresses to which heartbeats are sent."""
        self._controls = addresses

    def list_controls(self) -> list[str]:
        """Return the control addresses."""
        return self._controls

    def add(self, name: str, host: str, port: int, zone: str) -> Instance:
        """Add an instance; the first one is the primary."""
        instance = Instance(self, name, host, port, zone)
        if not self.instances:
            instance.role = PRIMARY
        self.instances.append(instance)
        return instance

    def get(self, name: str) -> Instance | None:
        """Return a running instance by its id."""
        for instance in self.instances:
            if instance.name == name and instance.is_running:
                return instance
        return None

    def get_primary(self, least_term: int = 0) -> Instance | None:
        """Return the running primary of the highest term."""
        primaries = [
            item
            for item in self.instances
            if item.role == PRIMARY and item.is_running and item.term >= least_term
        ]
        return max(primaries, key=lambda item: item.term, default=None)

    def replicate(self) -> None:
        """Let each replica receive what its primary has."""
        for instance in self.instances:
            instance.receive()

    def has_copies(self, primary: Instance, entry: Entry) -> bool:
        """Return whether enough replicas have received a commit."""
        copies = sum(
            item is not primary and item.is_running and entry in item.log[-50:]
            for item in self.instances
        )
        return copies >= self._sync or not primary.is_running

    def note_run(
        self, instance: Instance, session: Session, statement_id: str, text: str
    ) -> None:
        """Record that an instance has run a statement."""
        if statement_id == "-":
            return
        self.runs.append((time.monotonic(), statement_id, text, instance.name))
        self.record.note(
            f"ran {statement_id} {text} for {session.tenant} {instance.name}"
        )

    async def promote(self, name: str) -> None:
        """Make an instance the primary of the next term, after a while."""
        await asyncio.sleep(PROMOTE_S)
        instance = self.get(name)
        if instance is None or instance.role == PRIMARY:
            return
        old = self.get_primary()
        term = max(item.term for item in self.instances) + 1
        instance.set_role(PRIMARY, term)
        self.promoted.append((name, term, list(instance.log), time.monotonic()))
        self.record.note(f"instance {name} leads term {term} at {instance.log[-1][:2]}")
        for item in self.instances:
            item.is_paused = False
        self.replicate()
        if old is not None:
            await asyncio.sleep(REJOIN_S)
            self.rejoin(old)

    def rejoin(self, instance: Instance) -> None:
        """Make an old primary a replica of the present one."""
        primary = self.get_primary()
        if primary is None or primary is instance or instance.role != PRIMARY:
            return
        instance.set_role(REPLICA, primary.term)
        instance.receive()
