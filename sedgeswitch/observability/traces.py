"""Distributed traces: one span for each hop of a request.

A hop that receives a valid ``traceparent`` header applies the sampling decision in it.
Any other hop decides at random. If it does not sample the request, it sends no valid
header on, so the next hop decides again.
"""

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
        Starts the spans of child hops.
    redact : callable, optional
        Removes the callers' API keys from the value of a field.
    """

    def __init__(
        self, span: trace.Span, tracer: trace.Tracer, redact: Redact = _redact_nothing
    ):
        self._span = span
        self._tracer = tracer
        self._redact = redact

    @property
    def traceparent(self) -> str:
        """The W3C ``traceparent`` header that makes the next hop a child span."""
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, trace.set_span_in_context(self._span))
        return carrier["traceparent"]

    def set_field(self, name: str, value: str | int | float | bool) -> None:
        """Set an attribute of the span, redacted if it is a string."""
        if isinstance(value, str):
            value = self._redact(value)
        self._span.set_attribute(name, value)

    @contextlib.contextmanager
    def start_child(self, name: str) -> typing.Iterator["Span"]:
        """Start a child span for a hop within this process, ended by the block."""
        context = trace.set_span_in_context(self._span)
        child = self._tracer.start_span(name, context)
        try:
            yield Span(child, self._tracer, self._redact)
        finally:
            child.end()

    def end(self) -> None:
        """End the span."""
        self._span.end()


class NoSpan:
    """Replaces the span of a request that is not sampled; records nothing."""

    traceparent = ""

    def set_field(self, name: str, value: str | int | float | bool) -> None:
        """Do nothing."""

    def start_child(self, name: str) -> "NoSpan":  # noqa: ARG002
        """Return this object as its own child span."""
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
    """End a span at the end of a block, also after an exception."""
    try:
        yield span
    finally:
        span.end()


class Tracer:
    """Starts spans and writes the sampled ones as JSON lines.

    Parameters
    ----------
    host_id : str
        Included in each span.
    path : pathlib.Path or None
        File to which spans are appended; with None, no span is recorded.
    sample_share : float
        Share of requests without a valid ``traceparent`` header, from 0 to 1, that
        are sampled.
    rng : random.Random
        Selects the requests to sample.
    redact : callable, optional
        Removes the callers' API keys from the value of a field.
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
        """Start the span of a request that arrives in this process.

        Parameters
        ----------
        name : str
        traceparent : str
            W3C ``traceparent`` header of the previous hop, or empty at the first
            hop. A malformed header is ignored.

        Returns
        -------
        Span or NoSpan
            `NO_SPAN` if the request is not sampled.
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
