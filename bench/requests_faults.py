"""An owner's death and a rolling restart of all entry hosts, under load."""

import asyncio
import collections
import dataclasses
import itertools
import pathlib
import signal
import statistics
import time
from collections.abc import Callable

from bench import requests_load
from bench.invariants import checks, files, records
from bitternlever.client import calls, tables as client_tables
from standins import processes as standin_processes, site

IN_FLIGHT = 4
INTO_THE_STREAM_S = 0.25
LEASE_TERM_S = 3.0
SETTLE_S = 2.0
EXIT_LIMIT_S = 30.0
SHAPES = ("plain", "plain", "keyed", "durable", "once-keyed", "draft")
SHOWN_VIOLATIONS = 5


@dataclasses.dataclass(slots=True)
class Bench:
    """What the measures share."""

    system: site.Site
    running: standin_processes.Processes
    client: client_tables.Client
    emit: Callable[..., None]

    @property
    def folder(self) -> pathlib.Path:
        """Return the folder of the records."""
        return self.system.folder / "records"


async def measure_deaths(bench: Bench, count: int) -> None:
    """Kill the owner of streamed durable requests and wait for them elsewhere."""
    begun_s: list[float] = []
    answered_s: list[float] = []
    whole = 0
    for number in range(count):
        victim = f"entry-{site.LETTERS[number % len(bench.system.entries)]}"
        address = bench.system.entries[number % len(bench.system.entries)]
        owner = calls.create(
            dataclasses.replace(bench.client.settings, addresses=[address]),
        )
        owner.hosts = [address, *bench.system.entries]
        owner.hosts_expire_s = float("inf")
        names = [f"death-{number}-{each}" for each in range(IN_FLIGHT)]
        tasks = [asyncio.ensure_future(_timed(owner, name)) for name in names]
        await asyncio.sleep(INTO_THE_STREAM_S)
        killed_s = time.monotonic()
        bench.running.running[victim].send_signal(signal.SIGKILL)
        ended = await asyncio.gather(*tasks)
        await calls.close(owner)
        whole += sum(outcome.is_ok() for outcome, _ in ended)
        answered_s += [at_s - killed_s for outcome, at_s in ended if outcome.is_ok()]
        begun_s += _first_calls_after(bench.folder, names, killed_s)
        await _start_again(bench, victim)
    bench.emit(
        "an owner's death",
        {
            "requests": count * IN_FLIGHT,
            "whole": whole,
            "takeover_begun_median_s": _median(begun_s),
            "takeover_begun_max_s": round(max(begun_s, default=0.0), 3),
            "answer_elsewhere_median_s": _median(answered_s),
            "answer_elsewhere_max_s": round(max(answered_s, default=0.0), 3),
        },
        aim_begun_s=LEASE_TERM_S,
    )


async def measure_restart(bench: Bench, rate: float) -> int:
    """Restart every entry host in turn under load; return the violations."""
    write = files.open_writer(bench.folder, "restart-callers")
    stop = asyncio.Event()
    load = asyncio.ensure_future(_load(bench, rate, write, stop))
    await asyncio.sleep(SETTLE_S)
    codes = []
    for letter in site.LETTERS[: len(bench.system.entries)]:
        name = f"entry-{letter}"
        process = bench.running.running[name]
        process.send_signal(signal.SIGTERM)
        codes.append(await asyncio.wait_for(process.wait(), EXIT_LIMIT_S))
        await _start_again(bench, name)
    stop.set()
    ended = await load
    counts = collections.Counter(_word(outcome) for _, outcome, _ in ended)
    lost = sum(requests_load.is_lost(shape, outcome) for shape, outcome, _ in ended)
    violations = checks.check(_of_restart(bench.folder))
    kinds = collections.Counter(each.invariant for each in violations)
    taken_ms = [took_s * 1_000 for shape, _, took_s in ended if shape == "plain"]
    bench.emit(
        "a rolling restart of all entry hosts",
        {"requests": len(ended), "lost": lost, "violations": dict(kinds)},
        outcomes=dict(counts),
        exit_codes=codes,
        plain_latency=requests_load.spread(taken_ms),
        rate=rate,
        examples=[each.detail for each in violations[:SHOWN_VIOLATIONS]],
    )
    return lost + len(violations)


async def _timed(
    client: client_tables.Client,
    name: str,
) -> tuple[calls.Outcome, float]:
    outcome = await calls.run(client, requests_load.submission("draft", name))
    return outcome, time.monotonic()


async def _load(
    bench: Bench,
    rate: float,
    write: requests_load.Write,
    stop: asyncio.Event,
) -> list[tuple[str, calls.Outcome, float]]:
    """Send at a steady rate until told to stop, then wait for what is open."""
    tasks = []
    due_s = time.monotonic()
    for number in itertools.count():
        if stop.is_set():
            break
        shape = SHAPES[number % len(SHAPES)]
        tasks.append(asyncio.ensure_future(_one(bench, shape, number, write)))
        due_s += 1.0 / rate
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
    return await asyncio.gather(*tasks)


async def _one(
    bench: Bench,
    shape: str,
    number: int,
    write: requests_load.Write,
) -> tuple[str, calls.Outcome, float]:
    name = f"restart-{shape}-{number}"
    outcome, took_s = await requests_load.recorded(bench.client, shape, name, write)
    return shape, outcome, took_s


async def _start_again(bench: Bench, name: str) -> None:
    await bench.running.running[name].wait()
    bench.running.running.pop(site.OPERATOR, None)
    commands = {each.name: each for each in site.entry_commands(bench.system)}
    await standin_processes.start(bench.running, commands[name])
    stand_ins = sorted(bench.system.stand_ins)
    missing = await site.wait_until_ready(bench.system, bench.running, stand_ins)
    if missing:
        raise RuntimeError(f"{name} is not ready again: {missing}")


def _first_calls_after(
    folder: pathlib.Path,
    names: list[str],
    killed_s: float,
) -> list[float]:
    """Return how long after the kill each request's first new call began."""
    digests = {records.digest({"text": name}) for name in names}
    first: dict[str, float] = {}
    for record in files.read(folder):
        if isinstance(record, records.StageCalled) and record.time_s > killed_s:
            first.setdefault(record.input_digest, record.time_s - killed_s)
    return [first[each] for each in digests if each in first]


def _of_restart(folder: pathlib.Path) -> list[records.Record]:
    """Return the records of the restart's own requests."""
    everything = files.read(folder)
    digests = {
        record.input_digest
        for record in everything
        if isinstance(record, records.RequestSent)
    }
    return [
        record
        for record in everything
        if getattr(record, "input_digest", None) is None
        or record.input_digest in digests
    ]


def _word(outcome: calls.Outcome) -> str:
    if outcome.is_ok():
        return "whole"
    failure = outcome.err()
    return f"{failure.status} ran {failure.ran.value}: {failure.detail[:60]}"


def _median(samples: list[float]) -> float | None:
    return round(statistics.median(samples), 3) if samples else None
