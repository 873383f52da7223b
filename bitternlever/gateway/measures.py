"""Counters of an entry host, and the sources of its metrics."""

import bisect
import collections
import dataclasses
import math
import typing

from bitternlever.core import clocks
from bitternlever.telemetry import bounded, metrics
from bitternlever.transport import exchange, links

if typing.TYPE_CHECKING:
    from bitternlever.gateway import state

BOUNDS_S = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)
"""Upper bounds of the latency histograms, in seconds; the last bucket is open."""


@dataclasses.dataclass(slots=True)
class Measures:
    """Counters by name, and latencies in buckets by name."""

    requests: collections.Counter = dataclasses.field(
        default_factory=collections.Counter,
    )
    refusals: collections.Counter = dataclasses.field(
        default_factory=collections.Counter,
    )
    attempts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter,
    )
    batches: collections.Counter = dataclasses.field(
        default_factory=collections.Counter,
    )
    latencies: collections.Counter = dataclasses.field(
        default_factory=collections.Counter,
    )
    notices: collections.Counter = dataclasses.field(
        default_factory=collections.Counter,
    )
    take_ups: collections.Counter = dataclasses.field(
        default_factory=collections.Counter,
    )


def record_latency(measures: Measures, name: str, seconds: float) -> None:
    """Add a latency to its histogram bucket and to the sum of its name."""
    bucket = bisect.bisect_left(BOUNDS_S, seconds)
    bound = f"{BOUNDS_S[bucket]:g}" if bucket < len(BOUNDS_S) else "more"
    measures.latencies[f"{name}.le_{bound}"] += 1
    measures.latencies[f"{name}.sum"] += seconds


def sources(
    gateway: "state.Gateway",
    handler: bounded.BoundedHandler | None,
) -> list[metrics.Source]:
    """Return the sources of an entry host's metrics."""
    measures = gateway.measures

    def counter_source(instrument: str, description: str, unit: str) -> metrics.Source:
        return metrics.Source(
            instrument=f"entry.{instrument}",
            description=description,
            unit=unit,
            is_counter=True,
            read=lambda: getattr(measures, instrument),
        )

    return [
        counter_source("requests", "Requests by kind and outcome.", "1"),
        counter_source("refusals", "Own answers by status and reason.", "1"),
        counter_source(
            "attempts", "Sends to upstreams, repeats and their refusals.", "1"
        ),
        counter_source("batches", "Calls to stage upstreams and their pieces.", "1"),
        counter_source("latencies", "Latencies in buckets, and their sums.", "s"),
        counter_source(
            "notices",
            "Notices of upstreams: leaving, pauses, limits, bounds exceeded.",
            "1",
        ),
        metrics.Source(
            instrument="entry.state",
            description="What this host believes at present.",
            unit="1",
            is_counter=False,
            read=lambda: _state_values(gateway),
        ),
        connections_source(gateway.pool),
        metrics.links_source(gateway.links),
        *metrics.log_sources(handler),
    ]


def connections_source(pool: exchange.Pool) -> metrics.Source:
    """Return the source of the counters of upstream connections."""
    return metrics.Source(
        instrument="entry.connections",
        description="Connections to upstreams, opened and used again, and their bytes.",
        unit="1",
        is_counter=True,
        read=lambda: {
            "opened": pool.opened,
            "reused": pool.reused,
            "bytes_sent": pool.bytes_sent,
        },
    )


def _state_values(gateway: "state.Gateway") -> dict[str, float]:
    tables = gateway.tables
    now = clocks.boot_time()
    values: dict[str, float] = {
        "in_flight": gateway.in_flight,
        "upstream_connections": gateway.pool.open + gateway.host_pool.open,
        "standstill_s": gateway.strain.standstill_s,
        "round_trip_s": -1
        if math.isinf(gateway.strain.round_trip_s)
        else gateway.strain.round_trip_s,
        "hosts_listed": len(tables.hosts.listed),
        "controls_known": len(tables.controls),
        "catalog_version": -1 if tables.catalog is None else tables.catalog.version,
        "catalog_age_s": -1
        if tables.catalog_current_s is None
        else now - tables.catalog_current_s,
    }
    for entry in tables.upstreams.entries.values():
        name = f"upstreams_{entry.status.state.value}"
        values[name] = values.get(name, 0) + 1
    values["zones_evacuated"] = len(tables.evacuation.zones)
    values["upstreams_paused"] = len(tables.pauses)
    values["pause_hints"] = len(tables.pause_hints)
    values["upstreams_limited"] = sum(
        limit.per_s is not None for limit in tables.rate_limits.values()
    )
    values["parts_refused"] = sum(
        record.quarantined for record in tables.crash_subjects.records.values()
    )
    if gateway.links is not None:
        values["oldest_unacknowledged_s"] = links.oldest_unacknowledged_s(
            gateway.links, now
        )
    for queue in tables.batchers.values():
        name = f"waiting.{queue.service}"
        waiting = sum(len(work.waiting) for work in queue.works.values())
        values[name] = values.get(name, 0) + waiting
    return values
