"""How long a host takes from its start until it serves."""

import loguru

MS_PER_S = 1000.0


class StartupTimes:
    """Logs one line with the time of each stage when the first statement succeeds.

    Parameters
    ----------
    started_s : float
        Start time of the process.

    Attributes
    ----------
    is_serving : bool
        Whether a statement has succeeded, so that nothing more is recorded.
    """

    def __init__(self, started_s: float):
        self._started_s = started_s
        self._stages_ms: dict[str, int] = {}
        self._failures = 0
        self.is_serving = False

    def record_stage(self, name: str, now_s: float) -> None:
        """Record that a stage is reached; only the first time counts."""
        if not self.is_serving:
            self._stages_ms.setdefault(name, self._get_elapsed_ms(now_s))

    def record_statement(self, is_answered: bool, now_s: float) -> None:
        """Record the outcome of a statement; the first success ends the startup.

        Parameters
        ----------
        is_answered : bool
            Whether an instance has answered the statement.
        now_s : float
        """
        if self.is_serving:
            return
        if not is_answered:
            self._failures += 1
            return
        self.is_serving = True
        loguru.logger.info(
            "first statement answered",
            after_start_ms=self._get_elapsed_ms(now_s),
            failures_before=self._failures,
            **self._stages_ms,
        )

    def _get_elapsed_ms(self, now_s: float) -> int:
        return round((now_s - self._started_s) * MS_PER_S)
