"""Client of the callers' API over HTTP/1.1 with persistent connections."""

import typing

import msgspec
import trio

from sedgeswitch import verdicts
from standin import addresses
from standin import http1

PATH = "/v1/statements"
SESSION_HEADER = "Sedge-Session"
POSITION_HEADER = "Sedge-Position"
IDEMPOTENCY_HEADER = "Idempotency-Key"
LOST_CODE = "answer_lost"
UNREACHABLE_CODE = "unreachable"
UNREADABLE_CODE = "unreadable_answer"
OK_STATUS = 200


class Statement(msgspec.Struct, omit_defaults=True):
    """JSON body of a request."""

    group: str
    work: str
    access: str
    sql: str
    parameters: list[str | None]
    max_age_ms: int | None = None
    deadline_ms: int | None = None


class Credentials(typing.NamedTuple):
    """Values of the headers of a request; a header with an empty value is not sent."""

    key: str
    session: str = ""
    position: str = ""
    idempotency_key: str = ""


class Answer(msgspec.Struct):
    """JSON body of a successful answer, and the position from its header."""

    columns: list[str]
    rows: list[list[str | None]]
    status: str
    instance: str
    replica: bool
    position: str = ""


class Problem(msgspec.Struct):
    """JSON body of a failed request, also used for failures of the connection."""

    code: str
    verdict: verdicts.Verdict
    detail: str = ""
    retry_after_ms: float = 0


class Client:
    """Sends statements to entry hosts.

    Parameters
    ----------
    timeout_s : float
        Longest wait for an answer.
    """

    def __init__(self, timeout_s: float):
        self._timeout_s = timeout_s
        self._idle: dict[addresses.Address, list[trio.SocketStream]] = {}

    async def send(
        self, host: addresses.Address, statement: Statement, credentials: Credentials
    ) -> Answer | Problem:
        """Send a statement to one entry host and return its answer or problem.

        Failures of the connection are returned as a `Problem` with one of the
        codes `UNREACHABLE_CODE`, `LOST_CODE` and `UNREADABLE_CODE`.
        """
        stream = await self._connect(host)
        if stream is None:
            return Problem(UNREACHABLE_CODE, verdicts.Verdict.NOT_RUN)
        request = http1.Request(
            "POST", PATH, _build_headers(credentials), msgspec.json.encode(statement)
        )
        try:
            with trio.fail_after(self._timeout_s):
                response = await http1.call(stream, host.host, request)
        except (http1.HttpError, trio.BrokenResourceError, trio.TooSlowError):
            await trio.aclose_forcefully(stream)
            return Problem(LOST_CODE, verdicts.Verdict.MAY_HAVE_RUN)
        except BaseException:
            # If the connection were reused, the next request would receive the answer
            # to this one.
            await trio.aclose_forcefully(stream)
            raise
        await self._release(host, stream, response)
        return _read_response(response)

    async def _connect(self, host: addresses.Address) -> trio.SocketStream | None:
        idle = self._idle.setdefault(host, [])
        while idle:
            stream = idle.pop()
            if not _is_readable(stream):
                return stream
            await trio.aclose_forcefully(stream)
        try:
            with trio.fail_after(self._timeout_s):
                return await trio.open_tcp_stream(*host)
        except (OSError, trio.TooSlowError):
            return None

    async def _release(
        self, host: addresses.Address, stream: trio.SocketStream, response
    ) -> None:
        if response.headers.get("connection", "").lower() == "close":
            await trio.aclose_forcefully(stream)
            return
        self._idle[host].append(stream)

    async def close(self) -> None:
        """Close the idle connections."""
        for streams in self._idle.values():
            while streams:
                await trio.aclose_forcefully(streams.pop())


def _is_readable(stream: trio.SocketStream) -> bool:
    """Return whether an idle connection was closed or received unexpected data."""
    return stream.socket.is_readable()


def _build_headers(credentials: Credentials) -> dict[str, str]:
    headers = {
        "Authorization": f"Bearer {credentials.key}",
        SESSION_HEADER: credentials.session,
        POSITION_HEADER: credentials.position,
        IDEMPOTENCY_HEADER: credentials.idempotency_key,
    }
    return {name: value for name, value in headers.items() if value}


def _read_response(response: http1.Response) -> Answer | Problem:
    try:
        if response.status == OK_STATUS:
            answer = msgspec.json.decode(response.body, type=Answer)
            answer.position = response.headers.get(POSITION_HEADER.lower(), "")
            return answer
        return msgspec.json.decode(response.body, type=Problem)
    except msgspec.DecodeError:
        return Problem(UNREADABLE_CODE, verdicts.Verdict.MAY_HAVE_RUN)
