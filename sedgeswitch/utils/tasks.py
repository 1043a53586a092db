"""Background tasks that outlive unexpected errors."""

import collections.abc
import typing

import loguru
import trio

# Pause before a task that has failed is started again, in seconds.
RESTART_DELAY_S = 0.5


async def run_restarting(
    run: collections.abc.Callable[..., collections.abc.Awaitable[None]],
    *arguments: typing.Any,
) -> None:
    """Run a task until it returns, and start it again after an unexpected error.

    Without this, the error would end the process. Only for tasks that start from
    scratch: nothing that they keep may be half changed by an error.

    Parameters
    ----------
    run : callable
        ``await run(*arguments)`` is the task.
    *arguments
    """
    while True:
        try:
            await run(*arguments)
            return
        except Exception:
            loguru.logger.exception(
                "task failed, starting it again", task=run.__qualname__
            )
            await trio.sleep(RESTART_DELAY_S)
