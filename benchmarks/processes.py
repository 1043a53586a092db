"""Processes of a benchmark's fleet: starting, measuring and ending them."""

import os
import pathlib
import signal
import subprocess
import sys
import time
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STOP_TIMEOUT_S = 15.0


class Usage(typing.NamedTuple):
    """What a process has used, as the operating system counts it.

    Attributes
    ----------
    cpu_s : float
        User and system time since its start, in seconds.
    resident_bytes : int
        Resident memory now.
    """

    cpu_s: float
    resident_bytes: int


class Process:
    """One process that the benchmark started.

    Parameters
    ----------
    name : str
    module : str
        Python module that it runs.
    arguments : sequence of str
    folder : pathlib.Path
        Where its output goes.
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: typing.Sequence[str],
        folder: pathlib.Path,
    ):
        self.name = name
        folder.mkdir(parents=True, exist_ok=True)
        with (folder / f"{name}.log").open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
            )
        self.pid = self._popen.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._popen.poll() is None

    def read_usage(self) -> Usage:
        """Return what the process has used so far."""
        return read_usage(self.pid)

    def stop(self) -> None:
        """Ask the process to end."""
        if self.is_running:
            self._popen.send_signal(signal.SIGTERM)

    def wait(self) -> None:
        """Wait until the process has ended; end it by force if it does not."""
        try:
            self._popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._popen.kill()
            self._popen.wait()


def read_usage(pid: int | str) -> Usage:
    """Return what a process has used, by its id; ``self`` for this one."""
    folder = pathlib.Path("/proc") / str(pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    pages = int((folder / "statm").read_text().split()[1])
    cpu_ticks = int(fields[11]) + int(fields[12])
    return Usage(cpu_ticks / TICKS_PER_S, pages * PAGE_BYTES)


def exit_on_sigterm() -> None:
    """Let SIGTERM end this program by an exception, so that it stops its fleet."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))


def stop_all(processes: typing.Iterable[Process]) -> None:
    """End processes and wait for them."""
    started = list(processes)
    for process in started:
        process.stop()
    for process in started:
        process.wait()


def wait_until(
    is_reached: typing.Callable[[], bool], timeout_s: float, what: str
) -> float:
    """Return how long it took until something was so, in seconds.

    Raises
    ------
    TimeoutError
        If it was not so in time.
    """
    started_s = time.monotonic()
    while not is_reached():
        if time.monotonic() - started_s > timeout_s:
            raise TimeoutError(f"{what}: expected within {timeout_s} s")
        time.sleep(0.02)
    return time.monotonic() - started_s
