"""A client of the operators' HTTP API that finds the leader by itself."""

import typing

import httptools

from sedgeswitch import verdicts
from sedgeswitch.cli import environment as environments
from sedgeswitch.utils import checks
from sedgeswitch.utils import records

RETRY_INTERVAL_S = 0.2
CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 4.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024

_NOT_LEADER_STATUS = 421
_UNAVAILABLE_STATUS = 503
_READ_SIZE_BYTES = 65536


class Address(typing.NamedTuple):
    """Where a control host serves operators."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Response(typing.NamedTuple):
    """A JSON response.

    Attributes
    ----------
    status : int
    document : object
    """

    status: int
    document: typing.Any


class UnreachableError(Exception):
    """No control host gave a final answer in time.

    Parameters
    ----------
    verdict : verdicts.Verdict
        Whether the request may have run.
    failures : mapping of Address to str
        The last failure of each address.
    """

    def __init__(self, verdict: verdicts.Verdict, failures: typing.Mapping):
        told = "; ".join(f"{address}: {text}" for address, text in failures.items())
        super().__init__(f"no leader of the control hosts answered ({told})")
        self.verdict = verdict


class _Request(typing.NamedTuple):
    method: str
    path: str
    body: bytes
    response_timeout_s: float


class _Attempts:
    """What is known of a request that has no final answer yet."""

    def __init__(self):
        self.verdict = verdicts.Verdict.NOT_RUN
        self.failures: dict[Address, str] = {}

    def add_failure(
        self,
        address: Address,
        detail: str,
        verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
    ) -> None:
        self.failures[address] = detail
        if verdict is verdicts.Verdict.MAY_HAVE_RUN:
            self.verdict = verdict


class ControlClient:
    """Sends requests to the leader of the control hosts.

    Parameters
    ----------
    addresses : sequence of Address
        Control hosts, at least one.
    token : str or None
        The operators' token.
    timeout_s : float
        Time after which a request is given up.
    environment : environment.Environment

    Notes
    -----
    A request is resent, with the same bytes, until there is a final answer.  All
    requests of operators may be repeated: a change carries a request id, and the
    others name the state they want.
    """

    def __init__(
        self,
        addresses: typing.Sequence[Address],
        token: str | None,
        timeout_s: float,
        environment: environments.Environment,
    ):
        self._addresses = list(addresses)
        self._token = token
        self._timeout_s = timeout_s
        self._environment = environment

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        response_timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> Response:
        """Return the leader's answer to a request.

        Raises
        ------
        UnreachableError
            If there is none in time.
        """
        request = _Request(method, path, body, response_timeout_s)
        attempts = _Attempts()
        deadline_s = self._environment.get_time_s() + self._timeout_s
        while True:
            response = self._try_addresses(request, attempts)
            if response is not None:
                return response
            if self._environment.get_time_s() >= deadline_s:
                raise UnreachableError(attempts.verdict, attempts.failures)
            self._environment.sleep(RETRY_INTERVAL_S)

    def _try_addresses(self, request: _Request, attempts: _Attempts) -> Response | None:
        tried: set[Address] = set()
        while True:
            # The list changes whenever a host tells who leads.
            untried = [item for item in self._addresses if item not in tried]
            if not untried:
                return None
            tried.add(untried[0])
            response = self._try_address(untried[0], request, attempts)
            if response is not None:
                return response

    def _try_address(
        self, address: Address, request: _Request, attempts: _Attempts
    ) -> Response | None:
        try:
            response = self._exchange(address, request)
        except ConnectionRefusedError as error:
            attempts.add_failure(address, str(error))
            return None
        except (OSError, httptools.HttpParserError, checks.CheckError) as error:
            # The answer is lost for sure, the request perhaps not.
            attempts.add_failure(address, str(error), verdicts.Verdict.MAY_HAVE_RUN)
            return None
        if response.status == _NOT_LEADER_STATUS:
            attempts.add_failure(address, "is not the leader")
            self._prefer(response.document.get("leader"))
            return None
        if response.status == _UNAVAILABLE_STATUS:
            verdict = verdicts.Verdict(response.document["verdict"])
            attempts.add_failure(address, response.document["detail"], verdict)
            return None
        return response

    def _prefer(self, leader: str | None) -> None:
        if leader is None:
            return
        address = build_address(leader)
        if address in self._addresses:
            self._addresses.remove(address)
        self._addresses.insert(0, address)

    def _exchange(self, address: Address, request: _Request) -> Response:
        connect = self._environment.connect
        with connect(tuple(address), CONNECT_TIMEOUT_S) as connection:
            connection.settimeout(request.response_timeout_s)
            connection.sendall(self._build_request(address, request))
            reader = _ResponseReader()
            while not reader.is_complete:
                data = connection.recv(_READ_SIZE_BYTES)
                if not data:
                    raise ConnectionResetError("the connection ended too early")
                reader.feed(data)
        return Response(reader.get_status(), records.decode_json(reader.get_body()))

    def _build_request(self, address: Address, request: _Request) -> bytes:
        lines = [
            f"{request.method} {request.path} HTTP/1.1",
            f"Host: {address}",
            "Connection: close",
            "Content-Type: application/json",
            f"Content-Length: {len(request.body)}",
        ]
        if self._token is not None:
            lines.append(f"Authorization: Bearer {self._token}")
        return "\r\n".join([*lines, "", ""]).encode() + request.body


def build_address(text: str, field: str = "control") -> Address:
    """Return the address that ``host:port`` names.

    Raises
    ------
    CheckError
        If the text is no such address.
    """
    host, _, port = text.strip().rpartition(":")
    if not host or not port.isdecimal() or not 1 <= int(port) <= 65535:
        raise checks.CheckError(field, "host:port", text)
    return Address(host, int(port))


class _ResponseReader:
    """Callbacks of the parser."""

    def __init__(self):
        self.is_complete = False
        self._chunks: list[bytes] = []
        self._size_bytes = 0
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        self._size_bytes += len(data)
        if self._size_bytes > MAX_RESPONSE_BYTES:
            raise ConnectionAbortedError("the response is too long")
        self._parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        self.is_complete = True

    def get_status(self) -> int:
        return self._parser.get_status_code()

    def get_body(self) -> bytes:
        return b"".join(self._chunks)
