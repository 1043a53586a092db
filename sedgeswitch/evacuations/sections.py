"""The section of heartbeats that distributes the evacuated zones to entry hosts."""

import collections.abc
import math

import loguru

from sedgeswitch.evacuations import machine as machines
from sedgeswitch.evacuations import messages
from sedgeswitch.transport import catalog

# Default of the time after its acknowledgement within which an evacuation is in force
# on every host, in seconds: the lease of 4 s and a margin of 1 s.
DEFAULT_BOUND_S = 5.0
# Part of the bound for which open transactions may continue after the evacuation has
# come into force on their host.
TRANSACTION_SHARE = 0.5
# Part of the bound in which transactions must have ended that is left for the delivery
# of the leader's answer, in seconds; one interval of heartbeats.
DELIVERY_MARGIN_S = 0.5
_MS_PER_S = 1000
_UNKNOWN_VERSION = -1


class ControlSection:
    """Leader side: sends the evacuated zones to hosts with another version.

    Parameters
    ----------
    machine : machine.EvacuationsMachine
    """

    def __init__(self, machine: machines.EvacuationsMachine):
        self._machine = machine

    def start_leadership(self, now_s: float) -> None:
        """Do nothing; this section keeps no state of one leadership."""

    def get_version(self) -> int:
        """Return the version in force; a change of it triggers heartbeats."""
        return self._machine.version

    def answer_report(self, host_id: str, body: bytes, now_s: float) -> bytes:
        """Return the evacuated zones if the host has an older version.

        A malformed report is logged and answered with all zones, so that the other
        sections are still answered and the host keeps its lease.
        """
        try:
            reported = catalog.decode_struct(messages.Report, body).version
        except catalog.MessageError as error:
            loguru.logger.warning(
                "malformed report of evacuations", host=host_id, reason=str(error)
            )
            reported = _UNKNOWN_VERSION
        version = self._machine.version
        if reported >= version:
            return catalog.encode_struct(messages.Answer(version))
        evacuations = [
            messages.Evacuation(zone, math.floor((now_s - applied_s) * _MS_PER_S))
            for zone, applied_s in sorted(self._machine.applied_s.items())
        ]
        return catalog.encode_struct(messages.Answer(version, evacuations))


class EntrySection:
    """Entry side: the evacuated zones, whose version never decreases.

    Parameters
    ----------
    bound_s : float, optional
        Time after its acknowledgement within which no statement may reach an
        evacuated zone, in seconds.

    Attributes
    ----------
    version : int
    zones : frozenset of str
        The zones whose evacuation is in force on this host.
    """

    def __init__(self, bound_s: float = DEFAULT_BOUND_S):
        self._bound_s = bound_s
        self.version = 0
        self.zones: frozenset[str] = frozenset()
        self._transaction_end_s: dict[str, float] = {}
        self._listeners: list[collections.abc.Callable[[], None]] = []

    def register_listener(self, listener: collections.abc.Callable[[], None]) -> None:
        """Register a function that is called after each change of the zones."""
        self._listeners.append(listener)

    def get_transaction_end_s(self, zone: str) -> float:
        """Return the time from which open transactions in a zone are ended.

        It is infinite for a zone that is not evacuated.
        """
        return self._transaction_end_s.get(zone, math.inf)

    def build_report(self, now_s: float) -> bytes:  # noqa: ARG002
        """Return the section of the next heartbeat."""
        return catalog.encode_struct(messages.Report(self.version))

    def receive_answer(self, body: bytes, now_s: float) -> None:
        """Put the evacuations of the answer in force, if their version is newer.

        Raises
        ------
        catalog.MessageError
            If the answer is malformed; the zones remain as they were.
        """
        answer = catalog.decode_struct(messages.Answer, body)
        if answer.version <= self.version or answer.evacuations is None:
            return
        ages_s = {item.zone: item.age_ms / _MS_PER_S for item in answer.evacuations}
        self.version = answer.version
        for zone in sorted(self.zones - ages_s.keys()):
            del self._transaction_end_s[zone]
            loguru.logger.info("evacuation no longer in force", zone=zone)
        for zone in sorted(ages_s.keys() - self.zones):
            left_s = self._get_transaction_time_s(ages_s[zone])
            self._transaction_end_s[zone] = now_s + left_s
            loguru.logger.info(
                "evacuation in force",
                zone=zone,
                age_ms=round(ages_s[zone] * _MS_PER_S),
                transactions_end_in_ms=round(left_s * _MS_PER_S),
            )
        self.zones = frozenset(ages_s)
        for listener in self._listeners:
            listener()

    def _get_transaction_time_s(self, age_s: float) -> float:
        """Return for how long open transactions may continue.

        A host that learns of the evacuation late, for example after a change of
        leader, has less time.
        """
        left_s = self._bound_s - DELIVERY_MARGIN_S - age_s
        return max(min(self._bound_s * TRANSACTION_SHARE, left_s), 0.0)
