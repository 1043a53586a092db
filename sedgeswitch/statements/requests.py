"""Decoding and validation of statement requests."""

import re
import typing

import msgspec

from sedgeswitch import verdicts
from sedgeswitch.callers import http
from sedgeswitch.groups import positions
from sedgeswitch.sessions import tokens

READ = "read"
WRITE = "write"

IDEMPOTENCY_HEADER = "idempotency-key"
SESSION_HEADER = "sedge-session"
POSITION_HEADER = "sedge-position"
MAX_HEADER_VALUE_LENGTH = 256
# Statements that control transactions are refused: the proxy begins and ends the
# transaction of a statement.
_TRANSACTION_KEYWORDS = frozenset(
    [
        "abort",
        "begin",
        "commit",
        "end",
        "prepare",
        "release",
        "rollback",
        "savepoint",
        "start",
    ]
)

# Statements that start with any other keyword may leave settings, locks or temporary
# tables on the connection.
_STATELESS_KEYWORDS = frozenset(
    ["delete", "insert", "select", "update", "values", "with"]
)
# Text that the server ignores before a statement: blanks, empty statements and `--`
# comments. `/*` comments may be nested, so that no regular expression finds their end.
_IGNORED_PREFIX = re.compile(r"(?:[\s;]|--[^\r\n]*)+")
_COMMENT_DELIMITER = re.compile(r"/\*|\*/")
_WORD = re.compile(r"[A-Za-z_]*")
_NUL = "\0"

_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
_Sql = typing.Annotated[str, msgspec.Meta(min_length=1)]
_Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]
_Deadline = typing.Annotated[int, msgspec.Meta(ge=1, le=600_000)]


class _Body(typing.TypedDict, total=False):
    group: typing.Required[_Name]
    work: typing.Required[_Name]
    access: typing.Required[typing.Literal["read", "write"]]
    sql: typing.Required[_Sql]
    parameters: list[str | int | float | bool | None]
    max_age_ms: _Milliseconds | None
    deadline_ms: _Deadline


_FIELDS = frozenset(_Body.__annotations__)


class Statement(typing.NamedTuple):
    """One statement of a caller.

    Attributes
    ----------
    group : str
        Database group on which the statement runs.
    work : str
        Kind of work, which selectors match.
    access : str
        ``read`` or ``write``.
    sql : str
    parameters : tuple of str or None
    max_age_ms : int or None
        Maximum age of the data of a read, in milliseconds; None for any age, as long
        as the read sees the caller's own writes.
    deadline_s : float
        Deadline of the request on trio's clock, in seconds.
    session : str
        Name of the session, such as the household on whose behalf the caller acts;
        empty for the organisation itself.
    seen_positions : dict of str to positions.Position
        Log positions that earlier answers returned to the caller, by group.
    idempotency_key : str
        Not empty for a write that must not run twice.
    traceparent : str
        W3C trace header; may be empty.
    """

    group: str
    work: str
    access: str
    sql: str
    parameters: tuple[str | None, ...]
    max_age_ms: int | None
    deadline_s: float
    session: str
    seen_positions: dict[str, positions.Position]
    idempotency_key: str
    traceparent: str


class Answer(typing.NamedTuple):
    """The result of a statement.

    Attributes
    ----------
    columns : tuple of str
    rows : list of tuple
    status : str
        Command tag of the server.
    instance : str
        Instance id of the backend server that ran the statement.
    replica : bool
        Whether the backend server was a replica.
    """

    columns: tuple[str, ...]
    rows: list[tuple[str | None, ...]]
    status: str
    instance: str
    replica: bool


def build_bad_request(detail: str) -> verdicts.RefusedError:
    """Return the refusal, 400, of a malformed request."""
    return verdicts.build_not_run(400, "bad_request", detail)


def decode_fields(body: bytes, fields: frozenset[str], body_type: type) -> typing.Any:
    """Return the JSON object that `body` holds, checked against a TypedDict.

    Raises
    ------
    verdicts.RefusedError
        400, with a detail that names the field and the allowed values.
    """
    try:
        decoded_body = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise build_bad_request(f"body: expected JSON, {error}") from error
    if not isinstance(decoded_body, dict):
        raise build_bad_request("body: expected a JSON object")
    unknown = decoded_body.keys() - fields
    if unknown:
        allowed = ", ".join(sorted(fields))
        raise build_bad_request(f"{min(unknown)}: expected one of the fields {allowed}")
    try:
        return msgspec.convert(decoded_body, body_type)
    except msgspec.ValidationError as error:
        raise build_bad_request(f"body: {error}") from error


def build_statement(
    request: http.Request, default_deadline_ms: int, now_s: float
) -> Statement:
    """Return the statement that an HTTP request contains.

    Parameters
    ----------
    request : http.Request
    default_deadline_ms : int
        Deadline of requests without the field ``deadline_ms``.
    now_s : float
        Time of trio's clock at which the request arrived.

    Raises
    ------
    verdicts.RefusedError
        400 if the request is malformed.
    """
    body = decode_fields(request.body, _FIELDS, _Body)
    idempotency_key = _get_header(request, IDEMPOTENCY_HEADER)
    if idempotency_key and body["access"] == READ:
        raise build_bad_request("idempotency-key: expected only with access 'write'")
    check_sql(body["sql"])
    deadline_ms = body.get("deadline_ms", default_deadline_ms)
    return Statement(
        group=body["group"],
        work=body["work"],
        access=body["access"],
        sql=body["sql"],
        parameters=encode_parameters(body.get("parameters", [])),
        max_age_ms=body.get("max_age_ms"),
        deadline_s=now_s + deadline_ms / 1000,
        session=get_session(request),
        seen_positions=decode_position_token(request),
        idempotency_key=idempotency_key,
        traceparent=request.headers.get("traceparent", ""),
    )


def check_sql(sql: str) -> str:
    """Return `sql` unchanged if it may run in a transaction of the proxy.

    Raises
    ------
    verdicts.RefusedError
        400 if it is empty, contains a NUL character, or would begin, end or subdivide
        a transaction.
    """
    if _NUL in sql:
        raise build_bad_request("sql: expected no NUL character")
    command = _skip_comments(sql)
    first_word = _WORD.match(command).group().lower()
    if not command or first_word in _TRANSACTION_KEYWORDS:
        raise build_bad_request(
            f"sql: expected no transaction control, got {sql[:40]!r}"
        )
    return sql


def may_leave_state(sql: str) -> bool:
    """Return whether a statement may change the state of its database session."""
    return _WORD.match(_skip_comments(sql)).group().lower() not in _STATELESS_KEYWORDS


def decode_position_token(request: http.Request) -> dict[str, positions.Position]:
    """Return the log positions of a request's position token, by group.

    Raises
    ------
    verdicts.RefusedError
        400 if the header is not a valid position token.
    """
    token = request.headers.get(POSITION_HEADER)
    if not token:
        return {}
    decoded = tokens.decode_token(token)
    if decoded.is_error():
        raise build_bad_request(f"{POSITION_HEADER}: {decoded.error}")
    return decoded.ok


def get_session(request: http.Request) -> str:
    """Return the session that a request names, empty if it names none."""
    return _get_header(request, SESSION_HEADER)


def encode_parameters(
    parameters: list[str | int | float | bool | None],
) -> tuple[str | None, ...]:
    """Return parameters in PostgreSQL's text form.

    Raises
    ------
    verdicts.RefusedError
        400 for a NUL character, at which the server would truncate the text.
    """
    return tuple(_encode_parameter(parameter) for parameter in parameters)


def _encode_parameter(parameter: str | int | float | bool | None) -> str | None:
    if isinstance(parameter, str) and _NUL in parameter:
        raise build_bad_request("parameters: expected no NUL character")
    if parameter is None or isinstance(parameter, str):
        return parameter
    if isinstance(parameter, bool):
        return "true" if parameter else "false"
    return str(parameter)


def _skip_comments(sql: str) -> str:
    """Return `sql` without leading blanks, empty statements and comments."""
    while True:
        ignored = _IGNORED_PREFIX.match(sql)
        if ignored:
            sql = sql[ignored.end() :]
        if not sql.startswith("/*"):
            return sql
        sql = _skip_block_comment(sql)


def _skip_block_comment(sql: str) -> str:
    depth = 0
    for delimiter in _COMMENT_DELIMITER.finditer(sql):
        depth += 1 if delimiter.group() == "/*" else -1
        if depth == 0:
            return sql[delimiter.end() :]
    return ""


def _get_header(request: http.Request, name: str) -> str:
    value = request.headers.get(name, "")
    if len(value) > MAX_HEADER_VALUE_LENGTH or not value.isprintable():
        allowed = f"at most {MAX_HEADER_VALUE_LENGTH} printable characters"
        raise build_bad_request(f"{name}: expected {allowed}")
    return value
