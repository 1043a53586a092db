"""HTTP/1.1 requests and responses, and the encoding of responses."""

import contextlib
import http
import typing

import msgspec

from sedgeswitch import verdicts
from sedgeswitch.utils import records

_FORBIDDEN_HEADER_CHARS = frozenset("\r\n\0")
PROBLEM_TYPE = "application/problem+json"
JSON_TYPE = "application/json"


class Request(typing.NamedTuple):
    """One HTTP request.

    Attributes
    ----------
    method : str
    path : str
        Without the query string.
    headers : dict of str to str
        Names in lower case.
    body : bytes
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Response(typing.NamedTuple):
    """One HTTP response.

    Attributes
    ----------
    status : int
    body : bytes
    content_type : str
    headers : tuple of (str, str)
        Further headers.
    """

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


class Problem(typing.NamedTuple):
    """The body of a refusal: a problem document as in RFC 9457.

    The attributes are sent as JSON members under their own names.

    Attributes
    ----------
    type : str
        URI of the kind of problem.
    title : str
    status : int
        HTTP status code.
    detail : str
        Explanation for a person.
    code : str
        Stable machine-readable reason.
    verdict : str
        Whether the request may have run; see `verdicts.Verdict`.
    retry_after_ms : int
        Suggested delay before a retry, in milliseconds; 0 if a retry does not help.
    """

    type: str
    title: str
    status: int
    detail: str
    code: str
    verdict: str
    retry_after_ms: int


def build_json(value: typing.Any, headers: tuple = ()) -> Response:
    """Return a 200 response with a JSON body; named tuples become objects."""
    return Response(200, records.encode_json(value), JSON_TYPE, headers)


def build_problem(refusal: verdicts.Refusal) -> Response:
    """Return the response that reports a refusal to a caller."""
    problem = Problem(
        type=f"urn:sedgeswitch:problem:{refusal.code}",
        title=refusal.code.replace("_", " "),
        status=refusal.status,
        detail=refusal.detail,
        code=refusal.code,
        verdict=refusal.verdict.value,
        retry_after_ms=refusal.retry_after_ms,
    )
    headers = ()
    if refusal.retry_after_ms > 0:
        retry_after_s = -(-refusal.retry_after_ms // 1000)
        headers = (("Retry-After", str(retry_after_s)),)
    body = msgspec.json.encode(problem._asdict())
    return Response(refusal.status, body, PROBLEM_TYPE, headers)


def _get_reason_phrase(status: int) -> str:
    with contextlib.suppress(ValueError):
        return http.HTTPStatus(status).phrase
    return "Unknown"


def check_headers(response: Response) -> Response:
    """Return a response unchanged if its headers are safe to send.

    A line break within a header would let its text inject further headers.

    Raises
    ------
    ValueError
        If a header holds CR, LF or a zero byte.
    """
    for name, value in (*response.headers, ("Content-Type", response.content_type)):
        if not _FORBIDDEN_HEADER_CHARS.isdisjoint(name + value):
            raise ValueError(
                f"headers: expected no CR, LF or zero byte, got one in {name!r}"
            )
    return response


def encode_response(
    response: Response, is_closing: bool, has_body: bool = True
) -> bytes:
    """Return the bytes of a response.

    Parameters
    ----------
    response : Response
    is_closing : bool
        Whether the connection is closed after this response.
    has_body : bool, optional
        False for the response to a HEAD request, which has the headers only.
    """
    lines = [
        f"HTTP/1.1 {response.status} {_get_reason_phrase(response.status)}",
        f"Content-Type: {response.content_type}",
        f"Content-Length: {len(response.body)}",
    ]
    lines += [f"{name}: {value}" for name, value in response.headers]
    if is_closing:
        lines.append("Connection: close")
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    return head + response.body if has_body else head
