"""Admission at the hosts that draw the tokens of an organisation.

Each organisation has one such host a region, its home, so that a few hosts hold tokens
for its whole demand. If every host drew tokens, a host of a large fleet would hold none
of most organisations and wait for a draw with nearly every request.
"""

import trio

from sedgeswitch import verdicts
from sedgeswitch.forwarding import host_calls
from sedgeswitch.forwarding import messages
from sedgeswitch.forwarding import placement
from sedgeswitch.relay import context
from sedgeswitch.transport import failures
from sedgeswitch.utils import checks
from sedgeswitch.utils import clocks

# Share of the time left that one call to a home may take, and the least time for one,
# in seconds. The home may have to draw a token from the leader.
CALL_TIME_SHARE = 0.75
MIN_CALL_S = 0.15
# The home gives up this long before its caller does, in seconds.
ANSWER_MARGIN_S = 0.05
# Homes that are asked before this host draws tokens itself.
MAX_HOMES = 2
_MS_PER_S = 1000


class HomeAdmission:
    """Admits requests at the home of their organisation.

    Parameters
    ----------
    host_id : str
    availability_zone : str
    places : placement.Placement
    hosts : host_calls.HostCalls
    admit_locally : callable
        ``await admit_locally(organisation, deadline_s)`` admits a request by tokens
        that this host draws; raises `verdicts.RefusedError`.
    """

    def __init__(
        self,
        host_id: str,
        availability_zone: str,
        places: placement.Placement,
        hosts: host_calls.HostCalls,
        admit_locally: context.Admit,
    ):
        self._host_id = host_id
        self._availability_zone = availability_zone
        self._placement = places
        self._hosts = hosts
        self._admit_locally = admit_locally

    async def admit(self, organisation: str, deadline_s: float) -> None:
        """Return if a request may run; see `admission.fleet.FleetAdmission.admit`.

        Raises
        ------
        verdicts.RefusedError
        """
        homes = self._placement.order_homes(organisation, self._availability_zone)
        for host_id in homes[:MAX_HOMES]:
            if host_id == self._host_id:
                break
            if not self._hosts.is_available(host_id, clocks.get_now_s()):
                continue
            answer = await self._call(host_id, organisation, deadline_s)
            if answer is None or answer.is_host_unavailable:
                continue
            if not answer.is_admitted:
                raise _build_refusal(answer)
            return
        await self._admit_locally(organisation, deadline_s)

    async def _call(
        self, host_id: str, organisation: str, deadline_s: float
    ) -> messages.AdmitAnswer | None:
        """Ask a home; None without an answer, as a spent token harms nobody."""
        left_s = deadline_s - trio.current_time()
        timeout_s = max(CALL_TIME_SHARE * left_s, MIN_CALL_S)
        wait_ms = round((timeout_s - ANSWER_MARGIN_S) * _MS_PER_S)
        request = messages.AdmitRequest(organisation, wait_ms)
        try:
            answer = await self._hosts.call(host_id, request, timeout_s)
        except failures.CallError:
            # `HostCalls` counts it, and the next home is asked.
            return None
        return answer if isinstance(answer, messages.AdmitAnswer) else None


class Home:
    """Answers the requests of other hosts for admission.

    Parameters
    ----------
    admit_locally : callable
        See `HomeAdmission`.
    """

    def __init__(self, admit_locally: context.Admit):
        self._admit_locally = admit_locally
        self._is_leaving = False

    def leave(self) -> None:
        """Admit no further requests of other hosts."""
        self._is_leaving = True

    async def answer(self, request: messages.AdmitRequest) -> messages.AdmitAnswer:
        """Admit a request, or refuse it by the organisation's limit."""
        if self._is_leaving:
            return messages.AdmitAnswer(False, True)
        deadline_s = trio.current_time() + request.timeout_ms / _MS_PER_S
        try:
            await self._admit_locally(request.organisation, deadline_s)
        except checks.CheckError:
            # This host has not received the organisation's limit yet.
            return messages.AdmitAnswer(False, True)
        except verdicts.RefusedError as error:
            refusal = error.refusal
            return messages.AdmitAnswer(
                False,
                None,
                refusal.code,
                refusal.detail,
                refusal.retry_after_ms,
                refusal.status,
            )
        return messages.AdmitAnswer(True)


def _build_refusal(answer: messages.AdmitAnswer) -> verdicts.RefusedError:
    return verdicts.build_not_run(
        answer.status or 429,
        answer.code or "rate_exceeded",
        answer.detail or "",
        answer.retry_after_ms or 1,
    )
