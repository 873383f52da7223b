"""Compare an availability profile with the plain backlog estimate for admission.

The profile follows de Assunção's availability profile (reservations on a time axis
after conservative backfilling), here as a sorted list of times with the free calls
from each on. Requests wait for the earliest time at which a call is free for their
whole expected service. Truth is a simulation of the same queue, in order of arrival,
with the services that chance decided; both estimates know only the expected ones.
"""

import argparse
import heapq
import json
import random
import statistics
import time

import sortedcontainers

# Name: calls at once, load over capacity, most requests.
SIZES = {"today": (72, 1.15, 40_000), "letter": (5_100, 10.0, 6_000)}
DEADLINE_S = 9.0
MEAN_SERVICE_S = 1.6
DURATION_S = 120.0


class Profile:
    """Free calls over time: ``times`` in order, ``free`` from each time on."""

    __slots__ = ("calls", "free", "times")

    def __init__(self, calls: int) -> None:
        self.calls = calls
        self.times = sortedcontainers.SortedList([0.0])
        self.free = {0.0: calls}

    def earliest(self, now: float, service_s: float) -> float:
        """Return the earliest start with a call free for the whole service."""
        index = self.times.bisect_right(now) - 1
        start_s = now
        while index < len(self.times):
            if self.free[self.times[index]] <= 0:
                index += 1
                start_s = self.times[index]
                continue
            end_s = start_s + service_s
            blocked = self._blocked(index, end_s)
            if blocked is None:
                return start_s
            index = blocked
        return start_s

    def _blocked(self, index: int, end_s: float) -> int | None:
        for later in range(index + 1, len(self.times)):
            if self.times[later] >= end_s:
                return None
            if self.free[self.times[later]] <= 0:
                return later
        return None

    def reserve(self, start_s: float, service_s: float) -> None:
        """Take a call for a span."""
        end_s = start_s + service_s
        self._split(start_s)
        self._split(end_s)
        for moment in self.times.irange(start_s, end_s, inclusive=(True, False)):
            self.free[moment] -= 1

    def forget(self, now: float) -> None:
        """Drop what lies before the present."""
        index = self.times.bisect_right(now) - 1
        for moment in list(self.times[:index]):
            self.times.remove(moment)
            del self.free[moment]

    def _split(self, moment: float) -> None:
        if moment in self.free:
            return
        before = self.times[self.times.bisect_right(moment) - 1]
        self.times.add(moment)
        self.free[moment] = self.free[before]


def compare(size: str, seed: int) -> list[dict]:
    """Run both estimates over the same arrivals; each admits on its own."""
    calls, load, most = SIZES[size]
    rate = load * calls / MEAN_SERVICE_S
    source = random.Random(seed)
    arrivals = []
    now = 0.0
    while now < DURATION_S and len(arrivals) < most:
        now += source.expovariate(rate)
        expected_s = source.choice((0.3, 1.0, 1.6, 3.5))
        arrivals.append((now, expected_s, expected_s * source.uniform(0.6, 1.4)))
    return [
        _measure(size, seed, method, calls, arrivals)
        for method in ("backlog", "profile")
    ]


def _measure(size, seed, method, calls, arrivals) -> dict:
    free_at = [0.0] * calls
    profile = Profile(calls)
    under_way: list[tuple[float, float]] = []
    ahead_s = 0.0
    spent = []
    counts = {"refused_feasible": 0, "admitted_late": 0, "admitted": 0, "in_time": 0}
    for number, (now, expected_s, true_s) in enumerate(arrivals):
        while under_way and under_way[0][0] <= now:
            ahead_s -= heapq.heappop(under_way)[1]
        began_s = time.perf_counter()
        if method == "profile":
            if number % 50 == 0:
                profile.forget(now)
            start_s = profile.earliest(now, expected_s)
        else:
            start_s = now + max(0.0, ahead_s / calls - MEAN_SERVICE_S / 2)
        admitted = start_s + expected_s - now <= DEADLINE_S
        if admitted and method == "profile":
            profile.reserve(start_s, expected_s)
        spent.append(time.perf_counter() - began_s)
        true_start_s = max(now, free_at[0])
        late = true_start_s + true_s - now > DEADLINE_S
        if not admitted:
            counts["refused_feasible"] += not late
            continue
        heapq.heapreplace(free_at, true_start_s + true_s)
        heapq.heappush(under_way, (true_start_s + true_s, expected_s))
        ahead_s += expected_s
        counts["admitted"] += 1
        counts["admitted_late"] += late
        counts["in_time"] += not late
    return {
        "size": size,
        "seed": seed,
        "method": method,
        "offered": len(arrivals),
        "decision_us_p50": round(statistics.median(spent) * 1e6, 1),
        "decision_us_p99": round(sorted(spent)[int(len(spent) * 0.99)] * 1e6, 1),
        **counts,
    }


def run(arguments: list[str]) -> int:
    """Run the sizes and seeds that the arguments name."""
    parser = argparse.ArgumentParser(prog="bench admission_profile")
    parser.add_argument("--size", choices=[*SIZES, "all"], default="all")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    for size in SIZES if options.size == "all" else [options.size]:
        for figures in compare(size, options.seed):
            print(json.dumps(figures), flush=True)
    return 0
