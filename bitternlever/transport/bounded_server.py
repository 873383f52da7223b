"""HTTP servers that bound what a connection may make them hold.

aiohttp parses all bytes of a read at once, keeps a copy of those that are no HTTP for
each read until the error is answered, and repeats them in its answer and its log.
Smaller reads bound the copies; reads of many short lines are parsed in slices. After
an error nothing more is read, and the answer is short.
"""

import asyncio
import logging

from aiohttp import web, web_protocol

from bitternlever.telemetry import events

FIRST_READ_BYTES = 4_096
"""Bytes that are no HTTP mostly come first, and each read of them is copied."""

READ_BYTES = 32_768
"""Most requests fit; the library's own 256 KB make a copy as large of bytes that don't.
"""

SLICE_BYTES = 1_024
"""Parsing this in chunks of a byte takes 1 ms."""

SHORT_LINE_BYTES = 16
"""Lines of heads are longer on average; the framing of short chunks is not."""

logger = logging.getLogger(__name__)


class BoundedRequestHandler(web_protocol.RequestHandler):
    """The protocol of one connection."""

    __slots__ = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the size of reads; they grow up to the bound."""
        transport.max_size = FIRST_READ_BYTES
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Parse what was read; in slices if that takes long."""
        if self.transport is not None:
            self.transport.max_size = min(2 * self.transport.max_size, READ_BYTES)
        if data.count(b"\r\n") * SHORT_LINE_BYTES <= len(data):
            super().data_received(data)
        else:
            self._parse_slices(data)

    def _parse_slices(self, data: bytes) -> None:
        """Parse the first slice now and the rest in the next loop iterations."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        super().data_received(data[:SLICE_BYTES])
        rest = data[SLICE_BYTES:]
        if rest:
            transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._parse_slices, rest)
        else:
            transport.resume_reading()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Stop reading; the connection is closed once the error is answered."""
        if self.transport is not None:
            self.transport.pause_reading()
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        reason = type(exc).__name__
        events.CALL_REFUSED.log(logger, status=status, reason=reason)
        response = web.Response(status=status, text="this is no HTTP request")
        response.force_close()
        return response


class BoundedServer(web.Server):
    """A server whose connections are bounded."""

    def __call__(self) -> BoundedRequestHandler:
        handler = super().__call__()
        handler.__class__ = BoundedRequestHandler
        return handler


def bound(server: web.Server) -> None:
    """Bound the connections of a server, which aiohttp may have created itself."""
    server.__class__ = BoundedServer
