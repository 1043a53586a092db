"""A model of the truth, against which every answer is checked.

Each household has a register that its organisation sets to increasing numbers,
and each request that may not be repeated inserts a row with a tag of its own.
"""

import bisect
import collections
import enum
import typing

from sedgeswitch import verdicts


class ViolationKind(enum.Enum):
    """What an answer or the final state shows to be wrong."""

    LOST_WRITE = "lost_write"
    DOUBLED_RUN = "doubled_run"
    STALE_HOUSEHOLD_READ = "stale_household_read"
    STALE_ORGANISATION_READ = "stale_organisation_read"
    STALE_AGED_READ = "stale_aged_read"
    CROSSED_ANSWER = "crossed_answer"
    FOREIGN_ANSWER = "foreign_answer"
    FALSE_NOT_RUN = "false_not_run"


class Violation(typing.NamedTuple):
    """A broken promise."""

    kind: ViolationKind
    request_id: str
    detail: str


class Write(typing.NamedTuple):
    """A write that is about to be sent.

    Attributes
    ----------
    request_id : str
    organisation, session : str
        Who writes; the session is empty for the organisation itself.
    household : str
        The register that is set; empty for an insert.
    value : int
        The number that the register is set to.
    tag : str
        The tag that is inserted; empty for a register.
    """

    request_id: str
    organisation: str
    session: str
    household: str = ""
    value: int = 0
    tag: str = ""


class Read(typing.NamedTuple):
    """An attempt of a read, with the time at which it was sent."""

    request_id: str
    organisation: str
    session: str
    sent_s: float
    max_age_s: float | None = None


class Row(typing.NamedTuple):
    """A row of an answer; None where the statement returns no such column."""

    request_id: str | None
    organisation: str | None
    household: str | None
    value: int | None


class _Floor:
    """The highest acknowledged number over time."""

    def __init__(self):
        self._times_s: list[float] = []
        self._values: list[int] = []

    def raise_to(self, value: int, now_s: float) -> None:
        if self._values and value <= self._values[-1]:
            return
        self._times_s.append(now_s)
        self._values.append(value)

    def get(self, before_s: float) -> int:
        position = bisect.bisect_left(self._times_s, before_s)
        return self._values[position - 1] if position else 0


class _Register:
    """What is known about the register of one household."""

    def __init__(self, organisation: str):
        self.organisation = organisation
        self.sent: dict[int, str] = {}
        self.acknowledged = _Floor()
        self.by_session: dict[str, _Floor] = collections.defaultdict(_Floor)


class _Outcome:
    """The outcomes of the attempts of one write."""

    def __init__(self, write: Write):
        self.write = write
        self.is_acknowledged = False
        self.may_have_run = False
        self.open_attempts = 0

    @property
    def is_not_run(self) -> bool:
        """Whether every attempt was answered as not run."""
        return not (self.is_acknowledged or self.may_have_run or self.open_attempts)


class Truth:
    """Collects what was sent and answered, and the violations.

    Notes
    -----
    Times are given by the caller, from one clock.
    """

    def __init__(self):
        self.violations: list[Violation] = []
        self._registers: dict[str, _Register] = {}
        self._outcomes: dict[str, _Outcome] = {}
        self._tags: dict[str, str] = {}
        self._seen_values: set[tuple[str, int]] = set()

    def start_attempt(self, write: Write) -> None:
        """Take note that an attempt of a write is about to be sent."""
        if write.request_id not in self._outcomes:
            self._outcomes[write.request_id] = _Outcome(write)
            self._add_sent(write)
        self._outcomes[write.request_id].open_attempts += 1

    def _add_sent(self, write: Write) -> None:
        if write.tag:
            self._tags[write.tag] = write.request_id
            return
        register = self._registers.setdefault(
            write.household, _Register(write.organisation)
        )
        register.sent[write.value] = write.request_id

    def acknowledge(self, request_id: str, now_s: float) -> None:
        """Take note that an attempt was answered as done."""
        outcome = self._outcomes[request_id]
        outcome.open_attempts -= 1
        outcome.is_acknowledged = True
        write = outcome.write
        if write.tag:
            return
        register = self._registers[write.household]
        register.acknowledged.raise_to(write.value, now_s)
        register.by_session[write.session].raise_to(write.value, now_s)

    def refuse(self, request_id: str, verdict: verdicts.Verdict) -> None:
        """Take note that an attempt was refused, or its answer lost."""
        outcome = self._outcomes[request_id]
        outcome.open_attempts -= 1
        if verdict is verdicts.Verdict.MAY_HAVE_RUN:
            outcome.may_have_run = True

    def check_read(self, read: Read, rows: typing.Sequence[Row]) -> None:
        """Check the rows that a read was answered with."""
        for row in rows:
            if row.request_id != read.request_id:
                detail = f"the answer is for {row.request_id}"
                self._add(ViolationKind.CROSSED_ANSWER, read.request_id, detail)
            elif row.organisation not in (None, read.organisation):
                detail = f"a row of {row.organisation}"
                self._add(ViolationKind.FOREIGN_ANSWER, read.request_id, detail)
            elif row.household is not None:
                self._check_value(read, row.household, row.value or 0)

    def check_row_count(
        self, request_id: str, expected: int, rows: typing.Sequence[Row]
    ) -> None:
        """Check that an answer has as many rows as its statement returns."""
        if len(rows) != expected:
            detail = f"{len(rows)} rows instead of {expected}"
            self._add(ViolationKind.CROSSED_ANSWER, request_id, detail)

    def _check_value(self, read: Read, household: str, value: int) -> None:
        register = self._registers.get(household)
        if register is None:
            if value:
                detail = f"{household} was never written"
                self._add(ViolationKind.CROSSED_ANSWER, read.request_id, detail)
            return
        self._check_origin(read, household, value, register)
        if read.max_age_s is not None:
            before_s = read.sent_s - read.max_age_s
            least = register.acknowledged.get(before_s)
            kind = ViolationKind.STALE_AGED_READ
            self._check_floor(kind, read, household, value, least)
            return
        own = register.by_session[read.session].get(read.sent_s) if read.session else 0
        kind = ViolationKind.STALE_HOUSEHOLD_READ
        if self._check_floor(kind, read, household, value, own):
            least = register.acknowledged.get(read.sent_s)
            kind = ViolationKind.STALE_ORGANISATION_READ
            self._check_floor(kind, read, household, value, least)

    def _check_origin(
        self, read: Read, household: str, value: int, register: _Register
    ) -> None:
        if register.organisation != read.organisation:
            detail = f"{household} is of {register.organisation}"
            self._add(ViolationKind.FOREIGN_ANSWER, read.request_id, detail)
        elif value and value not in register.sent:
            detail = f"{household}={value} was never sent"
            self._add(ViolationKind.CROSSED_ANSWER, read.request_id, detail)
        elif value:
            self._seen_values.add((household, value))

    def _check_floor(
        self, kind: ViolationKind, read: Read, household: str, value: int, least: int
    ) -> bool:
        if value >= least:
            return True
        detail = f"{household}={value} instead of at least {least}"
        self._add(kind, read.request_id, detail)
        return False

    def audit_registers(self, organisation: str, values: dict[str, int]) -> None:
        """Check the final registers of an organisation.

        Parameters
        ----------
        organisation : str
        values : dict of int
            The number of each household's register.
        """
        for household, register in self._registers.items():
            if register.organisation != organisation:
                continue
            value = values.get(household, 0)
            self._seen_values.add((household, value))
            least = register.acknowledged.get(float("inf"))
            if value < least:
                detail = f"{household}={value} instead of at least {least}"
                self._add(ViolationKind.LOST_WRITE, register.sent[least], detail)

    def audit_tags(self, organisation: str, counts: dict[str, int]) -> None:
        """Check the final tags of an organisation.

        Parameters
        ----------
        organisation : str
        counts : dict of int
            How often each tag was inserted.
        """
        for tag, request_id in self._tags.items():
            outcome = self._outcomes[request_id]
            if outcome.write.organisation == organisation:
                self._audit_tag(outcome, counts.get(tag, 0))

    def _audit_tag(self, outcome: _Outcome, count: int) -> None:
        write = outcome.write
        detail = f"{write.tag} is there {count} times"
        if count > 1:
            self._add(ViolationKind.DOUBLED_RUN, write.request_id, detail)
        if count and outcome.is_not_run:
            self._add(ViolationKind.FALSE_NOT_RUN, write.request_id, detail)
        if not count and outcome.is_acknowledged:
            self._add(ViolationKind.LOST_WRITE, write.request_id, detail)

    def finish(self) -> list[Violation]:
        """Check the refused writes of registers and return all violations."""
        for household, value in sorted(self._seen_values):
            register = self._registers.get(household)
            request_id = register.sent.get(value) if register else None
            if request_id and self._outcomes[request_id].is_not_run:
                detail = f"{household}={value} was seen"
                self._add(ViolationKind.FALSE_NOT_RUN, request_id, detail)
        self._seen_values.clear()
        return self.violations

    def _add(self, kind: ViolationKind, request_id: str, detail: str) -> None:
        self.violations.append(Violation(kind, request_id, detail))
