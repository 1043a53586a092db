"""The primary of a service that is only read is replaced twice, as planned.

Each time a new instance starts first, then the old one announces that it leaves. At the
end, callers also write.
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

SERVICE = "huvo11a"
ZONES = ("bagmati-a", "gandaki-a")
# Time between the start of a new instance and the announcement of the old one, bound
# of the rule, and time for which an instance serves beyond it, in seconds.
START_FIRST_S = 2.0
DRAIN_S = 7.0
LONGER_S = 4.0
PAUSE_S = 0.1
# Time for which callers read and write after the last release, in seconds.
AFTER_S = 20.0


class Scenario:
    """The callers, and the releases."""

    def __init__(self, hosts: fleet.Fleet, record: records.Record, has_trouble: bool):
        self._hosts = hosts
        self._record = record
        self._has_trouble = has_trouble
        self._group: databases.Group = hosts.groups[SERVICE]
        self._breaks: list[str] = []
        self._is_over = self._is_writing = False
        self._succeeded = self._failed = 0

    async def run(self) -> list[str]:
        """Return the breaks of the rule."""
        async with asyncio.TaskGroup() as tasks:
            for host in self._hosts.entry_addresses:
                for kind in ("primary", "bounded"):
                    tasks.create_task(self._call_forever(f"{host}-{kind}", kind, host))
            await asyncio.sleep(2.0)
            for zone in ZONES:
                await self._release(zone)
            self._succeeded = self._failed = 0
            self._is_writing = True
            await asyncio.sleep(AFTER_S)
            self._is_over = True
        ready = [item.name for item in self._group.instances.values() if item.is_alive]
        self._record.note(
            f"{self._succeeded} statements succeeded and {self._failed} failed in the"
            f" last {AFTER_S:.0f} s, while {', '.join(ready)} were ready"
        )
        return self._breaks

    async def _release(self, zone: str) -> None:
        """Replace the primary."""
        if not self._has_trouble:
            await asyncio.sleep(START_FIRST_S + DRAIN_S + LONGER_S)
            return
        old = self._group.newest_primary
        new = await self._hosts.add_instance(SERVICE, zone)
        self._record.note(f"{new.name} has started and will replace {old.name}")
        await asyncio.sleep(START_FIRST_S)
        await old.leave(DRAIN_S, LONGER_S)

    async def _call_forever(self, name: str, kind: str, host: str) -> None:
        session, number = None, 0
        address = self._hosts.entry_addresses[host]
        while not self._is_over:
            number += 1
            if session is None:
                session = client.Client(f"{name}-{number}", self._record)
                if not await session.connect(address, f"{kind}-{SERVICE}", fleet.KEY):
                    session = None
                    await asyncio.sleep(PAUSE_S)
                    continue
            is_write = self._is_writing and kind == "primary" and number % 2
            text = f"WRITE {name} {number}" if is_write else "READ 1a4"
            sent_s = asyncio.get_running_loop().time()
            reply = await session.query(text)
            self._check(session.last_id, sent_s, reply)
            if reply is client.LOST:
                session = None
            await asyncio.sleep(PAUSE_S)

    def _check(self, statement_id: str, sent_s: float, reply: client.Reply) -> None:
        """Record a statement that an instance ran later than it may."""
        if not reply.is_success:
            self._failed += 1
            return
        self._succeeded += 1
        instance = self._group.instances[reply.signature.split(".")[-1]]
        if instance.drained_s is not None and sent_s > instance.drained_s + DRAIN_S:
            late_s = sent_s - instance.drained_s
            self._breaks.append(
                f"{statement_id} reached {instance.name}, sent {late_s:.1f} s after its"
                " announcement was acknowledged"
            )


async def run(
    hosts: fleet.Fleet, record: records.Record, has_trouble: bool
) -> list[str]:
    """Run the scenario; see `cases.Scenario`."""
    return await Scenario(hosts, record, has_trouble).run()


if __name__ == "__main__":
    sys.exit(cases.run(FOLDER, run))
