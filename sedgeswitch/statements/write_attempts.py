"""What the tries of one write have come to."""

from sedgeswitch import verdicts
from sedgeswitch.statements import refusals


class WriteAttempts:
    """What the tries of one write have come to.

    Attributes
    ----------
    current_verdict : verdicts.Verdict
        Whether the try that runs now may have run.
    is_committed : bool
        Whether the try that runs now has been committed by the primary.
    """

    def __init__(self):
        self.current_verdict = verdicts.Verdict.NOT_RUN
        self.is_committed = False
        self._earlier_verdict = verdicts.Verdict.NOT_RUN

    @property
    def verdict(self) -> verdicts.Verdict:
        """Whether any try may have run."""
        if verdicts.Verdict.MAY_HAVE_RUN in (
            self.current_verdict,
            self._earlier_verdict,
        ):
            return verdicts.Verdict.MAY_HAVE_RUN
        return verdicts.Verdict.NOT_RUN

    def record_sent(self) -> None:
        """Note that the current try sends its statement."""
        self.current_verdict = verdicts.Verdict.MAY_HAVE_RUN

    def record_refusal(self, refusal: verdicts.Refusal) -> None:
        """Note that the current try was refused."""
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
        """Return the refusal for the caller, who knows nothing of the tries."""
        return verdicts.RefusedError(refusal._replace(verdict=self.verdict))
