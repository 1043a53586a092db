"""Starts, measures and stops the processes of a benchmark's fleet."""

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
    """Resource usage of a process, as counted by the operating system.

    Attributes
    ----------
    cpu_s : float
        User and system time since the start of the process.
    resident_bytes : int
        Current resident memory.
    """

    cpu_s: float
    resident_bytes: int


class Process:
    """One process that the benchmark started.

    Parameters
    ----------
    name : str
    module : str
        Python module to run.
    arguments : sequence of str
    folder : pathlib.Path
        Folder of its log, ``<name>.log``, with standard output and error.
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
        """Whether the process is still running."""
        return self._popen.poll() is None

    def read_usage(self) -> Usage:
        """Return the resource usage of the process so far."""
        return read_usage(self.pid)

    def stop(self) -> None:
        """Send SIGTERM to the process if it is running."""
        if self.is_running:
            self._popen.send_signal(signal.SIGTERM)

    def wait(self) -> None:
        """Wait until the process has ended; kill it after `STOP_TIMEOUT_S`."""
        try:
            self._popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._popen.kill()
            self._popen.wait()


def read_usage(pid: int | str) -> Usage:
    """Return the resource usage of a process by its id; ``self`` is this process."""
    folder = pathlib.Path("/proc") / str(pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    pages = int((folder / "statm").read_text().split()[1])
    cpu_ticks = int(fields[11]) + int(fields[12])
    return Usage(cpu_ticks / TICKS_PER_S, pages * PAGE_BYTES)


def exit_on_sigterm() -> None:
    """Raise SystemExit on SIGTERM, so that this program still stops its fleet."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))


def stop_all(processes: typing.Iterable[Process]) -> None:
    """Stop processes and wait until all have ended."""
    started = list(processes)
    for process in started:
        process.stop()
    for process in started:
        process.wait()


def wait_until(
    is_reached: typing.Callable[[], bool], timeout_s: float, description: str
) -> float:
    """Wait until a condition is met and return the time that it took, in seconds.

    Parameters
    ----------
    is_reached : callable
        Polled every 20 ms.
    timeout_s : float
    description : str
        Name of the condition, for the error.

    Raises
    ------
    TimeoutError
        If the condition is not met within the timeout.
    """
    started_s = time.monotonic()
    while not is_reached():
        if time.monotonic() - started_s > timeout_s:
            raise TimeoutError(f"{description}: expected within {timeout_s} s")
        time.sleep(0.02)
    return time.monotonic() - started_s
