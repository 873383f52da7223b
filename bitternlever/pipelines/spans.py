"""Spans of a request's life on this host, for the trace of its caller."""

from bitternlever.core import ticks
from bitternlever.messages import telemetry
from bitternlever.pipelines import tables as pipeline_tables


def finished(
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    name: str,
    start_s: float,
    end_s: float,
    **attributes: str | int | float,
) -> None:
    """Report a span that ended now; a request without a trace reports none."""
    if request.traceparent is None:
        return
    span = telemetry.SpanFinished(
        traceparent=request.traceparent,
        name=name,
        start_s=start_s,
        end_s=end_s,
        attributes={"bitternlever.request_id": request.request_id, **attributes},
    )
    outbox.send(span)
