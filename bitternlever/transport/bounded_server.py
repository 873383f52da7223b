"""HTTP servers that bound what a connection may make them hold.

aiohttp parses all bytes of a read at once, keeps a copy of those that are no HTTP for
each read until the error is answered, and repeats them in its answer and its log. It
bounds the fields of a head but not their sum, and writes answers that are not read to
memory. Smaller reads bound the copies; reads of many short lines are parsed in slices.
After an error nothing more is read, and the answer is short. A head, its empty lines
and trailers share a bound; few requests are read ahead, and none is served before the
answer to the one before has left.
"""

import asyncio
import logging
from typing import Any

from aiohttp import http, http_exceptions, streams, web, web_protocol

from bitternlever.telemetry import events
from bitternlever.transport import client_bounds

FIRST_READ_BYTES = 4_096
"""Bytes that are no HTTP mostly come first, and each read of them is copied."""

READ_BYTES = 32_768
"""Most requests fit; the library's own 256 KB make a copy as large of bytes that don't.
"""

SLICE_BYTES = 1_024
"""Parsing this in chunks of a byte takes 1 ms."""

SHORT_LINE_BYTES = 16
"""Lines of heads are longer on average; the framing of short chunks is not."""

MAXIMUM_HEAD_BYTES = 65_536
"""Of a head with the empty lines before it, or of trailers; rounded up to a read.

Four times the limit that catalogs usually set; that limit is checked after parsing.
"""

MAXIMUM_WAITING_REQUESTS = 2
"""Parsed behind the one in progress; the others wait in the kernel."""

MAXIMUM_AHEAD_BYTES = 65_536
"""Received behind the request in progress before reading stops."""

UNREAD_TIMEOUT_S = 30.0
"""A client that reads nothing for this long is gone, not slow."""

logger = logging.getLogger(__name__)


class BoundedRequestHandler(web_protocol.RequestHandler):
    """The protocol of one connection.

    ``unparsed`` was read but waits for its slice, ``slicing`` is its timer.
    ``framing_bytes`` came since the last request's head or bytes of its body,
    ``held_bytes`` since the request in progress was complete. ``payload`` is the body
    of the last parsed request.
    """

    __slots__ = (
        "ahead",
        "clients",
        "framing_bytes",
        "held_bytes",
        "payload",
        "payload_bytes",
        "refused",
        "slicing",
        "unparsed",
        "unread_timer",
    )

    def __init__(
        self,
        manager: web.Server,
        clients: client_bounds.Clients,
        *,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        super().__init__(manager, loop=loop, **options)
        self.clients = clients
        self.ahead = False
        self.framing_bytes = 0
        self.held_bytes = 0
        self.payload: streams.StreamReader | None = None
        self.payload_bytes = 0
        self.refused = False
        self.slicing: asyncio.Handle | None = None
        self.unparsed = b""
        self.unread_timer: asyncio.TimerHandle | None = None
        self._max_msg_queue_size = MAXIMUM_WAITING_REQUESTS
        self._msg_queue_resume_size = MAXIMUM_WAITING_REQUESTS - 1
        self._parser = http.HttpRequestParser(
            self,
            loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web_protocol.RequestPayloadError,
            auto_decompress=options.get("auto_decompress", True),
            max_msg_queue_size=MAXIMUM_WAITING_REQUESTS,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the size of reads; they grow up to the bound."""
        transport.max_size = FIRST_READ_BYTES
        super().connection_made(transport)
        _close(
            client_bounds.open_connection(self.clients, self), "too many connections"
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget what the connection held."""
        self.unparsed = b""
        self._cancel_unread_timer()
        client_bounds.close_connection(self.clients, self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what was read; in slices if that takes long."""
        transport = self.transport
        if transport is None or transport.is_closing() or self.refused:
            return
        if not data:
            self._parse(data)  # The library goes on with what it has not parsed yet.
            return
        transport.max_size = min(2 * transport.max_size, READ_BYTES)
        if data.count(b"\r\n") * SHORT_LINE_BYTES <= len(data):
            self._parse(data)
        else:
            self.unparsed = data
            self._parse_slice()

    def _parse_slice(self) -> None:
        """Parse the first slice now and the rest in the next loop iterations."""
        self.slicing = None
        transport = self.transport
        if transport is None or transport.is_closing() or self.refused:
            self.unparsed = b""
            return
        piece = self.unparsed[:SLICE_BYTES]
        self.unparsed = self.unparsed[SLICE_BYTES:]
        self._parse(piece)
        if self.unparsed:
            self._pause_transport_reading()
        if not self._is_paused():
            self._resume_transport_reading()

    def _is_paused(self) -> bool:
        return self._reading_paused or self._buffer_paused or self.ahead or self.refused

    def _resume_transport_reading(self) -> None:
        """Read on once all that was read is parsed."""
        if self.ahead or self.refused:
            return
        if not self.unparsed:
            super()._resume_transport_reading()
        elif self.slicing is None:
            self.slicing = self._loop.call_soon(self._parse_slice)

    def _parse(self, data: bytes) -> None:
        count = self._request_count
        previous = self.payload
        super().data_received(data)
        if self.transport is None or self.transport.is_closing():
            return
        if self._request_count != count:
            self.payload = self._messages[-1][1]
            self.payload_bytes = 0
            self.framing_bytes = 0
            if isinstance(self._messages[-1][0], web_protocol._ErrInfo):
                self._end_reading(previous)
                return
        self._count(len(data))

    def _end_reading(self, previous: streams.StreamReader | None) -> None:
        """Read nothing more; a request whose body is faulty cannot be answered."""
        self.refused = True
        self._pause_transport_reading()
        if previous is not None and not previous.is_eof():
            _close(self, "a body that is no HTTP")

    def _count(self, size: int) -> None:
        """Count received bytes; close the connection or stop reading at a bound."""
        payload = self.payload
        if payload is not None and payload.total_bytes != self.payload_bytes:
            self.payload_bytes = payload.total_bytes
            self.framing_bytes = 0
        else:
            self.framing_bytes += size
        if self.framing_bytes > MAXIMUM_HEAD_BYTES:
            self._refuse_framing()
            return
        self._count_held(size)

    def _refuse_framing(self) -> None:
        """Refuse a head, or close the connection of trailers, without end."""
        self.refused = True
        self._pause_transport_reading()
        if self.payload is not None and not self.payload.is_eof():
            _close(self, "trailers above the limit")
            return
        error = http_exceptions.LineTooLong(b"", MAXIMUM_HEAD_BYTES)
        refusal = web_protocol._ErrInfo(status=431, exc=error, message="")
        self._request_count += 1
        self._messages.append((refusal, streams.EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _count_held(self, size: int) -> None:
        requests = len(self._messages) + self._request_in_progress
        complete = self.payload is not None and self.payload.is_eof()
        self.held_bytes += size
        if requests <= 1 and complete and not self.framing_bytes:
            self.held_bytes = 0
        if requests and complete:
            client_bounds.complete_request(self.clients, self)
        else:
            client_bounds.expect_request(self.clients, self)
        is_behind = requests > 1 or (requests == 1 and complete)
        if is_behind and self.held_bytes > MAXIMUM_AHEAD_BYTES:
            self.ahead = True
            self._pause_transport_reading()
        excess = client_bounds.set_arriving(self.clients, self, self.held_bytes)
        _close(excess, "requests above the memory for them")

    async def finish_response(self, *arguments: Any) -> tuple[web.StreamResponse, bool]:
        """Write an answer; go on with the next request once the client reads."""
        response, lost = await super().finish_response(*arguments)
        if self._paused and not lost:
            await self._drain_helper()
        if self.transport is not None:
            self._serve_next()
        return response, lost

    def _serve_next(self) -> None:
        """Read on if reading stopped because of requests sent ahead."""
        if len(self._messages) > 1:
            return
        self.held_bytes = 0
        client_bounds.set_arriving(self.clients, self, 0)
        if not self._messages:
            client_bounds.expect_request(self.clients, self)
        if self.ahead:
            self.ahead = False
            if not self._is_paused():
                self._resume_transport_reading()

    def pause_writing(self) -> None:
        """Close the connection if its client reads nothing for too long."""
        super().pause_writing()
        size = self.transport.get_write_buffer_size()
        excess = client_bounds.set_unread(self.clients, self, size)
        _close(excess, "answers above the memory for them")
        self._watch_unread(size)

    def resume_writing(self) -> None:
        """Note that the client reads."""
        super().resume_writing()
        self._cancel_unread_timer()
        client_bounds.set_unread(self.clients, self, 0)

    def _watch_unread(self, size: int) -> None:
        self.unread_timer = self._loop.call_later(
            UNREAD_TIMEOUT_S, self._check_unread, size
        )

    def _check_unread(self, before_bytes: int) -> None:
        if self.transport is None:
            return
        size = self.transport.get_write_buffer_size()
        if client_bounds.reads_nothing(before_bytes, size):
            _close(self, "its client reads no answers")
        else:
            self._watch_unread(size)

    def _cancel_unread_timer(self) -> None:
        if self.unread_timer is not None:
            self.unread_timer.cancel()
            self.unread_timer = None

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Stop reading; the connection is closed once the error is answered."""
        if self.transport is not None:
            self.refused = True
            self.transport.pause_reading()
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        reason = type(exc).__name__
        events.CALL_REFUSED.log(logger, status=status, reason=reason)
        response = web.Response(status=status, text="this is no HTTP request")
        response.force_close()
        return response


def _close(connection: BoundedRequestHandler | None, reason: str) -> None:
    """Close a connection at once; its requests that have not begun do not run."""
    if connection is None or connection.transport is None:
        return
    client_bounds.close_connection(connection.clients, connection)
    connection.clients.closed += 1
    events.CLIENT_CLOSED.log(logger, reason=reason)
    connection.transport.abort()


class BoundedServer(web.Server):
    """A server whose connections are bounded."""

    def __call__(self) -> BoundedRequestHandler:
        return BoundedRequestHandler(
            self, self.clients, loop=self._loop, **self._kwargs
        )


def bound(server: web.Server, clients: client_bounds.Clients) -> None:
    """Bound the connections of a server, which aiohttp may have created itself."""
    server.__class__ = BoundedServer
    server.clients = clients
