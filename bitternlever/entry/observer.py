"""Logging of changes on an entry host: its lease, its manifest, its counters."""

import dataclasses
import logging

from bitternlever.entry import lease, tables as entry_tables
from bitternlever.telemetry import counters, events

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Observer:
    """The values that were logged last."""

    accepts_work: bool = False
    manifest_number: int = 0
    counted: dict[str, int] = dataclasses.field(default_factory=dict)


def observe(
    observer: Observer,
    tables: entry_tables.EntryTables,
    now: float,
) -> None:
    """Log changes since the last call."""
    _observe_accepts_work(observer, tables, now)
    if tables.manifest.number != observer.manifest_number:
        observer.manifest_number = tables.manifest.number
        events.MANIFEST_IN_FORCE.log(
            logger,
            number=tables.manifest.number,
            digest=tables.manifest.digest,
        )
    counters.log_raised(observer.counted, tables.counters)


def _observe_accepts_work(
    observer: Observer,
    tables: entry_tables.EntryTables,
    now: float,
) -> None:
    accepts_work = lease.accepts_work(tables, now)
    if accepts_work == observer.accepts_work:
        return
    observer.accepts_work = accepts_work
    event = events.WORK_ACCEPTED if accepts_work else events.WORK_REFUSED
    event.log(logger, epoch=tables.lease.epoch)
