"""Admission of requests by the tokens of this host's wallet."""

import trio

from sedgeswitch.admission import host_limiter
from sedgeswitch.utils import clocks


class FleetAdmission:
    """Admits requests by the wallet's tokens.

    Parameters
    ----------
    tokens : host_limiter.HostLimiter
    """

    def __init__(self, tokens: host_limiter.HostLimiter):
        self._host_limiter = tokens

    async def admit(self, organisation: str, deadline_s: float) -> None:
        """Return if a request may run.

        Parameters
        ----------
        organisation : str
        deadline_s : float
            When the caller stops waiting, on trio's clock.

        Raises
        ------
        verdicts.RefusedError
            429, at once, with when to come back.
        """
        now_s = clocks.get_now_s()
        left_s = deadline_s - trio.current_time()
        outcome = self._host_limiter.take(organisation, now_s, now_s + left_s)
        if isinstance(outcome, host_limiter.Pending):
            outcome = await self._host_limiter.wait(outcome)
        if isinstance(outcome, host_limiter.Denied):
            raise host_limiter.build_refusal(outcome)
