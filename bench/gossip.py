"""Measure bytes and processor time of gossip per host by hosts and upstreams."""

import argparse
import json
import time

import msgspec

from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import membership
from bitternlever.messages import frames, gossip, requests, upstream

ZONE_COUNT = 9
STEP_S = 0.25
WARM_UP_S = 6.0
# Bytes of a frame in addition to its encoded message.
FRAME_OVERHEAD_BYTES = 120
MODELS = ["assistant-draft@2026.09", "assistant-summary@2026.09"]


def make_hosts(count: int, seed: int) -> dict[str, entry_tables.EntryTables]:
    """Return entry hosts by link, spread over the zones, with two seed links each."""
    hosts = {}
    for index in range(count):
        settings = entry_tables.EntrySettings(
            host=f"entry-{index:03}",
            zone=f"zone-{index % ZONE_COUNT}",
            address=f"http://10.0.{index // 250}.{index % 250}:8080",
            link=f"tcp://10.0.{index // 250}.{index % 250}:7000",
            incarnation=f"run-{index}",
            control_nodes={},
            seed_links=["tcp://10.0.0.0:7000", "tcp://10.0.0.1:7000"],
        )
        hosts[settings.link] = entry_tables.create(settings, seed + index)
    return hosts


def make_announcement(index: int, sequence: int) -> upstream.Announcement:
    """Return an announcement of an upstream with a load report."""
    return upstream.Announcement(
        name=f"engine-{index:03}",
        incarnation=1_790_000_000,
        sequence=sequence,
        address=f"http://10.1.{index // 250}.{index % 250}:9000",
        pool=f"pool-{index % 6}",
        zone=f"zone-{index % ZONE_COUNT}",
        tasks=["generate"],
        models=MODELS,
        load=upstream.LoadReport(running=index % 8, waiting=1, step_ms=7.5),
    )


def measure(hosts: int, upstreams: int, seconds: float, seed: int) -> dict:
    """Run gossip in virtual time and return the cost per host and second."""
    cores = make_hosts(hosts, seed)
    links = list(cores)
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(gossip.Gossip)
    now = 100.0
    end_s = now + WARM_UP_S + seconds
    measure_from_s = now + WARM_UP_S
    in_flight: list[tuple[str, bytes]] = []
    sent_bytes = messages = 0
    cpu_s = 0.0
    while now < end_s:
        now += STEP_S
        in_flight.clear()
        if now == int(now):
            for index in range(upstreams):
                receiver = cores[links[index % len(links)]]
                event = requests.UpstreamAnnounced(make_announcement(index, int(now)))
                membership.handle_announcement(receiver, now, ticks.Outbox(), event)
        started_s = time.process_time()
        for tables in cores.values():
            outbox = ticks.Outbox()
            membership.run(tables, now, outbox)
            for message in outbox.messages:
                encoded = _encode(encoder, message)
                in_flight.append((message.link, encoded))
                if now > measure_from_s:
                    sent_bytes += len(encoded) + FRAME_OVERHEAD_BYTES
                    messages += 1
        for link, encoded in in_flight:
            message = decoder.decode(encoded)
            membership.handle_gossip(cores[link], now, ticks.Outbox(), message)
        if now > measure_from_s:
            cpu_s += time.process_time() - started_s
    known_upstreams = [_known_upstreams(cores[link], now) for link in links]
    return {
        "hosts": hosts,
        "upstreams": upstreams,
        "seed": seed,
        "bytes_per_s": round(sent_bytes / hosts / seconds),
        "messages_per_s": round(messages / hosts / seconds, 2),
        "core_percent": round(cpu_s / hosts / seconds * 100, 3),
        "known_upstreams_least": min(known_upstreams),
        "known_hosts_least": min(len(core.membership.hosts) for core in cores.values()),
    }


def _encode(encoder: msgspec.msgpack.Encoder, message: frames.SendToPeer) -> bytes:
    return encoder.encode(message.message)


def _known_upstreams(tables: entry_tables.EntryTables, now: float) -> int:
    oldest_valid_s = now - tables.settings.upstream_silence_s
    rows = tables.membership.upstreams.values()
    return sum(row.last_seen_s >= oldest_valid_s for row in rows)


def run(arguments: list[str]) -> int:
    """Measure the sizes given by the arguments."""
    parser = argparse.ArgumentParser(prog="bench gossip")
    parser.add_argument("--hosts", type=int, nargs="+", default=[9, 18, 36])
    parser.add_argument("--upstreams", type=int, nargs="+", default=[24, 48, 96])
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    for hosts in options.hosts:
        for upstreams in options.upstreams:
            figures = measure(hosts, upstreams, options.seconds, options.seed)
            print(json.dumps(figures), flush=True)
    return 0
