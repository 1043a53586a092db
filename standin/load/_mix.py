"""The mix of work and the organisations, read from JSON files.

A work is a kind of statement; its name is what selectors match.
"""

import enum
import pathlib

import msgspec

from sedgeswitch.utils import checks


class Effect(enum.Enum):
    """Effect of a work, which determines how its answer is checked.

    Each household has one register, which holds a number; a tag is a unique text in
    an inserted row.
    """

    READ_REGISTER = "read_register"
    READ_ROWS = "read_rows"
    SET_REGISTER = "set_register"
    INSERT_TAG = "insert_tag"


class Access(enum.Enum):
    """Whether a work reads or writes."""

    READ = "read"
    WRITE = "write"


class Parameter(enum.Enum):
    """Name of a value that the load tool passes as a parameter of a statement."""

    REQUEST_ID = "request_id"
    RUN = "run"
    ORGANISATION = "organisation"
    HOUSEHOLD = "household"
    VALUE = "value"
    TAG = "tag"
    AFTER = "after"


class Work(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of statement.

    Attributes
    ----------
    name : str
        Name that selectors match.
    access : Access
    effect : Effect
    sql : str
        Statement with ``$1`` parameters.
    parameters : tuple of Parameter
        Values of the parameters, in order.
    share : float
        Relative frequency among the works of the mix.
    is_repeatable : bool
        Whether the request is idempotent, so that it may be retried even if an
        earlier attempt may have run.
    max_age_ms, deadline_ms : int or None
        Sent with the request unless None.
    """

    name: str
    access: Access
    effect: Effect
    sql: str
    parameters: tuple[Parameter, ...]
    share: float
    is_repeatable: bool = True
    max_age_ms: int | None = None
    deadline_ms: int | None = None


class AuditKind(enum.Enum):
    """Rows that an audit returns.

    Attributes
    ----------
    REGISTERS
        A household and the number of its register.
    TAGS
        A tag and the number of rows that hold it.
    """

    REGISTERS = "registers"
    TAGS = "tags"


class Audit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A statement that reads the final state of one organisation in pages.

    The first column of the last row of a page becomes the parameter ``after`` of
    the next page; an empty page ends the audit.
    """

    kind: AuditKind
    sql: str
    parameters: tuple[Parameter, ...]


class Mix(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The kinds of statements of a load test, and how its data are set up.

    Attributes
    ----------
    schema : tuple of str
        Idempotent statements that create the tables.
    schema_work, audit_work : str
        Names of the work under which the schema statements and audits are sent.
    households : int
        Number of households of each organisation.
    works : tuple of Work
    audits : tuple of Audit
    """

    schema: tuple[str, ...]
    schema_work: str
    audit_work: str
    households: int
    works: tuple[Work, ...]
    audits: tuple[Audit, ...]


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An organisation that sends requests.

    Attributes
    ----------
    organisation : str
    key : str
        API key that it sends.
    groups : tuple of str
        Groups of backend servers over which its households are distributed.
    rate_per_s, burst : float
        Rate limit in statements per second, and capacity of its token bucket.
    share : float
        Relative frequency among the organisations.
    works : tuple of str
        Names of the works that it sends; all if empty.
    """

    organisation: str
    key: str
    groups: tuple[str, ...]
    rate_per_s: float
    burst: float
    share: float = 1.0
    works: tuple[str, ...] = ()

    def get_works(self, mix: Mix) -> list[Work]:
        """Return the works of a mix that the organisation sends."""
        return [work for work in mix.works if not self.works or work.name in self.works]


def load_mix(path: pathlib.Path) -> Mix:
    """Return the mix that a JSON file holds.

    Raises
    ------
    msgspec.ValidationError
        If the file does not match the schema of a mix.
    sedgeswitch.utils.checks.CheckError
        If a share or count is out of range.
    """
    mix = msgspec.json.decode(path.read_bytes(), type=Mix)
    checks.check_range("households", mix.households, 1)
    for work in mix.works:
        checks.check_range(f"works.{work.name}.share", work.share, 0)
    return mix


def load_organisations(path: pathlib.Path) -> tuple[Organisation, ...]:
    """Return the organisations that a JSON file holds.

    Raises
    ------
    msgspec.ValidationError
        If the file does not match the schema of a list of organisations.
    sedgeswitch.utils.checks.CheckError
        If a rate, burst or share is out of range, or an organisation has no group.
    """
    organisations = msgspec.json.decode(
        path.read_bytes(), type=tuple[Organisation, ...]
    )
    for entry in organisations:
        field = f"organisations.{entry.organisation}"
        checks.check_range(f"{field}.rate_per_s", entry.rate_per_s, 0)
        checks.check_range(f"{field}.burst", entry.burst, 0)
        checks.check_range(f"{field}.share", entry.share, 0)
        checks.check_range(f"{field}.groups", len(entry.groups), 1)
    return organisations
