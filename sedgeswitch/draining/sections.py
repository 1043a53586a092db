"""The draining section of the heartbeat: requests on drained instances."""

import collections.abc
import typing

from sedgeswitch.draining import messages
from sedgeswitch.transport import catalog

_ANSWER = catalog.encode_struct(messages.DrainAnswer())


class EntrySection:
    """Entry side: reports the requests of this host on drained instances.

    Parameters
    ----------
    get_version : callable
        Returns the version of the configuration in force on this host.
    count_in_use : callable
        Returns the number of running and waiting requests by drained instance.
    """

    def __init__(
        self,
        get_version: collections.abc.Callable[[], int],
        count_in_use: collections.abc.Callable[[], dict[str, int]],
    ):
        self._get_version = get_version
        self._count_in_use = count_in_use

    def build_report(self, now_s: float) -> bytes:  # noqa: ARG002
        """Return the configuration version and the non-zero request counts."""
        in_use = {name: count for name, count in self._count_in_use().items() if count}
        return catalog.encode_struct(messages.DrainReport(self._get_version(), in_use))

    def receive_answer(self, body: bytes, now_s: float) -> None:
        """Ignore the answer, which is empty."""


class _Reported(typing.NamedTuple):
    configuration_version: int
    in_use: dict[str, int]


class ControlSection:
    """Leader side: determines from the reports whether a drained instance is idle.

    Parameters
    ----------
    get_lease_holders : callable
        ``get_lease_holders(now_s)`` returns the ids of the entry hosts whose
        lease may not have expired yet.
    """

    def __init__(
        self,
        get_lease_holders: collections.abc.Callable[
            [float], collections.abc.Collection[str]
        ],
    ):
        self._get_lease_holders = get_lease_holders
        self._reports: dict[str, _Reported] = {}

    def start_leadership(self, now_s: float) -> None:  # noqa: ARG002
        """Remove the reports received in an earlier leadership."""
        self._reports = {}

    def get_version(self) -> int:
        """Return 0: this section has no state that entry hosts must receive."""
        return 0

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:  # noqa: ARG002
        """Record a host's report."""
        report = catalog.decode_struct(messages.DrainReport, body)
        self._reports[host_id] = _Reported(report.configuration_version, report.in_use)
        return _ANSWER

    def count_in_use(self, instance: str, version: int, now_s: float) -> int | None:
        """Return the number of requests that use a drained instance.

        Parameters
        ----------
        instance : str
        version : int
            Version of the configuration that drains the instance.
        now_s : float

        Returns
        -------
        int or None
            0 if the instance is idle and stays idle. None if a host that may hold
            a lease has not reported with that version or a later one.
        """
        total = 0
        for host_id in self._get_lease_holders(now_s):
            reported = self._reports.get(host_id)
            if reported is None or reported.configuration_version < version:
                return None
            total += reported.in_use.get(instance, 0)
        return total
