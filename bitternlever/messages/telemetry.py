"""Messages from the cores to telemetry."""

import msgspec


class SpanFinished(msgspec.Struct, tag=True):
    """A finished span, timed by the process's monotonic clock in seconds."""

    traceparent: str | None
    name: str
    start_s: float
    end_s: float
    attributes: dict[str, str | int | float] = {}
