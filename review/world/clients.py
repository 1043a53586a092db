"""Clients that speak the line protocol of PROTOCOL.md."""

import asyncio
import secrets
import typing

from world import record as records

CONNECT_TIMEOUT_S = 2.0


class Answer(typing.NamedTuple):
    """The answer to a query; the code is empty after a success."""

    rows: list[str]
    signature: str
    code: str
    detail: str
    state: str
    position: str


LOST = Answer([], "", "LOST", "", "", "-")


class Client:
    """One session of a client.

    Parameters
    ----------
    record : records.Record
    name : str
    """

    def __init__(self, record: records.Record, name: str):
        self._record = record
        self._name = name
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.state = ""

    async def connect(self, host: str, port: int, database: str, key: str) -> str:
        """Open a session; return an empty text or the code of the refusal."""
        self.close()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._reader, self._writer = await asyncio.open_connection(host, port)
                self._writer.write(f"CONNECT {database} {key}\r\n".encode())
                line = (await self._reader.readuntil(b"\r\n"))[:-2].decode()
        except (OSError, EOFError, TimeoutError):
            self.close()
            return "LOST"
        if line.startswith("READY "):
            self.state = "I"
            return ""
        self.close()
        self._record.note(f"{self._name} CONNECT {database} at {host}: {line}")
        return line.split(" ")[1]

    @property
    def is_open(self) -> bool:
        """Whether the session is open."""
        return self._writer is not None

    def close(self) -> None:
        """End the session."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def query(self, text: str, timeout_s: float = 5.0) -> Answer:
        """Send one statement and return its answer; LOST without a whole one."""
        if self._writer is None:
            return LOST
        statement_id = secrets.token_hex(8)
        self._record.note(f"{self._name} sends {statement_id} {text}")
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write(f"QUERY {statement_id} {text}\r\n".encode())
                answer = await self._read_answer()
        except (OSError, EOFError, TimeoutError):
            self._record.note(f"{self._name} gets no answer to {statement_id}")
            self.close()
            return LOST
        shown = answer.code or f"COMPLETE {answer.signature}"
        self._record.note(
            f"{self._name} gets {statement_id} {shown} {answer.detail}"
            f" rows={answer.rows} READY {answer.state} {answer.position}"
        )
        self.state = answer.state
        return answer

    async def _read_answer(self) -> Answer:
        rows: list[str] = []
        signature = code = detail = ""
        while True:
            line = (await self._reader.readuntil(b"\r\n"))[:-2].decode()
            keyword, _, rest = line.partition(" ")
            if keyword == "ROW":
                rows.append(rest)
            elif keyword == "COMPLETE":
                signature = rest
            elif keyword == "ERROR":
                code, _, detail = rest.partition(" ")
            elif keyword == "READY":
                state, _, position = rest.partition(" ")
                return Answer(rows, signature, code, detail, state, position)
