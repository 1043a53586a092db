"""Metrics in the text exposition format of Prometheus."""

import typing

import prometheus_client

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
# Upper bounds of the histogram buckets for durations, in seconds.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)

REGISTRY = prometheus_client.CollectorRegistry()

STATEMENTS = prometheus_client.Counter(
    "sedgeswitch_statements",
    "Statements answered, by kind and outcome.",
    ("step", "outcome"),
    registry=REGISTRY,
)
STATEMENT_SECONDS = prometheus_client.Histogram(
    "sedgeswitch_statement_seconds",
    "Time from a statement to its answer.",
    ("step",),
    buckets=BUCKETS_S,
    registry=REGISTRY,
)
REPLIES = prometheus_client.Counter(
    "sedgeswitch_instance_replies",
    "Replies of instances, by outcome.",
    ("outcome",),
    registry=REGISTRY,
)
EXCLUSIONS = prometheus_client.Counter(
    "sedgeswitch_excluded_statements",
    "Statements refused because no instance that they may run on can run them.",
    registry=REGISTRY,
)
COLD_STATEMENTS = prometheus_client.Counter(
    "sedgeswitch_cold_statements",
    "Statements for instances that are slow after their start, by outcome.",
    ("outcome",),
    registry=REGISTRY,
)
COLD_WAIT_SECONDS = prometheus_client.Histogram(
    "sedgeswitch_cold_wait_seconds",
    "Time that statements waited for a token of such an instance.",
    buckets=BUCKETS_S,
    registry=REGISTRY,
)
FORWARDS = prometheus_client.Counter(
    "sedgeswitch_forwards",
    "Statements forwarded to the holder of a connection, by outcome.",
    ("outcome",),
    registry=REGISTRY,
)
HELD = prometheus_client.Counter(
    "sedgeswitch_held_statements",
    "Statements of other hosts' callers run as a holder, by outcome.",
    ("outcome",),
    registry=REGISTRY,
)
HOST_CALL_FAILURES = prometheus_client.Counter(
    "sedgeswitch_host_call_failures",
    "Calls to other entry hosts without a useful answer, by reason.",
    ("reason",),
    registry=REGISTRY,
)
READS_BY_PLACE = prometheus_client.Counter(
    "sedgeswitch_reads_by_place",
    "Reads that replicas answered, by the place of the instance.",
    ("place",),
    registry=REGISTRY,
)
LEFT_READS = prometheus_client.Counter(
    "sedgeswitch_reads_left",
    "Reads that went past the nearest instance, by where to and outcome.",
    ("place", "outcome"),
    registry=REGISTRY,
)
LEFT_SECONDS = prometheus_client.Counter(
    "sedgeswitch_reads_left_seconds",
    "Time gained or lost by these reads, against the expected time at the nearest.",
    ("place", "outcome"),
    registry=REGISTRY,
)
ADMISSION_SECONDS = prometheus_client.Histogram(
    "sedgeswitch_admission_seconds",
    "Time that operations waited for a token of their organisation, also in vain.",
    buckets=BUCKETS_S,
    registry=REGISTRY,
)
STAGE_SECONDS = prometheus_client.Histogram(
    "sedgeswitch_stage_seconds",
    "Time of operations in each stage, by kind of operation; see observability.stages.",
    ("kind", "stage"),
    buckets=BUCKETS_S,
    registry=REGISTRY,
)
OLDEST_SECONDS = prometheus_client.Gauge(
    "sedgeswitch_oldest_operation_seconds",
    "Age of the oldest running operation of an organisation, and its present stage.",
    ("organisation", "stage"),
    registry=REGISTRY,
)
VALUES = prometheus_client.Gauge(
    "sedgeswitch_value",
    "Present values of a process, by name.",
    ("name",),
    registry=REGISTRY,
)

Values = typing.Callable[[], dict[str, float]]


class OldestOperation(typing.NamedTuple):
    """The oldest running operation of an organisation.

    Attributes
    ----------
    organisation : str
    stage : str
        The stage that it is in now; see `observability.stages`.
    age_s : float
    """

    organisation: str
    stage: str
    age_s: float


def build_text(
    values: dict[str, float], oldest: typing.Iterable[OldestOperation] = ()
) -> bytes:
    """Return all metrics in the exposition format.

    Parameters
    ----------
    values : dict of str to float
        Current values of the process by name, shown as the gauge
        ``sedgeswitch_value``.
    oldest : iterable of OldestOperation
        Shown as the gauge ``sedgeswitch_oldest_operation_seconds``.
    """
    for name, value in values.items():
        VALUES.labels(name).set(value)
    OLDEST_SECONDS.clear()
    for operation in oldest:
        labels = (operation.organisation, operation.stage)
        OLDEST_SECONDS.labels(*labels).set(operation.age_s)
    return prometheus_client.generate_latest(REGISTRY)
