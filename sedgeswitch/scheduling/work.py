"""The description of work that a scheduler orders."""

import enum
import typing

# Priorities beyond this one count as this one, so that a document or a message cannot
# create an unlimited number of classes and metrics.
LOWEST_PRIORITY = 9


class Kind(enum.Enum):
    """Kind of work; each kind has its own mean service time.

    The service time of a transaction is that of one of its statements.
    """

    READ = "read"
    WRITE = "write"
    TRANSACTION = "transaction"


class Work(typing.NamedTuple):
    """One statement, or one transaction, as a scheduler sees it.

    Attributes
    ----------
    kind : Kind
    priority : int
        Class of the work: the priority of its database; 0 is the highest.
    organisation_priority : int
        0 is the highest.
    target_s : float
        Time on trio's clock by which the answer meets the target latency.
    """

    kind: Kind
    priority: int
    organisation_priority: int
    target_s: float

    @property
    def weight(self) -> float:
        """Weight of the organisation where slots are divided fairly."""
        return 1.0 / (1 + self.organisation_priority)


def build_work(
    kind: Kind, priority: int, organisation_priority: int, target_s: float
) -> Work:
    """Return a description of work with its priorities limited to valid values."""
    return Work(
        kind,
        min(max(priority, 0), LOWEST_PRIORITY),
        min(max(organisation_priority, 0), LOWEST_PRIORITY),
        target_s,
    )
