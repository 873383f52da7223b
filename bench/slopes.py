"""Measure what one request, piece, lease, manifest or row costs a process.

The cores run alone with answers made here, so that each figure is processor time of
the system's own decisions. docs/CAPACITY.md multiplies them by the size designed for.
"""

import argparse
import hashlib
import json
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec

from bench import slopes_core
from bitternlever.checks import manifest as manifest_checks
from bitternlever.messages import calls, directory, frames, gossip, manifest
from bitternlever.transport import codec

MICROSECONDS = 1_000_000
FRAME_ROUNDS = 5_000
ROWS = 2_000
WORKSPACES_DESIGNED_FOR = 300
KEY = codec.derive_key("a key for this experiment")


def run(arguments: list[str]) -> int:
    """Print one slope a line; return 0."""
    parser = argparse.ArgumentParser(prog="slopes", description=__doc__)
    parser.add_argument("--requests", type=int, default=500)
    parser.add_argument("--upstreams", type=int, default=9)
    options = parser.parse_args(arguments)
    _frames()
    _manifests()
    _rows()
    for journaled in (False, True):
        for stages in (1, 4):
            _requests(options, journaled, stages)
    _pieces(options)
    _open_requests(options)
    return 0


def _emit(slope: str, value: float, unit: str, **context: Any) -> None:
    line = {"slope": slope, "value": round(value, 3), "unit": unit, **context}
    print(json.dumps(line), flush=True)


def _cost_us(work: Callable[[], Any], rounds: int) -> float:
    begun = time.process_time()
    for _ in range(rounds):
        work()
    return (time.process_time() - begun) / rounds * MICROSECONDS


def _frame(messages: list) -> frames.Frame:
    return frames.Frame(
        version=frames.PROTOCOL_VERSION,
        sender="entry-host-123",
        link="tcp://10.11.12.13:7000",
        incarnation="0" * 32,
        sequence=100_000,
        messages=messages,
        acknowledged=100_000,
    )


def _frames() -> None:
    renew = calls.ControlCall(
        call_id=100_000,
        group=0,
        command=directory.RenewHostLease(
            host="host-123",
            epoch=1_000,
            manifest_number=10_000,
        ),
    )
    granted = calls.ControlReply(
        call_id=100_000,
        group=0,
        reply=directory.HostLeaseGranted(
            host="host-123",
            epoch=1_000,
            duration_s=3.0,
            manifest_number=10_000,
            manifest_digest="0" * 64,
        ),
    )
    for name, messages in (
        ("no message", []),
        ("lease renewal", [renew]),
        ("lease granted", [granted]),
        ("ten renewals", [renew] * 10),
    ):
        data = codec.encode(KEY, _frame(messages))
        _emit("frame size", len(data), "B", frame=name)
        encoding = _cost_us(
            lambda m=messages: codec.encode(KEY, _frame(m)), FRAME_ROUNDS
        )
        decoding = _cost_us(lambda d=data: codec.decode(KEY, d), FRAME_ROUNDS)
        _emit("frame encoding", encoding, "us", frame=name)
        _emit("frame decoding", decoding, "us", frame=name)


def _manifests() -> None:
    body = _large_manifest()
    _emit("manifest size", len(body), "B", workspaces=WORKSPACES_DESIGNED_FOR)
    checking = _cost_us(lambda: manifest_checks.check(body), 20)
    _emit("manifest check", checking, "us", workspaces=WORKSPACES_DESIGNED_FOR)
    tables = slopes_core.create(upstreams=1, pipeline=slopes_core.pipeline(1))
    numbers = iter(range(10, 1_000))
    installing = _cost_us(
        lambda: slopes_core.install(tables, body, next(numbers)),
        20,
    )
    _emit("manifest install", installing, "us", workspaces=WORKSPACES_DESIGNED_FOR)


def _large_manifest() -> bytes:
    workspaces = [
        manifest.Workspace(
            name=f"workspace-{number}",
            token_sha256=[hashlib.sha256(str(number).encode()).hexdigest()],
        )
        for number in range(WORKSPACES_DESIGNED_FOR)
    ]
    pipelines = [
        slopes_core.pipeline(stages=5, name=f"pipeline-{number}") for number in range(6)
    ]
    return msgspec.json.encode(
        manifest.Manifest(number=1, workspaces=workspaces, pipelines=pipelines),
    )


def _rows() -> None:
    for name, make in (
        ("upstream", slopes_core.upstream_row),
        ("host", slopes_core.host_row),
    ):
        tracemalloc.start()
        rows = {f"{name}-{number}": make(number) for number in range(ROWS)}
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        _emit("row", used / len(rows), "B", table=name)
    seen = gossip.UpstreamSeen(
        announcement=slopes_core.upstream_row(1).announcement,
        age_s=0.5,
    )
    _emit("upstream in gossip", len(msgspec.msgpack.encode(seen)), "B")


def _requests(options: argparse.Namespace, journaled: bool, stages: int) -> None:
    tables = slopes_core.create(
        upstreams=options.upstreams,
        pipeline=slopes_core.pipeline(stages, durable=journaled),
    )
    world = slopes_core.World(tables=tables)
    numbers = iter(range(options.requests * 2))
    cost = _cost_us(
        lambda: slopes_core.serve(world, next(numbers)),
        options.requests,
    )
    _emit(
        "request in the core",
        cost,
        "us",
        journaled=journaled,
        stages=stages,
        answered=world.answered,
        ticks=world.ticks,
    )


def _pieces(options: argparse.Namespace) -> None:
    for pieces in (10, 110):
        tables = slopes_core.create(
            upstreams=options.upstreams,
            pipeline=slopes_core.pipeline(1, generate=True),
        )
        world = slopes_core.World(tables=tables, pieces=pieces)
        numbers = iter(range(options.requests))
        rounds = max(1, options.requests // 5)
        cost = _cost_us(lambda: slopes_core.serve(world, next(numbers)), rounds)  # noqa: B023
        _emit("streamed request in the core", cost, "us", pieces=pieces)


def _open_requests(options: argparse.Namespace) -> None:
    """A tick's cost and the memory while many requests wait for slow upstreams."""
    for count in (100, 1_000):
        tables = slopes_core.create(
            upstreams=options.upstreams,
            pipeline=slopes_core.pipeline(4),
            concurrency=count,
        )
        world = slopes_core.World(tables=tables, answers=False)
        tracemalloc.start()
        for number in range(count):
            slopes_core.serve(world, number)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        cost = _cost_us(lambda: slopes_core.idle(world), 200)  # noqa: B023
        _emit("open request", used / count, "B", open=count)
        _emit("tick with nothing new", cost, "us", open=count)
