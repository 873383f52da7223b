"""Simulated control processes of a fleet, with network and disks in virtual time."""

import copy
import dataclasses
import heapq
import itertools
import random
from typing import Any

from bitternlever.fleet import tables as fleet_tables, tick
from bitternlever.messages import consensus, frames
from bitternlever.storage import restored as storage_restored
from tests.consensus import harness

DELAY_S = (0.0005, 0.003)
SYNC_S = (0.001, 0.004)
STEP_S = 0.02


@dataclasses.dataclass(slots=True)
class Node:
    """A control process: its disk, its core, its inbox and its unsynced writes."""

    link: str
    durable: storage_restored.RestoredState
    tables: fleet_tables.FleetTables | None = None
    incarnation: int = 0
    wake_s: float = 0.0
    disk_works: bool = True
    inbox: list[Any] = dataclasses.field(default_factory=list)
    writes: list[Any] = dataclasses.field(default_factory=list)


class Cluster:
    """Nodes that find each other from seeds, and the outputs of their cores."""

    def __init__(self, names="abc", seeds="abc", seed=0, tolerated_losses=1):
        self.random = random.Random(seed)
        self.now = 0.0
        self.tolerated_losses = tolerated_losses
        self.seed_links = tuple(self.link(name) for name in seeds)
        self.events = []
        self.sequence = itertools.count()
        self.disks = itertools.count(1)
        self.cut = set()
        self.other_outputs = []
        self.answers = {}
        self.call_ids = itertools.count(1)
        self.nodes = {}
        self.zones = {}
        for name in names:
            self.add(name, may_bootstrap=True)

    @staticmethod
    def link(name):
        """Return the link of a node."""
        return f"tcp://{name}:1"

    def add(self, name, may_bootstrap=False):
        """Start a node with an empty disk."""
        durable = storage_restored.RestoredState(disk=f"disk-{next(self.disks)}")
        self.nodes[name] = Node(link=self.link(name), durable=durable)
        self.start(name, may_bootstrap=may_bootstrap)

    def start(self, name, may_bootstrap=False):
        """Start a process from its disk."""
        node = self.nodes[name]
        node.incarnation = next(self.sequence)
        node.inbox, node.writes = [], []
        restored = copy.deepcopy(node.durable)
        settings = fleet_tables.FleetSettings(
            link=node.link,
            zone=self.zones.get(name, name),
            disk=restored.disk,
            incarnation=str(node.incarnation),
            seed_links=self.seed_links,
            may_bootstrap=may_bootstrap,
            tolerated_losses=self.tolerated_losses,
        )
        node.tables = fleet_tables.create(
            settings, restored, self.random.getrandbits(32)
        )
        node.wake_s = self.now

    def kill(self, name):
        """Kill a process; unsynced writes are lost."""
        node = self.nodes[name]
        node.incarnation = next(self.sequence)
        node.tables = None
        node.writes = []

    def isolate(self, name):
        """Cut a node off from every other, in both directions."""
        for other in self.nodes:
            self.cut |= {(name, other), (other, name)}

    def heal(self):
        """Remove all network cuts."""
        self.cut.clear()

    def put(self, name, version, body=b"{}"):
        """Submit a catalog to a node as an operator; return the id of the call."""
        call_id = next(self.call_ids)
        request = fleet_tables.PutRequested(call_id, version, body)
        self.nodes[name].inbox.append(request)
        return call_id

    def read(self, name):
        """Read the catalog at a node as an operator; return the id of the call."""
        call_id = next(self.call_ids)
        self.nodes[name].inbox.append(fleet_tables.ReadRequested(call_id))
        return call_id

    def leader(self):
        """Return the leader with the highest term, None without one."""
        leaders = [
            name
            for name, node in self.nodes.items()
            if node.tables is not None and fleet_tables.is_leader(node.tables)
        ]
        if not leaders:
            return None
        return max(leaders, key=lambda name: self.nodes[name].tables.replica.term)

    def voters(self):
        """Return the names of the voters in the leader's membership."""
        membership = self.nodes[self.leader()].tables.replica.membership
        names = {node.link: name for name, node in self.nodes.items()}
        return sorted(names[voter.node] for voter in membership.voters)

    def run(self, seconds):
        """Advance the virtual time."""
        end_s = self.now + seconds
        while self.now < end_s:
            self._deliver()
            for name in list(self.nodes):
                self._tick(name)
            self.now += STEP_S / 10
        return self

    def until(self, condition, within_s=10.0):
        """Advance the time until a condition holds; fail after ``within_s``."""
        end_s = self.now + within_s
        while not condition():
            assert self.now < end_s, f"condition not met within {within_s} s"
            self.run(STEP_S)
        return self

    def _deliver(self):
        while self.events and self.events[0][0] <= self.now:
            _, _, name, incarnation, message = heapq.heappop(self.events)
            node = self.nodes.get(name)
            if node is None or node.tables is None:
                continue
            if incarnation is not None and incarnation != node.incarnation:
                continue
            if isinstance(message, consensus.LogSynced | consensus.SnapshotSynced):
                self._synced(node, message)
            node.inbox.append(message)

    def _synced(self, node, message):
        while node.writes and node.writes[0].write_id <= message.write_id:
            harness.persist(node.durable, node.writes.pop(0))

    def _tick(self, name):
        node = self.nodes[name]
        if node.tables is None or not (node.inbox or self.now >= node.wake_s):
            return
        inbox, node.inbox = node.inbox, []
        outbox = tick.tick(node.tables, self.now, inbox)
        node.wake_s = min(outbox.wake_at_s or self.now + STEP_S, self.now + STEP_S)
        for message in outbox.messages:
            self._handle_output(name, node, message)

    def _handle_output(self, name, node, message):
        match message:
            case frames.SendToPeer():
                self._send(name, message)
            case consensus.WriteLog() | consensus.WriteSnapshot():
                self._write(name, node, message)
            case fleet_tables.Completed() | fleet_tables.NotLeader():
                self.answers[message.call_id] = message
            case _:
                self.other_outputs.append((name, message))

    def _send(self, name, message):
        targets = {node.link: other for other, node in self.nodes.items()}
        other = targets.get(message.node)
        if other is None:
            self.other_outputs.append((name, message))
            return
        if (name, other) in self.cut:
            return
        received = frames.PeerMessageReceived(
            node=self.nodes[name].link,
            link=self.nodes[name].link,
            message=message.message,
        )
        self._post(self.random.uniform(*DELAY_S), other, None, received)

    def _write(self, name, node, message):
        if not node.disk_works:
            return
        node.writes.append(message)
        if isinstance(message, consensus.WriteSnapshot):
            synced = consensus.SnapshotSynced(
                group=message.group,
                write_id=message.write_id,
                last_index=message.last_index,
            )
        else:
            synced = consensus.LogSynced(group=message.group, write_id=message.write_id)
        self._post(self.random.uniform(*SYNC_S), name, node.incarnation, synced)

    def _post(self, delay_s, name, incarnation, message):
        event = (self.now + delay_s, next(self.sequence), name, incarnation, message)
        heapq.heappush(self.events, event)
