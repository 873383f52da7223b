"""Spans of a request on this host, as part of its caller's trace."""

from bitternlever.core import ticks
from bitternlever.messages import telemetry
from bitternlever.pipelines import tables as pipeline_tables

NOT_SAMPLED = "-00"


def report_span(
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    name: str,
    start_s: float,
    end_s: float,
    **attributes: str | int | float,
) -> None:
    """Report a finished span if the request is traced and sampled."""
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
