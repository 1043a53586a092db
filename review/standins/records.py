"""The record of what was sent, answered and run."""

import pathlib
import time


class Record:
    """Writes one line per event, with the time since the start in seconds.

    Parameters
    ----------
    path : pathlib.Path
    """

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def get_now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._started_s

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.get_now_s():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
