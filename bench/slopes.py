"""Measure the cost of one request, piece, frame, manifest or row in a process.

A core runs alone and gets its replies at once, so each figure is processor time of the
core itself. docs/CAPACITY.md multiplies the figures by the sizes designed for.
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

MICROSECONDS_PER_S = 1_000_000
FRAME_ROUNDS = 5_000
ROW_COUNT = 2_000
DESIGN_WORKSPACES = 300
KEY = codec.derive_key("a key for this experiment")


def run(arguments: list[str]) -> int:
    """Print one figure per line and return 0."""
    parser = argparse.ArgumentParser(prog="slopes", description=__doc__)
    parser.add_argument("--requests", type=int, default=500)
    parser.add_argument("--upstreams", type=int, default=9)
    options = parser.parse_args(arguments)
    _measure_frames()
    _measure_manifests()
    _measure_rows()
    for journaled in (False, True):
        for stages in (1, 4):
            _measure_requests(options, journaled, stages)
    _measure_pieces(options)
    _measure_open_requests(options)
    return 0


def _emit(slope: str, value: float, unit: str, **context: Any) -> None:
    line = {"slope": slope, "value": round(value, 3), "unit": unit, **context}
    print(json.dumps(line), flush=True)


def _cost_us(work: Callable[[], Any], rounds: int) -> float:
    started_s = time.process_time()
    for _ in range(rounds):
        work()
    return (time.process_time() - started_s) / rounds * MICROSECONDS_PER_S


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


def _measure_frames() -> None:
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


def _measure_manifests() -> None:
    body = _large_manifest()
    _emit("manifest size", len(body), "B", workspaces=DESIGN_WORKSPACES)
    checking = _cost_us(lambda: manifest_checks.check(body), 20)
    _emit("manifest check", checking, "us", workspaces=DESIGN_WORKSPACES)
    tables = slopes_core.create(upstreams=1, pipeline=slopes_core.pipeline(1))
    numbers = iter(range(10, 1_000))
    installing = _cost_us(
        lambda: slopes_core.install_manifest(tables, body, next(numbers)),
        20,
    )
    _emit("manifest install", installing, "us", workspaces=DESIGN_WORKSPACES)


def _large_manifest() -> bytes:
    workspaces = [
        manifest.Workspace(
            name=f"workspace-{number}",
            token_sha256=[hashlib.sha256(str(number).encode()).hexdigest()],
        )
        for number in range(DESIGN_WORKSPACES)
    ]
    pipelines = [
        slopes_core.pipeline(stages=5, name=f"pipeline-{number}") for number in range(6)
    ]
    return msgspec.json.encode(
        manifest.Manifest(number=1, workspaces=workspaces, pipelines=pipelines),
    )


def _measure_rows() -> None:
    for name, make_row in (
        ("upstream", slopes_core.upstream_row),
        ("host", slopes_core.host_row),
    ):
        tracemalloc.start()
        rows = {f"{name}-{number}": make_row(number) for number in range(ROW_COUNT)}
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        _emit("row", used_bytes / len(rows), "B", table=name)
    known_upstream = gossip.KnownUpstream(
        announcement=slopes_core.upstream_row(1).announcement,
        age_s=0.5,
    )
    _emit("upstream in gossip", len(msgspec.msgpack.encode(known_upstream)), "B")


def _measure_requests(
    options: argparse.Namespace, journaled: bool, stages: int
) -> None:
    tables = slopes_core.create(
        upstreams=options.upstreams,
        pipeline=slopes_core.pipeline(stages, durable=journaled),
    )
    simulation = slopes_core.CoreSimulation(tables=tables)
    numbers = iter(range(options.requests * 2))
    cost = _cost_us(
        lambda: slopes_core.serve(simulation, next(numbers)),
        options.requests,
    )
    _emit(
        "request in the core",
        cost,
        "us",
        journaled=journaled,
        stages=stages,
        answered=simulation.answered,
        ticks=simulation.ticks,
    )


def _measure_pieces(options: argparse.Namespace) -> None:
    for pieces in (10, 110):
        tables = slopes_core.create(
            upstreams=options.upstreams,
            pipeline=slopes_core.pipeline(1, generate=True),
        )
        simulation = slopes_core.CoreSimulation(tables=tables, pieces=pieces)
        numbers = iter(range(options.requests))
        rounds = max(1, options.requests // 5)
        cost = _cost_us(lambda: slopes_core.serve(simulation, next(numbers)), rounds)  # noqa: B023
        _emit("streamed request in the core", cost, "us", pieces=pieces)


def _measure_open_requests(options: argparse.Namespace) -> None:
    """Measure tick cost and memory while many requests wait for slow upstreams."""
    for count in (100, 1_000):
        tables = slopes_core.create(
            upstreams=options.upstreams,
            pipeline=slopes_core.pipeline(4),
            concurrency=count,
        )
        simulation = slopes_core.CoreSimulation(tables=tables, upstreams_answer=False)
        tracemalloc.start()
        for number in range(count):
            slopes_core.serve(simulation, number)
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        cost = _cost_us(lambda: slopes_core.run_idle_tick(simulation), 200)  # noqa: B023
        _emit("open request", used_bytes / count, "B", open=count)
        _emit("tick with nothing new", cost, "us", open=count)
