"""Notice changed settings: at a signal, and by a look at the file at intervals."""

import asyncio
import logging
import signal
from collections.abc import Callable
from typing import Any

import result

from bitternlever.telemetry import events

POLL_INTERVAL_S = 1.0
"""The file may change without a signal; a second is well below all bounds."""

Read = Callable[[], result.Result[Any, list[Any]]]

logger = logging.getLogger(__name__)


def watch(read: Read, held: Any, on_change: Callable[[Any], None]) -> None:
    """Call ``on_change`` with settings that differ from those held so far.

    Settings that cannot be used are logged once and change nothing.
    """
    loop = asyncio.get_running_loop()
    state = [held, None]

    def look(*, signalled: bool) -> None:
        outcome = read()
        if outcome.is_err():
            faults = [str(fault) for fault in outcome.err()]
            if faults != state[1]:
                events.SETTINGS_REFUSED.log(logger, faults=faults)
            state[1] = faults
            return
        changed = outcome.ok() != state[0]
        if signalled or changed:
            events.SETTINGS_READ.log(logger, signalled=signalled, changed=changed)
        state[0], state[1] = outcome.ok(), None
        if changed:
            on_change(outcome.ok())

    def poll() -> None:
        look(signalled=False)
        loop.call_later(POLL_INTERVAL_S, poll)

    loop.add_signal_handler(signal.SIGHUP, lambda: look(signalled=True))
    loop.call_later(POLL_INTERVAL_S, poll)
