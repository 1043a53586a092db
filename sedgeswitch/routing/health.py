"""Health of instances: verdicts of holders, ejection, probes and the return.

A holder judges an instance by the traffic that it sees, never by what the instance says
of itself. Hosts that choose an instance eject it if most of its holders agree.
"""

import collections.abc
import typing

# Time after which an observation has half of its weight, in seconds: a few dozen
# statements at the rate of one holder.
HALF_LIFE_S = 3.0
# Failed share at which an instance becomes unhealthy, and at which it is healthy again.
# An instance that fails a third must be found despite noise; callers rarely see more
# than a twentieth.
UNHEALTHY_SHARE = 0.2
HEALTHY_SHARE = 0.08
# Weight of observations without which there is no verdict: at a failed share of 0.05,
# five failures among so many are rarer than one in a hundred thousand.
MIN_WEIGHT = 8.0
# Time without any answer after which statements in progress are taken to hang, in
# seconds, and as a multiple of the usual time of an answer. The slowest class takes
# 55 ms of work, at a fifth of the speed 0.3 s.
HANG_S = 0.5
HANG_USUAL_TIMES = 10.0
# Weight of the newest answer in the usual time.
USUAL_WEIGHT = 0.1
# Multiple of the service time of the other instances of the group at which an instance
# is unhealthy. Below it, the shares of `routing.shares` still use what it can do.
SLOW_FACTOR = 10.0
# Part of the weight of unanswered statements that remains after an answer. A hang has
# ended when answers arrive; two of them, from probes, are enough.
KEPT_UNANSWERED = 0.1
# Time without observations after which a verdict ends, in seconds: ten half-lives.
FORGET_S = 30.0
# Part of the instances of a group that may be ejected.
MAX_EJECTED_PART = 3
# Share of the statements of a host that probe an ejected instance. 92 hosts with three
# statements a second send about three probes a second.
PROBE_SHARE = 0.01
# Smallest share, as a part of its usual one, of an instance that returns, and the time
# until it has all, in seconds. Holders open connections in this time.
FIRST_RAMP_PART = 0.05
RAMP_S = 10.0
# An instance that is ejected again within this time returns twice as slowly, up to the
# maximum, both in seconds.
FLAPPING_S = 60.0
MAX_RAMP_S = 80.0


class _Observed(typing.NamedTuple):
    """Decayed counts of the answers of one instance, and their usual time."""

    answered: float = 0.0
    failed: float = 0.0
    unanswered: float = 0.0
    updated_s: float = float("-inf")
    answered_s: float = float("-inf")
    usual_s: float = 0.0
    is_unhealthy: bool = False


class Judge:
    """A holder's verdicts about the instances that it sends statements to."""

    def __init__(self):
        self._observed: dict[str, _Observed] = {}
        self._in_progress: dict[str, dict[int, float]] = {}
        self._next_id = 0

    def start(self, instance: str, now_s: float) -> int:
        """Record that a statement was sent; return an id for `end`."""
        self._next_id += 1
        self._in_progress.setdefault(instance, {})[self._next_id] = now_s
        return self._next_id

    def end(self, instance: str, statement: int) -> None:
        """Record that a statement is no longer in progress."""
        in_progress = self._in_progress.get(instance, {})
        in_progress.pop(statement, None)
        if not in_progress:
            self._in_progress.pop(instance, None)

    def record_no_answer(self, instance: str, sent_s: float, now_s: float) -> None:
        """Record that a statement got no answer in time.

        It counts as a failure only if the instance has answered nothing since it was
        sent. An overloaded instance, which answers others, is not ill: ejecting it
        would overload the next one.
        """
        observed = self._observed.get(instance, _Observed())
        if observed.answered_s < sent_s:
            # Counted by `record` as a failure, but forgotten sooner.
            self.record(instance, True, now_s)
            observed = self._observed[instance]
            self._observed[instance] = observed._replace(
                failed=observed.failed - 1, unanswered=observed.unanswered + 1
            )

    def record(
        self, instance: str, is_failure: bool, now_s: float, elapsed_s: float = 0.0
    ) -> None:
        """Add an answer, or the lack of one (`is_failure`), of an instance.

        Parameters
        ----------
        instance : str
        is_failure : bool
        now_s : float
        elapsed_s : float, optional
            Time that an answer took, in seconds.
        """
        observed = self._observed.get(instance, _Observed())
        remaining = 0.5 ** (max(now_s - observed.updated_s, 0.0) / HALF_LIFE_S)
        kept = remaining if is_failure else remaining * KEPT_UNANSWERED
        observed = observed._replace(
            answered=observed.answered * remaining + (not is_failure),
            failed=observed.failed * remaining + is_failure,
            unanswered=observed.unanswered * kept,
            updated_s=now_s,
            answered_s=observed.answered_s if is_failure else now_s,
            usual_s=observed.usual_s + USUAL_WEIGHT * (elapsed_s - observed.usual_s),
        )
        failed = observed.failed + observed.unanswered
        total = observed.answered + failed
        share = failed / total
        is_unhealthy = observed.is_unhealthy
        if total >= MIN_WEIGHT and share >= UNHEALTHY_SHARE:
            is_unhealthy = True
        elif share <= HEALTHY_SHARE:
            is_unhealthy = False
        self._observed[instance] = observed._replace(is_unhealthy=is_unhealthy)

    def get_failed_share(self, instance: str, now_s: float) -> float:
        """Return the share of recent statements without a useful answer, 0 to 1."""
        observed = self._observed.get(instance)
        if observed is None or now_s - observed.updated_s > FORGET_S:
            return 0.0
        failed = observed.failed + observed.unanswered
        return failed / max(observed.answered + failed, MIN_WEIGHT)

    def is_unhealthy(self, instance: str, now_s: float) -> bool:
        """Return the verdict about an instance."""
        if self._is_hanging(instance, now_s):
            return True
        observed = self._observed.get(instance)
        if observed is None or now_s - observed.updated_s > FORGET_S:
            return False
        return observed.is_unhealthy

    def drop(self, instances: collections.abc.Collection[str]) -> None:
        """Drop what was observed of instances that are not among the given ones."""
        for instance in self._observed.keys() - set(instances):
            del self._observed[instance]

    def _is_hanging(self, instance: str, now_s: float) -> bool:
        in_progress = self._in_progress.get(instance)
        if not in_progress:
            return False
        oldest_s = next(iter(in_progress.values()))
        observed = self._observed.get(instance, _Observed())
        limit_s = max(HANG_S, HANG_USUAL_TIMES * observed.usual_s)
        return now_s - max(oldest_s, observed.answered_s) > limit_s


def is_slow(service_s: float, others_s: collections.abc.Sequence[float]) -> bool:
    """Return whether an instance is far slower than the others of its group.

    Parameters
    ----------
    service_s : float
        Service time of the instance, in seconds.
    others_s : sequence of float
        Those of the others, in seconds; with none, there is nothing to compare with.
    """
    if not others_s:
        return False
    middle_s = sorted(others_s)[(len(others_s) - 1) // 2]
    return service_s > SLOW_FACTOR * max(middle_s, 1e-3)


def is_agreed(verdicts: int, holders: int) -> bool:
    """Return whether more than half of the holders of an instance call it unhealthy.

    A single holder may be wrong: its own link may be the cause. If the number of
    holders is unknown (0), two must agree.
    """
    return 2 * verdicts > holders if holders else verdicts > 1


def get_ejected_max(total: int) -> int:
    """Return how many instances of a group may be ejected at a time."""
    if total < MAX_EJECTED_PART:
        return max(total - 1, 0)
    return total // MAX_EJECTED_PART


def select_ejected(
    unhealthy: collections.abc.Mapping[str, float],
    eligible: collections.abc.Collection[str],
    total: int,
) -> frozenset[str]:
    """Return the instances that are ejected, the worst ones if not all may be.

    None is ejected if all that a statement may go to are unhealthy: then the cause is
    rather the statements, and nothing is gained.

    Parameters
    ----------
    unhealthy : mapping of str to float
        Failed share of each unhealthy instance of the group.
    eligible : collection of str
        Instances that a statement may go to; one of them is always left.
    total : int
        Number of instances of the group.
    """
    if not set(eligible) - unhealthy.keys():
        return frozenset()
    worst = sorted(unhealthy, key=lambda name: (-unhealthy[name], name))
    return frozenset(worst[: get_ejected_max(total)])


def limit_parts(
    parts: collections.abc.Mapping[str, float], withheld_max: int
) -> dict[str, float]:
    """Return the parts of the usual shares after all but a few are made whole.

    Ejected and returning instances together are no more than may be ejected. Otherwise
    two that flap in turn would leave all load to the third.

    Parameters
    ----------
    parts : mapping of str to float
        See `ReturnTable.get_part`.
    withheld_max : int
        Number of instances that may get less than their usual share.
    """
    lowest = sorted(parts, key=lambda name: (parts[name], name))
    withheld = lowest[: max(withheld_max, 0)]
    return {name: parts[name] if name in withheld else 1.0 for name in parts}


class _Return(typing.NamedTuple):
    """When an instance was ejected and began to return, and how slowly it does."""

    ejected_s: float
    returned_s: float | None
    ramp_s: float


class ReturnTable:
    """How much of its usual share each instance gets after its ejection."""

    def __init__(self):
        self._returns: dict[str, _Return] = {}
        self._updated_s: dict[str, float] = {}

    def update(self, instance: str, is_ejected: bool, now_s: float) -> None:
        """Record whether an instance is ejected now."""
        present = self._returns.get(instance)
        self._updated_s[instance] = now_s
        if is_ejected and (present is None or present.returned_s is not None):
            ramp_s = RAMP_S
            if present is not None and now_s - present.ejected_s < FLAPPING_S:
                ramp_s = min(2 * present.ramp_s, MAX_RAMP_S)
            self._returns[instance] = _Return(now_s, None, ramp_s)
        elif not is_ejected and present is not None:
            if present.returned_s is None:
                self._returns[instance] = present._replace(returned_s=now_s)
            elif now_s - present.returned_s > max(present.ramp_s, FLAPPING_S):
                del self._returns[instance]

    def drop_old(self, now_s: float) -> None:
        """Drop instances that no read could go to for a while, such as removed ones."""
        for instance, updated_s in list(self._updated_s.items()):
            if now_s - updated_s > FLAPPING_S:
                del self._updated_s[instance]
                self._returns.pop(instance, None)

    def get_part(self, instance: str, now_s: float) -> float:
        """Return the part of its usual share that an instance gets, 0 if ejected."""
        present = self._returns.get(instance)
        if present is None:
            return 1.0
        if present.returned_s is None:
            return 0.0
        part = (now_s - present.returned_s) / present.ramp_s
        return min(max(part, FIRST_RAMP_PART), 1.0)

    def count_partial(self, now_s: float) -> int:
        """Return how many instances get less than their usual share."""
        return sum(self.get_part(instance, now_s) < 1 for instance in self._returns)
