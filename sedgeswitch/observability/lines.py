"""A bounded buffer of log lines that never blocks the code that logs."""

import collections
import os

import trio

# Maximum number of buffered bytes; lines beyond it are dropped.
MAX_PENDING_BYTES = 256 * 1024
FLUSH_INTERVAL_S = 0.1


class LineBuffer:
    """A text stream whose lines a background task writes to a file descriptor.

    Parameters
    ----------
    descriptor : int
        `run` makes it non-blocking, so that a slow reader does not stop the
        process.

    Attributes
    ----------
    dropped : int
        Number of lines dropped since the start.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self.dropped = 0

    def write(self, text: str) -> int:
        """Buffer a line, or drop it if the buffer is full."""
        line = text.encode()
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return len(text)
        self._lines.append(line)
        self._pending_bytes += len(line)
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        if not self._lines:
            return
        data = b"".join(self._lines)
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, and there is no other place to report it.
            written = len(data)
            self.dropped += len(self._lines)
        self._lines.clear()
        unwritten = data[written:]
        if unwritten:
            self._lines.append(unwritten)
        self._pending_bytes = len(unwritten)

    async def run(self) -> None:
        """Flush the buffer at a fixed interval until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            self.flush()
            await trio.sleep(FLUSH_INTERVAL_S)
