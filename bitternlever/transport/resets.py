"""Reset a TCP connection, so that its peer does not take its end for a normal one."""

import asyncio
import contextlib
import socket
import struct

LINGER_NONE = struct.pack("ii", 1, 0)
"""Makes the kernel drop unsent data and send a reset when the socket is closed."""


def reset(transport: asyncio.BaseTransport) -> None:
    """Close a connection at once with a reset."""
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is not None:
        with contextlib.suppress(OSError):
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    transport.abort()
