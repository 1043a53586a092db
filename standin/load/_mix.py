"""The mix of work and the organisations, read from JSON files."""

import enum
import pathlib

import msgspec

from sedgeswitch.utils import checks


class Effect(enum.Enum):
    """What a work does, and so how its answer is checked."""

    READ_REGISTER = "read_register"
    READ_ROWS = "read_rows"
    SET_REGISTER = "set_register"
    INSERT_TAG = "insert_tag"


class Access(enum.Enum):
    """Whether a work reads or writes."""

    READ = "read"
    WRITE = "write"


class Parameter(enum.Enum):
    """A value that the tool fills in for a parameter of a statement."""

    REQUEST_ID = "request_id"
    RUN = "run"
    ORGANISATION = "organisation"
    HOUSEHOLD = "household"
    VALUE = "value"
    TAG = "tag"
    AFTER = "after"


class Work(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of work.

    Attributes
    ----------
    name : str
        Name that selectors see.
    access : Access
    effect : Effect
    sql : str
        Statement with ``$1`` parameters.
    parameters : tuple of Parameter
        What fills the parameters, in order.
    share : float
        Weight among the works of the mix.
    is_repeatable : bool
        Whether a request that may have run may be sent again freely.
    max_age_ms, deadline_ms : int or None
        Sent with the request if given.
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
    """What an audit returns: a household and value, or a tag and count."""

    REGISTERS = "registers"
    TAGS = "tags"


class Audit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A statement that returns the final state of one organisation in pages.

    Its first column is compared with the parameter ``after`` of the next page.
    """

    kind: AuditKind
    sql: str
    parameters: tuple[Parameter, ...]


class Mix(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The mix of work of one user.

    Attributes
    ----------
    schema : tuple of str
        Statements that create the tables, each repeatable.
    schema_work, audit_work : str
        Names of the work that the schema and the audits run as.
    households : int
        Households of each organisation.
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
        Key that it shows.
    groups : tuple of str
        Database groups that its households are spread over.
    rate_per_s, burst : float
        What it may send.
    share : float
        Weight among the organisations.
    works : tuple of str
        Names of the works that it sends; empty for all.
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
    """Return the mix of a file.

    Raises
    ------
    msgspec.ValidationError
        If the file does not hold a mix.
    sedgeswitch.utils.checks.CheckError
        If a share or count is out of range.
    """
    mix = msgspec.json.decode(path.read_bytes(), type=Mix)
    checks.check_range("households", mix.households, 1)
    for work in mix.works:
        checks.check_range(f"works.{work.name}.share", work.share, 0)
    return mix


def load_organisations(path: pathlib.Path) -> tuple[Organisation, ...]:
    """Return the organisations of a file.

    Raises
    ------
    msgspec.ValidationError
        If the file does not hold organisations.
    sedgeswitch.utils.checks.CheckError
        If a rate, burst or share is out of range.
    """
    found = msgspec.json.decode(path.read_bytes(), type=tuple[Organisation, ...])
    for entry in found:
        field = f"organisations.{entry.organisation}"
        checks.check_range(f"{field}.rate_per_s", entry.rate_per_s, 0)
        checks.check_range(f"{field}.burst", entry.burst, 0)
        checks.check_range(f"{field}.share", entry.share, 0)
        checks.check_range(f"{field}.groups", len(entry.groups), 1)
    return found
