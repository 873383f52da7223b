"""Kill the owner of open requests, and restart all entry hosts under load."""

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
from standins import local_system, processes as standin_processes

REQUESTS_PER_KILL = 4
# The owner is killed this long after sending, while the answers are being streamed.
KILL_AFTER_S = 0.25
LEASE_TERM_S = 3.0
SETTLE_S = 2.0
EXIT_TIMEOUT_S = 30.0
SHAPES = ("plain", "plain", "keyed", "durable", "once-keyed", "draft")
SHOWN_VIOLATIONS = 5


@dataclasses.dataclass(slots=True)
class Experiment:
    """The system under test and the client, shared by the measures."""

    system: local_system.LocalSystem
    processes: standin_processes.Processes
    client: client_tables.Client
    emit: Callable[..., None]

    @property
    def folder(self) -> pathlib.Path:
        """Return the folder of the record files."""
        return self.system.folder / "records"


async def measure_owner_kills(experiment: Experiment, count: int) -> None:
    """Kill the owner of streamed durable requests and wait for other hosts' answers."""
    takeover_s: list[float] = []
    answered_s: list[float] = []
    answered_count = 0
    for number in range(count):
        killed_host = (
            f"entry-{local_system.LETTERS[number % len(experiment.system.entries)]}"
        )
        address = experiment.system.entries[number % len(experiment.system.entries)]
        owner = calls.create(
            dataclasses.replace(experiment.client.settings, addresses=[address]),
        )
        owner.hosts = [address, *experiment.system.entries]
        owner.hosts_expire_s = float("inf")
        names = [f"death-{number}-{index}" for index in range(REQUESTS_PER_KILL)]
        tasks = [asyncio.ensure_future(_run_timed(owner, name)) for name in names]
        await asyncio.sleep(KILL_AFTER_S)
        killed_s = time.monotonic()
        experiment.processes.by_name[killed_host].send_signal(signal.SIGKILL)
        results = await asyncio.gather(*tasks)
        await calls.close(owner)
        answered_count += sum(outcome.is_ok() for outcome, _ in results)
        answered_s += [at_s - killed_s for outcome, at_s in results if outcome.is_ok()]
        takeover_s += _first_calls_after(experiment.folder, names, killed_s)
        await _restart(experiment, killed_host)
    experiment.emit(
        "an owner's death",
        {
            "requests": count * REQUESTS_PER_KILL,
            "whole": answered_count,
            "takeover_begun_median_s": _median(takeover_s),
            "takeover_begun_max_s": round(max(takeover_s, default=0.0), 3),
            "answer_elsewhere_median_s": _median(answered_s),
            "answer_elsewhere_max_s": round(max(answered_s, default=0.0), 3),
        },
        aim_begun_s=LEASE_TERM_S,
    )


async def measure_restart(experiment: Experiment, rate: float) -> int:
    """Restart each entry host in turn under load.

    Return the number of lost requests and violations.
    """
    write = files.open_writer(experiment.folder, "restart-callers")
    stop = asyncio.Event()
    load = asyncio.ensure_future(_run_load(experiment, rate, write, stop))
    await asyncio.sleep(SETTLE_S)
    codes = []
    for letter in local_system.LETTERS[: len(experiment.system.entries)]:
        name = f"entry-{letter}"
        process = experiment.processes.by_name[name]
        process.send_signal(signal.SIGTERM)
        codes.append(await asyncio.wait_for(process.wait(), EXIT_TIMEOUT_S))
        await _restart(experiment, name)
    stop.set()
    results = await load
    counts = collections.Counter(_outcome_label(outcome) for _, outcome, _ in results)
    lost = sum(requests_load.is_lost(shape, outcome) for shape, outcome, _ in results)
    violations = checks.check(_restart_records(experiment.folder))
    kinds = collections.Counter(violation.invariant for violation in violations)
    latencies_ms = [took_s * 1_000 for shape, _, took_s in results if shape == "plain"]
    experiment.emit(
        "a rolling restart of all entry hosts",
        {"requests": len(results), "lost": lost, "violations": dict(kinds)},
        outcomes=dict(counts),
        exit_codes=codes,
        plain_latency=requests_load.percentiles(latencies_ms),
        rate=rate,
        examples=[violation.detail for violation in violations[:SHOWN_VIOLATIONS]],
    )
    return lost + len(violations)


async def _run_timed(
    client: client_tables.Client,
    name: str,
) -> tuple[calls.Outcome, float]:
    outcome = await calls.run(client, requests_load.make_submission("draft", name))
    return outcome, time.monotonic()


async def _run_load(
    experiment: Experiment,
    rate: float,
    write: requests_load.Write,
    stop: asyncio.Event,
) -> list[tuple[str, calls.Outcome, float]]:
    """Send at a steady rate until ``stop`` is set, then wait for open requests."""
    tasks = []
    due_s = time.monotonic()
    for number in itertools.count():
        if stop.is_set():
            break
        shape = SHAPES[number % len(SHAPES)]
        tasks.append(asyncio.ensure_future(_send_one(experiment, shape, number, write)))
        due_s += 1.0 / rate
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
    return await asyncio.gather(*tasks)


async def _send_one(
    experiment: Experiment,
    shape: str,
    number: int,
    write: requests_load.Write,
) -> tuple[str, calls.Outcome, float]:
    name = f"restart-{shape}-{number}"
    outcome, took_s = await requests_load.send_and_record(
        experiment.client, shape, name, write
    )
    return shape, outcome, took_s


async def _restart(experiment: Experiment, name: str) -> None:
    await experiment.processes.by_name[name].wait()
    experiment.processes.by_name.pop(local_system.OPERATOR, None)
    commands = {
        command.name: command
        for command in local_system.entry_commands(experiment.system)
    }
    await standin_processes.start(experiment.processes, commands[name])
    stand_ins = sorted(experiment.system.stand_ins)
    missing = await local_system.wait_until_ready(
        experiment.system, experiment.processes, stand_ins
    )
    if missing:
        raise RuntimeError(f"{name} is not ready after its restart, missing: {missing}")


def _first_calls_after(
    folder: pathlib.Path,
    names: list[str],
    killed_s: float,
) -> list[float]:
    """Return the time from the kill to the first later call of each request."""
    digests = {records.digest({"text": name}) for name in names}
    first_call_s: dict[str, float] = {}
    for record in files.read(folder):
        if isinstance(record, records.StageCalled) and record.time_s > killed_s:
            first_call_s.setdefault(record.input_digest, record.time_s - killed_s)
    return [first_call_s[digest] for digest in digests if digest in first_call_s]


def _restart_records(folder: pathlib.Path) -> list[records.Record]:
    """Return the records without the calls of other measures' requests."""
    all_records = files.read(folder)
    digests = {
        record.input_digest
        for record in all_records
        if isinstance(record, records.RequestSent)
    }
    return [
        record
        for record in all_records
        if getattr(record, "input_digest", None) is None
        or record.input_digest in digests
    ]


def _outcome_label(outcome: calls.Outcome) -> str:
    if outcome.is_ok():
        return "whole"
    failure = outcome.err()
    return f"{failure.status} ran {failure.ran.value}: {failure.detail[:60]}"


def _median(samples: list[float]) -> float | None:
    return round(statistics.median(samples), 3) if samples else None
