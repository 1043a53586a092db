"""Admission of requests by the tokens of this host's wallet."""

import trio

from sedgeswitch.admission import wallet


class FleetAdmission:
    """Admits requests by the wallet's tokens.

    Parameters
    ----------
    tokens : wallet.Wallet
    """

    def __init__(self, tokens: wallet.Wallet):
        self._wallet = tokens

    async def admit(self, organisation: str, deadline_s: float) -> None:
        """Return if a request may run.

        Raises
        ------
        verdicts.RefusedError
            429, at once, with when to come back.
        """
        outcome = self._wallet.take(organisation, trio.current_time(), deadline_s)
        if isinstance(outcome, wallet.Pending):
            outcome = await self._wallet.wait(outcome)
        if isinstance(outcome, wallet.Denied):
            raise wallet.build_refusal(outcome)
