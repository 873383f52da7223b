"""Spans of a request's life on this host, for the trace of its caller."""

from bitternlever.core import ticks
from bitternlever.messages import telemetry
from bitternlever.pipelines import tables as pipeline_tables

NOT_SAMPLED = "-00"


def finished(
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    name: str,
    start_s: float,
    end_s: float,
    **attributes: str | int | float,
) -> None:
    """Report a span that ended now; a request that is not traced reports none."""
    traceparent = request.traceparent
    if traceparent is None or traceparent.endswith(NOT_SAMPLED):
        return
    span = telemetry.SpanFinished(
        traceparent=traceparent,
        name=name,
        start_s=start_s,
        end_s=end_s,
        attributes={"bitternlever.request_id": request.request_id, **attributes},
    )
    outbox.send(span)
