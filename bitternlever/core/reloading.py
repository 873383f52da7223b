"""Reload changed settings on SIGHUP and by polling."""

import asyncio
import logging
import signal
from collections.abc import Callable
from typing import Any

import result

from bitternlever.core import signals
from bitternlever.telemetry import events

POLL_INTERVAL_S = 1.0
"""Polling detects a change without a signal; 1 s is well below all time bounds."""

ReadSettings = Callable[[], result.Result[Any, list[Any]]]

logger = logging.getLogger(__name__)


def watch_settings(
    handlers: signals.Handlers,
    read: ReadSettings,
    initial: Any,
    on_change: Callable[[Any], None],
) -> None:
    """Call ``on_change`` with the new settings whenever they have changed.

    They are read at once, since a signal that came earlier was ignored. Invalid
    settings are not applied, and the same faults are logged only once.
    """
    loop = asyncio.get_running_loop()
    # The settings in force, and the faults logged last: None after valid settings.
    settings_and_faults = [initial, None]

    def reload(*, signalled: bool) -> None:
        outcome = read()
        if outcome.is_err():
            faults = [str(fault) for fault in outcome.err()]
            if faults != settings_and_faults[1]:
                events.SETTINGS_REFUSED.log(logger, faults=faults)
            settings_and_faults[1] = faults
            return
        changed = outcome.ok() != settings_and_faults[0]
        if signalled or changed:
            events.SETTINGS_READ.log(logger, signalled=signalled, changed=changed)
        settings_and_faults[0], settings_and_faults[1] = outcome.ok(), None
        if changed:
            on_change(outcome.ok())

    def poll() -> None:
        loop.call_later(POLL_INTERVAL_S, poll)
        reload(signalled=False)

    signals.handle(handlers, signal.SIGHUP, lambda: reload(signalled=True))
    loop.call_soon(poll)
