"""Two entry hosts with transactions on one instance, and requests of callers."""

import contextlib
import json
import random
import typing

import trio

from sedgeswitch import verdicts
from sedgeswitch.callers import http
from sedgeswitch.callers import routes
from sedgeswitch.groups import positions
from sedgeswitch.groups import table
from sedgeswitch.groups.generated import ttypes
from sedgeswitch.observability import traces
from sedgeswitch.pools import transactions as pool_transactions
from sedgeswitch.pools.tests import builders as pool_builders
from sedgeswitch.sessions import floors
from sedgeswitch.statements import context
from sedgeswitch.statements import forwarding
from sedgeswitch.statements import pooled as pooled_statements
from sedgeswitch.statements import transactions
from sedgeswitch.transport import failures
from sedgeswitch.utils.tests import virtual_time

KEYS = {"Bearer sedge-key-4": "ward-4", "Bearer sedge-key-7": "ward-7"}


class Server(typing.NamedTuple):
    instance: str = "lots-0"


class FakeServices:
    """Fake authoriser, admission, backends and writer of a host."""

    def __init__(self, instance_pool):
        self.instance_pool = instance_pool
        self.servers = [Server()]
        self.admission_s = 0.0

    def check_caller(self, authorization, now_s):  # noqa: ARG002
        return KEYS[authorization]

    def authorise(self, organisation, selector_fields):
        if not self.servers:
            raise verdicts.build_not_run(503, "no_backend_server", "drained")
        return context.AuthorisedWork(
            organisation, selector_fields.group, "lots", self, True, 2, 30.0
        )

    def list_servers(self):
        return self.servers

    def may_run_on(self, instance):
        return any(server.instance == instance for server in self.servers)

    async def admit(self, organisation, deadline_s):  # noqa: ARG002
        await trio.sleep(self.admission_s)

    def get_pool(self, server, database):  # noqa: ARG002
        return self.instance_pool

    async def wait_acknowledged(self, permit, work, session, position, deadline_s):
        return position


class Host:
    """One entry host; `forwarded_messages` are those it received from other hosts."""

    def __init__(self, fleet, host_id):
        rng = random.Random(host_id)
        self.fleet = fleet
        self.forwarded_messages = []
        self.fake_services = FakeServices(pool_builders.build_pool(fleet.server))
        self.groups = table.GroupTable()
        self.groups.set_lease(1e9)
        self.set_term(1)
        # Zone whose evacuation ends all open transactions now.
        self.evacuated_zone = None
        self.transaction_table = pool_transactions.TransactionTable(
            host_id, rng, lambda transaction: self.evacuated_zone
        )
        forwarder = forwarding.Forwarder(host_id, fleet.call)
        self.forwarder = forwarder
        components = context.Components(
            self.groups, None, self.fake_services, floors.LocalFloors(), None
        )
        service = transactions.TransactionService(
            self.fake_services,
            self.fake_services,
            components,
            self.fake_services,
            self.transaction_table,
            forwarder,
            traces.Tracer(host_id, None, 0.0, rng),
        )
        self.router = routes.Router()
        service.register_routes(self.router)
        service.register_forwarded_routes(forwarder.router)

    def set_term(self, term):
        group = ttypes.Group(
            group="lots",
            term=term,
            primary="lots-0",
            phase=ttypes.GroupPhase.SERVING,
            timeline=term,
            instances=["lots-0"],
            leaving=[],
            version=term,
        )
        self.groups.apply_changes(term, [group])

    async def send(self, path, body=None, key="Bearer sedge-key-4", **headers):
        """Send a request of a caller; return status and JSON body of the response."""
        given = {"authorization": key}
        given |= {name.replace("_", "-"): value for name, value in headers.items()}
        payload = json.dumps(body or {}).encode()
        request = http.Request("POST", path, given, payload)
        try:
            response = await self.router.handle(request)
        except verdicts.RefusedError as error:
            response = http.build_problem(error.refusal)
        return response.status, json.loads(response.body)


class Fleet:
    def __init__(self):
        self.server = pool_builders.FakeServer()
        self.unreachable_hosts = set()
        self.hosts = {name: Host(self, name) for name in ("entry-0", "entry-1")}

    async def call(self, host_id, message, timeout_s):  # noqa: ARG002
        if host_id in self.unreachable_hosts or host_id not in self.hosts:
            raise failures.CallError("unreachable", "", verdicts.Verdict.NOT_RUN)
        host = self.hosts[host_id]
        host.forwarded_messages.append(message)
        return await host.forwarder.answer(message)


@contextlib.contextmanager
def known_position():
    """Replace `read_position` so that it returns a fixed log position."""

    async def read_position(pooled):
        await pooled.execute("STATE")
        return positions.Position(1, 80)

    original, pooled_statements.read_position = (
        pooled_statements.read_position,
        read_position,
    )
    try:
        yield
    finally:
        pooled_statements.read_position = original


def run(body):
    """Run ``await body(fleet, path)`` with the path of an open transaction."""

    async def main():
        fleet = Fleet()
        first = fleet.hosts["entry-0"]
        status, begun = await first.send(transactions.PATH, BEGIN)
        assert status == 200, begun
        await body(fleet, f"{transactions.PATH}/{begun['transaction']}")

    with known_position():
        virtual_time.run(main)


BEGIN = {"group": "lots", "work": "draw"}
