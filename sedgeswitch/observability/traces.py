"""Traces: one span for each hop, sampled at the first hop."""

import collections.abc
import contextlib
import pathlib
import random
import typing

from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.trace import propagation
from opentelemetry.trace.propagation import tracecontext

Redact = collections.abc.Callable[[str], str]

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


def _format_span(span: sdk_trace.ReadableSpan) -> str:
    return span.to_json(indent=None) + "\n"


def _redact_nothing(text: str) -> str:
    return text


class Span:
    """One hop of a sampled request.

    Parameters
    ----------
    span : opentelemetry.trace.Span
    tracer : opentelemetry.trace.Tracer
    redact : callable, optional
        Removes caller keys from a field.
    """

    def __init__(
        self, span: trace.Span, tracer: trace.Tracer, redact: Redact = _redact_nothing
    ):
        self._span = span
        self._tracer = tracer
        self._redact = redact

    @property
    def traceparent(self) -> str:
        """The W3C header that makes another hop a child of this one."""
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, trace.set_span_in_context(self._span))
        return carrier["traceparent"]

    def set_field(self, name: str, value: str | int | float | bool) -> None:
        """Record a fact about the hop."""
        if isinstance(value, str):
            value = self._redact(value)
        self._span.set_attribute(name, value)

    @contextlib.contextmanager
    def start_child(self, name: str) -> typing.Iterator["Span"]:
        """Open the span of the next hop within this process."""
        context = trace.set_span_in_context(self._span)
        child = self._tracer.start_span(name, context)
        try:
            yield Span(child, self._tracer, self._redact)
        finally:
            child.end()

    def end(self) -> None:
        """Close the span."""
        self._span.end()


class NoSpan:
    """Stands for the span of a request that is not sampled."""

    traceparent = ""

    def set_field(self, name: str, value: str | int | float | bool) -> None:
        """Do nothing."""

    def start_child(self, name: str) -> "NoSpan":  # noqa: ARG002
        """Return this object, which is its own child."""
        return self

    def end(self) -> None:
        """Do nothing."""

    def __enter__(self) -> "NoSpan":
        return self

    def __exit__(self, *exception: object) -> None:
        return None


NO_SPAN = NoSpan()


@contextlib.contextmanager
def end_on_exit(span: Span | NoSpan) -> typing.Iterator[Span | NoSpan]:
    """Close a span at the end of a block."""
    try:
        yield span
    finally:
        span.end()


class Tracer:
    """Starts spans and writes the sampled ones as JSON lines.

    Parameters
    ----------
    host_id : str
        Put into each span.
    path : pathlib.Path or None
        File that spans are appended to; None records none.
    sample_share : float
        Share of requests, from 0 to 1, that are sampled at their first hop.
    rng : random.Random
    redact : callable, optional
        Removes caller keys from a field.
    """

    def __init__(
        self,
        host_id: str,
        path: pathlib.Path | None,
        sample_share: float,
        rng: random.Random,
        redact: Redact = _redact_nothing,
    ):
        self._sample_share = sample_share if path is not None else 0.0
        self._rng = rng
        self._redact = redact
        self._tracer: trace.Tracer | None = None
        if path is not None:
            resource = resources.Resource({"service.instance.id": host_id})
            provider = sdk_trace.TracerProvider(resource=resource)
            exporter = export.ConsoleSpanExporter(
                out=path.open("a", buffering=1), formatter=_format_span
            )
            provider.add_span_processor(export.SimpleSpanProcessor(exporter))
            self._tracer = provider.get_tracer("sedgeswitch")

    def start_span(self, name: str, traceparent: str = "") -> Span | NoSpan:
        """Start the span of a hop that another process may have led to.

        Parameters
        ----------
        name : str
        traceparent : str
            W3C header of the previous hop, or empty at the first hop. A
            malformed one is ignored.
        """
        if self._tracer is None:
            return NO_SPAN
        context = _PROPAGATOR.extract({"traceparent": traceparent})
        parent = propagation.get_current_span(context).get_span_context()
        if not parent.is_valid:
            if self._rng.random() >= self._sample_share:
                return NO_SPAN
            return self._build_span(name, None)
        if not parent.trace_flags.sampled:
            return NO_SPAN
        return self._build_span(name, context)

    def _build_span(self, name: str, parent: typing.Any) -> Span:
        span = self._tracer.start_span(name, parent)
        return Span(span, self._tracer, self._redact)
