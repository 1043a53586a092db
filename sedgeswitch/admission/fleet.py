"""Admission of callers' requests by the fleet-wide rate limit."""

import trio

from sedgeswitch.admission import host_limiter
from sedgeswitch.utils import clocks


class FleetAdmission:
    """Admits requests by the tokens of this host's limiter.

    Parameters
    ----------
    limiter : host_limiter.HostLimiter
    """

    def __init__(self, limiter: host_limiter.HostLimiter):
        self._host_limiter = limiter

    async def admit(self, organisation: str, deadline_s: float) -> None:
        """Return if a request may run.

        Parameters
        ----------
        organisation : str
        deadline_s : float
            Deadline of the caller, on trio's clock.

        Raises
        ------
        verdicts.RefusedError
            With status 429 and the time after which to retry: there is no token, and
            the queue is full, no time is left to wait, or the wait ended without one.
        """
        now_s = clocks.get_now_s()
        remaining_s = deadline_s - trio.current_time()
        outcome = self._host_limiter.take(organisation, now_s, now_s + remaining_s)
        if isinstance(outcome, host_limiter.Pending):
            outcome = await self._host_limiter.wait(outcome)
        if isinstance(outcome, host_limiter.Denied):
            raise host_limiter.build_refusal(outcome)
