"""A bounded buffer of log lines that never makes its writers wait."""

import collections
import os

import trio

# Bytes that wait to be written at most; what comes beyond them is dropped.
MAX_WAITING_BYTES = 256 * 1024
FLUSH_INTERVAL_S = 0.1


class LineBuffer:
    """A text stream whose lines one task writes to a file descriptor.

    Parameters
    ----------
    descriptor : int
        Is set to fail rather than wait where its reader is slow.

    Attributes
    ----------
    dropped : int
        Lines that were dropped since the start.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self.dropped = 0

    def write(self, text: str) -> int:
        """Take a line; one beyond the limit is dropped."""
        line = text.encode()
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            return len(text)
        self._lines.append(line)
        self._waiting_bytes += len(line)
        return len(text)

    def flush(self) -> None:
        """Write as much as the descriptor takes now."""
        if not self._lines:
            return
        data = b"".join(self._lines)
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads; there is nowhere else to tell it.
            written = len(data)
            self.dropped += len(self._lines)
        self._lines.clear()
        rest = data[written:]
        if rest:
            self._lines.append(rest)
        self._waiting_bytes = len(rest)

    async def run(self) -> None:
        """Write until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            self.flush()
            await trio.sleep(FLUSH_INTERVAL_S)
