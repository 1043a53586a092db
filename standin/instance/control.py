"""The control port: counters, the record of what ran, and faults."""

import typing

import msgspec
import trio

from standin import http1
from standin.instance import server
from standin.instance import settings
from standin.instance import store


class Stats(typing.TypedDict):
    """Body of the answer to ``GET /stats``."""

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


class Ran(typing.TypedDict):
    """Body of the answer to ``GET /ran``.

    `executed` holds the tagged statements that this process ran, `logged` the
    tagged statements of its log, whichever instance ran them.
    """

    executed: list[server.RanStatement]
    logged: list[server.RanStatement]


def build_stats(instance: server.Instance, now_s: float) -> Stats:
    """Return the state and the counters of an instance."""
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


def build_ran(instance: server.Instance) -> Ran:
    """Return the record of tagged statements."""
    return Ran(executed=list(instance.ran), logged=instance.get_written_ids())


class Control:
    """Answers the requests of the control port.

    Parameters
    ----------
    instance : server.Instance
    """

    def __init__(self, instance: server.Instance):
        self._instance = instance

    async def answer(self, request: http1.Request) -> http1.Response:
        """Return the response to one request."""
        match request.method, request.path:
            case "GET", "/stats":
                stats = build_stats(self._instance, trio.current_time())
                return http1.build_json_response(msgspec.json.encode(stats))
            case "GET", "/ran":
                ran = build_ran(self._instance)
                return http1.build_json_response(msgspec.json.encode(ran))
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
