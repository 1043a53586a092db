"""Checks every answer against a model of the writes sent and acknowledged.

Each household has a register, which its organisation sets to increasing numbers.
Each request that is not idempotent inserts a row with a unique tag.
"""

import bisect
import collections
import enum
import typing

from sedgeswitch import verdicts


class ViolationKind(enum.Enum):
    """Kind of an inconsistency in an answer or in the final state.

    Attributes
    ----------
    LOST_WRITE
        An acknowledged write is missing from the final state.
    DOUBLED_RUN
        A row was inserted more than once.
    STALE_HOUSEHOLD_READ
        A read missed a write that was acknowledged before in the same session.
    STALE_ORGANISATION_READ
        A read missed a write that was acknowledged before in another session of the
        same organisation.
    STALE_AGED_READ
        A read missed a write that was acknowledged longer before it than its maximum
        age.
    CROSSED_ANSWER
        The answer does not belong to the request, lacks rows or holds a value that
        was never sent.
    FOREIGN_ANSWER
        The answer holds data of another organisation.
    FALSE_NOT_RUN
        A write took effect although every attempt was answered as not run.
    """

    LOST_WRITE = "lost_write"
    DOUBLED_RUN = "doubled_run"
    STALE_HOUSEHOLD_READ = "stale_household_read"
    STALE_ORGANISATION_READ = "stale_organisation_read"
    STALE_AGED_READ = "stale_aged_read"
    CROSSED_ANSWER = "crossed_answer"
    FOREIGN_ANSWER = "foreign_answer"
    FALSE_NOT_RUN = "false_not_run"


class Violation(typing.NamedTuple):
    """A detected inconsistency, with the id of the request concerned."""

    kind: ViolationKind
    request_id: str
    detail: str


class Write(typing.NamedTuple):
    """A write that is about to be sent.

    Attributes
    ----------
    request_id : str
    organisation, session : str
        Organisation and session of the request; the session is empty for requests
        without one.
    household : str
        Household whose register is set; empty for an insert.
    value : int
        Number that the register is set to.
    tag : str
        Tag that is inserted; empty for a register.
    """

    request_id: str
    organisation: str
    session: str
    household: str = ""
    value: int = 0
    tag: str = ""


class Read(typing.NamedTuple):
    """One attempt of a read; `sent_s` is the time at which it was sent."""

    request_id: str
    organisation: str
    session: str
    sent_s: float
    max_age_s: float | None = None


class Row(typing.NamedTuple):
    """A row of an answer; columns that the statement does not return are None."""

    request_id: str | None
    organisation: str | None
    household: str | None
    value: int | None


class _RunningMaximum:
    """The highest acknowledged number of a register as a function of time."""

    def __init__(self):
        self._times_s: list[float] = []
        self._values: list[int] = []

    def record(self, value: int, now_s: float) -> None:
        if self._values and value <= self._values[-1]:
            return
        self._times_s.append(now_s)
        self._values.append(value)

    def get(self, before_s: float) -> int:
        """Return the highest number acknowledged before a time; 0 without any."""
        position = bisect.bisect_left(self._times_s, before_s)
        return self._values[position - 1] if position else 0


class _Register:
    """Numbers sent to the register of one household, and those acknowledged.

    `sent` maps each number to its request id.
    """

    def __init__(self, organisation: str):
        self.organisation = organisation
        self.sent: dict[int, str] = {}
        self.acknowledged = _RunningMaximum()
        self.acknowledged_by_session: dict[str, _RunningMaximum] = (
            collections.defaultdict(_RunningMaximum)
        )


class _WriteAttempts:
    """Combined outcome of the attempts of one write."""

    def __init__(self, write: Write):
        self.write = write
        self.is_acknowledged = False
        self.may_have_run = False
        self.open_attempts = 0

    @property
    def is_not_run(self) -> bool:
        """Whether every attempt has ended with the verdict not run."""
        return not (self.is_acknowledged or self.may_have_run or self.open_attempts)


class ConsistencyChecker:
    """Records what was sent and answered, and detects violations.

    Notes
    -----
    All times must be readings of the same monotonic clock in seconds.
    """

    def __init__(self):
        self.violations: list[Violation] = []
        self._registers: dict[str, _Register] = {}
        self._attempts: dict[str, _WriteAttempts] = {}
        self._tags: dict[str, str] = {}
        self._seen_values: set[tuple[str, int]] = set()

    def start_attempt(self, write: Write) -> None:
        """Record that an attempt of a write is about to be sent."""
        if write.request_id not in self._attempts:
            self._attempts[write.request_id] = _WriteAttempts(write)
            self._add_sent(write)
        self._attempts[write.request_id].open_attempts += 1

    def _add_sent(self, write: Write) -> None:
        if write.tag:
            self._tags[write.tag] = write.request_id
            return
        register = self._registers.setdefault(
            write.household, _Register(write.organisation)
        )
        register.sent[write.value] = write.request_id

    def acknowledge(self, request_id: str, now_s: float) -> None:
        """Record that an attempt was acknowledged."""
        attempts = self._attempts[request_id]
        attempts.open_attempts -= 1
        attempts.is_acknowledged = True
        write = attempts.write
        if write.tag:
            return
        register = self._registers[write.household]
        register.acknowledged.record(write.value, now_s)
        register.acknowledged_by_session[write.session].record(write.value, now_s)

    def record_failure(self, request_id: str, verdict: verdicts.Verdict) -> None:
        """Record that an attempt failed or that its answer was lost."""
        attempts = self._attempts[request_id]
        attempts.open_attempts -= 1
        if verdict is verdicts.Verdict.MAY_HAVE_RUN:
            attempts.may_have_run = True

    def check_read(self, read: Read, rows: typing.Sequence[Row]) -> None:
        """Check the rows of the answer to a read."""
        for row in rows:
            if row.request_id != read.request_id:
                detail = f"the answer has the request id {row.request_id}"
                self._add_violation(
                    ViolationKind.CROSSED_ANSWER, read.request_id, detail
                )
            elif row.organisation not in (None, read.organisation):
                detail = f"the answer has a row of {row.organisation}"
                self._add_violation(
                    ViolationKind.FOREIGN_ANSWER, read.request_id, detail
                )
            elif row.household is not None:
                self._check_value(read, row.household, row.value or 0)

    def check_row_count(
        self, request_id: str, expected: int, rows: typing.Sequence[Row]
    ) -> None:
        """Check that an answer has the expected number of rows."""
        if len(rows) != expected:
            detail = f"{len(rows)} rows instead of {expected}"
            self._add_violation(ViolationKind.CROSSED_ANSWER, request_id, detail)

    def _check_value(self, read: Read, household: str, value: int) -> None:
        register = self._registers.get(household)
        if register is None:
            if value:
                detail = f"{household} was never written"
                self._add_violation(
                    ViolationKind.CROSSED_ANSWER, read.request_id, detail
                )
            return
        self._check_origin(read, household, value, register)
        if read.max_age_s is not None:
            before_s = read.sent_s - read.max_age_s
            minimum = register.acknowledged.get(before_s)
            kind = ViolationKind.STALE_AGED_READ
            self._check_minimum(kind, read, household, value, minimum)
            return
        own_minimum = (
            register.acknowledged_by_session[read.session].get(read.sent_s)
            if read.session
            else 0
        )
        kind = ViolationKind.STALE_HOUSEHOLD_READ
        if self._check_minimum(kind, read, household, value, own_minimum):
            minimum = register.acknowledged.get(read.sent_s)
            kind = ViolationKind.STALE_ORGANISATION_READ
            self._check_minimum(kind, read, household, value, minimum)

    def _check_origin(
        self, read: Read, household: str, value: int, register: _Register
    ) -> None:
        if register.organisation != read.organisation:
            detail = f"{household} belongs to {register.organisation}"
            self._add_violation(ViolationKind.FOREIGN_ANSWER, read.request_id, detail)
        elif value and value not in register.sent:
            detail = f"{household}={value} was never sent"
            self._add_violation(ViolationKind.CROSSED_ANSWER, read.request_id, detail)
        elif value:
            self._seen_values.add((household, value))

    def _check_minimum(
        self, kind: ViolationKind, read: Read, household: str, value: int, minimum: int
    ) -> bool:
        if value >= minimum:
            return True
        detail = f"{household}={value} instead of at least {minimum}"
        self._add_violation(kind, read.request_id, detail)
        return False

    def audit_registers(self, organisation: str, values: dict[str, int]) -> None:
        """Check the registers of an organisation after the traffic.

        Parameters
        ----------
        organisation : str
        values : dict of int
            Number in the register of each household.
        """
        for household, register in self._registers.items():
            if register.organisation != organisation:
                continue
            value = values.get(household, 0)
            self._seen_values.add((household, value))
            minimum = register.acknowledged.get(float("inf"))
            if value < minimum:
                detail = f"{household}={value} instead of at least {minimum}"
                self._add_violation(
                    ViolationKind.LOST_WRITE, register.sent[minimum], detail
                )

    def audit_tags(self, organisation: str, counts: dict[str, int]) -> None:
        """Check the tags of an organisation after the traffic.

        Parameters
        ----------
        organisation : str
        counts : dict of int
            Number of rows with each tag.
        """
        for tag, request_id in self._tags.items():
            attempts = self._attempts[request_id]
            if attempts.write.organisation == organisation:
                self._audit_tag(attempts, counts.get(tag, 0))

    def _audit_tag(self, attempts: _WriteAttempts, count: int) -> None:
        write = attempts.write
        detail = f"{write.tag} was found {count} times"
        if count > 1:
            self._add_violation(ViolationKind.DOUBLED_RUN, write.request_id, detail)
        if count and attempts.is_not_run:
            self._add_violation(ViolationKind.FALSE_NOT_RUN, write.request_id, detail)
        if not count and attempts.is_acknowledged:
            self._add_violation(ViolationKind.LOST_WRITE, write.request_id, detail)

    def finish(self) -> list[Violation]:
        """Check the values of writes answered as not run, and return all violations.

        Such a value must not have been read, nor be in a final register.
        """
        for household, value in sorted(self._seen_values):
            register = self._registers.get(household)
            request_id = register.sent.get(value) if register else None
            if request_id and self._attempts[request_id].is_not_run:
                detail = f"{household}={value} was seen"
                self._add_violation(ViolationKind.FALSE_NOT_RUN, request_id, detail)
        self._seen_values.clear()
        return self.violations

    def _add_violation(self, kind: ViolationKind, request_id: str, detail: str) -> None:
        self.violations.append(Violation(kind, request_id, detail))
