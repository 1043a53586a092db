"""A client of an entry host."""

import asyncio
import typing

from standins import records

# Answers after which nothing of a client attempt is kept.
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")


class Reply(typing.NamedTuple):
    """The answer to a statement; the code is empty after a success."""

    code: str
    text: str
    rows: tuple[str, ...]
    signature: str
    state: str

    @property
    def is_success(self) -> bool:
        """Whether the statement succeeded."""
        return not self.code


LOST = Reply("LOST", "the connection ended", (), "", "")


class Client:
    """One session.

    Parameters
    ----------
    name : str
        Part of the ids of its statements.
    record : records.Record
    """

    def __init__(self, name: str, record: records.Record):
        self._name = name
        self._record = record
        self._count = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self, address: tuple[str, int], database: str, key: str) -> bool:
        """Open the session and return whether it is ready."""
        try:
            async with asyncio.timeout(3.0):
                self._reader, self._writer = await asyncio.open_connection(*address)
                self._writer.write(f"CONNECT {database} {key}\r\n".encode())
                line = await self._reader.readuntil(b"\r\n")
                return line.startswith(b"READY I")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def query(self, text: str, limit_s: float = 10.0) -> Reply:
        """Send a statement and return its answer."""
        self._count += 1
        statement_id = f"{self._name}-{self._count}"
        self._record.note(f"client sends {statement_id}: {text}")
        reply = LOST
        try:
            async with asyncio.timeout(limit_s):
                self._writer.write(f"QUERY {statement_id} {text}\r\n".encode())
                reply = await self._receive()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
        answer = reply.code or f"COMPLETE {reply.signature} rows {list(reply.rows)}"
        self._record.note(f"client gets {statement_id}: {answer} {reply.text}")
        return reply

    @property
    def last_id(self) -> str:
        """Id of the last statement."""
        return f"{self._name}-{self._count}"

    def close(self) -> None:
        """Close the session."""
        if self._writer is not None:
            self._writer.close()

    async def _receive(self) -> Reply:
        rows: list[str] = []
        code = text = signature = ""
        while True:
            line = (await self._reader.readuntil(b"\r\n"))[:-2].decode()
            keyword, _, rest = line.partition(" ")
            if keyword == "ROW":
                rows.append(rest)
            elif keyword == "COMPLETE":
                signature = rest
            elif keyword == "ERROR":
                code, _, text = rest.partition(" ")
            elif keyword == "READY":
                state = rest.split(" ")[0]
                return Reply(code, text, tuple(rows), signature, state)
