"""Clients of streams, which take up again what was broken off."""

import asyncio
import dataclasses
import secrets

from review.harness import client, http


@dataclasses.dataclass(slots=True)
class Stream:
    """A stream over all tries: the versions that wrote its events, and how it ended.

    ``tries`` has the address and the status of each try, 0 without an answer.
    """

    first_id: str = ""
    last_event: int = 0
    versions: list[str] = dataclasses.field(default_factory=list)
    tries: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    complete: bool = False
    broken_at_s: float | None = None
    went_on: bool = False


async def attempt(
    stream: Stream, address: str, path: str, deadline_s: float, part: str
) -> float:
    """Try once to begin a stream or to go on with it; return the asked-for pause."""
    identity = secrets.token_hex(8)
    headers = {
        "Host": client.HOST,
        "X-Bitternlever-Request-Id": identity,
        "X-Bitternlever-Model": "m",
        "X-Bitternlever-Token-Count": "1460,100",
        "X-Bitternlever-Prompt-Prefix": f"{part}:350,{identity[:8]}:1110",
        "X-Bitternlever-Deadline-Ms": str(round(deadline_s * 1_000)),
        "Authorization": f"Bearer {client.KEY}",
    }
    if stream.last_event:
        headers["Last-Event-Id"] = str(stream.last_event)
        headers["Resumes"] = stream.first_id
    host, _, port = address.rpartition(":")
    status, pause_s = 0, 0.1
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(http.encode(f"POST {path} HTTP/1.1", headers))
            answer = await http.read_head(reader)
            status = answer.status
            if status == 200:
                await _read_events(reader, stream, identity)
            else:
                pause_s = float(answer.headers.get("retry-after", "0.1"))
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        stream.tries.append((address, status))
        if writer is not None:
            writer.close()
    return pause_s


async def _read_events(
    reader: asyncio.StreamReader, stream: Stream, identity: str
) -> None:
    """Read events until the end; chunks may hold parts of events or several."""
    buffer = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            stream.complete = True
            return
        *events, buffer = (buffer + chunk[:-2]).split(b"\n\n")
        for event in events:
            lines = event.decode().split("\n")
            number = int(lines[0].removeprefix("id: "))
            if number != stream.last_event + 1:
                raise AssertionError(f"event {number} after {stream.last_event}")
            if not stream.last_event:
                stream.first_id = identity
            stream.went_on = stream.broken_at_s is not None
            stream.last_event = number
            stream.versions.append(lines[1].removeprefix("data: "))
