"""Client of the operators' HTTP API that sends requests to the current leader."""

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
    """Address at which a control host serves the operators' HTTP API."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Response(typing.NamedTuple):
    """A JSON response.

    Attributes
    ----------
    status : int
        HTTP status code.
    document : object
        The decoded JSON body.
    """

    status: int
    document: typing.Any


class UnreachableError(Exception):
    """No control host returned a final response before the timeout.

    Parameters
    ----------
    verdict : verdicts.Verdict
        Whether the request may have been executed.
    failures : mapping of Address to str
        Text of the last failure at each address.
    """

    def __init__(self, verdict: verdicts.Verdict, failures: typing.Mapping):
        details = "; ".join(f"{address}: {text}" for address, text in failures.items())
        super().__init__(f"no leader of the control hosts answered ({details})")
        self.verdict = verdict


class _Request(typing.NamedTuple):
    method: str
    path: str
    body: bytes
    response_timeout_s: float


class _Attempts:
    """Failures and verdict of the attempts of one request so far."""

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
    """Sends requests to the leader of the control hosts, with retries.

    Parameters
    ----------
    addresses : sequence of Address
        Addresses of the control hosts, at least one.
    token : str or None
        The operators' token, sent as a bearer token; None sends none.
    timeout_s : float
        Time after which a request is no longer retried.
    environment : environment.Environment

    Notes
    -----
    A request is resent with the same bytes until there is a final response.  This
    is safe because all requests of operators are idempotent: a change of the
    configuration carries a request id, and the others state the desired result.
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
        """Send a request and return the leader's response.

        Parameters
        ----------
        method, path : str
            HTTP method and path.
        body : bytes
        response_timeout_s : float
            Longest wait for data of the response in one attempt.

        Raises
        ------
        UnreachableError
            If no final response arrives before the client's timeout.
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
            # A host that is not the leader may name the leader, which is then put
            # at the front of the list.
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
            # There is no usable response, but the request may have been executed.
            attempts.add_failure(address, str(error), verdicts.Verdict.MAY_HAVE_RUN)
            return None
        if response.status == _NOT_LEADER_STATUS:
            attempts.add_failure(address, "is not the leader")
            self._move_to_front(response.document.get("leader"))
            return None
        if response.status == _UNAVAILABLE_STATUS:
            verdict = verdicts.Verdict(response.document["verdict"])
            attempts.add_failure(address, response.document["detail"], verdict)
            return None
        return response

    def _move_to_front(self, leader: str | None) -> None:
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
                    raise ConnectionResetError(
                        "connection closed before the response was complete"
                    )
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
    """Return the address that a text of the form ``host:port`` states.

    Raises
    ------
    CheckError
        If the text has another form or the port is not from 1 to 65535; the error
        names `field`.
    """
    host, _, port = text.strip().rpartition(":")
    if not host or not port.isdecimal() or not 1 <= int(port) <= 65535:
        raise checks.CheckError(field, "host:port", text)
    return Address(host, int(port))


class _ResponseReader:
    """Collects one response from the callbacks of the HTTP parser."""

    def __init__(self):
        self.is_complete = False
        self._chunks: list[bytes] = []
        self._size_bytes = 0
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        self._size_bytes += len(data)
        if self._size_bytes > MAX_RESPONSE_BYTES:
            raise ConnectionAbortedError("response exceeds the limit of 64 MiB")
        self._parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        self.is_complete = True

    def get_status(self) -> int:
        return self._parser.get_status_code()

    def get_body(self) -> bytes:
        return b"".join(self._chunks)
