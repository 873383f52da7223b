"""Measure a routing policy in a scenario, with the same arrivals for each policy."""

import argparse
import json
import random
import time

from bench import policy_world
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import manifest
from bitternlever.routing import policies
from standins import engine_model

ZONES = ("hall-a", "hall-b", "hall-c")
WORKSPACES = {"w0": 0.5, "w1": 0.3, "w2": 0.12, "w3": 0.06, "w4": 0.02}
LARGEST = "w0"
SMALLEST = "w4"
HOSTS = 3
ARRIVALS_S = 40.0
DRAIN_S = 120.0
BURST_S = (10.0, 18.0)
FAULT_S = 12.0
REPAIR_S = 24.0
ENGINE = engine_model.EngineSettings(cached_prefixes=8)
PLAIN = engine_model.EngineSettings(maximum_running=8, step_s=0.003)
POOLS = {"engines": 9, "encoders": 3, "retrievers": 3, "rerankers": 3, "panels": 3}
URGENT_PRIORITY = 1
# Name: priority, deadline in ms, durable, arrivals a second, prompt, output tokens.
KINDS = {
    "reading": (0, 500, False, 10.0, 50, 1),
    "check": (0, 1_500, False, 20.0, 300, 24),
    "answer": (1, 4_000, False, 4.0, 600, 80),
    "draft": (2, 20_000, True, 8.0, 1_200, 250),
    "audit": (3, 60_000, True, 2.0, 3_000, 700),
}
STAGES = {
    "reading": ("call",),
    "check": ("encode", "generate"),
    "answer": ("encode", "retrieve", "rerank", "generate"),
    "draft": ("encode", "retrieve", "rerank", "generate"),
    "audit": ("encode", "retrieve", "rerank", "generate"),
}
TASKS = {
    "call": ("panels", manifest.Task.CALL, 1.0),
    "encode": ("encoders", manifest.Task.ENCODE, 1.0),
    "retrieve": ("retrievers", manifest.Task.RETRIEVE, 1.0),
    "rerank": ("rerankers", manifest.Task.RERANK, 1.0),
    "generate": ("engines", manifest.Task.GENERATE, 8.0),
}
change = policy_world.Change
# Name: changes of the world, then what differs from the steady day.
SCENARIOS = {
    "steady": ([], {}),
    "burst": ([], {"burst": 5.0}),
    "straggler": ([change(FAULT_S, "slow", "engines-0", 6.0)], {}),
    "kind_down": (
        [change(FAULT_S, "down", "rerankers"), change(REPAIR_S, "up", "rerankers")],
        {},
    ),
    "lag_0.1": ([], {"lag_s": 0.1}),
    "lag_1": ([], {"lag_s": 1.0}),
    "lag_5": ([], {"lag_s": 5.0}),
    "events_lost": ([], {"lost_events": 0.5}),
    "flood": ([], {"flood": 10.0}),
    "zone_lost": ([change(FAULT_S, "lose", "hall-c")], {}),
    "capacity": ([], {"scale": 1.5, "arrivals_s": 90.0}),
    "overload": ([], {"scale": 3.0, "arrivals_s": 90.0}),
    "urgent_capacity": ([], {"scale": 6.0, "patient": 0.0, "arrivals_s": 20.0}),
    "urgent_overload": ([], {"scale": 12.0, "patient": 0.0, "arrivals_s": 20.0}),
}


def make_manifest() -> manifest.Manifest:
    """Make the manifest with one pipeline for each kind."""
    pipelines = []
    for name, (priority, deadline_ms, durable, _, _, tokens) in KINDS.items():
        stages = [
            manifest.Stage(
                name=stage,
                task=TASKS[stage][1],
                pool=TASKS[stage][0],
                deadline_weight=TASKS[stage][2],
                maximum_output_tokens=tokens * 2,
            )
            for stage in STAGES[name]
        ]
        kind = manifest.Kind(name, priority, deadline_ms, durable)
        pipelines.append(manifest.Pipeline(name, stages, [kind]))
    workspaces = [manifest.Workspace(name, []) for name in WORKSPACES]
    return manifest.Manifest(1, workspaces, pipelines)


def make_flights(
    wanted: manifest.Manifest,
    seed: int,
    burst: float = 1.0,
    flood: float = 1.0,
    scale: float = 1.0,
    patient: float = 1.0,
    arrivals_s: float = ARRIVALS_S,
) -> list[policy_world.Flight]:
    """Draw the arrivals; equal for each policy of a seed."""
    source = random.Random(seed)
    drawn = []
    for pipeline in wanted.pipelines:
        kind = pipeline.kinds[0]
        _, _, _, rate, prompt, output = KINDS[kind.name]
        rate *= scale * (patient if kind.durable else 1.0)
        if not rate:
            continue
        for workspace, share in WORKSPACES.items():
            at_s = 0.0
            flooding = flood if (workspace, kind.name) == ("w0", "draft") else 1.0
            while True:
                bursting = burst if BURST_S[0] <= at_s < BURST_S[1] else 1.0
                at_s += source.expovariate(rate * share * bursting * flooding)
                if at_s >= arrivals_s:
                    break
                flight = policy_world.Flight(
                    number=0,
                    at_s=at_s,
                    workspace=workspace,
                    pipeline=pipeline,
                    kind=kind,
                    prompt_tokens=int(prompt * source.uniform(0.7, 1.3)),
                    output_tokens=max(1, int(output * source.uniform(0.5, 1.5))),
                    zone=source.randrange(len(ZONES)),
                )
                drawn.append(flight)
    drawn.sort(key=lambda flight: flight.at_s)
    for number, flight in enumerate(drawn):
        flight.number = number
    return drawn


def make_world(
    scenario: str,
    policy: str,
    seed: int,
    lag_s: float = 0.1,
    lost_events: float = 0.0,
    **changes: float,
) -> policy_world.World:
    """Make the hosts, upstreams and arrivals of a scenario."""
    wanted = make_manifest()
    hosts = {}
    for index in range(HOSTS):
        settings = entry_tables.EntrySettings(
            host=f"h{index}",
            zone=ZONES[index],
            address="",
            link=f"h{index}",
            incarnation="1",
            control_nodes={"control": ""},
            seed_links=["h0"],
            maximum_requests=50_000,
            policy=policy,
        )
        tables = entry_tables.create(settings, seed * HOSTS + index)
        view = tables.manifest
        view.manifest = wanted
        view.number = wanted.number
        view.workspaces = {each.name: each for each in wanted.workspaces}
        view.pipelines = {each.name: each for each in wanted.pipelines}
        hosts[settings.host] = tables
    fakes = {}
    for pool, count in POOLS.items():
        for index in range(count):
            engine = engine_model.create(ENGINE if pool == "engines" else PLAIN)
            zone = ZONES[index % len(ZONES)]
            name = f"{pool}-{index}"
            fakes[name] = policy_world.Fake(name, pool, zone, engine)
    flights = make_flights(wanted, seed, **changes)
    source = random.Random(seed)
    return policy_world.World(hosts, fakes, flights, source, lag_s, lost_events)


def measure(scenario: str, policy: str, seed: int) -> dict:
    """Run a scenario and return its figures."""
    changes, differences = SCENARIOS[scenario]
    world = make_world(scenario, policy, seed, **differences)
    began_s = time.perf_counter()
    policy_world.simulate(world, changes, world.flights[-1].at_s + DRAIN_S)
    figures = _figures(world)
    head = {"scenario": scenario, "policy": policy, "seed": seed}
    return head | figures | {"run_s": round(time.perf_counter() - began_s, 1)}


def _figures(world: policy_world.World) -> dict:
    flights = world.flights
    whole = [flight for flight in flights if flight.outcome == "answered"]
    urgent = [each for each in flights if each.kind.priority <= URGENT_PRIORITY]
    offered: dict[str, int] = {}
    for flight in flights:
        for stage in flight.pipeline.stages:
            offered[stage.name] = offered.get(stage.name, 0) + 1
    waits = [each.waited_s for each in flights if each.workspace == SMALLEST]
    outcomes: dict[str, int] = {}
    for flight in flights:
        outcomes[flight.outcome] = outcomes.get(flight.outcome, 0) + 1
    produced = sum(
        each.output_tokens for each in whole if len(each.pipeline.stages) > 1
    )
    in_time = sum(map(_attained, flights))
    kinds = {
        name: [each for each in flights if each.kind.name == name] for name in KINDS
    }
    counters: dict[str, int] = {}
    for tables in world.hosts.values():
        for name, count in tables.counters.items():
            counters[name] = counters.get(name, 0) + count
    return {
        "offered": len(flights),
        "outcomes": outcomes,
        "attainment": share(flights),
        "urgent_attainment": share(urgent),
        "smaller_workspaces_attainment": share(
            [each for each in flights if each.workspace != LARGEST],
        ),
        "goodput_per_s": round(in_time / flights[-1].at_s, 2),
        "kinds": {
            name: {
                "attainment": share(members),
                "p50_s": quantile([each.took_s for each in members], 0.5),
                "p99_s": quantile([each.took_s for each in members], 0.99),
            }
            for name, members in kinds.items()
        },
        "cost_s": {name: round(cost, 2) for name, cost in world.cost_s.items()},
        "generation_ms_per_token": round(
            world.cost_s["generate"] / max(1, produced) * 1_000,
            3,
        ),
        "attempts_per_offered": {
            name: round(count / offered[name], 3) for name, count in world.sent.items()
        },
        "smallest_workspace_wait_p99_s": quantile(waits, 0.99),
        "counters": counters,
    }


def _attained(flight: policy_world.Flight) -> bool:
    late = flight.took_s > flight.kind.deadline_ms / 1_000
    return flight.outcome == "answered" and not late


def share(flights: list[policy_world.Flight]) -> float:
    """Return the share of requests that were answered whole in time."""
    return round(sum(map(_attained, flights)) / max(1, len(flights)), 5)


def quantile(values: list[float], part: float) -> float | None:
    """Return a quantile in seconds of those that ended."""
    ended = sorted(value for value in values if value < float("inf"))
    if not ended:
        return None
    return round(ended[min(len(ended) - 1, int(part * len(ended)))], 3)


def run(arguments: list[str]) -> int:
    """Run the scenarios and policies that the arguments name."""
    parser = argparse.ArgumentParser(prog="bench policy")
    parser.add_argument("--scenario", choices=[*SCENARIOS, "all"], default="steady")
    parser.add_argument("--policy", choices=[*policies.NAMES, "all"], default="all")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    scenarios = SCENARIOS if options.scenario == "all" else [options.scenario]
    chosen = policies.NAMES if options.policy == "all" else [options.policy]
    for scenario in scenarios:
        for policy in chosen:
            print(json.dumps(measure(scenario, policy, options.seed)), flush=True)
    return 0
