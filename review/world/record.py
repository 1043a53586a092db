"""The record of a run: what was sent, answered and run."""

import pathlib
import time


class Record:
    """Writes one line for each event, with the seconds since the start.

    Parameters
    ----------
    path : pathlib.Path
    """

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def get_elapsed_s(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._started_s

    def note(self, text: str) -> None:
        """Write an event."""
        self._file.write(f"{self.get_elapsed_s():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
