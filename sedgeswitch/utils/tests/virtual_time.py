"""Runs tests in virtual time, the same way each time."""

import trio
import trio.testing


def run(function, *arguments, seed=0):
    """Run an async function; a seed gives the same order of tasks each time."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)
