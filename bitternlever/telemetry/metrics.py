"""OpenTelemetry metrics of a process, read at each export.

Without a collector or a file nothing is exported and the SDK is not imported.
"""

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from bitternlever.conf import configuration
from bitternlever.telemetry import bounded
from bitternlever.transport import client_bounds, links

MILLISECONDS_PER_SECOND = 1_000
PREFIX = "bitternlever."

ReadValues = Callable[[], Mapping[str, float]]


@dataclasses.dataclass(slots=True, frozen=True)
class Source:
    """Values that are read at each export, each with a ``name`` attribute.

    ``is_counter`` is true if the values are counters, which only increase; otherwise
    they are gauges.
    """

    instrument: str
    description: str
    unit: str
    is_counter: bool
    read: ReadValues


def links_source(open_links: links.Links) -> Source:
    """Return the source of the counters of a process's links."""
    return Source(
        instrument="links",
        description="Frames and bytes between the system's processes.",
        unit="1",
        is_counter=True,
        read=lambda: {
            "frames_sent": open_links.frames_sent,
            "bytes_sent": open_links.bytes_sent,
            "frames_received": open_links.frames_received,
            "bytes_received": open_links.bytes_received,
            "dropped": open_links.dropped,
            "refused": open_links.refused,
            "redialled": open_links.redialled,
        },
    )


def clients_source(clients: client_bounds.Clients) -> Source:
    """Return the source of what the clients of a process make it hold."""
    return Source(
        instrument="clients",
        description="Connections of clients and what they make the process hold.",
        unit="1",
        is_counter=False,
        read=lambda: {
            "connections": len(clients.connections),
            "waiting_for_request": len(clients.waiting),
            "held_bytes": clients.held_bytes,
            "closed": clients.closed,
        },
    )


def log_sources(handler: bounded.BoundedHandler | None) -> list[Source]:
    """Return the source of the counters of log lines; empty without a handler."""
    if handler is None:
        return []
    source = Source(
        instrument="log",
        description="Log lines that were left out or dropped.",
        unit="1",
        is_counter=True,
        read=lambda: {"left_out": handler.left_out, "dropped": handler.dropped},
    )
    return [source]


def start(
    settings: configuration.CommonConfiguration,
    service: str,
    sources: Iterable[Source],
) -> Callable[[], Any] | None:
    """Start to export ``sources``; return a function that stops it, or None."""
    if settings.otlp_endpoint is None and not settings.metrics_file:
        return None
    provider = _provider(settings, service)
    meter = provider.get_meter("bitternlever")
    for source in sources:
        observe(meter, source)
    return provider.shutdown


def observe(meter: Any, source: Source) -> None:
    """Register a source with a meter, which reads it at each export."""
    from opentelemetry import metrics

    def callback(_: Any) -> list[metrics.Observation]:
        return [
            metrics.Observation(value, {"name": name})
            for name, value in source.read().items()
        ]

    create = (
        meter.create_observable_counter
        if source.is_counter
        else meter.create_observable_gauge
    )
    create(
        PREFIX + source.instrument,
        callbacks=[callback],
        unit=source.unit,
        description=source.description,
    )


def _provider(settings: configuration.CommonConfiguration, service: str) -> Any:
    from opentelemetry.sdk import metrics, resources
    from opentelemetry.sdk.metrics import export

    resource = resources.Resource.create(
        {"service.name": service, "host.name": settings.host},
    )
    reader = export.PeriodicExportingMetricReader(
        _exporter(settings),
        export_interval_millis=settings.metrics_interval_s * MILLISECONDS_PER_SECOND,
    )
    return metrics.MeterProvider(metric_readers=[reader], resource=resource)


def _exporter(settings: configuration.CommonConfiguration) -> Any:
    if settings.otlp_endpoint is not None:
        from opentelemetry.exporter.otlp.proto.http import metric_exporter

        return metric_exporter.OTLPMetricExporter(
            f"{settings.otlp_endpoint}/v1/metrics",
        )
    from opentelemetry.sdk.metrics import export

    return export.ConsoleMetricExporter(
        out=open(settings.metrics_file, "a", buffering=1),  # noqa: SIM115
        formatter=lambda data: data.to_json(indent=None) + "\n",
    )
