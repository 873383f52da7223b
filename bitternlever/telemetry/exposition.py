"""Serve metrics as text over HTTP; OpenTelemetry collects them on each request.

The SDK is imported on the first request, in a thread, since its import would delay the
start of every process.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from aiohttp import web

from bitternlever.telemetry import metrics

CONTENT_TYPE = "text/plain"
PATH = "/metrics"


@dataclasses.dataclass(slots=True)
class Exposition:
    """The sources of a process and their reader, which the first request creates."""

    sources: Sequence[metrics.Source]
    reader: Any = None


def handler(
    exposition: Exposition,
) -> Callable[[web.BaseRequest], Awaitable[web.Response]]:
    """Return the HTTP handler that serves the metrics."""

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.path != PATH:
            return web.Response(status=404)
        if exposition.reader is None:
            exposition.reader = await asyncio.to_thread(
                _create_reader, exposition.sources
            )
        text = render(exposition.reader.get_metrics_data())
        return web.Response(text=text, content_type=CONTENT_TYPE)

    return handle


def render(data: Any) -> str:
    """Return one line per value: the instrument, its ``name`` attribute, the value."""
    lines = []
    for resource in data.resource_metrics if data is not None else ():
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                lines += _format_metric(metric)
    return "\n".join(lines) + "\n"


def _format_metric(metric: Any) -> list[str]:
    name = metric.name.replace(".", "_")
    return [
        f'{name}{{name="{point.attributes.get("name", "")}"}} {point.value}'
        for point in metric.data.data_points
    ]


def _create_reader(sources: Sequence[metrics.Source]) -> Any:
    from opentelemetry.sdk import metrics as sdk
    from opentelemetry.sdk.metrics import export

    reader = export.InMemoryMetricReader()
    provider = sdk.MeterProvider(metric_readers=[reader])
    meter = provider.get_meter("bitternlever")
    for source in sources:
        metrics.observe(meter, source)
    return reader
