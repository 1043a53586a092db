"""Progress of the document in force towards the entry hosts, on the leader."""

import collections.abc
import typing

import loguru

# Time after which entry hosts without the version in force are named in the log, in
# seconds; a heartbeat and its answer take a fraction of it.
SLOW_AFTER_S = 2.0
# Entry hosts that one log line names.
MAX_NAMED_HOSTS = 5


class Target(typing.NamedTuple):
    """What the entry hosts have to report: a version, under one leadership.

    Attributes
    ----------
    version : int
    term : int
        Term of the leader, which knows only the reports that it has received itself.
    """

    version: int
    term: int


class Rollout:
    """Measures how long a version takes to reach all entry hosts that hold a lease.

    Logs one line when it has, and one before that if it takes long.

    Attributes
    ----------
    hosts_behind : int
        Entry hosts that have not reported the version in force.
    duration_s : float
        Time that the last completed rollout took.
    """

    def __init__(self):
        self.hosts_behind = 0
        self.duration_s = 0.0
        self._target: Target | None = None
        self._started_s = 0.0
        self._is_complete = False
        self._is_logged_as_slow = False

    def update(
        self,
        target: Target,
        holders: collections.abc.Callable[[], collections.abc.Collection[str]],
        reported_versions: collections.abc.Mapping[str, int],
        now_s: float,
    ) -> None:
        """Compare the versions that entry hosts have reported with the one in force.

        Parameters
        ----------
        target : Target
        holders : callable
            Returns the ids of the entry hosts whose lease may still be valid. It is
            not called while a completed rollout is the last one.
        reported_versions : mapping of str to int
            Version that each host last reported, by host id.
        now_s : float
        """
        if target != self._target:
            self._target = target
            self._started_s = now_s
            self._is_complete = self._is_logged_as_slow = False
        if self._is_complete or not target.version:
            return
        hosts = holders()
        behind = [
            host for host in hosts if reported_versions.get(host, 0) < target.version
        ]
        self.hosts_behind = len(behind)
        elapsed_s = now_s - self._started_s
        if hosts and not behind:
            self._is_complete = True
            self.duration_s = elapsed_s
            self._log("configuration reached all entry hosts", elapsed_s, len(hosts))
        elif elapsed_s >= SLOW_AFTER_S and not self._is_logged_as_slow:
            self._is_logged_as_slow = True
            names = ",".join(sorted(behind)[:MAX_NAMED_HOSTS])
            self._log(
                "configuration has not reached all entry hosts",
                elapsed_s,
                len(hosts),
                behind=len(behind),
                first_behind=names,
            )

    def _log(
        self, text: str, elapsed_s: float, hosts: int, **fields: typing.Any
    ) -> None:
        loguru.logger.info(
            text,
            version=self._target.version,
            term=self._target.term,
            hosts=hosts,
            took_ms=round(elapsed_s * 1000),
            **fields,
        )
