"""Metrics sent to a statsd server."""

import statsd


class Metrics:
    """Sends counters, gauges and timings to a statsd server over UDP.

    Counters are summed in memory and sent by `flush`, so that counting in a
    request makes no system call.

    Parameters
    ----------
    client : statsd.StatsClient or None
        With None, nothing is sent.
    """

    def __init__(self, client: statsd.StatsClient | None = None):
        self._client = client
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}

    @property
    def is_enabled(self) -> bool:
        """Whether metrics are sent to a server."""
        return self._client is not None

    def count(self, name: str, increment: int = 1) -> None:
        """Add to a counter; `flush` sends the sum."""
        self._counts[name] = self._counts.get(name, 0) + increment

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge; `flush` sends the last value."""
        self._gauges[name] = value

    def record_duration(self, name: str, duration_s: float) -> None:
        """Send a duration immediately, without waiting for `flush`."""
        if self._client is not None:
            self._client.timing(name, duration_s * 1000)

    def flush(self) -> None:
        """Send the counters and gauges since the last flush in one batch."""
        counts, self._counts = self._counts, {}
        gauges, self._gauges = self._gauges, {}
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, increment in counts.items():
                pipeline.incr(name, increment)
            for name, value in gauges.items():
                pipeline.gauge(name, value)


def build_metrics(host: str, port: int, prefix: str) -> Metrics:
    """Return metrics that are sent to a statsd server.

    Parameters
    ----------
    host : str
        IP address of the server.
    port : int
        UDP port of the server.
    prefix : str
        Prepended to every metric name.
    """
    return Metrics(statsd.StatsClient(host, port, prefix=prefix))
