"""Just enough HTTP/1.1 for the stand-ins: messages, and calls on a new connection."""

import asyncio
import dataclasses
import json

MAXIMUM_HEAD_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class Message:
    """A request or an answer; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the start line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    start, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start, headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read a body with a length or in chunks; raise IncompleteReadError if cut off."""
    if message.headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(message.headers.get("content-length", 0)))
    body = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message as bytes, with the length of its body."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    method: str,
    address: str,
    path: str,
    body: object = None,
    *,
    timeout_s: float = 1.0,
) -> tuple[int, bytes, dict[str, str]]:
    """Send one call with a JSON body; return status 0 if no answer comes in time."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    headers = {"Host": address, "Connection": "close"}
    if data:
        headers["Content-Type"] = "application/json"
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, data))
            answer = await read_head(reader)
            answer.body = await read_body(reader, answer)
            return answer.status, answer.body, answer.headers
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b"", {}
    finally:
        if writer is not None:
            writer.close()
