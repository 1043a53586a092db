"""Builders of writes, reads, rows and plans, and a fake entry host."""

import contextlib
import pathlib
import sqlite3
import typing

import msgspec
import trio

from standin import addresses
from standin import http1
from standin.instance import translation
from standin.load import _client
from standin.load import _consistency
from standin.load import _mix
from standin.load import _traffic

HOST = "127.0.0.1"
EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
ORGANISATION = "ward-1"
HOUSEHOLD = "h1"


def build_set(
    request_id: str, value: int, session: str = HOUSEHOLD
) -> _consistency.Write:
    return _consistency.Write(request_id, ORGANISATION, session, HOUSEHOLD, value)


def build_insert(request_id: str) -> _consistency.Write:
    return _consistency.Write(request_id, ORGANISATION, HOUSEHOLD, tag=request_id)


def build_read(
    session: str = HOUSEHOLD, sent_s: float = 10.0, max_age_s: float | None = None
) -> _consistency.Read:
    return _consistency.Read("r1", ORGANISATION, session, sent_s, max_age_s)


def build_row(value: int, **changes: str) -> _consistency.Row:
    row = _consistency.Row("r1", ORGANISATION, HOUSEHOLD, value)
    return row._replace(**changes)


def build_plan(mix_name: str, hosts: tuple[addresses.Address, ...]) -> _traffic.Plan:
    organisations = tuple(
        _mix.Organisation(name, f"key-{name}", ("g1", "g2"), 100.0, 50.0)
        for name in ("ward-1", "ward-2")
    )
    mix = _mix.load_mix(EXAMPLES / mix_name / "mix.json")
    return _traffic.Plan(
        hosts,
        organisations,
        msgspec.structs.replace(mix, households=3),
        400.0,
        0.5,
        5.0,
        "t",
        True,
    )


class FakeEntry:
    """Entry host that executes statements on one SQLite database for each group.

    If `should_drop_write` returns True for an insert, the insert is acknowledged
    without being executed, which is a lost write.
    """

    def __init__(self):
        self.requests: list[http1.Request] = []
        self.should_drop_write: typing.Callable[[_client.Statement], bool] | None = None
        self._groups: dict[str, sqlite3.Connection] = {}

    async def answer(self, request: http1.Request) -> http1.Response:
        self.requests.append(request)
        request_body = msgspec.json.decode(request.body, type=_client.Statement)
        group = self._groups.setdefault(
            request_body.group, sqlite3.connect(":memory:", isolation_level=None)
        )
        is_dropped = (
            self.should_drop_write is not None
            and request_body.sql.find("INSERT") >= 0
            and self.should_drop_write(request_body)
        )
        columns, rows = ([], []) if is_dropped else _run(group, request_body)
        answer = _client.Answer(columns, rows, "DONE", "i1", False)
        return http1.build_json_response(msgspec.json.encode(answer))


def _run(
    group: sqlite3.Connection, request_body: _client.Statement
) -> tuple[list, list]:
    statement = translation.parse_statement(request_body.sql)
    bindings = translation.build_bindings(request_body.parameters)
    cursor = group.execute(statement.translated, bindings)
    columns = [field[0] for field in cursor.description or ()]
    rows = [list(map(translation.format_value, row)) for row in cursor.fetchall()]
    return columns, rows


@contextlib.asynccontextmanager
async def open_entry(entry: FakeEntry) -> typing.AsyncIterator[addresses.Address]:
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]

        async def serve(stream):
            await http1.serve_connection(stream, entry.answer)

        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield addresses.Address(HOST, port)
        nursery.cancel_scope.cancel()
