"""A restarted entry host, a leaving primary, a deaf replica and a crash.

One service after the other is tried, until a write is lost.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import cases  # noqa: E402
from standins import client  # noqa: E402
from standins import databases  # noqa: E402
from standins import fleet  # noqa: E402
from standins import records  # noqa: E402

SERVICES = tuple(
    f"{name}11a" for name in ("dele", "huvo", "kafi", "lepu", "rilo", "wuno")
)
# The entry host through which callers write, and which is restarted.
HOST = "front-1"
WRITERS = 3
PAUSE_S = 0.02
# Times from the moment at which a replica receives no more, in seconds.
WRITES_END_S = 0.5
RESTART_S = 0.6
LEAVES_S = 1.0
CRASH_S = 6.0
DEAF_S = 6.5
ROUND_S = 10.0
# Round trip between two regions, in seconds.
ROUND_TRIP_S = 0.024
DRAIN_S = 7.0
START_FIRST_S = 2.5


class Round:
    """The callers of one service and what happens to it."""

    def __init__(self, hosts: fleet.Fleet, record: records.Record, service: str):
        self._hosts = hosts
        self._record = record
        self._service = service
        self._group: databases.Group = hosts.groups[service]
        self._acknowledged: list[str] = []

    async def run(self, has_trouble: bool) -> list[str]:
        """Return the breaks of the rule."""
        old = self._group.newest_primary
        deaf = min(
            (item for item in self._group.instances.values() if item is not old),
            key=lambda item: item.name,
        )
        await self._hosts.add_instance(self._service, old.zone)
        for item in self._group.instances.values():
            # The leader runs in the region of the deaf replica.
            item.host_delay_s = 0.0 if item is deaf else ROUND_TRIP_S
        await asyncio.sleep(START_FIRST_S - 1.0)
        writers = [
            asyncio.create_task(self._write_forever(f"{self._service}-{number}"))
            for number in range(WRITERS)
        ]
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        if has_trouble:
            deaf.is_deaf = True
            self._record.note(f"{deaf.name} receives nothing")
        await asyncio.sleep(WRITES_END_S)
        for writer in writers:
            writer.cancel()
        await asyncio.sleep(RESTART_S - WRITES_END_S)
        restart = asyncio.create_task(self._hosts.restart_entry_host(HOST))
        await asyncio.sleep(LEAVES_S - RESTART_S)
        leave = asyncio.create_task(old.leave(DRAIN_S, 4.0))
        await asyncio.sleep(started_s + CRASH_S - loop.time())
        if has_trouble:
            leave.cancel()
            old.kill()
            self._record.note(f"{old.name} has crashed")
        await asyncio.sleep(started_s + DEAF_S - loop.time())
        deaf.is_deaf = False
        await restart
        await asyncio.sleep(started_s + ROUND_S - loop.time())
        return self._find_lost()

    async def _write_forever(self, name: str) -> None:
        address = self._hosts.entry_addresses[HOST]
        session, number = client.Client(name, self._record), 0
        while not await session.connect(address, f"primary-{self._service}", fleet.KEY):
            await asyncio.sleep(PAUSE_S)
        while True:
            number += 1
            reply = await session.query(f"WRITE {name}-{number} x")
            if reply.is_success:
                self._acknowledged.append(session.last_id)
            await asyncio.sleep(PAUSE_S)

    def _find_lost(self) -> list[str]:
        """Return the acknowledged writes that the log of the primary lacks."""
        primary = self._group.newest_primary
        if primary is None:
            self._record.note(f"{self._service} has no primary")
            return []
        present = {
            write.statement_id for entry in primary.log for write in entry.writes
        }
        self._record.note(
            f"{len(self._acknowledged)} writes of {self._service} were acknowledged"
        )
        return [
            f"{statement_id} was acknowledged, and {primary.name}, promoted to term"
            f" {primary.term}, lacks it"
            for statement_id in self._acknowledged
            if statement_id not in present
        ]


async def run(
    hosts: fleet.Fleet, record: records.Record, has_trouble: bool
) -> list[str]:
    """Run the scenario; see `cases.Scenario`."""
    await asyncio.sleep(1.0)
    for service in SERVICES:
        breaks = await Round(hosts, record, service).run(has_trouble)
        if breaks:
            return breaks
    return []


if __name__ == "__main__":
    sys.exit(cases.run(FOLDER, run, services=SERVICES))
