"""Health probes of one group by one entry host."""

import collections
import typing

import trio

from sedgeswitch.drivers import sessions
from sedgeswitch.groups import durations
from sedgeswitch.groups import instances
from sedgeswitch.groups import positions
from sedgeswitch.groups import settings as groups_settings
from sedgeswitch.groups import staleness
from sedgeswitch.groups import timelines
from sedgeswitch.groups.generated import ttypes

_SLOW_S = 0.25
_SILENCE_FACTOR = 3.0
_MAX_LATENCIES = 10
_CLOSE_TIMEOUT_S = 0.1

# The server answers, but does not serve: it is starting, stopping or recovering, or it
# is another instance, which has taken over the address.
_NOT_SERVING_SQLSTATES = frozenset(
    {"57P01", "57P02", "57P03", sessions.Failure.WRONG_INSTANCE.name}
)


class _ProbeResults:
    """Results of the probes of one instance."""

    def __init__(self):
        self.state: instances.InstanceState | None = None
        self.last_progress_s = float("-inf")
        self.silent_since_s: float | None = None
        self.refusal_count = 0
        self.is_busy = False
        self._latencies_s: collections.deque[float] = collections.deque(
            maxlen=_MAX_LATENCIES
        )

    def record_sent(self, now_s: float) -> None:
        if self.silent_since_s is None:
            self.silent_since_s = now_s

    def record_answer(
        self, state: instances.InstanceState, sent_s: float, now_s: float
    ) -> None:
        if self.state is None or self.state.position != state.position:
            self.last_progress_s = now_s
        self.state = state
        self._record_live(sent_s, now_s)
        self.is_busy = False

    def record_busy(self, sent_s: float, now_s: float) -> None:
        self._record_live(sent_s, now_s)
        self.is_busy = True

    def record_refusal(self) -> None:
        self.refusal_count += 1

    def get_latency_s(self) -> float | None:
        return self._latencies_s[-1] if self._latencies_s else None

    def get_silence_s(self, now_s: float) -> float:
        return 0.0 if self.silent_since_s is None else now_s - self.silent_since_s

    def get_condition(
        self, settings: groups_settings.GroupSettings, now_s: float
    ) -> int:
        if self.refusal_count >= settings.refused_limit:
            return ttypes.Condition.SUSPECT
        if self.get_silence_s(now_s) >= self._get_silence_limit_s(settings):
            return ttypes.Condition.SUSPECT
        if self.is_busy:
            return ttypes.Condition.BUSY
        is_slow = (self.get_latency_s() or 0.0) >= _SLOW_S
        return ttypes.Condition.SLOW if is_slow else ttypes.Condition.LIVE

    def _record_live(self, sent_s: float, now_s: float) -> None:
        self.silent_since_s = None
        self.refusal_count = 0
        self._latencies_s.append(now_s - sent_s)

    def _get_silence_limit_s(self, settings: groups_settings.GroupSettings) -> float:
        """Return the silence limit; it grows with the slowest of the last answers."""
        slowest_s = max(self._latencies_s, default=0.0)
        limit_s = max(settings.silence_limit_s, _SILENCE_FACTOR * slowest_s)
        return min(limit_s, settings.max_silence_limit_s)


class Watcher:
    """Probes every instance of a group, over one persistent connection each.

    Parameters
    ----------
    group : str
    table : groups.table.GroupTable
        Provides the current primary of the group.
    directory : groups.instances.Directory
    driver : object
        Backend driver, with ``connect(target, timeout_s)``.
    settings : groups.settings.GroupSettings
    on_suspect : callable
        Called without arguments when the primary becomes suspect.

    Notes
    -----
    A probe waits for its answer for `probe_timeout_s`, which is longer than the
    silence that makes an instance suspect, so that a late answer clears the
    suspicion. An instance that refuses a connection because all its connection
    slots are in use is not suspect: its condition is ``BUSY``.
    """

    def __init__(
        self,
        group: str,
        table: typing.Any,
        directory: instances.Directory,
        driver: typing.Any,
        settings: groups_settings.GroupSettings,
        on_suspect: typing.Callable[[], None],
    ):
        self._group = group
        self._table = table
        self._directory = directory
        self._driver = driver
        self._settings = settings
        self._results: dict[str, _ProbeResults] = {}
        self._history = staleness.PrimaryPositionHistory()
        self._on_suspect = on_suspect
        self._is_primary_suspect = False
        # The primary while it is not announced, and since when.
        self._unannounced: tuple[str, float] | None = None

    async def run(self) -> None:
        """Probe until cancelled; starts and stops probes as announcements change."""
        scopes: dict[str, trio.CancelScope] = {}
        async with trio.open_nursery() as nursery:
            while True:
                announced = self._directory.get_instances(self._group)
                by_id = {instance.instance: instance for instance in announced}
                for name in sorted(scopes.keys() - by_id.keys()):
                    scopes.pop(name).cancel()
                    self._results.pop(name, None)
                for name in sorted(by_id.keys() - scopes.keys()):
                    scopes[name] = trio.CancelScope()
                    self._results[name] = _ProbeResults()
                    nursery.start_soon(self._watch, by_id[name], scopes[name])
                self._check_primary(trio.current_time())
                await trio.sleep(self._settings.check_interval_s)

    def _check_primary(self, now_s: float) -> None:
        group = self._table.get_group(self._group)
        if group is None:
            return
        was_suspected = self._is_primary_suspect
        results = self._results.get(group.primary)
        if results is None:
            if self._unannounced is None or self._unannounced[0] != group.primary:
                self._unannounced = group.primary, now_s
            self._is_primary_suspect = self._get_missing_s(now_s) is not None
        else:
            self._unannounced = None
            condition = results.get_condition(self._settings, now_s)
            self._is_primary_suspect = condition == ttypes.Condition.SUSPECT
        if self._is_primary_suspect and not was_suspected:
            self._on_suspect()

    def _get_missing_s(self, now_s: float) -> float | None:
        """Return for how long the primary has not been announced.

        None if it is announced, or was until recently: a new leader may receive the
        announcements in several parts.
        """
        if self._unannounced is None:
            return None
        missing_s = now_s - self._unannounced[1]
        return missing_s if missing_s >= self._settings.max_silence_limit_s else None

    def build_health(self, now_s: float) -> ttypes.GroupHealth:
        """Return the probe results for the next heartbeat."""
        reports = [
            self._build_instance_health(name, results, now_s)
            for name, results in sorted(self._results.items())
        ]
        missing_s = self._get_missing_s(now_s)
        if missing_s is not None:
            reports.append(
                ttypes.InstanceHealth(
                    instance=self._unannounced[0],
                    condition=ttypes.Condition.SUSPECT,
                    consecutive_failures=0,
                    silence_ms=durations.get_ms(missing_s),
                )
            )
        return ttypes.GroupHealth(self._group, reports, self._is_stalled(now_s))

    def _build_instance_health(
        self, name: str, results: _ProbeResults, now_s: float
    ) -> ttypes.InstanceHealth:
        report = ttypes.InstanceHealth(
            instance=name,
            condition=results.get_condition(self._settings, now_s),
            consecutive_failures=results.refusal_count,
            silence_ms=durations.get_ms(results.get_silence_s(now_s)),
        )
        latency_s = results.get_latency_s()
        if latency_s is not None:
            report.latency_ms = durations.get_ms(latency_s)
        if results.state is not None:
            self._add_state(report, results, now_s)
        return report

    def _add_state(
        self, report: ttypes.InstanceHealth, results: _ProbeResults, now_s: float
    ) -> None:
        report.in_recovery = results.state.in_recovery
        report.timeline = results.state.position.timeline
        report.lsn = results.state.position.lsn
        report.log_timeline = results.state.log_timeline
        age_s = self._history.get_age_s(results.state.log_position, now_s)
        if age_s is not None:
            report.age_ms = durations.get_ms(age_s)

    def _is_stalled(self, now_s: float) -> bool:
        """Return whether replication has stopped while the primary advanced.

        This is so if the replicas that still make progress are too few to
        acknowledge a write together with the primary.
        """
        group = self._table.get_group(self._group)
        since_s = now_s - self._settings.stall_limit_s
        floor = self._history.get_position_at(since_s)
        if group is None or floor is None or floor.timeline != group.timeline:
            return False
        stalled = [
            name
            for name, results in self._results.items()
            if name in group.instances
            and _is_behind_and_stopped(results, group, floor, since_s, now_s)
        ]
        needed = len(group.instances) - self._settings.ack_instances + 1
        return len(stalled) >= needed

    async def _watch(
        self, instance: instances.Instance, scope: trio.CancelScope
    ) -> None:
        results = self._results[instance.instance]
        connection = None
        with scope:
            try:
                while True:
                    started_s = trio.current_time()
                    connection = await self._probe(instance, results, connection)
                    await trio.sleep_until(started_s + self._get_interval_s(results))
            finally:
                await _close(connection)

    def _get_interval_s(self, results: _ProbeResults) -> float:
        # A refused connection is strong evidence of a failure, so probe again soon.
        # Once the instance is suspect, the normal interval is enough.
        if 0 < results.refusal_count < self._settings.refused_limit:
            return self._settings.refused_interval_s
        if results.state is not None and results.state.in_recovery:
            return self._settings.replica_interval_s
        return self._settings.probe_interval_s

    async def _probe(
        self,
        instance: instances.Instance,
        results: _ProbeResults,
        connection: typing.Any | None,
    ) -> typing.Any | None:
        """Probe once; return the connection to reuse, None if it was closed."""
        sent_s = trio.current_time()
        results.record_sent(sent_s)
        is_answered = False
        timeout_s = self._settings.probe_timeout_s
        with trio.move_on_after(timeout_s):
            try:
                if connection is None:
                    connection = await self._driver.connect(instance.target, timeout_s)
                    sent_s = trio.current_time()
                state = await connection.read_state()
                is_answered = True
            except Exception as error:
                _record_error(results, error, sent_s, trio.current_time())
        if not is_answered:
            await _close(connection)
            return None
        results.record_answer(state, sent_s, trio.current_time())
        self._add_sample(instance.instance, state, sent_s)
        return connection

    def _add_sample(
        self, name: str, state: instances.InstanceState, sent_s: float
    ) -> None:
        group = self._table.get_group(self._group)
        if group is None or name != group.primary or state.in_recovery:
            return
        if state.position.timeline == group.timeline:
            requested_s = (
                sent_s if state.requested_s is None else min(sent_s, state.requested_s)
            )
            self._history.add_sample(state.log_position, requested_s)


def _is_behind_and_stopped(
    results: _ProbeResults,
    group: ttypes.Group,
    floor: positions.Position,
    since_s: float,
    now_s: float,
) -> bool:
    """Return whether a live replica is behind `floor` and has made no progress."""
    if results.state is None or not results.state.in_recovery:
        return False
    if results.get_silence_s(now_s) > _SLOW_S or results.last_progress_s > since_s:
        return False
    position = results.state.log_position
    # A replica that has not joined the timeline has not yet connected to its primary.
    return timelines.has_joined(group, position) and position < floor


def _record_error(
    results: _ProbeResults, error: Exception, sent_s: float, now_s: float
) -> None:
    sqlstate = getattr(error, "sqlstate", None)
    if sqlstate and sqlstate not in _NOT_SERVING_SQLSTATES:
        results.record_busy(sent_s, now_s)
    else:
        results.record_refusal()


async def _close(connection: typing.Any | None) -> None:
    if connection is None:
        return
    with trio.CancelScope(shield=True), trio.move_on_after(_CLOSE_TIMEOUT_S):
        await connection.close()
