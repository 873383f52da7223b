"""Measure routing policies in a scenario, with the same arrivals for each policy."""

import argparse
import json
import random
import time

from bench import policy_simulation
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import manifest
from bitternlever.routing import policies
from standins import engine_model

ZONES = ("hall-a", "hall-b", "hall-c")
WORKSPACES = {"w0": 0.5, "w1": 0.3, "w2": 0.12, "w3": 0.06, "w4": 0.02}
LARGEST_WORKSPACE = "w0"
SMALLEST_WORKSPACE = "w4"
HOST_COUNT = 3
ARRIVALS_S = 40.0
DRAIN_S = 120.0
BURST_S = (10.0, 18.0)
FAULT_AT_S = 12.0
REPAIR_AT_S = 24.0
ENGINE_SETTINGS = engine_model.EngineSettings(cached_prefixes=8)
PLAIN_SETTINGS = engine_model.EngineSettings(maximum_running=8, step_s=0.003)
POOLS = {"engines": 9, "encoders": 3, "retrievers": 3, "rerankers": 3, "panels": 3}
URGENT_PRIORITY = 1
# Name: priority, deadline in ms, durable, arrivals/s, prompt tokens, output tokens.
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
change_at = policy_simulation.ScheduledChange
# Name: scheduled changes, arguments of make_simulation that differ from "steady".
SCENARIOS = {
    "steady": ([], {}),
    "burst": ([], {"burst": 5.0}),
    "straggler": ([change_at(FAULT_AT_S, "slow", "engines-0", 6.0)], {}),
    "kind_down": (
        [
            change_at(FAULT_AT_S, "down", "rerankers"),
            change_at(REPAIR_AT_S, "up", "rerankers"),
        ],
        {},
    ),
    "lag_0.1": ([], {"lag_s": 0.1}),
    "lag_1": ([], {"lag_s": 1.0}),
    "lag_5": ([], {"lag_s": 5.0}),
    "events_lost": ([], {"lost_events": 0.5}),
    "flood": ([], {"flood": 10.0}),
    "zone_lost": ([change_at(FAULT_AT_S, "lose", "hall-c")], {}),
    "capacity": ([], {"scale": 1.5, "arrivals_s": 90.0}),
    "overload": ([], {"scale": 3.0, "arrivals_s": 90.0}),
    "urgent_capacity": ([], {"scale": 6.0, "durable_scale": 0.0, "arrivals_s": 20.0}),
    "urgent_overload": ([], {"scale": 12.0, "durable_scale": 0.0, "arrivals_s": 20.0}),
}


def make_manifest() -> manifest.Manifest:
    """Return a manifest with one pipeline for each kind."""
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


def make_requests(
    simulated_manifest: manifest.Manifest,
    seed: int,
    burst: float = 1.0,
    flood: float = 1.0,
    scale: float = 1.0,
    durable_scale: float = 1.0,
    arrivals_s: float = ARRIVALS_S,
) -> list[policy_simulation.SimulatedRequest]:
    """Draw the requests of a seed, the same for each policy."""
    rng = random.Random(seed)
    requests = []
    for pipeline in simulated_manifest.pipelines:
        kind = pipeline.kinds[0]
        _, _, _, rate, prompt, output = KINDS[kind.name]
        rate *= scale * (durable_scale if kind.durable else 1.0)
        if not rate:
            continue
        for workspace, workspace_share in WORKSPACES.items():
            arrives_s = 0.0
            flood_factor = flood if (workspace, kind.name) == ("w0", "draft") else 1.0
            while True:
                burst_factor = burst if BURST_S[0] <= arrives_s < BURST_S[1] else 1.0
                arrives_s += rng.expovariate(
                    rate * workspace_share * burst_factor * flood_factor
                )
                if arrives_s >= arrivals_s:
                    break
                request = policy_simulation.SimulatedRequest(
                    number=0,
                    arrives_s=arrives_s,
                    workspace=workspace,
                    pipeline=pipeline,
                    kind=kind,
                    prompt_tokens=int(prompt * rng.uniform(0.7, 1.3)),
                    output_tokens=max(1, int(output * rng.uniform(0.5, 1.5))),
                    zone=rng.randrange(len(ZONES)),
                )
                requests.append(request)
    requests.sort(key=lambda request: request.arrives_s)
    for number, request in enumerate(requests):
        request.number = number
    return requests


def make_simulation(
    scenario: str,
    policy: str,
    seed: int,
    lag_s: float = 0.1,
    lost_events: float = 0.0,
    **changes: float,
) -> policy_simulation.Simulation:
    """Return a simulation with the hosts, upstreams and requests of a scenario."""
    simulated_manifest = make_manifest()
    hosts = {}
    for index in range(HOST_COUNT):
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
        tables = entry_tables.create(settings, seed * HOST_COUNT + index)
        view = tables.manifest
        view.manifest = simulated_manifest
        view.number = simulated_manifest.number
        view.workspaces = {entry.name: entry for entry in simulated_manifest.workspaces}
        view.pipelines = {entry.name: entry for entry in simulated_manifest.pipelines}
        hosts[settings.host] = tables
    fake_upstreams = {}
    for pool, count in POOLS.items():
        for index in range(count):
            engine = engine_model.create(
                ENGINE_SETTINGS if pool == "engines" else PLAIN_SETTINGS
            )
            zone = ZONES[index % len(ZONES)]
            name = f"{pool}-{index}"
            fake_upstreams[name] = policy_simulation.FakeUpstream(
                name, pool, zone, engine
            )
    requests = make_requests(simulated_manifest, seed, **changes)
    rng = random.Random(seed)
    return policy_simulation.Simulation(
        hosts, fake_upstreams, requests, rng, lag_s, lost_events
    )


def measure(scenario: str, policy: str, seed: int) -> dict:
    """Run a scenario and return its figures."""
    changes, arguments = SCENARIOS[scenario]
    simulation = make_simulation(scenario, policy, seed, **arguments)
    started_s = time.perf_counter()
    policy_simulation.simulate(
        simulation, changes, simulation.requests[-1].arrives_s + DRAIN_S
    )
    figures = _figures(simulation)
    head = {"scenario": scenario, "policy": policy, "seed": seed}
    return head | figures | {"run_s": round(time.perf_counter() - started_s, 1)}


def _figures(simulation: policy_simulation.Simulation) -> dict:
    requests = simulation.requests
    answered = [request for request in requests if request.outcome == "answered"]
    urgent = [
        request for request in requests if request.kind.priority <= URGENT_PRIORITY
    ]
    offered: dict[str, int] = {}
    for request in requests:
        for stage in request.pipeline.stages:
            offered[stage.name] = offered.get(stage.name, 0) + 1
    waits = [
        request.waited_s
        for request in requests
        if request.workspace == SMALLEST_WORKSPACE
    ]
    outcomes: dict[str, int] = {}
    for request in requests:
        outcomes[request.outcome] = outcomes.get(request.outcome, 0) + 1
    generated_tokens = sum(
        request.output_tokens
        for request in answered
        if len(request.pipeline.stages) > 1
    )
    in_time = sum(map(_is_answered_in_time, requests))
    kinds = {
        name: [request for request in requests if request.kind.name == name]
        for name in KINDS
    }
    counters: dict[str, int] = {}
    for tables in simulation.hosts.values():
        for name, count in tables.counters.items():
            counters[name] = counters.get(name, 0) + count
    return {
        "offered": len(requests),
        "outcomes": outcomes,
        "attainment": attainment(requests),
        "urgent_attainment": attainment(urgent),
        "smaller_workspaces_attainment": attainment(
            [request for request in requests if request.workspace != LARGEST_WORKSPACE],
        ),
        "goodput_per_s": round(in_time / requests[-1].arrives_s, 2),
        "kinds": {
            name: {
                "attainment": attainment(members),
                "p50_s": quantile([request.took_s for request in members], 0.5),
                "p99_s": quantile([request.took_s for request in members], 0.99),
            }
            for name, members in kinds.items()
        },
        "cost_s": {name: round(cost, 2) for name, cost in simulation.cost_s.items()},
        "generation_ms_per_token": round(
            simulation.cost_s["generate"] / max(1, generated_tokens) * 1_000,
            3,
        ),
        "attempts_per_offered": {
            name: round(count / offered[name], 3)
            for name, count in simulation.call_counts.items()
        },
        "smallest_workspace_wait_p99_s": quantile(waits, 0.99),
        "counters": counters,
    }


def _is_answered_in_time(request: policy_simulation.SimulatedRequest) -> bool:
    late = request.took_s > request.kind.deadline_ms / 1_000
    return request.outcome == "answered" and not late


def attainment(requests: list[policy_simulation.SimulatedRequest]) -> float:
    """Return the share of requests that were answered within their deadline."""
    return round(sum(map(_is_answered_in_time, requests)) / max(1, len(requests)), 5)


def quantile(values: list[float], fraction: float) -> float | None:
    """Return a quantile of the finite values, in seconds."""
    finite = sorted(value for value in values if value < float("inf"))
    if not finite:
        return None
    return round(finite[min(len(finite) - 1, int(fraction * len(finite)))], 3)


def run(arguments: list[str]) -> int:
    """Run the scenarios and policies given by the arguments."""
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
