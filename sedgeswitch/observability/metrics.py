"""Metrics over statsd."""

import statsd


class Metrics:
    """Sends counters, gauges and timings to a statsd server over UDP.

    Counters are summed in memory and sent by `flush`, so that a request costs
    no system call.

    Parameters
    ----------
    client : statsd.StatsClient or None
        None sends nothing.
    """

    def __init__(self, client: statsd.StatsClient | None = None):
        self._client = client
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}

    @property
    def is_enabled(self) -> bool:
        """Whether anything is sent."""
        return self._client is not None

    def count(self, name: str, increment: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] = self._counts.get(name, 0) + increment

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def record_duration(self, name: str, duration_s: float) -> None:
        """Send a timing at once."""
        if self._client is not None:
            self._client.timing(name, duration_s * 1000)

    def flush(self) -> None:
        """Send what was summed since the last flush, in one batch."""
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
    """Return metrics that go to a statsd server.

    Parameters
    ----------
    host : str
        IP number of the server.
    port : int
        UDP port of the server.
    prefix : str
        Put before every name.
    """
    return Metrics(statsd.StatsClient(host, port, prefix=prefix))
