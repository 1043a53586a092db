"""Parses the SQL of clients and translates it for SQLite.

The supported dialect is the common subset of SQLite and PostgreSQL.  Parameters,
casts and a few functions are translated; row locks such as ``FOR UPDATE`` and
comments are removed.
"""

import enum
import functools
import re
import typing

BOOLEAN_TRUE = "1::boolean"
BOOLEAN_FALSE = "0::boolean"
"""SQLite has no booleans.  It converts these texts to 1 and 0 in conditions, and
`format_value` returns them to clients as ``t`` and ``f``."""

_PARAMETER_PREFIX = "p"
_INTEGER_TYPES = "bigint|integer|int8|int4|int|smallint"
_TIME_TYPES = "timestamptz|interval"
_TOKENS = re.compile(
    rf"""
    (?P<text>'(?:[^']|'')*')
  | (?P<name>"(?:[^"]|"")*")
  | (?P<comment>--[^\n]*|/\*.*?\*/)
  | (?P<parameter>\$(?P<number>\d+)(?:
      (?P<integer>::(?:{_INTEGER_TYPES})\b) | (?P<time>::(?:{_TIME_TYPES})\b))?)
  | (?P<cast>::\s*[a-z_][a-z_0-9]*(?:\[\])?)
  | (?P<checkpoint>\bpg_control_checkpoint\(\s*\))
  | (?P<lock>\bfor\s+(?:update|share)\b(?:\s+(?:nowait|skip\s+locked))?)
  | (?P<end>;)
    """,
    re.VERBOSE | re.DOTALL | re.IGNORECASE,
)
_CHECKPOINT_TABLE = "(SELECT standin_timeline() AS timeline_id)"
_TAG_COMMENT = re.compile(r"^\s*/\*\s*id=(?P<id>\S+)\s*\*/")
_STATUS_FUNCTIONS = re.compile(
    r"\bpg_(is_in_recovery|current_wal_lsn|last_wal_replay_lsn|control_checkpoint"
    r"|backend_pid|wal_lsn_diff)\b|\bclock_timestamp\b",
    re.IGNORECASE,
)
_WRITE_KEYWORDS = re.compile(r"\b(insert|update|delete|replace)\b", re.IGNORECASE)
_FROM_KEYWORD = re.compile(r"\bfrom\b(?!\s*\(SELECT standin_timeline)", re.IGNORECASE)
_PROMOTE = re.compile(r"^select\s+pg_promote\s*\(\s*\)", re.IGNORECASE)


class Kind(enum.Enum):
    """How a statement is executed.

    STATUS is a query of status functions that reads no table; it runs without a
    slot.
    """

    READ = "read"
    STATUS = "status"
    WRITE = "write"
    PROMOTE = "promote"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    RESET = "reset"
    SHOW = "show"
    UNSUPPORTED = "unsupported"


_KINDS = {
    "select": Kind.READ,
    "values": Kind.READ,
    "explain": Kind.READ,
    "with": Kind.READ,
    "insert": Kind.WRITE,
    "update": Kind.WRITE,
    "delete": Kind.WRITE,
    "create": Kind.WRITE,
    "drop": Kind.WRITE,
    "alter": Kind.WRITE,
    "begin": Kind.BEGIN,
    "start": Kind.BEGIN,
    "commit": Kind.COMMIT,
    "end": Kind.COMMIT,
    "rollback": Kind.ROLLBACK,
    "abort": Kind.ROLLBACK,
    "set": Kind.SET,
    "reset": Kind.RESET,
    "discard": Kind.RESET,
    "show": Kind.SHOW,
}


class Statement(typing.NamedTuple):
    """One statement of a client.

    Attributes
    ----------
    sql : str
        The statement as the client sent it.
    translated : str
        The statement for SQLite, without comments.
    kind : Kind
        How it is executed.
    verb : str
        Its first word, in upper case; empty for an empty statement.
    tag : str or None
        The id in a leading comment ``/* id=... */``.
    parameter_count : int
        The highest parameter number, 0 without parameters.
    """

    sql: str
    translated: str
    kind: Kind
    verb: str
    tag: str | None
    parameter_count: int


def split_statements(sql: str) -> list[str]:
    """Return the non-empty statements of a simple query."""
    statements = []
    start = 0
    for token in _TOKENS.finditer(sql):
        if token.lastgroup == "end":
            statements.append(sql[start : token.start()])
            start = token.end()
    statements.append(sql[start:])
    return [statement for statement in statements if parse_statement(statement).verb]


@functools.lru_cache(maxsize=1024)
def parse_statement(sql: str) -> Statement:
    """Return the parsed and translated statement."""
    translated = _TOKENS.sub(_translate_token, sql).strip()
    words = translated.split(None, 1)
    verb = words[0].upper() if words else ""
    tag = _TAG_COMMENT.match(sql)
    numbers = [int(token["number"] or 0) for token in _TOKENS.finditer(sql)]
    return Statement(
        sql=sql,
        translated=translated,
        kind=_get_kind(verb, translated, sql),
        verb=verb,
        tag=tag["id"] if tag else None,
        parameter_count=max(numbers, default=0),
    )


def _translate_token(token: re.Match) -> str:
    match token.lastgroup:
        case "text" | "name":
            return token[0]
        case "parameter":
            name = f":{_PARAMETER_PREFIX}{token['number']}"
            if token["time"]:
                return f"CAST({name} AS REAL)"
            return f"CAST({name} AS INTEGER)" if token["integer"] else name
        case "checkpoint":
            return _CHECKPOINT_TABLE
        case "comment":
            return " "
    return ""


def _get_kind(verb: str, translated: str, sql: str) -> Kind:
    kind = _KINDS.get(verb.lower(), Kind.UNSUPPORTED)
    if kind is not Kind.READ:
        return kind
    if _PROMOTE.match(translated):
        return Kind.PROMOTE
    if verb == "WITH" and _WRITE_KEYWORDS.search(translated):
        return Kind.WRITE
    if any(token.lastgroup == "lock" for token in _TOKENS.finditer(sql)):
        return Kind.WRITE
    if _STATUS_FUNCTIONS.search(translated) or "standin_timeline" in translated:
        return Kind.READ if _FROM_KEYWORD.search(translated) else Kind.STATUS
    return kind


def build_bindings(values: typing.Sequence[str | None]) -> dict[str, str | None]:
    """Return parameter values by their names in the translated statement."""
    return {
        f"{_PARAMETER_PREFIX}{number}": value
        for number, value in enumerate(values, start=1)
    }


def format_value(value: object) -> str | None:
    """Return the PostgreSQL text of a value of SQLite; None for NULL."""
    if value is None:
        return None
    if value == BOOLEAN_TRUE:
        return "t"
    if value == BOOLEAN_FALSE:
        return "f"
    if isinstance(value, bytes):
        return "\\x" + value.hex()
    return str(value)


def format_column(name: str) -> str:
    """Return the name of a result column.

    SQLite names the column of a function call by its text, such as
    ``pg_backend_pid()``; PostgreSQL by the name of the function.
    """
    return name.split("(", 1)[0].strip() if name.endswith(")") else name
