"""The load of instances as their holders measure it, and its messages."""

import collections.abc
import math
import typing

from sedgeswitch.drivers import sessions
from sedgeswitch.forwarding import messages
from sedgeswitch.membership import directory
from sedgeswitch.pools import pool
from sedgeswitch.relay import connections
from sedgeswitch.routing import health
from sedgeswitch.routing import meters
from sedgeswitch.routing import reports
from sedgeswitch.scheduling import work as works
from sedgeswitch.statements import backends as statement_backends
from sedgeswitch.utils import clocks

# Shortest time between two comparisons of an instance with its group, in seconds. Each
# takes about 30 us, several times what the rest of a report does.
COMPARISON_INTERVAL_S = 0.5
# Failures that count against an instance. The others say that it is busy or has another
# role than was assumed.
INSTANCE_FAILURES = frozenset([sessions.Failure.FAILED, sessions.Failure.TIMED_OUT])
_MS_PER_S = 1000
_PERCENT = 100
# Largest percentage that is sent; reports above `reports.MAX_DEMAND` count as that.
_MAX_PERCENT = 10_000


class HolderLoads:
    """Measures the instances that this host holds and builds the reports about them.

    Parameters
    ----------
    backends : backends.Backends
        Announced instances.
    get_holding : callable
        ``get_holding(instance)`` returns this host's part of the connections.
    known : reports.ReportTable
        Reports of all holders, for a comparison with the other instances of a group.
    """

    def __init__(
        self,
        backends: statement_backends.Backends,
        get_holding: statement_backends.GetHolding,
        known: reports.ReportTable,
    ):
        self._backends = backends
        self._get_holding = get_holding
        self._known = known
        self._meters: dict[str, meters.LoadMeter] = {}
        # Whether an instance is slow, and until when that is not compared again.
        self._slow: dict[str, tuple[bool, float]] = {}
        self.judge = health.Judge()

    def get_meter(self, instance: str) -> meters.LoadMeter:
        """Return the meter of an instance."""
        meter = self._meters.get(instance)
        if meter is None:
            meter = self._meters[instance] = meters.LoadMeter()
        return meter

    def build_report(self, instance: str, now_s: float) -> reports.Report | None:
        """Return the report about an instance, None if this host does not hold it."""
        server = self._backends.get_server(instance)
        if server is None or instance not in self._meters:
            return None
        holders = self._get_holding(instance).divisor
        if not holders:
            return None
        slots = min(max(server.slots, 1), reports.MAX_SLOTS)
        meter = self._meters[instance]
        meter.set_part(slots, holders)
        service_s = meter.get_service_s(now_s)
        return reports.Report(
            slots,
            meter.running,
            meter.waiting,
            holders,
            service_s,
            self.judge.get_failed_share(instance, now_s),
            self._is_unhealthy(server, service_s, now_s),
            meter.get_demand(now_s),
        )

    def build_load(self, instance: str, now_s: float) -> messages.InstanceLoad | None:
        """Return the message about an instance, None if this host does not hold it."""
        report = self.build_report(instance, now_s)
        if report is None:
            return None
        return messages.InstanceLoad(
            slots=report.slots,
            running=round(report.running),
            waiting=round(report.waiting),
            holders=report.holders,
            service_ms=max(round(report.service_s * _MS_PER_S), 1),
            failed_percent=round(report.failed_share * _PERCENT) or None,
            is_unhealthy=report.is_unhealthy or None,
            demand_percent=min(round((report.demand or 0) * _PERCENT), _MAX_PERCENT),
        )

    def list_unhealthy(self, now_s: float) -> list[str]:
        """Return the instances that this host holds and calls unhealthy."""
        announced = self._backends.get_announced()
        for instance in self._meters.keys() - announced.keys():
            del self._meters[instance]
            self._slow.pop(instance, None)
        self.judge.drop(announced)
        found = []
        for instance in self._meters:
            report = self.build_report(instance, now_s)
            if report is not None and report.is_unhealthy:
                found.append(instance)
        return found

    def _is_unhealthy(
        self, server: directory.BackendServer, service_s: float, now_s: float
    ) -> bool:
        if self.judge.is_unhealthy(server.instance, now_s):
            return True
        is_slow, until_s = self._slow.get(server.instance, (False, float("-inf")))
        if now_s >= until_s:
            is_slow = self._compare_service(server, service_s, now_s)
            self._slow[server.instance] = is_slow, now_s + COMPARISON_INTERVAL_S
        return is_slow

    def _compare_service(
        self, server: directory.BackendServer, service_s: float, now_s: float
    ) -> bool:
        """Return whether an instance is far slower than its group, as reported."""
        views = [
            self._known.get_view(other.instance, other.slots, 0.0, now_s)
            for other in self._backends.get_servers(server.group)
            if other.instance != server.instance
        ]
        others_s = [view.service_s for view in views if math.isfinite(view.age_s)]
        return health.is_slow(service_s, others_s)


class MeteredConnector:
    """Measures the statements of this host's own callers; implements `Connector`.

    Parameters
    ----------
    local : connections.Connector
        Acquires connections of this host's own pools.
    loads : HolderLoads
    """

    def __init__(self, local: connections.Connector, loads: HolderLoads):
        self._local = local
        self._loads = loads

    async def acquire(
        self,
        server: directory.BackendServer,
        organisation: str,
        deadline_s: float,
        allowed_regions: frozenset[str] | None = None,
        work: works.Work | None = None,
    ) -> connections.AcquiredConnection:
        """Acquire a connection; see `connections.Connector.acquire`."""
        meter = self._loads.get_meter(server.instance)
        meter.arrive(clocks.get_now_s())
        try:
            acquired = await self._local.acquire(
                server, organisation, deadline_s, allowed_regions, work
            )
        except BaseException:
            meter.give_up(clocks.get_now_s())
            raise
        meter.send(clocks.get_now_s())
        return _MeteredConnection(acquired, meter, self._loads.judge)

    def get_load(
        self,
        server: directory.BackendServer,
        organisation: str,
        allowed_regions: frozenset[str] | None = None,
    ) -> pool.PoolLoad:
        """Return the load of this host's pool."""
        return self._local.get_load(server, organisation, allowed_regions)


class _MeteredConnection:
    """An acquired connection whose release is measured."""

    is_forwarded = False

    def __init__(
        self,
        acquired: connections.AcquiredConnection,
        meter: meters.LoadMeter,
        judge: health.Judge,
    ):
        self._acquired = acquired
        self._meter = meter
        self._is_ended = False
        self.server = acquired.server
        self.connection: sessions.SessionConnection = _JudgedConnection(
            acquired.server.instance, acquired.connection, judge
        )

    async def release(self, is_observed: bool = True) -> None:
        """Return the connection to its pool."""
        self._end()
        await self._acquired.release(is_observed)

    async def discard(self, is_observed: bool = True) -> None:
        """Close the connection."""
        self._end()
        await self._acquired.discard(is_observed)

    def _end(self) -> None:
        if not self._is_ended:
            self._is_ended = True
            self._meter.end(clocks.get_now_s())


class _JudgedConnection:
    """A connection whose statements the judge observes; otherwise as it was."""

    def __init__(
        self,
        instance: str,
        connection: sessions.SessionConnection,
        judge: health.Judge,
    ):
        self._instance = instance
        self._connection = connection
        self._judge = judge

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._connection, name)

    async def run(
        self, *arguments: typing.Any, **options: typing.Any
    ) -> sessions.Reply:
        """Run one statement; see `sessions.SessionConnection.run`."""
        return await self._observe(self._connection.run, *arguments, **options)

    async def begin(
        self, *arguments: typing.Any, **options: typing.Any
    ) -> sessions.Reply:
        """Begin a transaction; see `sessions.SessionConnection.begin`."""
        return await self._observe(self._connection.begin, *arguments, **options)

    async def _observe(
        self,
        call: collections.abc.Callable[..., collections.abc.Awaitable[sessions.Reply]],
        *arguments: typing.Any,
        **options: typing.Any,
    ) -> sessions.Reply:
        sent_s = clocks.get_now_s()
        number = self._judge.start(self._instance, sent_s)
        try:
            reply = await call(*arguments, **options)
        except BaseException:
            now_s = clocks.get_now_s()
            # A caller that gives up sooner says nothing about the instance.
            if now_s - sent_s >= health.HANG_S:
                self._judge.record_no_answer(self._instance, sent_s, now_s)
            raise
        finally:
            self._judge.end(self._instance, number)
        if reply.failure is None or reply.failure in INSTANCE_FAILURES:
            now_s = clocks.get_now_s()
            self._judge.record(
                self._instance, reply.failure is not None, now_s, now_s - sent_s
            )
        return reply


def decode_load(load: messages.InstanceLoad) -> reports.Report | None:
    """Return the report that a message contains, None if a needed field is absent."""
    needed = (load.slots, load.running, load.waiting, load.holders, load.service_ms)
    if None in needed:
        return None
    percent = load.demand_percent
    return reports.Report(
        load.slots,
        load.running,
        load.waiting,
        load.holders,
        load.service_ms / _MS_PER_S,
        (load.failed_percent or 0) / _PERCENT,
        bool(load.is_unhealthy),
        None if percent is None else percent / _PERCENT,
    )


def build_own_connector(
    local: connections.Connector, loads: HolderLoads | None
) -> connections.Connector:
    """Return the connector of this host's own callers, measured if `loads` is given."""
    return local if loads is None else MeteredConnector(local, loads)
