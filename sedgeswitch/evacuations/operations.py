"""Operators' requests on evacuations, served by the leader of the control hosts."""

import collections.abc
import typing

import loguru

from sedgeswitch import verdicts
from sedgeswitch.agreement import errors
from sedgeswitch.evacuations import machine as machines

# Longest wait for a quorum to accept a command, in seconds. Operators repeat a request
# for at most 8 s, so that several attempts fit.
PROPOSE_TIMEOUT_S = 2.0
# Longest wait for a quorum to confirm that this host still leads, in seconds.
CONFIRM_TIMEOUT_S = 1.0
RETRY_AFTER_MS = 200


class Log(typing.Protocol):
    """The parts of the replicated log that this module uses."""

    async def propose(self, machine_name: str, body: bytes, timeout_s: float) -> bytes:
        """Commit a command and return its result."""

    async def read_barrier(self, timeout_s: float) -> None:
        """Wait until all commands committed before the call have been applied."""


class Operations:
    """Starts, ends and lists evacuations.

    Parameters
    ----------
    machine : machine.EvacuationsMachine
    log : Log
    list_zones : callable
        Returns the availability zones that settings, hosts or instances name.
    """

    def __init__(
        self,
        machine: machines.EvacuationsMachine,
        log: Log,
        list_zones: collections.abc.Callable[[], collections.abc.Set[str]],
    ):
        self._machine = machine
        self._log = log
        self._list_zones = list_zones

    async def start(self, zone: str) -> None:
        """Start the evacuation of a zone; return once it is committed.

        Raises
        ------
        verdicts.RefusedError
            400 for an unknown zone; 503 if this host does not lead, or if the
            outcome is unknown. The request may be repeated in each case.
        """
        await self._change(zone, is_start=True)

    async def end(self, zone: str) -> None:
        """End the evacuation of a zone; see `start`."""
        await self._change(zone, is_start=False)

    async def list_evacuated(self) -> list[str]:
        """Return the evacuated zones, sorted by name.

        Raises
        ------
        verdicts.RefusedError
            503 if no quorum confirms that they are the newest.
        """
        try:
            await self._log.read_barrier(CONFIRM_TIMEOUT_S)
        except errors.AgreementError as error:
            raise _build_not_leader(error) from error
        return sorted(self._machine.zones)

    async def _change(self, zone: str, is_start: bool) -> None:
        known = self._list_zones() | self._machine.zones
        if zone not in known:
            raise verdicts.build_not_run(
                400,
                "unknown_zone",
                "zone: expected an availability zone that settings, hosts or instances"
                f" name ({', '.join(sorted(known)) or 'none'}), got {zone!r}",
            )
        body = machines.build_command(zone, is_start)
        try:
            answer = await self._log.propose(machines.NAME, body, PROPOSE_TIMEOUT_S)
        except errors.NotLeaderError as error:
            raise _build_not_leader(error) from error
        except errors.AgreementError as error:
            raise verdicts.build_may_have_run(
                503, "outcome_unknown", "send the same request again", RETRY_AFTER_MS
            ) from error
        result = machines.decode_result(answer)
        # A repeated request is logged too: the host that acknowledged the first one
        # may have been lost before it wrote its line.
        loguru.logger.info(
            f"evacuation {'started' if is_start else 'ended'}",
            zone=zone,
            is_changed=result.is_changed,
            version=result.version,
        )


def _build_not_leader(error: errors.AgreementError) -> verdicts.RefusedError:
    return verdicts.build_not_run(503, "not_leader", str(error), RETRY_AFTER_MS)
