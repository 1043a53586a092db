"""Registered kinds of faults, and random plans of faults from a seed."""

import collections.abc
import functools
import random
import signal
import typing

from benchmarks import processes
from soak import fleet as fleets
from soak import proxy

# Time without faults at the start of a run, in seconds.
FAULT_FREE_START_S = 2.0
# Time without faults at the end of a run, in which the fleet must recover, in seconds.
FAULT_FREE_END_S = 6.0
MIN_FAULT_S = 0.3
MAX_FAULT_S = 5.0
# Mean pause after the start of a fault or series before the next, in seconds. It is
# shorter than many faults, so faults overlap.
MEAN_GAP_S = 0.8
# Maximum time between the starts of two faults of a series, in seconds.
MAX_SERIES_GAP_S = 0.4
# Share of faults that are followed by more of the same kind: a series.
SERIES_SHARE = 0.25
# Maximum number of faults in a series.
MAX_SERIES_LENGTH = 4
# Replication lags of the kind "lag", in milliseconds.
LAGS_MS = (0, 200, 1500)
# Delays of each chunk of bytes of the kind "delay", in seconds.
DELAYS_S = (0.02, 0.1, 0.5)

Undo = collections.abc.Callable[[], None]
Begin = collections.abc.Callable[[fleets.Fleet, "Fault"], Undo]


class Fault(typing.NamedTuple):
    """One fault of a run.

    Attributes
    ----------
    at_s : float
        Start, in seconds since the start of the load.
    kind : str
        Name of a registered kind.
    name : str
        Name of the process, or of the process that the link forwards to.
    duration_s : float
    intensity : float
        From 0 (included) to 1 (excluded). Selects the lag, delay or directions for
        kinds that have several.
    """

    at_s: float
    kind: str
    name: str
    duration_s: float
    intensity: float


class _Kind(typing.NamedTuple):
    begin: Begin
    list_names: collections.abc.Callable[[fleets.Fleet], list[str]]


_KINDS: dict[str, _Kind] = {}


def register_fault(
    name: str, list_names: collections.abc.Callable[[fleets.Fleet], list[str]]
) -> collections.abc.Callable[[Begin], Begin]:
    """Return a decorator that registers a kind of fault.

    The decorated function starts the fault and returns a function that ends it.

    Parameters
    ----------
    name : str
        Name of the kind.
    list_names : callable
        Returns the names of the processes of a fleet that the kind applies to.
    """

    def register(begin: Begin) -> Begin:
        _KINDS[name] = _Kind(begin, list_names)
        return begin

    return register


def list_kinds() -> list[str]:
    """Return the names of the registered kinds, sorted."""
    return sorted(_KINDS)


def begin(fleet: fleets.Fleet, fault: Fault) -> Undo:
    """Start a fault and return the function that ends it."""
    return _KINDS[fault.kind].begin(fleet, fault)


def plan_faults(fleet: fleets.Fleet, seed: int, duration_s: float) -> list[Fault]:
    """Return the faults of a run, sorted by start; equal seeds give equal plans."""
    rng = random.Random(seed)
    last_s = duration_s - FAULT_FREE_END_S
    faults = []
    at_s = FAULT_FREE_START_S
    while at_s < last_s:
        kind = rng.choice(list_kinds())
        is_series = rng.random() < SERIES_SHARE
        for _ in range(rng.randint(2, MAX_SERIES_LENGTH) if is_series else 1):
            name = rng.choice(_KINDS[kind].list_names(fleet))
            length_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
            length_s = min(length_s, max(last_s - at_s, MIN_FAULT_S))
            faults.append(Fault(at_s, kind, name, length_s, rng.random()))
            at_s += rng.uniform(0.0, MAX_SERIES_GAP_S)
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    return faults


def _list_all(fleet: fleets.Fleet) -> list[str]:
    return fleet.names


def _list_control(fleet: fleets.Fleet) -> list[str]:
    return fleet.control


def _list_instances(fleet: fleets.Fleet) -> list[str]:
    return fleet.instances


@register_fault("kill", _list_all)
def _kill(fleet: fleets.Fleet, fault: Fault) -> Undo:
    fleet.send_signal(fault.name, signal.SIGKILL)
    return functools.partial(_restart, fleet, fault.name)


@register_fault("stop", _list_all)
def _stop(fleet: fleets.Fleet, fault: Fault) -> Undo:
    fleet.send_signal(fault.name, signal.SIGTERM)
    return functools.partial(_restart, fleet, fault.name)


@register_fault("pause", _list_all)
def _pause(fleet: fleets.Fleet, fault: Fault) -> Undo:
    fleet.send_signal(fault.name, signal.SIGSTOP)
    return functools.partial(fleet.send_signal, fault.name, signal.SIGCONT)


@register_fault("tear_log", _list_control)
def _tear_log(fleet: fleets.Fleet, fault: Fault) -> Undo:
    fleet.send_signal(fault.name, signal.SIGKILL)
    fleet.wait_ended(fault.name)
    fleet.tear_log(fault.name)
    return functools.partial(_restart, fleet, fault.name)


@register_fault("lag", _list_instances)
def _lag(fleet: fleets.Fleet, fault: Fault) -> Undo:
    lag_ms = _choose(LAGS_MS, fault.intensity)
    return _change_instance(fleet, fault.name, replication_lag_ms=lag_ms)


@register_fault("deaf", _list_instances)
def _cut_replication(fleet: fleets.Fleet, fault: Fault) -> Undo:
    return _change_instance(fleet, fault.name, cut_replication=True)


@register_fault("delay", _list_all)
def _delay(fleet: fleets.Fleet, fault: Fault) -> Undo:
    delay_s = _choose(DELAYS_S, fault.intensity)
    fleet.proxy.change(fault.name, _set_delay, delay_s)
    return functools.partial(fleet.proxy.change, fault.name, _set_delay, 0.0)


@register_fault("reset", _list_all)
def _reset(fleet: fleets.Fleet, fault: Fault) -> Undo:
    fleet.proxy.change(fault.name, proxy.Link.reset)
    return _do_nothing


@register_fault("silence", _list_all)
def _silence(fleet: fleets.Fleet, fault: Fault) -> Undo:
    fleet.proxy.change(fault.name, proxy.Link.silence)
    return _do_nothing


@register_fault("cut", _list_all)
def _cut(fleet: fleets.Fleet, fault: Fault) -> Undo:
    choices = (
        {proxy.Direction.TO_TARGET},
        {proxy.Direction.FROM_TARGET},
        set(proxy.Direction),
    )
    fleet.proxy.change(fault.name, _set_cut, _choose(choices, fault.intensity))
    return functools.partial(fleet.proxy.change, fault.name, _set_cut, set())


def _restart(fleet: fleets.Fleet, name: str) -> None:
    fleet.send_signal(name, signal.SIGCONT)
    fleet.wait_ended(name)
    fleet.start_process(name)


def _change_instance(fleet: fleets.Fleet, name: str, **values: typing.Any) -> Undo:
    _try_change(fleet, name, values)
    # Resets only the given fields; other faults of the instance stay active.
    cleared = {key: type(value)() for key, value in values.items()}
    return functools.partial(_try_change, fleet, name, cleared)


def _try_change(fleet: fleets.Fleet, name: str, values: dict) -> None:
    try:
        fleet.change_instance(name, **values)
    except OSError as error:
        # The process is stopped or paused. A restart clears the faults of an instance.
        print(f"  {name}: faults of the instance not changed: {error}")


def _set_delay(link: proxy.Link, delay_s: float) -> None:
    link.delay_s = delay_s


def _set_cut(link: proxy.Link, directions: set[proxy.Direction]) -> None:
    link.cut_directions = directions


def _choose(choices: collections.abc.Sequence, intensity: float) -> typing.Any:
    return choices[int(intensity * len(choices))]


def _do_nothing() -> None:
    pass


def wait_restored(fleet: fleets.Fleet, timeout_s: float) -> None:
    """Restart the processes that are not running and wait for a leader.

    Raises
    ------
    TimeoutError
        If no control host is the leader within `timeout_s`.
    """
    for name in fleet.list_ended():
        fleet.start_process(name)
    processes.wait_until(fleet.has_leader, timeout_s, "a leader after all faults")
