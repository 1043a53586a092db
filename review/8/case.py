"""A configuration that adds a tenant is acknowledged, and then nobody is served."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world import case  # noqa: E402
from world import clients  # noqa: E402
from world import fleet as fleets  # noqa: E402

# No page limits the characters of a tenant's name.
NEW_TENANT = "ward-7@sindhuli"
USUAL_TENANT = "vemo318"
KEYS = ("u6wsjnbanfqasnmgkcuy", "j8pjbvk9m68k7b2ex5wa")
# Pause of a process between its end and its next start, in seconds.
DOWN_S = 0.9
BEFORE_S = 8.0
AFTER_S = 12.0
LEAST_SHARE = 0.25


def build_tenant(name: str, key: str) -> dict:
    """Return a tenant with usual limits."""
    return {
        "name": name,
        "apiKeys": [key],
        "priority": 1,
        "ratePerS": 58,
        "burst": 58,
    }


class Traffic:
    """Clients of the first tenant; counts their statements by time of sending."""

    def __init__(self, fleet: fleets.Fleet):
        self._fleet = fleet
        self._rng = random.Random(1)
        self.sent: list[tuple[float, bool]] = []

    async def run(self, index: int) -> None:
        """Send a statement every 0.3 s, over a session that is opened again."""
        client = clients.Client(self._fleet.record, f"client-{index}")
        while True:
            started_s = time.monotonic()
            is_served = await self._send(client, index)
            self.sent.append((started_s, is_served))
            await asyncio.sleep(0.3)

    async def _send(self, client: clients.Client, index: int) -> bool:
        if not client.is_open:
            process = self._rng.choice(self._fleet.list_ready())
            database = fleets.DATABASES[index % len(fleets.DATABASES)]
            code = await client.connect(
                process.host, fleets.FRONT_PORT, database, KEYS[0]
            )
            if code:
                return False
        text = "READ 1a4" if index % 2 else f"WRITE 1a4 d{self._rng.random():.6f}"
        answer = await client.query(text)
        return not answer.code and answer.signature not in ("", "-")

    def get_share(self, from_s: float, to_s: float) -> tuple[int, int]:
        """Return how many statements of a time were served, and how many sent."""
        served = [ok for sent_s, ok in self.sent if from_s <= sent_s < to_s]
        return sum(served), len(served)


async def play(fleet: fleets.Fleet, trouble: bool) -> str | None:
    """Change the configuration, end all processes and count who is served."""
    first = [build_tenant("nypu920", KEYS[0])]
    if not await fleet.send_document(fleet.build_document(7, first)):
        raise fleets.NotRunError("the first configuration was not acknowledged")
    await fleet.wait_ready()
    traffic = Traffic(fleet)
    tasks = [asyncio.create_task(traffic.run(index)) for index in range(6)]
    await asyncio.sleep(2.0)
    before_s = time.monotonic()
    await asyncio.sleep(BEFORE_S)
    name = NEW_TENANT if trouble else USUAL_TENANT
    document = fleet.build_document(12, [*first, build_tenant(name, KEYS[1])])
    if not await fleet.send_document(document):
        raise fleets.NotRunError("the second configuration was not acknowledged")
    fault_s = time.monotonic()
    fleet.record.note("final fault: all processes are killed")
    fleet.set_later_starts()
    for process in fleet.controls + fleet.fronts:
        process.kill()
    await asyncio.sleep(DOWN_S)
    for process in fleet.controls + fleet.fronts:
        process.start()
    back_s = time.monotonic()
    fleet.record.note("all processes are back")
    from_s = back_s + fleets.BOUNDS["recoveryS"]
    await asyncio.sleep(fleets.BOUNDS["recoveryS"] + AFTER_S)
    to_s = time.monotonic() - 6.0
    for task in tasks:
        task.cancel()
    before = traffic.get_share(before_s, fault_s)
    after = traffic.get_share(from_s, to_s)
    text = f"served {before[0]} of {before[1]} before, {after[0]} of {after[1]} after"
    fleet.record.note(text)
    if before[0] < LEAST_SHARE * before[1] or not after[1]:
        raise fleets.NotRunError(text)
    if after[0] < LEAST_SHARE * after[1]:
        return f"RECOVER: {text}"
    return None


if __name__ == "__main__":
    sys.exit(case.run(FOLDER, play))
