"""Times that statements spend in each stage between their arrival and their answer.

`run_operation` makes an operation the current one of its task. Code that waits on its
behalf calls `measure`, which has no effect outside an operation.
"""

import collections.abc
import contextlib
import contextvars
import typing

import trio

from sedgeswitch.observability import exposition

# Waits for a token of the organisation.
ADMISSION = "admission"
# Waits for the permit for a primary, which is missing while the primary is replaced.
PERMIT = "permit"
# Waits for a connection of this host's own pool, and the time to open one.
CONNECTION = "connection"
# From sending to an instance over an own connection to its answer.
INSTANCE = "instance"
# Time that a holder reported for a forwarded statement: its queue and the instance.
HOLDER = "holder"
# The rest of a call to a holder: the network and the queues of both hosts.
FORWARD = "forward"
# Delays between two attempts.
RETRY = "retry"
# What no stage accounts for.
OTHER = "other"
TOTAL = "total"

# Kind of the operations that a holder runs for other hosts' callers.
HELD_KIND = "held"
# Organisations that `list_oldest` returns.
MAX_OLDEST = 5
_MS_PER_S = 1000


class Operation:
    """One operation and the time that it has spent in each stage so far.

    Attributes
    ----------
    kind : str
        What operations are told apart by: the freshness that a database guarantees, or
        `HELD_KIND`. Empty while unknown; such an operation is not counted.
    organisation : str
        Empty while unknown.
    started_s : float
        On trio's clock.
    """

    __slots__ = ("_entered", "_seconds", "kind", "organisation", "started_s")

    def __init__(self, kind: str, started_s: float):
        self.kind = kind
        self.organisation = ""
        self.started_s = started_s
        self._seconds: dict[str, float] = {}
        self._entered: list[str] = []

    @property
    def stage(self) -> str:
        """The stage that the operation is in now."""
        return self._entered[-1] if self._entered else OTHER

    def add(self, stage: str, duration_s: float) -> None:
        """Add time to a stage."""
        self._seconds[stage] = self._seconds.get(stage, 0.0) + duration_s

    @contextlib.contextmanager
    def measure(self, stage: str) -> typing.Iterator[None]:
        """Add the time of a ``with`` block to a stage."""
        entered_s = trio.current_time()
        self._entered.append(stage)
        try:
            yield
        finally:
            self._entered.remove(stage)
            self.add(stage, trio.current_time() - entered_s)

    def describe(self) -> str:
        """Return the stages that took at least a millisecond, for the log."""
        return " ".join(
            f"{stage}={duration_s * _MS_PER_S:.0f}"
            for stage, duration_s in self._seconds.items()
            if duration_s * _MS_PER_S >= 1
        )

    def observe(self, ended_s: float) -> None:
        """Count the time of each stage in the metrics."""
        if not self.kind:
            return
        total_s = ended_s - self.started_s
        durations_s = self._seconds | {
            OTHER: max(total_s - sum(self._seconds.values()), 0.0),
            TOTAL: total_s,
        }
        for stage, duration_s in durations_s.items():
            exposition.STAGE_SECONDS.labels(self.kind, stage).observe(duration_s)


_current: contextvars.ContextVar[Operation | None] = contextvars.ContextVar(
    "operation", default=None
)
_running: set[Operation] = set()


@contextlib.contextmanager
def run_operation(kind: str = "") -> typing.Iterator[Operation]:
    """Make a new operation the current one in a ``with`` block, and count it after."""
    operation = Operation(kind, trio.current_time())
    token = _current.set(operation)
    _running.add(operation)
    try:
        yield operation
    finally:
        _running.discard(operation)
        _current.reset(token)
        operation.observe(trio.current_time())


def measure(stage: str) -> contextlib.AbstractContextManager[None]:
    """Add the time of a ``with`` block to a stage of the current operation, if any."""
    operation = _current.get()
    return contextlib.nullcontext() if operation is None else operation.measure(stage)


def identify(kind: str, organisation: str) -> None:
    """Set the kind and the organisation of the current operation, if any."""
    operation = _current.get()
    if operation is not None:
        operation.kind, operation.organisation = kind, organisation


def add_call(duration_s: float, holder_s: float) -> None:
    """Add a call to a holder to the current operation, if any.

    Parameters
    ----------
    duration_s : float
        From sending the call to its answer or failure, in seconds.
    holder_s : float
        Time that the holder reported, 0 without an answer.
    """
    operation = _current.get()
    if operation is not None:
        holder_s = min(max(holder_s, 0.0), duration_s)
        operation.add(HOLDER, holder_s)
        operation.add(FORWARD, duration_s - holder_s)


async def sleep(delay_s: float) -> None:
    """Sleep between two attempts of the current operation."""
    with measure(RETRY):
        await trio.sleep(delay_s)


def list_oldest(
    now_s: float, operations: collections.abc.Iterable[Operation] | None = None
) -> list[exposition.OldestOperation]:
    """Return the oldest running operation of each organisation, oldest first.

    Parameters
    ----------
    now_s : float
        On trio's clock.
    operations : iterable of Operation, optional
        By default, all that run in this process.

    Returns
    -------
    list of exposition.OldestOperation
        Of at most `MAX_OLDEST` organisations.
    """
    oldest: dict[str, Operation] = {}
    for operation in _running if operations is None else operations:
        if not operation.organisation:
            continue
        known = oldest.get(operation.organisation)
        if known is None or operation.started_s < known.started_s:
            oldest[operation.organisation] = operation
    waits = [
        exposition.OldestOperation(name, operation.stage, now_s - operation.started_s)
        for name, operation in oldest.items()
    ]
    return sorted(waits, key=lambda wait: wait.age_s, reverse=True)[:MAX_OLDEST]
