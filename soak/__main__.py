"""Play seeds against the real programs and print a line for each."""

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
"""As a shell reports a process that SIGTERM has ended."""

FIRST_NETWORK = 60
"""Loopback networks from here on are used by no test."""

REGRESSIONS = pathlib.Path(__file__).with_name("regressions.txt")
MAXIMUM_SEED = 1_000_000_000
"""Short enough to be typed."""

SHOWN_VIOLATIONS = 8
"""One cause often breaks a promise for dozens of requests."""


@cappa.command(name="sh scripts/soak")
@dataclasses.dataclass
class Soak:
    """Run real programs under random faults; exit with 1 when a promise breaks."""

    seeds: Annotated[
        str,
        cappa.Arg(long=True, help="Seeds, as in 1-50; none with an empty text."),
    ] = "1-10"
    fresh_s: Annotated[
        float,
        cappa.Arg(long="--fresh", help="Then draw fresh seeds for so many seconds."),
    ] = 0.0
    regressions: Annotated[
        bool,
        cappa.Arg(long=True, help="First play the seeds that once failed."),
    ] = False
    parallel: Annotated[
        int,
        cappa.Arg(long=True, help="Runs at once; each takes nine processes."),
    ] = 2
    keep: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="Keep the logs of runs that failed in this folder."),
    ] = None


def main() -> int:
    """Run the command line; return the exit code."""
    options = cappa.parse(Soak)
    return asyncio.run(_run(options))


async def _run(options: Soak) -> int:
    """Play all seeds; a signal to stop ends the processes of all runs, too."""
    loop = asyncio.get_running_loop()
    playing = asyncio.ensure_future(_play_all(options))
    loop.add_signal_handler(signal.SIGTERM, playing.cancel)
    try:
        return await playing
    except asyncio.CancelledError:
        return EXIT_STOPPED


async def _play_all(options: Soak) -> int:
    waiting = collections.deque(_seeds(options))
    started_s = time.monotonic()
    failed: list[int] = []
    done = 0

    async def work(place: int) -> None:
        nonlocal done
        while True:
            if waiting:
                seed = waiting.popleft()
            elif time.monotonic() - started_s < options.fresh_s:
                seed = random.SystemRandom().randrange(MAXIMUM_SEED)
            else:
                return
            found = await _play(seed, FIRST_NETWORK + place, options.keep)
            done += 1
            if found:
                failed.append(seed)

    await asyncio.gather(*(work(place) for place in range(options.parallel)))
    took_s = round(time.monotonic() - started_s)
    print(json.dumps({"runs": done, "failed": sorted(failed), "seconds": took_s}))
    return EXIT_VIOLATION if failed else 0


async def _play(seed: int, network: int, keep: pathlib.Path | None) -> list[str]:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="bitternlever-soak-"))
    try:
        records = await runner.run(seed, folder, network)
        found = checks.violations(records)
        print(json.dumps(_line(seed, records, found)), flush=True)
        if found and keep is not None:
            target = keep / f"seed-{seed}"
            shutil.copytree(folder, target, dirs_exist_ok=True)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return found


def _line(seed: int, records: soak_records.Records, found: list[str]) -> dict:
    answers = collections.Counter(call.status for call in records.calls)
    return {
        "seed": seed,
        "calls": len(records.calls),
        "answers": {str(status): count for status, count in sorted(answers.items())},
        "configs": len(records.puts),
        "reads": len(records.reads),
        "stalled_s": round(sum(end - begin for begin, end in records.stalls), 1),
        "violations": len(found),
        "found": found[:SHOWN_VIOLATIONS],
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
    """Return the seeds that once failed; their causes stand beside them."""
    lines = REGRESSIONS.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line and line[0] != "#"]


if __name__ == "__main__":
    sys.exit(main())
