"""Clients leave, and their requests are worked on as if they were still there.

Some clients leave while their requests wait for a stage. All requests have bodies in
chunks, of the size that the sheet's largest have; the end of a body comes by itself.
"""

import asyncio
import json
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))
import fleet as deployment  # noqa: E402

STAGE = "epp-gateway"
ENGINE = "cymorth-llm"
BATCH, CALL_MS, ITEM_MS = 4, 150.0, 32.0
BODY_BYTES = 100_000
"""The most that a draft has in the site file, ``req_bytes``."""

CHUNK_BYTES = 16_384
LAST_CHUNK_AFTER_S = 0.02
CALM_PER_S = 4.99
BURST_FACTOR = 2.4
BURST_S = 6.5
LEAVE_SHARE = 0.3
LEAVE_FOR_S = 4.0
LEAVE_AFTER_S = 0.5
"""Half of the objective: ``give_up`` without another time."""

LATE_S = 0.5
MAXIMUM_LATE = 3
CHUNKED = os.environ.get("FRAMING", "chunked") == "chunked"
"""FRAMING=length sends the same bodies with a length, to tell the cause."""

ROUTE = deployment.route(
    name="r-draft",
    path_prefix="/draft/",
    kind="streaming",
    timeout_ms=10000,
    goal_ms=1000,
    priority=1,
    service=ENGINE,
    max_attempts=1,
    gap_aim_ms=300,
    stages=[{"service": STAGE, "after": [], "bytes": 3000000}],
)


class Judge:
    """When clients left, and what reached servers later."""

    def __init__(self, record):
        self.record = record
        self.left_s = {}
        self.late = {}

    def reach(self, server, request):
        """Note that a request reaches a server."""
        left_s = self.left_s.get(request)
        if left_s is None:
            return
        after_s = time.monotonic() - left_s
        self.record(
            server, "is reached by", request, f"{after_s:.2f} s after the close"
        )
        if after_s > LATE_S:
            self.late.setdefault(request, []).append((server, round(after_s, 2)))


class StageServer:
    """A sound server of the stage, which makes one call at a time."""

    def __init__(self, record, judge, name):
        self.record = record
        self.judge = judge
        self.name = name
        self.lock = asyncio.Lock()
        self.made = 0

    async def start(self):
        self.address = await deployment.listen(self.serve)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await deployment.read_head(reader)
                body = await deployment.read_body(reader, headers)
                answer = b""
                if line.split()[1] == "/api/stage-run":
                    answer = await self.run(json.loads(body)["items"])
                lines = [
                    "HTTP/1.1 200 OK",
                    "X-Bitternlever-Server-Load: 0,0,1",
                    "Keep-Alive: timeout=10",
                    f"Content-Length: {len(answer)}",
                ]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + answer)
                await writer.drain()
        except (ConnectionError, EOFError):
            pass
        finally:
            writer.close()

    async def run(self, items):
        for request in {item["id"] for item in items}:
            self.judge.reach(self.name, request)
        async with self.lock:
            await asyncio.sleep((CALL_MS + ITEM_MS * len(items)) / 1000)
        outcomes = []
        for _ in items:
            self.made += 1
            outcomes.append({"handle": f"{self.address}/{self.made:08x}"})
        return json.dumps({"items": outcomes}).encode()


async def start_engine(record, judge, name):
    """Start a sound model server; it drops a stream whose channel closes."""

    async def serve(reader, writer):
        request = ""
        try:
            while True:
                _, headers = await deployment.read_head(reader)
                await deployment.read_body(reader, headers)
                request = headers.get("x-bitternlever-request-id", "")
                judge.reach(name, request)
                record(name, "runs", request)
                lines = [
                    "HTTP/1.1 200 OK",
                    f"X-Bitternlever-Request-Id: {request}",
                    "X-Bitternlever-Response-Seal: sealed",
                    "Content-Type: text/event-stream",
                    "Transfer-Encoding: chunked",
                ]
                await asyncio.sleep(0.3)
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                for number in range(1, 11):
                    event = f"id: {number}\ndata: {'x' * 40}\n\n".encode()
                    writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
                    await writer.drain()
                    await asyncio.sleep(0.1)
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except (ConnectionError, EOFError):
            record(name, "dropped", request)
        finally:
            writer.close()

    return await deployment.listen(serve)


async def ask(fleet, record, judge, number, leaves):
    """Send one request; read its answer, or leave."""
    request = f"r{number}"
    host, _, port = fleet.front(fleet.fronts[0]).rpartition(":")
    lines = [
        f"POST /draft/{number} HTTP/1.1",
        f"Host: {deployment.HOST}",
        f"Authorization: Bearer {deployment.KEY}",
        f"X-Bitternlever-Request-Id: {request}",
        "X-Bitternlever-Deadline-Ms: 10000",
        "X-Bitternlever-Pieces: 3",
        f"X-Bitternlever-Piece-Key: k{number}",
        "Transfer-Encoding: chunked" if CHUNKED else f"Content-Length: {BODY_BYTES}",
    ]
    record("client sends", request, "and will leave" if leaves else "")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for start in range(0, BODY_BYTES, CHUNK_BYTES):
            piece = b"x" * min(CHUNK_BYTES, BODY_BYTES - start)
            if CHUNKED:
                piece = b"%x\r\n" % len(piece) + piece + b"\r\n"
            writer.write(piece)
            await writer.drain()
        if CHUNKED:
            await asyncio.sleep(LAST_CHUNK_AFTER_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        if leaves:
            await asyncio.sleep(LEAVE_AFTER_S)
            writer.close()
            judge.left_s[request] = time.monotonic()
            record("client left, with a close,", request)
            return "left"
        line, headers = await deployment.read_head(reader)
        await deployment.read_body(reader, headers)
        record("client got for", request, line.split()[1])
        return line.split()[1]
    except (OSError, ConnectionError, EOFError) as error:
        record("client got for", request, repr(error))
        return "closed"
    finally:
        writer.close()


async def case(record, trouble):
    fleet = deployment.Fleet(record, fronts=1)
    judge = Judge(record)
    try:
        common = {
            "health_path": "/health",
            "max_conns": 360,
            "protocol": "h1",
            "tls": False,
        }
        pieces = {
            "slot_count": 1,
            "queue": 2,
            "batch": BATCH,
            "call_ms": CALL_MS,
            "item_ms": ITEM_MS,
            "room_mb": 43.0,
            "handle_s": 4.0,
            "link_mbps": 10000,
        }
        engine = {"slot_count": 64, "kv_capacity": 598406, "models": [{"name": "m"}]}
        services = [
            {"name": STAGE, "pieces": pieces, **common},
            {"name": ENGINE, "engine": engine, **common},
        ]
        await deployment.prepare(fleet, [ROUTE], services)
        for number in (1, 2):
            server = StageServer(record, judge, f"e-{number}")
            await server.start()
            deployment.Heartbeats(
                fleet,
                server.name,
                service=STAGE,
                address=server.address,
                slot_count=1,
            ).start()
        address = await start_engine(record, judge, "m-1")
        deployment.Heartbeats(
            fleet, "m-1", service=ENGINE, address=address, slot_count=64
        ).start()
        await asyncio.sleep(2.0)
        per_s = CALM_PER_S * (BURST_FACTOR if trouble else 1.0)
        count = int(per_s * BURST_S)
        leaving = set()
        if trouble:
            window = range(count - int(per_s * LEAVE_FOR_S), count)
            draws = random.Random(1)
            leaving = set(draws.sample(window, int(LEAVE_SHARE * len(window))))
        started_s = time.monotonic()
        asked = []
        for number in range(count):
            due_s = started_s + number / per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            sending = ask(fleet, record, judge, number, number in leaving)
            asked.append(asyncio.ensure_future(sending))
        outcomes = await asyncio.gather(*asked)
        await asyncio.sleep(4.0)
        record.say(
            "outcomes:", {each: outcomes.count(each) for each in sorted(set(outcomes))}
        )
        record.say("reached servers more than", LATE_S, "s after the client's close:")
        for request, reached in judge.late.items():
            record.say(" ", request, reached)
        if len(judge.late) > MAXIMUM_LATE:
            return f"GONE: {len(judge.late)} requests of clients that had left"
        return ""
    finally:
        fleet.end()


if __name__ == "__main__":
    deployment.run(case, FOLDER)
