"""Runs a case: sets up the fleet, judges it and ends everything."""

import asyncio
import collections.abc
import os
import pathlib
import sys

from world import fleet as fleets
from world import record as records

TIME_LIMIT_S = 112.0

Play = collections.abc.Callable[
    [fleets.Fleet, bool], collections.abc.Awaitable[str | None]
]


def has_trouble() -> bool:
    """Return whether the disruption is played; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


async def _run(
    play: Play, record: records.Record, counts: tuple[int, int]
) -> str | None:
    fleet = fleets.Fleet(record, *counts)
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            await fleet.start()
            return await play(fleet, has_trouble())
    finally:
        await fleet.close()


def run(folder: pathlib.Path, play: Play, controls: int = 3, fronts: int = 2) -> int:
    """Run a case and return its exit code.

    Parameters
    ----------
    folder : pathlib.Path
        Where ``record.txt`` is written.
    play : callable
        ``await play(fleet, trouble)`` returns what broke the rule, None if it held.
    controls, fronts : int
        Number of machines of each kind.
    """
    record = records.Record(folder / "record.txt")
    code = fleets.EXIT_NOT_RUN
    try:
        if not (fleets.REPOSITORY / "target" / "deps").is_dir():
            raise fleets.NotRunError("target/deps is missing: run the deploy build")
        broken = asyncio.run(_run(play, record, (controls, fronts)))
        code = fleets.EXIT_HELD if broken is None else fleets.EXIT_BROKEN
        record.note("the rule held" if broken is None else f"BROKEN: {broken}")
        sys.stdout.write(f"{'held' if broken is None else 'BROKEN: ' + broken}\n")
    except (fleets.NotRunError, TimeoutError, OSError) as error:
        record.note(f"could not run: {error!r}")
        sys.stdout.write(f"could not run: {error!r}\n")
    finally:
        record.close()
    return code
