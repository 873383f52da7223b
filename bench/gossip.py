"""Measure gossip: bytes and processor time a host against hosts and upstreams."""

import argparse
import json
import time

import msgspec

from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import membership
from bitternlever.messages import frames, gossip, requests, upstream

ZONES = 9
STEP_S = 0.25
WARM_UP_S = 6.0
FRAME_BYTES = 120
MODELS = ["assistant-draft@2026.09", "assistant-summary@2026.09"]


def make_hosts(count: int, seed: int) -> dict[str, entry_tables.EntryTables]:
    """Make hosts by link, spread over the zones, that know each other's seeds."""
    hosts = {}
    for index in range(count):
        settings = entry_tables.EntrySettings(
            host=f"entry-{index:03}",
            zone=f"zone-{index % ZONES}",
            address=f"http://10.0.{index // 250}.{index % 250}:8080",
            link=f"tcp://10.0.{index // 250}.{index % 250}:7000",
            incarnation=f"run-{index}",
            control_nodes={},
            seed_links=["tcp://10.0.0.0:7000", "tcp://10.0.0.1:7000"],
        )
        hosts[settings.link] = entry_tables.create(settings, seed + index)
    return hosts


def make_word(index: int, sequence: int) -> upstream.Announcement:
    """Make an upstream's announcement with a load report."""
    return upstream.Announcement(
        name=f"engine-{index:03}",
        incarnation=1_790_000_000,
        sequence=sequence,
        address=f"http://10.1.{index // 250}.{index % 250}:9000",
        pool=f"pool-{index % 6}",
        zone=f"zone-{index % ZONES}",
        tasks=["generate"],
        models=MODELS,
        load=upstream.LoadReport(running=index % 8, waiting=1, step_ms=7.5),
    )


def measure(hosts: int, upstreams: int, seconds: float, seed: int) -> dict:
    """Let hosts gossip under virtual time and return the cost a host and second."""
    cores = make_hosts(hosts, seed)
    links = list(cores)
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(gossip.Gossip)
    now = 100.0
    end_s = now + WARM_UP_S + seconds
    warm_s = now + WARM_UP_S
    under_way: list[tuple[str, bytes]] = []
    sent_bytes = messages = 0
    spent_s = 0.0
    while now < end_s:
        now += STEP_S
        under_way.clear()
        if now == int(now):
            for index in range(upstreams):
                home = cores[links[index % len(links)]]
                word = requests.UpstreamAnnounced(make_word(index, int(now)))
                membership.announced(home, now, ticks.Outbox(), word)
        began_s = time.process_time()
        for tables in cores.values():
            outbox = ticks.Outbox()
            membership.run(tables, now, outbox)
            for message in outbox.messages:
                encoded = _encode(encoder, message)
                under_way.append((message.link, encoded))
                if now > warm_s:
                    sent_bytes += len(encoded) + FRAME_BYTES
                    messages += 1
        for link, encoded in under_way:
            message = decoder.decode(encoded)
            membership.receive(cores[link], now, ticks.Outbox(), message)
        if now > warm_s:
            spent_s += time.process_time() - began_s
    known = [_known(cores[link], now) for link in links]
    return {
        "hosts": hosts,
        "upstreams": upstreams,
        "seed": seed,
        "bytes_per_s": round(sent_bytes / hosts / seconds),
        "messages_per_s": round(messages / hosts / seconds, 2),
        "core_percent": round(spent_s / hosts / seconds * 100, 3),
        "known_upstreams_least": min(known),
        "known_hosts_least": min(len(each.membership.hosts) for each in cores.values()),
    }


def _encode(encoder: msgspec.msgpack.Encoder, message: frames.SendPeer) -> bytes:
    return encoder.encode(message.message)


def _known(tables: entry_tables.EntryTables, now: float) -> int:
    oldest_s = now - tables.settings.upstream_silence_s
    rows = tables.membership.upstreams.values()
    return sum(row.heard_s >= oldest_s for row in rows)


def run(arguments: list[str]) -> int:
    """Measure the sizes that the arguments name."""
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
