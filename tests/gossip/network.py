"""Simulated entry hosts that gossip over a lossy network in virtual time."""

import dataclasses
import heapq
import random

import msgspec

from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import membership
from bitternlever.messages import frames, gossip, manifest, requests, upstream

STAGE = manifest.Stage(name="write", task=manifest.Task.GENERATE, pool="engines")
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(gossip.Gossip)
STEP_S = 0.05


@dataclasses.dataclass(slots=True)
class Network:
    """Hosts by name and messages in transit; ``loss`` and delay apply per message."""

    hosts: dict[str, entry_tables.EntryTables]
    random: random.Random
    now: float = 100.0
    loss: float = 0.0
    longest_delay_s: float = 0.001
    in_transit: list = dataclasses.field(default_factory=list)
    count: int = 0
    bytes_sent: int = 0

    def send(self, message: frames.SendToPeer) -> None:
        """Encode a message and deliver it after a random delay, or drop it."""
        encoded = ENCODER.encode(message.message)
        self.bytes_sent += len(encoded)
        if self.random.random() < self.loss:
            return
        self.count += 1
        at_s = self.now + self.random.uniform(0.0, self.longest_delay_s)
        heapq.heappush(self.in_transit, (at_s, self.count, message.link, encoded))

    def step(self) -> None:
        """Advance one step: deliver due messages, then run every host."""
        self.now += STEP_S
        while self.in_transit and self.in_transit[0][0] <= self.now:
            _, _, link, encoded = heapq.heappop(self.in_transit)
            for tables in self.hosts.values():
                if tables.settings.link == link:
                    message = DECODER.decode(encoded)
                    membership.handle_gossip(tables, self.now, ticks.Outbox(), message)
        for tables in self.hosts.values():
            outbox = ticks.Outbox()
            membership.run(tables, self.now, outbox)
            for message in outbox.messages:
                self.send(message)

    def run(self, duration_s: float) -> None:
        """Advance the virtual time."""
        for _ in range(round(duration_s / STEP_S)):
            self.step()

    def announce(self, host: str, announcement: upstream.Announcement) -> None:
        """Deliver an upstream's announcement to a host."""
        message = requests.UpstreamAnnounced(announcement=announcement)
        membership.handle_announcement(
            self.hosts[host], self.now, ticks.Outbox(), message
        )

    def serving(self, host: str) -> list[str]:
        """Return the upstreams to which a host would send new work."""
        found = membership.serving_upstreams(self.hosts[host], self.now, STAGE)
        return sorted(upstream_state.announcement.name for upstream_state in found)


def create(count: int, seed: int = 0, zones: int = 3) -> Network:
    """Create hosts that know only the first host's link."""
    hosts = {}
    for index in range(count):
        settings = entry_tables.EntrySettings(
            host=f"h{index}",
            zone=f"zone-{index % zones}",
            address=f"http://h{index}",
            link=f"tcp://h{index}",
            incarnation=f"run-{index}",
            control_nodes={},
            seed_links=["tcp://h0"],
        )
        hosts[settings.host] = entry_tables.create(settings, seed=seed + index)
    return Network(hosts=hosts, random=random.Random(seed))


def announcement(
    name: str = "engine",
    sequence: int = 1,
    incarnation: int = 1,
    **changes,
) -> upstream.Announcement:
    """Create an announcement of a generating engine."""
    values = {
        "address": f"http://{name}",
        "pool": "engines",
        "zone": "zone-0",
        "tasks": ["generate"],
    }
    return upstream.Announcement(
        name=name,
        incarnation=incarnation,
        sequence=sequence,
        **(values | changes),
    )
