"""The outcome of the attempts of one write."""

from sedgeswitch import verdicts
from sedgeswitch.statements import refusals


class WriteAttempts:
    """Tracks whether any attempt of one write may have run.

    Attributes
    ----------
    current_verdict : verdicts.Verdict
        Whether the current attempt may have run.
    is_committed : bool
        Whether the primary has committed the current attempt.
    """

    def __init__(self):
        self.current_verdict = verdicts.Verdict.NOT_RUN
        self.is_committed = False
        self._earlier_verdict = verdicts.Verdict.NOT_RUN

    @property
    def verdict(self) -> verdicts.Verdict:
        """Whether any attempt may have run."""
        if verdicts.Verdict.MAY_HAVE_RUN in (
            self.current_verdict,
            self._earlier_verdict,
        ):
            return verdicts.Verdict.MAY_HAVE_RUN
        return verdicts.Verdict.NOT_RUN

    def record_sent(self) -> None:
        """Record that the current attempt sends its statement."""
        self.current_verdict = verdicts.Verdict.MAY_HAVE_RUN

    def record_refusal(self, refusal: verdicts.Refusal) -> None:
        """Record that the current attempt was refused."""
        self.current_verdict = verdicts.Verdict.NOT_RUN
        self.is_committed = False
        if refusal.verdict is verdicts.Verdict.MAY_HAVE_RUN:
            self._earlier_verdict = verdicts.Verdict.MAY_HAVE_RUN

    def build_deadline_refusal(self) -> verdicts.RefusedError:
        """Return the refusal of a write whose deadline has passed."""
        if self.is_committed:
            return refusals.build_not_replicated()
        return refusals.build_deadline_passed(self.verdict)

    def build_final_refusal(self, refusal: verdicts.Refusal) -> verdicts.RefusedError:
        """Return a refusal for the caller, with the verdict over all attempts."""
        return verdicts.RefusedError(refusal._replace(verdict=self.verdict))
