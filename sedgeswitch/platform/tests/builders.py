"""Documents and streams in the form that the platform's documentation gives."""

import msgspec
import trio
import trio.testing

from sedgeswitch.platform import client_server
from sedgeswitch.platform import wire

ROUTE = {
    "name": "r-1",
    "host": "draw",
    "pathPrefix": "/",
    "kind": "bounded",
    "timeoutMs": 2000,
    "targetLatencyMs": 800,
    "priority": 2,
    "service": "lots",
    "maxAttempts": 2,
    "maxStalenessMs": 1500,
    "public": False,
}
SERVICE = {"name": "lots", "healthPath": "/health", "maxConns": 34, "syncReplicas": 1}
TENANT = {"name": "ward", "apiKeys": ["k1"], "ratePerS": 58, "burst": 58}
HEARTBEAT = {
    "service": "lots",
    "address": "10.0.0.9:8080",
    "zone": "bagmati-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldLeftMs": 0,
    "dbRole": "replica",
    "sequence": 4,
    "born": 1000,
}
SETTINGS = {
    "nodeName": "front-a-1",
    "serves": ["front"],
    "ip": "10.0.0.1",
    "zone": "bagmati-a",
    "bindAddrs": {"front": "10.0.0.1:8465", "ready": "10.0.0.1:8460"},
    "internalPorts": [7560, 7575],
    "seeds": ["10.0.0.2:8462", "10.0.1.2:8462"],
    "bootstrap": True,
    "dataDir": None,
    "bounds": {"graceS": 6, "quotaWindowS": 5, "quotaOverage": 0.1, "quotaSlack": 20},
    "cloudApi": {"address": "10.200.0.2:8466", "duties": ["promote"]},
    "a field of a later release": {"x": 1},
}


def build_configuration(**changes):
    given = {
        "version": 7,
        "routes": [ROUTE],
        "services": [SERVICE],
        "limits": {"txIdleMs": 3000},
        "tenants": [TENANT],
    }
    return msgspec.json.encode(given | changes)


def build_heartbeat(**changes):
    return msgspec.json.encode(HEARTBEAT | changes)


class ScriptedInstance:
    """Answers each line of a connection with the next scripted answer.

    An answer of None closes the connection. Received lines are recorded.
    """

    def __init__(self, answers):
        self.client, self.server = trio.testing.memory_stream_pair()
        self.answers = list(answers)
        self.received = []

    async def run(self):
        buffer = b""
        while self.answers:
            data = await self.server.receive_some(4096)
            if not data:
                return
            buffer += data
            while b"\r\n" in buffer:
                line, _, buffer = buffer.partition(b"\r\n")
                self.received.append(line)
                answer = self.answers.pop(0)
                if answer is None:
                    await self.server.aclose()
                    return
                await self.server.send_all(answer)


class LineClient:
    """A client of the line protocol on a stream."""

    def __init__(self, stream):
        self.stream = stream
        self._reader = wire.LineReader(stream)

    async def send(self, data):
        await self.stream.send_all(data)

    async def ask(self, line):
        """Send a line and return the lines of the answer."""
        await self.send(line + b"\r\n")
        lines = []
        while not lines or not lines[-1].startswith(b"READY"):
            lines.append(await self._read())
        return lines

    async def read_all(self):
        """Return the lines until the connection is closed."""
        lines = []
        while (line := await self._read()) is not None:
            lines.append(line)
        return lines

    async def _read(self):
        try:
            return await self._reader.read()
        except trio.BrokenResourceError:
            return None


class ClientEdge:
    """A server of clients, on memory streams, in front of an in-memory group."""

    def __init__(self, world, nursery):
        self.server = client_server.ClientServer(world.build_session)
        self._nursery = nursery

    def open(self):
        """Return a client that has not sent anything yet."""
        near, far = trio.testing.memory_stream_pair()
        self._nursery.start_soon(self.server._serve_connection, far)
        return LineClient(near)

    async def connect(self):
        """Return a client with a session on the primary."""
        client = self.open()
        await client.ask(b"CONNECT primary key-1")
        return client

    async def get_newest_connection(self):
        known = set(self.server._connections)
        await trio.testing.wait_all_tasks_blocked()
        (connection,) = self.server._connections - known
        return connection

    def start_drain(self, grace_s):
        self._nursery.start_soon(self.server.drain, grace_s)
