"""The control port: statistics, tagged statements that ran, and fault injection."""

import typing

import msgspec
import trio

from standin import http1
from standin.instance import server
from standin.instance import settings
from standin.instance import store


class Stats(typing.TypedDict):
    """Response body of ``GET /stats``.

    `lsn` is the last log position, in PostgreSQL's format.  `in_use` is the number
    of open transactions and of statements not answered yet.  The other counts
    are described in `settings.Counters`.
    """

    instance: str
    group: str
    is_primary: bool
    is_rewinding: bool
    timeline: int
    lsn: str
    connections: int
    highest_connections: int
    refused_connections: int
    running_statements: int
    highest_running_statements: int
    waiting_statements: int
    statements: int
    failed_statements: int
    open_transactions: int
    in_use: int
    last_statement_age_ms: float | None


class TaggedStatements(typing.TypedDict):
    """Response body of ``GET /ran``.

    `executed` holds the tagged statements that clients ran in this process,
    `logged` the tagged statements in its log, including those that were
    committed on another instance and replicated.
    """

    executed: list[server.TaggedStatement]
    logged: list[server.TaggedStatement]


def build_stats(instance: server.Instance, now_s: float) -> Stats:
    """Return the statistics of an instance at the time `now_s` of the trio clock."""
    counters = instance.counters
    last_s = counters.last_statement_s
    return Stats(
        instance=instance.settings.instance,
        group=instance.settings.group,
        is_primary=instance.is_primary,
        is_rewinding=instance.is_rewinding,
        timeline=instance.store.timeline,
        lsn=store.format_lsn(instance.store.lsn),
        connections=counters.connections,
        highest_connections=counters.highest_connections,
        refused_connections=counters.refused_connections,
        running_statements=counters.running_statements,
        highest_running_statements=counters.highest_running_statements,
        waiting_statements=instance.slots.statistics().tasks_waiting,
        statements=counters.statements,
        failed_statements=counters.failed_statements,
        open_transactions=counters.open_transactions,
        in_use=counters.open_transactions + counters.active_statements,
        last_statement_age_ms=None if last_s is None else (now_s - last_s) * 1000,
    )


def build_tagged_statements(instance: server.Instance) -> TaggedStatements:
    """Return the tagged statements that an instance ran and logged."""
    return TaggedStatements(
        executed=list(instance.executed_statements),
        logged=instance.load_logged_statements(),
    )


class Control:
    """Handles the HTTP requests of the control port.

    Parameters
    ----------
    instance : server.Instance
    """

    def __init__(self, instance: server.Instance):
        self._instance = instance

    async def answer(self, request: http1.Request) -> http1.Response:
        """Return the response to one request; status 404 for an unknown path."""
        match request.method, request.path:
            case "GET", "/stats":
                stats = build_stats(self._instance, trio.current_time())
                return http1.build_json_response(msgspec.json.encode(stats))
            case "GET", "/ran":
                statements = build_tagged_statements(self._instance)
                return http1.build_json_response(msgspec.json.encode(statements))
            case "POST", "/faults":
                return self._change_faults(request.body)
        return http1.build_json_response(b'{"error":"unknown path"}', 404)

    def _change_faults(self, body: bytes) -> http1.Response:
        try:
            change = msgspec.json.decode(body, type=settings.FaultChange)
        except msgspec.DecodeError as error:
            message = msgspec.json.encode({"error": str(error)})
            return http1.build_json_response(message, 400)
        self._instance.faults.change(change)
        faults = msgspec.json.encode(self._instance.faults)
        return http1.build_json_response(faults)
