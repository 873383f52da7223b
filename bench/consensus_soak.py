"""Inject random faults into clusters of control cores and print failing seeds."""

import argparse
import json
import time
import traceback

from tests.consensus import fault_injection

EXIT_VIOLATION = 1


def run(arguments: list[str]) -> int:
    """Run one cluster for each seed; return 1 if any violated an invariant."""
    parser = argparse.ArgumentParser(prog="sh scripts/bench consensus-soak")
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--steps", type=int, default=150)
    parser.add_argument("--seconds", type=float, default=110.0)
    options = parser.parse_args(arguments)
    started_s = time.monotonic()
    seeds_run = 0
    failed = 0
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        if time.monotonic() - started_s > options.seconds:
            break
        failure = _run_seed(seed, options.steps)
        seeds_run += 1
        if failure is not None:
            failed += 1
            print(json.dumps({"seed": seed, "failed": failure}), flush=True)
    summary = {
        "experiment": "consensus-soak",
        "seeds_wanted": options.seeds,
        "seeds_run": seeds_run,
        "failed": failed,
        "steps": options.steps,
        "seconds": round(time.monotonic() - started_s, 1),
    }
    print(json.dumps(summary))
    return EXIT_VIOLATION if failed else 0


def _run_seed(seed: int, steps: int) -> str | None:
    nodes = 3 if seed % 2 == 0 else 5
    try:
        fault_injection.run_random(seed, steps, nodes)
    except Exception:  # Any failure is reported with its seed.
        return traceback.format_exc(limit=-4)
    return None
