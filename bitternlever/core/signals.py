"""Signals of a process, from its first line of Python to its last.

The default action of SIGHUP and SIGTERM ends a process. A notice of changed settings
must never do so: it is ignored until the settings are watched, which reads them once
more, and when the program ends. A request to stop ends a process that does not serve
yet; from then on the program decides.

The handlers of an asyncio loop are not used, since closing the loop restores the
default actions while the process still has to finish.
"""

import asyncio
import dataclasses
import signal
import socket
from collections.abc import Callable

MAXIMUM_PENDING = 4_096
"""Signals that are read at once; each is one byte."""


@dataclasses.dataclass(slots=True)
class Handlers:
    """The functions to call at signals, and the sockets on which signals arrive."""

    callbacks: dict[int, Callable[[], None]]
    receiver: socket.socket
    sender: socket.socket


def ignore_all() -> None:
    """Ignore notices and requests to stop while the process ends."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)


def listen(loop: asyncio.AbstractEventLoop) -> Handlers:
    """Start to receive signals on a loop; call it in the main thread, once."""
    receiver, sender = socket.socketpair()
    receiver.setblocking(False)
    sender.setblocking(False)
    handlers = Handlers(callbacks={}, receiver=receiver, sender=sender)
    signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
    loop.add_reader(receiver, _receive, handlers)
    return handlers


def handle(handlers: Handlers, number: int, callback: Callable[[], None]) -> None:
    """Call a function on the loop whenever a signal has come."""
    handlers.callbacks[number] = callback
    signal.signal(number, _do_nothing)
    signal.siginterrupt(number, False)


def _receive(handlers: Handlers) -> None:
    for number in handlers.receiver.recv(MAXIMUM_PENDING):
        callback = handlers.callbacks.get(number)
        if callback is not None:
            callback()


def _do_nothing(number: int, frame: object) -> None:
    """Receive a signal; the loop learns of it by the byte that was written."""
