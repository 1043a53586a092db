"""A repeatable event."""

import trio


class Signal:
    """Wakes all tasks that wait for a change; it may be sent many times."""

    def __init__(self):
        self._event = trio.Event()

    def send(self) -> None:
        """Wake the waiting tasks."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        """Wait for the next `send`."""
        await self._event.wait()
