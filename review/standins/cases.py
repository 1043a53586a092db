"""Runs the scenario of a case within its time."""

import asyncio
import collections.abc
import os
import pathlib
import signal
import traceback

from standins import fleet
from standins import records

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
LIMIT_S = 105.0

Scenario = collections.abc.Callable[
    [fleet.Fleet, records.Record, bool], collections.abc.Awaitable[list[str]]
]


class NotRunError(Exception):
    """The disruption did not happen as it should."""


def run(folder: pathlib.Path, scenario: Scenario, **options: object) -> int:
    """Run a scenario and return the exit code of its script.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case, for its ``record.txt``.
    scenario : callable
        ``await scenario(fleet, record, has_trouble)`` returns the breaks of the rule.
    **options
        Passed to `fleet.Fleet`.
    """
    record = records.Record(folder / "record.txt")
    try:
        return asyncio.run(_run(record, scenario, options))
    except (Exception, asyncio.CancelledError, KeyboardInterrupt):
        record.note(f"the case could not run: {traceback.format_exc()}")
        return EXIT_NOT_RUN
    finally:
        record.close()


async def _run(record: records.Record, scenario: Scenario, options: dict) -> int:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    hosts = fleet.Fleet(record, **options)
    try:
        async with asyncio.timeout(LIMIT_S):
            await hosts.start()
            breaks = await scenario(hosts, record, has_trouble)
    finally:
        hosts.stop()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for text in breaks:
        record.note(f"BROKEN: {text}")
    record.note(f"{len(breaks)} breaks of the rule")
    return EXIT_BROKEN if breaks else EXIT_HELD
