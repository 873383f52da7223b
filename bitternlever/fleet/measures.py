"""The sources of a control process's metrics."""

import typing

from bitternlever.consensus import tables as consensus_tables
from bitternlever.fleet import tables as fleet_tables
from bitternlever.telemetry import bounded, metrics

if typing.TYPE_CHECKING:
    from bitternlever.fleet import shell as fleet_shell


def sources(
    shell: "fleet_shell.Shell",
    handler: bounded.BoundedHandler | None,
) -> list[metrics.Source]:
    """Return the sources of a control process's metrics."""
    return [
        metrics.Source(
            instrument="control.state",
            description="What this control process believes at present.",
            unit="1",
            is_counter=False,
            read=lambda: _state_values(shell.tables),
        ),
        metrics.Source(
            instrument="control.counters",
            description="Counted events of the replicated log.",
            unit="1",
            is_counter=True,
            read=lambda: shell.tables.replica.counters,
        ),
        metrics.links_source(shell.links),
        *metrics.log_sources(handler),
    ]


def _state_values(tables: fleet_tables.FleetTables) -> dict[str, float]:
    replica = tables.replica
    values: dict[str, float] = {
        "leads": float(fleet_tables.is_leader(tables)),
        "votes": float(consensus_tables.is_voter(replica)),
        "term": replica.term,
        "commit_index": replica.commit_index,
        "applied_index": replica.applied_index,
        "catalog_version": -1
        if tables.catalog.version is None
        else tables.catalog.version,
        "hosts_listed": len(tables.hosts.listed),
        "candidates": len(tables.join_candidates),
        "disk_failed": float(replica.disk.failed is not None),
        "voters": 0 if replica.membership is None else len(replica.membership.voters),
    }
    values["upstreams_limited"] = sum(
        limit.per_s is not None for limit in tables.rate_limits.values()
    )
    values["crash_suspects"] = len(tables.crash_evidence.suspects)
    values["parts_refused"] = sum(
        record.quarantined for record in tables.refused_parts.values()
    )
    for entry in tables.upstreams.entries.values():
        name = f"upstreams_{entry.status.state.value}"
        values[name] = values.get(name, 0) + 1
    return values
