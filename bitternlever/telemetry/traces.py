"""Tracing: propagate the W3C trace context and record a span for each call.

Without a collector or a file all spans are dropped and OpenTelemetry's SDK is not
imported; the trace context of a caller is still propagated.
"""

import contextlib
import dataclasses
import os
from collections.abc import Iterator
from typing import Any

from opentelemetry import context, trace
from opentelemetry.trace.propagation import tracecontext

from bitternlever.messages import requests, telemetry

PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
NANOSECONDS_PER_SECOND = 1_000_000_000


@dataclasses.dataclass(slots=True)
class Tracer:
    """The tracer of this process.

    ``offset_ns`` is added to the core's time to get wall time.
    """

    tracer: trace.Tracer
    offset_ns: int
    shutdown: Any = None

    @contextlib.contextmanager
    def server_call(self, name: str, traceparent: str | None) -> Iterator["OpenSpan"]:
        """Open a server span for an incoming call."""
        with self.tracer.start_as_current_span(
            name,
            context=_parent_context(traceparent),
            kind=trace.SpanKind.SERVER,
        ) as span:
            yield OpenSpan(span=span)

    @contextlib.contextmanager
    def upstream_call(self, message: requests.CallUpstream) -> Iterator["OpenSpan"]:
        """Open a client span for a call to an upstream."""
        binding = message.call.binding
        with self.tracer.start_as_current_span(
            f"upstream {message.task}",
            context=_parent_context(message.traceparent),
            kind=trace.SpanKind.CLIENT,
            attributes={
                "bitternlever.upstream": message.upstream,
                "bitternlever.request_id": binding.request,
                "bitternlever.stage": binding.stage,
                "bitternlever.attempt": binding.attempt,
            },
        ) as span:
            yield OpenSpan(span=span)

    def record_span(self, message: telemetry.SpanFinished) -> None:
        """Record a finished span with the times that the core measured."""
        span = self.tracer.start_span(
            message.name,
            context=_parent_context(message.traceparent),
            start_time=self._to_wall_ns(message.start_s),
            attributes=message.attributes,
        )
        span.end(end_time=self._to_wall_ns(message.end_s))

    def _to_wall_ns(self, core_s: float) -> int:
        return int(core_s * NANOSECONDS_PER_SECOND) + self.offset_ns


@dataclasses.dataclass(slots=True)
class OpenSpan:
    """An open span."""

    span: trace.Span

    def headers(self) -> dict[str, str]:
        """Return the headers that propagate the trace context to the next process."""
        carrier: dict[str, str] = {}
        PROPAGATOR.inject(carrier, context=trace.set_span_in_context(self.span))
        return carrier

    @property
    def traceparent(self) -> str | None:
        """Return the W3C ``traceparent`` of this span."""
        return self.headers().get("traceparent")

    def set_attribute(self, name: str, value: str | int | float) -> None:
        """Add an attribute to the span."""
        self.span.set_attribute(name, value)


def create(
    service: str,
    host: str,
    wall_ns: int,
    clock_ns: int,
    otlp_endpoint: str | None,
    spans_file: str,
    trace_ratio: float = 1.0,
) -> Tracer:
    """Return a tracer; it exports to the collector, else to the file, else nowhere.

    ``trace_ratio`` is the share of requests to trace where the caller has not decided.
    """
    offset_ns = wall_ns - clock_ns
    if otlp_endpoint is None and not spans_file:
        return Tracer(tracer=trace.NoOpTracer(), offset_ns=offset_ns)
    provider = _provider(service, host, otlp_endpoint, spans_file, trace_ratio)
    return Tracer(
        tracer=provider.get_tracer("bitternlever"),
        offset_ns=offset_ns,
        shutdown=provider.shutdown,
    )


def _provider(
    service: str,
    host: str,
    otlp_endpoint: str | None,
    spans_file: str,
    trace_ratio: float,
) -> Any:
    from opentelemetry.sdk import resources, trace as sdk_trace
    from opentelemetry.sdk.trace import export, sampling

    resource = resources.Resource.create(
        {"service.name": service, "host.name": host, "process.pid": os.getpid()},
    )
    sampler = sampling.ParentBased(root=sampling.TraceIdRatioBased(trace_ratio))
    provider = sdk_trace.TracerProvider(resource=resource, sampler=sampler)
    if otlp_endpoint is not None:
        from opentelemetry.exporter.otlp.proto.http import trace_exporter

        exporter = trace_exporter.OTLPSpanExporter(f"{otlp_endpoint}/v1/traces")
    else:
        exporter = export.ConsoleSpanExporter(
            out=open(spans_file, "a", buffering=1),  # noqa: SIM115
            formatter=lambda span: span.to_json(indent=None) + "\n",
        )
    provider.add_span_processor(export.BatchSpanProcessor(exporter))
    return provider


def _parent_context(traceparent: str | None) -> context.Context:
    if traceparent is None:
        return context.Context()
    return PROPAGATOR.extract({"traceparent": traceparent}, context=context.Context())
