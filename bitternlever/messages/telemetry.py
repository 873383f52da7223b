"""What the cores tell telemetry."""

import msgspec


class SpanFinished(msgspec.Struct, tag=True):
    """A span that the core measured, in monotonic seconds of this process."""

    traceparent: str | None
    name: str
    start_s: float
    end_s: float
    attributes: dict[str, str | int | float] = {}
