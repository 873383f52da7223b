"""Listening sockets of HTTP servers that stop without losing a connection.

The kernel resets connections that are established but not yet accepted when their
listening socket is closed. A stopping server therefore accepts them first.
"""

import asyncio
import contextlib
import dataclasses
import logging
import resource
import socket
from collections.abc import Callable
from typing import Any

from aiohttp import web

from bitternlever.telemetry import events
from bitternlever.transport import bounded_server, client_bounds

BACKLOG = 512
"""Connections that wait for the event loop; a burst of callers opens hundreds."""

ACCEPT_ITERATIONS = 3
"""Iterations of the event loop until an accepted connection has its protocol."""


UNLIMITED_DESCRIPTORS = 65_536
"""Assumed of a process whose descriptors are not limited."""


logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Listener:
    """A listening socket and the runner that serves its connections."""

    socket: socket.socket
    runner: web.BaseRunner


async def listen(
    runner: web.BaseRunner,
    host: str,
    port: int,
    clients: client_bounds.Clients | None = None,
) -> Listener:
    """Serve the bounded connections to an address with a runner that is set up.

    The listeners of a process share ``clients``. Raise OSError if the address cannot be
    bound.
    """
    infos = await asyncio.get_running_loop().getaddrinfo(
        host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
    )
    family, _, _, _, address = infos[0]
    listening = socket.create_server(address[:2], family=family, backlog=BACKLOG)
    listening.setblocking(False)
    bounded_server.bound(runner.server, clients or client_bounds.create(descriptors()))
    await web.SockSite(runner, listening, backlog=BACKLOG).start()
    return Listener(socket=listening, runner=runner)


def watch_accept_failures(
    loop: asyncio.AbstractEventLoop, on_failure: Callable[[], None] | None = None
) -> None:
    """Log and report when a listening socket of an event loop accepts no connection."""

    def handle(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if isinstance(error, OSError) and "accept" in context.get("message", ""):
            events.ACCEPT_FAILED.log(logger, error=repr(error))
            if on_failure is not None:
                on_failure()
            return
        loop.default_exception_handler(context)

    loop.set_exception_handler(handle)


def descriptors() -> int:
    """Return how many descriptors the process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return UNLIMITED_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft


async def stop(listener: Listener) -> None:
    """Refuse new connections; those that are open or were being opened stay."""
    loop = asyncio.get_running_loop()
    loop.remove_reader(listener.socket)
    for _ in range(ACCEPT_ITERATIONS):
        await asyncio.sleep(0)
    accepted = []
    with contextlib.suppress(BlockingIOError):
        while True:
            accepted.append(listener.socket.accept()[0])
    for site in list(listener.runner.sites):
        await site.stop()
    for connection in accepted:
        connection.setblocking(False)
        await loop.connect_accepted_socket(listener.runner.server, connection)
