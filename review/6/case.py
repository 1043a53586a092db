"""A commit that a new replica has helped to acknowledge is lost with the primary.

The primary is partitioned from its replicas, a release starts a new one, and the
primary crashes before the leader has registered it.
"""

import asyncio
import datetime
import json
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world import case  # noqa: E402
from world import clients  # noqa: E402
from world import fleet as fleets  # noqa: E402
from world import instances  # noqa: E402

KEY = "u6wsjnbanfqasnmgkcuy"
# How long the partition lasts at least, and the primary is down, in seconds.
CUT_S = 4.0
DOWN_S = 7.0
# Time from the start of the partition to the release.
RELEASE_AFTER_S = 1.0
WRITERS = 6
# Time after the logged start of the leadership, modulo one second, at which the
# successor starts. The leader looks for new instances about 0.2 s after it, each
# second; starts from 0.25 to 0.5 s were seen to lose commits.
TICK_MARGIN_S = 0.4


class Writers:
    """Clients that write; keeps what was acknowledged to them."""

    def __init__(self, fleet: fleets.Fleet):
        self._fleet = fleet
        self.acknowledged: list[tuple[float, str]] = []

    async def run(self, index: int) -> None:
        """Write a new item again and again, over a session that is opened again."""
        rng = random.Random(index)
        client = clients.Client(self._fleet.record, f"client-{index}")
        count = 0
        while True:
            if not client.is_open:
                process = rng.choice(self._fleet.list_ready())
                await client.connect(
                    process.host, fleets.FRONT_PORT, fleets.DATABASES[0], KEY
                )
            count += 1
            item = f"c{index}n{count}"
            answer = await client.query(f"WRITE {item} x")
            if answer.signature and not answer.code:
                self.acknowledged.append((time.monotonic(), item))
            await asyncio.sleep(0.1)


def find_lost(group: instances.Group, acknowledged: list[tuple[float, str]]) -> list:
    """Return the items that were acknowledged and that the promoted log lacks."""
    lost = []
    for name, term, log, promoted_s in group.promoted:
        kept = {item for entry in log for item, _ in entry.writes}
        lost += [
            (item, name, term)
            for acknowledged_s, item in acknowledged
            if acknowledged_s < promoted_s and item not in kept
        ]
    return lost


def find_tick_phase_s(leader: fleets.Process) -> float:
    """Return the fraction of a second at which the leader looks for new instances.

    It does so each second from the start of its leadership on, which its log tells.
    """
    lines = [line for line in leader.read_log().splitlines() if "leading in" in line]
    if not lines:
        raise fleets.NotRunError("the log does not tell when the leadership began")
    text = json.loads(lines[-1])["time"]
    return datetime.datetime.fromisoformat(text).timestamp() % 1.0


async def wait_for_tick(leader: fleets.Process) -> None:
    """Wait until just after the leader has looked for new instances."""
    phase_s = find_tick_phase_s(leader)
    await asyncio.sleep((phase_s + TICK_MARGIN_S - time.time()) % 1.0)


async def set_up(fleet: fleets.Fleet) -> fleets.Process:
    """Send the configuration, wait for the entry hosts and return the leader."""
    tenant = {
        "name": "nypu920",
        "apiKeys": [KEY],
        "priority": 1,
        "ratePerS": 580,
        "burst": 580,
    }
    if not await fleet.send_document(fleet.build_document(7, [tenant])):
        raise fleets.NotRunError("the configuration was not acknowledged")
    await fleet.wait_ready()
    leader = await fleet.find_leader()
    if leader is None:
        raise fleets.NotRunError("no leader")
    return leader


async def release(fleet: fleets.Fleet, leaving: instances.Instance) -> None:
    """Start the successor of an instance, which then drains."""
    successor = fleet.group.add(
        "i-2b81d0e0", f"{leaving.host[:-1]}3", fleets.INSTANCE_PORT, leaving.zone
    )
    fleet.record.note(f"release: {successor.name} starts, {leaving.name} drains")
    await successor.start()
    successor.receive()
    leaving.drain()


async def wait_for_acknowledgement(writers: Writers) -> None:
    """Wait until one more commit is acknowledged, at most 3 s."""
    count = len(writers.acknowledged)
    deadline_s = time.monotonic() + 3.0
    while len(writers.acknowledged) == count and time.monotonic() < deadline_s:
        await asyncio.sleep(0.01)


async def play(fleet: fleets.Fleet, trouble: bool) -> str | None:
    """Cut the primary off from its replicas, start a successor and crash it."""
    leader = await set_up(fleet)
    group = fleet.group
    writers = Writers(fleet)
    tasks = [asyncio.create_task(writers.run(index)) for index in range(WRITERS)]
    await asyncio.sleep(6.0)
    primary = group.get_primary()
    replicas = [item for item in group.instances if item is not primary]
    if trouble:
        for replica in replicas:
            replica.cut_from.add(primary.name)
        fleet.record.note(f"{primary.name} is partitioned from its replicas")
    await asyncio.sleep(RELEASE_AFTER_S)
    await wait_for_tick(leader)
    await release(fleet, replicas[0])
    await wait_for_acknowledgement(writers)
    if trouble:
        fleet.record.note(f"the primary {primary.name} crashes")
        await primary.stop()
    await asyncio.sleep(CUT_S - RELEASE_AFTER_S)
    for replica in replicas:
        replica.cut_from.clear()
    fleet.record.note("the partition ends")
    group.replicate()
    await asyncio.sleep(DOWN_S - CUT_S + RELEASE_AFTER_S)
    if trouble:
        await primary.restart()
        fleet.record.note(f"{primary.name} is back with its log")
    await asyncio.sleep(5.0)
    for task in tasks:
        task.cancel()
    lost = find_lost(group, writers.acknowledged)
    for item, name, term in lost:
        fleet.record.note(f"the log of {name} in term {term} lacks {item}")
    if lost:
        return f"LOST: {len(lost)} acknowledged commits are missing after a promotion"
    return None


if __name__ == "__main__":
    sys.exit(case.run(FOLDER, play))
