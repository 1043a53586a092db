"""Callers of one entry host: a closed or an open loop of the same request.

Usage: ``python -m benchmarks.callers --port 7000 --key KEY --access read ...``

Without ``--rate-per-s`` each connection sends its next request after the answer
(closed loop); with it, requests are sent at that rate on idle connections (open
loop). Prints one JSON line with the fields of `Outcome`.
"""

import argparse
import collections
import json
import typing

import httptools
import trio

HOST = "127.0.0.1"
RECEIVE_BYTES = 65536
GROUP = "lots"
SQL_BY_ACCESS = {
    "read": "SELECT value FROM lots WHERE household = $1",
    "write": "INSERT INTO lots (household, value) VALUES ($1, 'x') "
    "ON CONFLICT (household) DO UPDATE SET value = 'y'",
}


class Outcome(typing.NamedTuple):
    """Counts of one run of callers.

    Attributes
    ----------
    sent : int
    answered : int
        Answers with status 200 within the deadline.
    late : int
        Answers with status 200 after the deadline.
    skipped : int
        Requests of the open loop that were not sent for lack of an idle connection.
    replica : int
        Answers of replicas.
    statuses : dict of str to int
        Count of answers by HTTP status and problem code.
    duration_s : float
    """

    sent: int
    answered: int
    late: int
    skipped: int
    replica: int
    statuses: dict[str, int]
    duration_s: float


class _Response:
    """Collects one response from the parser's callbacks."""

    def __init__(self):
        self.is_complete = False
        self.body = b""

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.is_complete = True


class Tally:
    """Running counts, as in `Outcome`."""

    def __init__(self):
        self.sent = 0
        self.answered = 0
        self.late = 0
        self.replica = 0
        self.skipped = 0
        self.statuses: collections.Counter[str] = collections.Counter()


def build_request(
    key: str, access: str, household: str, deadline_ms: int, group: str = GROUP
) -> bytes:
    """Return the bytes of one statement request."""
    body = json.dumps(
        {
            "group": group,
            "work": "benchmark",
            "access": access,
            "sql": SQL_BY_ACCESS[access],
            "parameters": [household],
            "deadline_ms": deadline_ms,
        }
    ).encode()
    head = (
        "POST /v1/statements HTTP/1.1\r\nHost: e\r\n"
        f"Authorization: Bearer {key}\r\nContent-Type: application/json\r\n"
        f"Sedge-Session: {household}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Answer(typing.NamedTuple):
    """Answer to one request.

    Attributes
    ----------
    status : int
        HTTP status.
    is_replica : bool
        Whether a replica served the statement.
    code : str
        Code of the problem document; empty if there is none.
    """

    status: int
    is_replica: bool
    code: str


def _read_code(body: bytes) -> str:
    """Return the code of a problem document, empty for another body."""
    _, _, rest = bytes(body).partition(b'"code":"')
    return rest.partition(b'"')[0].decode()


async def exchange(stream: trio.abc.Stream, request: bytes) -> Answer:
    """Send a request and return its answer.

    Raises
    ------
    trio.BrokenResourceError
        If the connection ended before the response did.
    """
    await stream.send_all(request)
    response = _Response()
    parser = httptools.HttpResponseParser(response)
    while not response.is_complete:
        data = await stream.receive_some(RECEIVE_BYTES)
        if not data:
            raise trio.BrokenResourceError
        parser.feed_data(data)
    is_replica = b'"replica":true' in response.body
    code = _read_code(response.body)
    return Answer(parser.get_status_code(), is_replica, code)


class Callers:
    """Connections that send statements to one entry host.

    Each connection is a session of its own and reads or writes its own row, which
    its household names.

    Parameters
    ----------
    options : argparse.Namespace
        The command line, see `build_parser`.
    """

    def __init__(self, options: argparse.Namespace):
        self._options = options
        self._deadline_s = options.deadline_ms / 1000
        self.tally = Tally()

    async def run(self) -> Outcome:
        """Send for the warm-up and the duration; return the counts of the latter."""
        async with trio.open_nursery() as nursery:
            if self._options.rate_per_s > 0:
                nursery.start_soon(self._run_open_loop)
            else:
                nursery.start_soon(self._run_closed_loop)
            await trio.sleep(self._options.warm_up_s)
            measured = self.tally = Tally()
            started_s = trio.current_time()
            await trio.sleep(self._options.duration_s)
            elapsed_s = trio.current_time() - started_s
            nursery.cancel_scope.cancel()
        return Outcome(
            measured.sent,
            measured.answered,
            measured.late,
            measured.skipped,
            measured.replica,
            dict(measured.statuses),
            elapsed_s,
        )

    async def _run_closed_loop(self) -> None:
        async with trio.open_nursery() as nursery:
            for number in range(self._options.connections):
                nursery.start_soon(self._call_repeatedly, number)

    async def _call_repeatedly(self, number: int) -> None:
        request = self._build_request(number)
        while True:
            stream = await trio.open_tcp_stream(HOST, self._options.port)
            async with stream:
                while await self._call(stream, request):
                    pass

    async def _run_open_loop(self) -> None:
        send, receive = trio.open_memory_channel(0)
        async with trio.open_nursery() as nursery:
            for number in range(self._options.connections):
                nursery.start_soon(self._call_on_arrival, number, receive.clone())
            interval_s = 1 / self._options.rate_per_s
            next_s = trio.current_time()
            while True:
                await trio.sleep_until(next_s)
                next_s += interval_s
                try:
                    send.send_nowait(None)
                except trio.WouldBlock:
                    self.tally.skipped += 1

    async def _call_on_arrival(
        self, number: int, receive: trio.MemoryReceiveChannel
    ) -> None:
        request = self._build_request(number)
        while True:
            stream = await trio.open_tcp_stream(HOST, self._options.port)
            async with stream:
                async for _ in receive:
                    if not await self._call(stream, request):
                        break

    def _build_request(self, number: int) -> bytes:
        options = self._options
        household = f"h{number}"
        return build_request(
            options.key, options.access, household, options.deadline_ms
        )

    async def _call(self, stream: trio.abc.Stream, request: bytes) -> bool:
        started_s = trio.current_time()
        self.tally.sent += 1
        try:
            answer = await exchange(stream, request)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.tally.statuses["broken"] += 1
            return False
        self.tally.statuses[f"{answer.status} {answer.code}".strip()] += 1
        self.tally.replica += answer.is_replica
        if answer.status == 200:
            is_late = trio.current_time() - started_s > self._deadline_s
            self.tally.late += is_late
            self.tally.answered += not is_late
        return True


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--key", required=True)
    parser.add_argument("--access", choices=sorted(SQL_BY_ACCESS), default="read")
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--warm-up-s", type=float, default=0.0)
    parser.add_argument("--duration-s", type=float, default=5.0)
    parser.add_argument("--rate-per-s", type=float, default=0.0)
    parser.add_argument("--deadline-ms", type=int, default=2000)
    return parser


def main() -> None:
    """Run callers and print the outcome as one JSON line."""
    outcome = trio.run(Callers(build_parser().parse_args()).run)
    print(json.dumps(outcome._asdict()))


if __name__ == "__main__":
    main()
