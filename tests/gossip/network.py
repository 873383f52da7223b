"""Entry hosts that gossip over a bad network under virtual time."""

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
    """Hosts by name and the messages under way; ``loss`` and delays are per message."""

    hosts: dict[str, entry_tables.EntryTables]
    random: random.Random
    now: float = 100.0
    loss: float = 0.0
    longest_delay_s: float = 0.001
    under_way: list = dataclasses.field(default_factory=list)
    count: int = 0
    bytes_sent: int = 0

    def send(self, message: frames.SendPeer) -> None:
        """Encode a message and let it arrive late, or never."""
        encoded = ENCODER.encode(message.message)
        self.bytes_sent += len(encoded)
        if self.random.random() < self.loss:
            return
        self.count += 1
        at_s = self.now + self.random.uniform(0.0, self.longest_delay_s)
        heapq.heappush(self.under_way, (at_s, self.count, message.link, encoded))

    def step(self) -> None:
        """Let one step of time pass: deliver what is due, then run every host."""
        self.now += STEP_S
        while self.under_way and self.under_way[0][0] <= self.now:
            _, _, link, encoded = heapq.heappop(self.under_way)
            for tables in self.hosts.values():
                if tables.settings.link == link:
                    message = DECODER.decode(encoded)
                    membership.receive(tables, self.now, ticks.Outbox(), message)
        for tables in self.hosts.values():
            outbox = ticks.Outbox()
            membership.run(tables, self.now, outbox)
            for message in outbox.messages:
                self.send(message)

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        for _ in range(round(duration_s / STEP_S)):
            self.step()

    def announce(self, host: str, word: upstream.Announcement) -> None:
        """Let a host hear an upstream's own word."""
        message = requests.UpstreamAnnounced(announcement=word)
        membership.announced(self.hosts[host], self.now, ticks.Outbox(), message)

    def serving(self, host: str) -> list[str]:
        """Return the upstreams that a host would give new work to."""
        found = membership.serving(self.hosts[host], self.now, STAGE)
        return sorted(each.announcement.name for each in found)


def create(count: int, seed: int = 0, zones: int = 3) -> Network:
    """Make hosts that know only the first host's link."""
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


def word(
    name: str = "engine",
    sequence: int = 1,
    incarnation: int = 1,
    **changes,
) -> upstream.Announcement:
    """Make an announcement of a generating engine."""
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
