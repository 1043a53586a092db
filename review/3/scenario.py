"""Prepared statements after a primary loses the lead during transactions.

The application prepares the same statements in each of its sessions. It executes them
in transactions on the primary and, outside of transactions, on replicas.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import cases  # noqa: E402
from standins import client  # noqa: E402
from standins import databases  # noqa: E402
from standins import fleet  # noqa: E402
from standins import records  # noqa: E402

SERVICE = "huvo11a"
# Length of the partition between the primary and its replicas, in seconds.
CUT_S = 7.0
# The statements that each caller prepares, and the pause between two statements of a
# transaction, in seconds.
SHAPES = {f"s{number}": f"query-{number}" for number in range(11)}
PAUSE_S = 0.5
# Callers at each entry host.
TRANSACTIONS = 2
READERS = 4
ROUNDS = 8


class Scenario:
    """The callers, and the partition of the primary from its replicas."""

    def __init__(self, hosts: fleet.Fleet, record: records.Record, has_trouble: bool):
        self._hosts = hosts
        self._record = record
        self._has_trouble = has_trouble
        self._group: databases.Group = hosts.groups[SERVICE]
        self._breaks: list[str] = []

    async def run(self) -> list[str]:
        """Return the breaks of the rule."""
        writer = asyncio.create_task(self._write_forever())
        await asyncio.sleep(1.0)
        await self._transact()
        await self._read_on_replicas()
        writer.cancel()
        return self._breaks

    async def _connect(self, name: str, kind: str, host: str) -> client.Client:
        session = client.Client(name, self._record)
        address = self._hosts.entry_addresses[host]
        while not await session.connect(address, f"{kind}-{SERVICE}", fleet.KEY):
            await asyncio.sleep(0.1)
        return session

    async def _write_forever(self) -> None:
        """Write now and then, as other callers do."""
        number = 0
        session = await self._connect("writer", "primary", "front-1")
        while True:
            number += 1
            reply = await session.query(f"WRITE counter {number}")
            if reply is client.LOST:
                session = await self._connect(f"writer{number}", "primary", "front-1")
            await asyncio.sleep(0.2)

    async def _transact(self) -> None:
        """Have transactions open while the primary is replaced."""
        old = self._group.newest_primary
        if self._has_trouble:
            self._group.cut_off(old.name)
            self._record.note(f"{old.name} is partitioned from its replicas")
        asyncio.get_running_loop().call_later(CUT_S, self._heal)
        async with asyncio.TaskGroup() as tasks:
            for host in self._hosts.entry_addresses:
                for number in range(TRANSACTIONS):
                    name = f"transaction-{host}-{number}"
                    tasks.create_task(self._run_transaction(name, host))
        await asyncio.sleep(CUT_S)
        if self._has_trouble and old.is_primary:
            raise cases.NotRunError("the primary was not replaced")

    async def _run_transaction(self, name: str, host: str) -> None:
        """Execute each prepared statement once in one transaction, with pauses."""
        session = await self._connect(name, "primary", host)
        for statement, shape in SHAPES.items():
            await session.query(f"PREPARE {statement} READ {shape}")
        await asyncio.sleep(PAUSE_S * random.random())
        await session.query("BEGIN")
        for statement in _shuffle(name):
            if (await session.query(f"EXECUTE {statement} 1a4")).code:
                break
            await asyncio.sleep(PAUSE_S)
        await session.query("ROLLBACK")
        session.close()

    def _heal(self) -> None:
        self._group.cuts.clear()
        self._record.note("the partition is over")

    async def _read_on_replicas(self) -> None:
        """Execute prepared statements outside of transactions."""
        async with asyncio.TaskGroup() as tasks:
            for host in self._hosts.entry_addresses:
                for number in range(READERS):
                    tasks.create_task(self._read(f"{host}-{number}", host))

    async def _read(self, name: str, host: str) -> None:
        session = await self._connect(name, "bounded", host)
        for statement, shape in SHAPES.items():
            reply = await session.query(f"PREPARE {statement} READ {shape}")
            if not reply.is_success:
                raise cases.NotRunError(f"{statement} was not prepared: {reply.code}")
        for _ in range(ROUNDS):
            for statement in _shuffle(name):
                reply = await session.query(f"EXECUTE {statement} 1a4")
                self._check(session.last_id, statement, SHAPES[statement], reply)
        session.close()

    def _check(
        self, statement_id: str, name: str, shape: str, reply: client.Reply
    ) -> None:
        """Record a name that is unknown, or that ran another shape than prepared."""
        if reply.code == "NOSTMT":
            self._breaks.append(f"{statement_id}: {name} is unknown to the caller")
        for text in self._group.runs.get(statement_id, ()):
            if not text.endswith(f" shape {shape}"):
                self._breaks.append(
                    f"{statement_id}: {name} was prepared as {shape}, an instance ran"
                    f" {text}; the caller got {reply.code or list(reply.rows)}"
                )


def _shuffle(name: str) -> list[str]:
    """Return the prepared statements in the order in which a caller uses them."""
    order = list(SHAPES)
    random.Random(name).shuffle(order)
    return order


async def run(
    hosts: fleet.Fleet, record: records.Record, has_trouble: bool
) -> list[str]:
    """Run the scenario; see `cases.Scenario`."""
    return await Scenario(hosts, record, has_trouble).run()


if __name__ == "__main__":
    sys.exit(cases.run(FOLDER, run))
