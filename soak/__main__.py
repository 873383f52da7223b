"""Run seeds against the real programs and print a line for each."""

import asyncio
import collections
import dataclasses
import json
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
from typing import Annotated

import cappa

from soak import checks, records as soak_records, runner

EXIT_VIOLATION = 1
EXIT_STOPPED = 143
"""The code that a shell reports for a process ended by SIGTERM."""

FIRST_NETWORK = 60
"""The first loopback network of the soak; tests use only lower ones."""

REGRESSIONS = pathlib.Path(__file__).with_name("regressions.txt")
MAXIMUM_SEED = 1_000_000_000
"""Keeps seeds short enough to type."""

SHOWN_VIOLATIONS = 8
"""Limits the output; one cause often breaks a guarantee for dozens of requests."""


@cappa.command(name="sh scripts/soak")
@dataclasses.dataclass
class Soak:
    """Run real programs under random faults; exit with 1 if a guarantee is broken."""

    seeds: Annotated[
        str,
        cappa.Arg(long=True, help="Seeds to run, as in 1-50; empty for none."),
    ] = "1-10"
    fresh_s: Annotated[
        float,
        cappa.Arg(long="--fresh", help="Then run random seeds for this many seconds."),
    ] = 0.0
    regressions: Annotated[
        bool,
        cappa.Arg(long=True, help="First run the seeds that failed before."),
    ] = False
    parallel: Annotated[
        int,
        cappa.Arg(long=True, help="Number of parallel runs, of nine processes each."),
    ] = 2
    keep: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="Folder that keeps the logs of failed runs."),
    ] = None


def main() -> int:
    """Run the command line; return the exit code."""
    options = cappa.parse(Soak)
    return asyncio.run(_run(options))


async def _run(options: Soak) -> int:
    """Run all seeds; SIGTERM also stops the processes of all runs."""
    loop = asyncio.get_running_loop()
    running = asyncio.ensure_future(_run_seeds(options))
    loop.add_signal_handler(signal.SIGTERM, running.cancel)
    try:
        return await running
    except asyncio.CancelledError:
        return EXIT_STOPPED


async def _run_seeds(options: Soak) -> int:
    pending = collections.deque(_seeds(options))
    started_s = time.monotonic()
    failed: list[int] = []
    done = 0

    async def work(worker: int) -> None:
        nonlocal done
        while True:
            if pending:
                seed = pending.popleft()
            elif time.monotonic() - started_s < options.fresh_s:
                seed = random.SystemRandom().randrange(MAXIMUM_SEED)
            else:
                return
            violations = await _run_seed(seed, FIRST_NETWORK + worker, options.keep)
            done += 1
            if violations:
                failed.append(seed)

    await asyncio.gather(*(work(worker) for worker in range(options.parallel)))
    duration_s = round(time.monotonic() - started_s)
    print(json.dumps({"runs": done, "failed": sorted(failed), "seconds": duration_s}))
    return EXIT_VIOLATION if failed else 0


async def _run_seed(seed: int, network: int, keep: pathlib.Path | None) -> list[str]:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="bitternlever-soak-"))
    try:
        records = await runner.run(seed, folder, network)
        violations = checks.violations(records)
        print(json.dumps(_summary(seed, records, violations)), flush=True)
        if violations and keep is not None:
            target = keep / f"seed-{seed}"
            shutil.copytree(folder, target, dirs_exist_ok=True)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return violations


def _summary(seed: int, records: soak_records.Records, violations: list[str]) -> dict:
    answers = collections.Counter(call.status for call in records.calls)
    return {
        "seed": seed,
        "calls": len(records.calls),
        "answers": {str(status): count for status, count in sorted(answers.items())},
        "configs": len(records.config_writes),
        "reads": len(records.config_reads),
        "evacuations": sum(
            evacuation.acknowledged_s is not None for evacuation in records.evacuations
        ),
        "stalled_s": round(sum(end - start for start, end in records.soak_pauses), 1),
        "violations": len(violations),
        "found": violations[:SHOWN_VIOLATIONS],
    }


def _seeds(options: Soak) -> list[int]:
    seeds = []
    if options.regressions:
        seeds += regressions()
    if options.seeds:
        first, _, last = options.seeds.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def regressions() -> list[int]:
    """Return the seeds that failed before; the file also gives their causes."""
    lines = REGRESSIONS.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line and line[0] != "#"]


if __name__ == "__main__":
    sys.exit(main())
