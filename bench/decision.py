"""Measure the time of a routing decision for several numbers of known upstreams."""

import argparse
import json
import statistics
import time

from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import tables as gossip_tables, upstreams
from bitternlever.messages import manifest, upstream
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import choice, occupancy

ZONE_COUNT = 9
WARM_UP_DECISIONS = 200
STAGE = manifest.Stage("write", manifest.Task.GENERATE, "engines")


def make_tables(upstream_count: int, hosts: int) -> entry_tables.EntryTables:
    """Return the tables of an entry host with some calls running on each upstream."""
    settings = entry_tables.EntrySettings(
        host="h0",
        zone="zone-0",
        address="",
        link="",
        incarnation="1",
        control_nodes={},
        seed_links=[],
    )
    tables = entry_tables.create(settings, seed=1)
    for index in range(hosts - 1):
        name = f"h{index + 1}"
        row = gossip_tables.Host(name, "1", 1, "", "", "", False, 0, 1.0)
        tables.membership.hosts[name] = row
    for index in range(upstream_count):
        name = f"engine-{index}"
        announcement = upstream.Announcement(
            name=name,
            incarnation=1,
            sequence=1,
            address=name,
            pool="engines",
            zone=f"zone-{index % ZONE_COUNT}",
            tasks=["generate"],
            load=upstream.LoadReport(running=3),
        )
        upstreams.merge_announcement(tables.membership, announcement, 1.0)
        load = occupancy.load_of(tables, name)
        load.in_flight.update(f"{name}-{call}" for call in range(index % 3))
        occupancy.sample(load, 0.5)
    return tables


def measure(upstream_count: int, hosts: int, count: int) -> dict:
    """Time single decisions and return the figures."""
    tables = make_tables(upstream_count, hosts)
    ready = pipeline_tables.ReadyStage(
        request_id="r",
        workspace="w",
        weight=1.0,
        kind="check",
        priority=0,
        stage_index=0,
        stage=STAGE,
        enqueued_s=1.0,
        deadline_s=9.0,
        stage_deadline_s=9.0,
        durable=False,
        prefix="p",
        prompt_tokens=300,
    )
    durations_s = []
    for number in range(WARM_UP_DECISIONS + count):
        started_s = time.perf_counter()
        choice.choose(tables, 1.0, ready)
        if number >= WARM_UP_DECISIONS:
            durations_s.append(time.perf_counter() - started_s)
    return {
        "known_upstreams": upstream_count,
        "hosts": hosts,
        "decisions": count,
        "p50_us": round(statistics.median(durations_s) * 1e6, 1),
        "p99_us": round(sorted(durations_s)[int(count * 0.99)] * 1e6, 1),
    }


def run(arguments: list[str]) -> int:
    """Measure the sizes given by the arguments."""
    parser = argparse.ArgumentParser(prog="bench decision")
    parser.add_argument("--upstreams", type=int, nargs="+", default=[9, 16, 64, 640])
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument("--count", type=int, default=5_000)
    options = parser.parse_args(arguments)
    for upstream_count in options.upstreams:
        print(
            json.dumps(measure(upstream_count, options.hosts, options.count)),
            flush=True,
        )
    return 0
