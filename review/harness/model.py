"""A sound server that streams answers, which may go on at another one."""

import asyncio
import dataclasses

from review.harness import http, server


@dataclasses.dataclass(slots=True)
class ModelServer(server.Server):
    """Streams events with increasing ids; goes on after ``Last-Event-Id``."""

    events: int = 25
    gap_s: float = 0.4

    async def answer(self, request: http.Message, writer: asyncio.StreamWriter) -> None:
        """Stream an answer, or the rest of one."""
        identity = request.headers.get("x-bitternlever-request-id", "")
        headers = {
            "X-Bitternlever-Request-Id": identity,
            "X-Bitternlever-Instance-Id": self.name,
        }
        expected = request.headers.get("x-bitternlever-expect-instance", self.name)
        if expected != self.name:
            headers["X-Bitternlever-Not-Run"] = "1"
            writer.write(http.encode("HTTP/1.1 421 Misdirected Request", headers))
            return
        self.runs[identity] = self.runs.get(identity, 0) + 1
        head = [
            "HTTP/1.1 200 OK",
            *(f"{name}: {value}" for name, value in headers.items()),
            f"X-Bitternlever-Response-Seal: {identity}.{self.name}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
