"""An event that can occur repeatedly."""

import trio


class Signal:
    """Wakes all waiting tasks; unlike `trio.Event` it can be sent repeatedly."""

    def __init__(self):
        self._event = trio.Event()

    def send(self) -> None:
        """Wake the tasks that are waiting now."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        """Wait for the next `send`."""
        await self._event.wait()
