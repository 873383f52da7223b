"""Compare an availability profile with the plain backlog estimate for admission.

The profile follows de Assunção's availability profile (reservations on a time axis
after conservative backfilling), here as a sorted list of times with the number of free
call slots from each time on. A request is reserved at the earliest time at which a slot
is free for its whole expected service time. Both estimates know only the expected
service times. They are compared with a simulation of the same queue, served in order of
arrival with randomly drawn service times.
"""

import argparse
import heapq
import json
import random
import statistics
import time

import sortedcontainers

# Name: concurrent calls, offered load relative to capacity, maximum requests.
SIZES = {"today": (72, 1.15, 40_000), "letter": (5_100, 10.0, 6_000)}
DEADLINE_S = 9.0
MEAN_SERVICE_S = 1.6
DURATION_S = 120.0


class AvailabilityProfile:
    """Free call slots over time: sorted ``times``, and slots ``free`` from each on."""

    __slots__ = ("calls", "free", "times")

    def __init__(self, calls: int) -> None:
        self.calls = calls
        self.times = sortedcontainers.SortedList([0.0])
        self.free = {0.0: calls}

    def earliest_start_s(self, now: float, service_s: float) -> float:
        """Return the earliest start with a slot free for the whole service time."""
        index = self.times.bisect_right(now) - 1
        start_s = now
        while index < len(self.times):
            if self.free[self.times[index]] <= 0:
                index += 1
                start_s = self.times[index]
                continue
            end_s = start_s + service_s
            blocked = self._next_blocked(index, end_s)
            if blocked is None:
                return start_s
            index = blocked
        return start_s

    def _next_blocked(self, index: int, end_s: float) -> int | None:
        for later in range(index + 1, len(self.times)):
            if self.times[later] >= end_s:
                return None
            if self.free[self.times[later]] <= 0:
                return later
        return None

    def reserve(self, start_s: float, service_s: float) -> None:
        """Reserve a slot for the service time."""
        end_s = start_s + service_s
        self._add_time(start_s)
        self._add_time(end_s)
        for time_s in self.times.irange(start_s, end_s, inclusive=(True, False)):
            self.free[time_s] -= 1

    def remove_past(self, now: float) -> None:
        """Remove the times before ``now``."""
        index = self.times.bisect_right(now) - 1
        for time_s in list(self.times[:index]):
            self.times.remove(time_s)
            del self.free[time_s]

    def _add_time(self, time_s: float) -> None:
        if time_s in self.free:
            return
        before = self.times[self.times.bisect_right(time_s) - 1]
        self.times.add(time_s)
        self.free[time_s] = self.free[before]


def compare(size: str, seed: int) -> list[dict]:
    """Run both estimates over the same arrivals and return the figures of each."""
    calls, load, maximum_requests = SIZES[size]
    rate = load * calls / MEAN_SERVICE_S
    rng = random.Random(seed)
    arrivals = []
    now = 0.0
    while now < DURATION_S and len(arrivals) < maximum_requests:
        now += rng.expovariate(rate)
        expected_s = rng.choice((0.3, 1.0, 1.6, 3.5))
        arrivals.append((now, expected_s, expected_s * rng.uniform(0.6, 1.4)))
    return [
        _measure(size, seed, method, calls, arrivals)
        for method in ("backlog", "profile")
    ]


def _measure(size, seed, method, calls, arrivals) -> dict:
    free_at_s = [0.0] * calls
    profile = AvailabilityProfile(calls)
    running: list[tuple[float, float]] = []
    backlog_s = 0.0
    decision_times_s = []
    counts = {"refused_feasible": 0, "admitted_late": 0, "admitted": 0, "in_time": 0}
    for number, (now, expected_s, actual_s) in enumerate(arrivals):
        while running and running[0][0] <= now:
            backlog_s -= heapq.heappop(running)[1]
        started_s = time.perf_counter()
        if method == "profile":
            if number % 50 == 0:
                profile.remove_past(now)
            start_s = profile.earliest_start_s(now, expected_s)
        else:
            start_s = now + max(0.0, backlog_s / calls - MEAN_SERVICE_S / 2)
        admitted = start_s + expected_s - now <= DEADLINE_S
        if admitted and method == "profile":
            profile.reserve(start_s, expected_s)
        decision_times_s.append(time.perf_counter() - started_s)
        actual_start_s = max(now, free_at_s[0])
        late = actual_start_s + actual_s - now > DEADLINE_S
        if not admitted:
            counts["refused_feasible"] += not late
            continue
        heapq.heapreplace(free_at_s, actual_start_s + actual_s)
        heapq.heappush(running, (actual_start_s + actual_s, expected_s))
        backlog_s += expected_s
        counts["admitted"] += 1
        counts["admitted_late"] += late
        counts["in_time"] += not late
    return {
        "size": size,
        "seed": seed,
        "method": method,
        "offered": len(arrivals),
        "decision_us_p50": round(statistics.median(decision_times_s) * 1e6, 1),
        "decision_us_p99": round(
            sorted(decision_times_s)[int(len(decision_times_s) * 0.99)] * 1e6, 1
        ),
        **counts,
    }


def run(arguments: list[str]) -> int:
    """Run the sizes and the seed given by the arguments."""
    parser = argparse.ArgumentParser(prog="bench admission_profile")
    parser.add_argument("--size", choices=[*SIZES, "all"], default="all")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    for size in SIZES if options.size == "all" else [options.size]:
        for figures in compare(size, options.seed):
            print(json.dumps(figures), flush=True)
    return 0
