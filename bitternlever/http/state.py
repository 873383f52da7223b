"""The state that the HTTP handlers share."""

import dataclasses
from collections.abc import Callable
from typing import Any

from aiohttp import web

from bitternlever.conf import configuration
from bitternlever.entry import tables as entry_tables
from bitternlever.http import exchanges
from bitternlever.telemetry import traces


@dataclasses.dataclass(slots=True)
class State:
    """The core's tables, for reading only, and the callback that queues its events."""

    configuration: configuration.EntryConfiguration
    tables: entry_tables.EntryTables
    exchanges: exchanges.Exchanges
    tracer: traces.Tracer
    clock: Callable[[], float]
    on_event: Callable[[Any], None]


KEY = web.AppKey("state", State)
