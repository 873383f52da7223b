"""Simulated control processes under virtual time, with network and disk faults.

Messages are delayed, lost or blocked; writes are synced late or lost in a crash. The
invariants of Raft and of the manifest are checked after every tick.
"""

import copy
import dataclasses
import hashlib
import heapq
import itertools
import random
from typing import Any

from bitternlever.consensus import log, reads, tables as consensus_tables
from bitternlever.control import tables as control_tables, tick
from bitternlever.messages import calls, consensus, directory, frames
from bitternlever.storage import restored as storage_restored

DELAY_S = (0.0005, 0.003)
SYNC_S = (0.0005, 0.004)
STEP_S = 0.02


@dataclasses.dataclass(slots=True)
class Node:
    """One control process: its synced disk, its writes in flight and its tables.

    Messages posted to an earlier ``incarnation`` of the process are discarded.
    """

    name: str
    durable: storage_restored.RestoredState
    tables: control_tables.ControlTables | None = None
    incarnation: int = 0
    wake_s: float = 0.0
    frozen: bool = False
    sync_paused: bool = False
    synced_s: float = 0.0
    clock_rate: float = 1.0
    inbox: list[Any] = dataclasses.field(default_factory=list)
    writes: list[Any] = dataclasses.field(default_factory=list)


class Cluster:
    """All nodes, the network between them, and the observed replies and state."""

    def __init__(self, nodes: int = 3, seed: int = 0, journal_groups=0, **settings):
        self.random = random.Random(seed)
        self.now = 0.0
        self.settings = settings
        self.journal_groups = journal_groups
        self.names = [f"control-{letter}" for letter in "abcdefg"[:nodes]]
        self.events = []
        self.sequence = itertools.count()
        self.disks = itertools.count(1)
        self.blocked = set()
        self.loss = 0.0
        self.replies = {}
        self.entry_messages = []
        self.last_call_id = 0
        self.read_floors = {}
        self.leaders = {}
        self.applied = {}
        self.manifests = {}
        self.accepted = {}
        self.nodes = {}
        for name in self.names:
            self.add(name)

    def add(self, name):
        """Start a node with an empty disk."""
        disk = f"disk-{next(self.disks)}"
        durable = storage_restored.RestoredState(disk=disk)
        self.nodes[name] = Node(name=name, durable=durable)
        self.start(name)

    def start(self, name):
        """Start a process from its disk."""
        node = self.nodes[name]
        node.incarnation = next(self.sequence)
        node.inbox, node.writes = [], []
        node.frozen = node.sync_paused = False
        restored = copy.deepcopy(node.durable)
        settings = control_tables.ControlSettings(
            node=name,
            link=f"tcp://{name}",
            zone=f"hall-{name[-1]}",
            disk=restored.disk,
            nodes={other: f"tcp://{other}" for other in self.names},
            zones={other: f"hall-{other[-1]}" for other in self.names},
            journal_groups=self.journal_groups,
            **self.settings,
        )
        node.tables = control_tables.create(
            settings,
            restored,
            self.random.getrandbits(32),
        )
        node.wake_s = self.now

    def kill(self, name):
        """End a process; a random prefix of its writes in flight becomes durable."""
        node = self.nodes[name]
        node.incarnation = next(self.sequence)
        node.tables = None
        kept = self.random.randint(0, len(node.writes))
        for message in node.writes[:kept]:
            persist(node.durable, message)
        node.writes = []

    def stop(self, name):
        """Ask a process to stop; it ends when its core sends ``Stopped``."""
        self.post(0.0, self.nodes[name], consensus.StopRequested())

    def lose_disk(self, name):
        """End a process, discard its disk and start it with an empty one."""
        self.kill(name)
        self.add(name)

    def isolate(self, name):
        """Block all messages between a node and every other, in both directions."""
        for other in self.nodes:
            self.blocked |= {(name, other), (other, name)}

    def heal(self):
        """Deliver all messages again."""
        self.blocked.clear()
        self.loss = 0.0

    def run(self, seconds):
        """Advance virtual time."""
        end = self.now + seconds
        while True:
            due = self.events[0][0] if self.events else end
            wakes = [n.wake_s for n in self.nodes.values() if n.tables and not n.frozen]
            due = min([due, end, *wakes])
            if due >= end:
                self.now = end
                return
            self.now = max(self.now, due)
            self.step()

    def step(self):
        """Deliver the due messages and tick every node that has work to do."""
        while self.events and self.events[0][0] <= self.now:
            _, _, name, incarnation, message = heapq.heappop(self.events)
            node = self.nodes.get(name)
            if node is None or node.incarnation != incarnation or node.tables is None:
                continue
            if isinstance(message, consensus.WriteLog | consensus.WriteSnapshot):
                message = self.sync(node, message)
            node.inbox.append(message)
        for node in list(self.nodes.values()):
            if node.tables is None or node.frozen:
                continue
            if node.inbox or node.wake_s <= self.now:
                self.tick(node)

    def sync(self, node, message):
        """Make a write durable and return the disk event for it."""
        node.writes.remove(message)
        persist(node.durable, message)
        if isinstance(message, consensus.WriteLog):
            return consensus.LogSynced(message.group, message.write_id)
        synced = consensus.SnapshotSynced
        return synced(message.group, message.write_id, message.last_index)

    def tick(self, node):
        inbox, node.inbox = node.inbox, []
        outbox = tick.tick(node.tables, self.now * node.clock_rate, inbox)
        node.wake_s = self.now + 1.0
        if outbox.wake_at_s is not None:
            node.wake_s = outbox.wake_at_s / node.clock_rate
        if node.wake_s <= self.now:
            node.wake_s = self.now + 0.0001
        for message in outbox.messages:
            if isinstance(message, frames.SendToPeer):
                self.send(node, message)
            elif not isinstance(message, consensus.Stopped):
                node.writes.append(message)
                if not node.sync_paused:
                    node.synced_s = max(self.now, node.synced_s)
                    node.synced_s += self.random.uniform(*SYNC_S)
                    self.post(node.synced_s - self.now, node, message)
        self.check(node)
        if consensus.Stopped() in outbox.messages:
            self.kill(node.name)

    def post(self, delay_s, node, message):
        entry = (
            self.now + delay_s,
            next(self.sequence),
            node.name,
            node.incarnation,
            message,
        )
        heapq.heappush(self.events, entry)

    def send(self, node, peer):
        target = self.nodes.get(peer.node)
        if target is None:
            self.entry_messages.append((self.now, node.name, peer))
            answer = peer.message
            if isinstance(answer, calls.ControlReply):
                self.replies.setdefault(answer.call_id, answer.reply)
                self.check_reply(answer.call_id, answer.reply)
            return
        if (node.name, peer.node) in self.blocked or self.random.random() < self.loss:
            return
        link = node.tables.settings.link
        received = frames.PeerMessageReceived(node.name, link, copy.copy(peer.message))
        self.post(self.random.uniform(*DELAY_S), target, received)

    def call(self, command, group=0, to=None, sender="entry-x"):
        """Send a command to one node, or to every node; return the call id."""
        self.last_call_id += 1
        self.read_floors[self.last_call_id] = max(self.accepted, default=0)
        call = calls.ControlCall(self.last_call_id, group, command)
        received = frames.PeerMessageReceived(sender, f"tcp://{sender}", call)
        for name in [to] if to else list(self.nodes):
            if self.nodes[name].tables is not None:
                self.post(0.0, self.nodes[name], received)
        return self.last_call_id

    def ask(self, command, group=0, seconds=4.0, to=None):
        """Send a command until it is answered; return the reply or None."""
        end = self.now + seconds
        while self.now < end:
            call_id = self.call(command, group, to)
            self.run(0.3)
            if call_id in self.replies:
                return self.replies[call_id]
        return None

    def leader(self, group=0):
        """Return the name of the running leader with the highest term, or None."""
        found = [
            (node.tables.groups[group].replica.term, node.name)
            for node in self.nodes.values()
            if node.tables is not None
            and node.tables.groups[group].replica.role is consensus_tables.Role.LEADER
        ]
        return max(found)[1] if found else None

    def replica(self, name, group=0):
        """Return a node's replica of a group."""
        return self.nodes[name].tables.groups[group].replica

    def check_reply(self, call_id, reply):
        if isinstance(reply, directory.ManifestInForce):
            assert reply.number >= self.read_floors[call_id], "a read was stale"
        if isinstance(reply, directory.ManifestAccepted):
            first = self.accepted.setdefault(reply.number, reply.digest)
            assert first == reply.digest, "two manifests were accepted with one number"

    def check(self, node):
        """Check election safety, log matching, leases and the order of manifests."""
        for group in node.tables.groups.values():
            replica = group.replica
            if replica.role is consensus_tables.Role.LEADER:
                key = (group.number, replica.term)
                first = self.leaders.setdefault(key, node.name)
                assert first == node.name, f"two leaders in term {replica.term}"
            self.check_applied(node, group.number, replica)
        self.check_leases()
        state = node.tables.directory.state
        before = self.manifests.get((node.name, node.incarnation), 0)
        assert state.number >= before, "manifest reverted"
        self.manifests[(node.name, node.incarnation)] = state.number

    def check_leases(self):
        """Check that no two processes hold a valid leader lease at the same time."""
        holders = [n.name for n in self.nodes.values() if n.tables and self.serves(n)]
        assert len(holders) <= 1, f"leases of {holders} overlap"

    def serves(self, node):
        replica = node.tables.groups[0].replica
        clock_s = self.now * node.clock_rate
        return reads.ready(replica) and reads.lease_valid(replica, clock_s)

    def check_applied(self, node, number, replica):
        newest = replica.applied_index
        for index in range(max(replica.log.base_index + 1, newest - 20), newest + 1):
            entry = log.entry_at(replica.log, index)
            first = self.applied.setdefault((number, index), entry)
            assert first == entry, f"{node.name} applied another entry at {index}"

    def check_acknowledged(self):
        """Check that the leader's history has every manifest that was accepted."""
        state = self.nodes[self.leader()].tables.directory.state
        for number, digest in self.accepted.items():
            assert state.accepted.get(number) == digest, f"manifest {number} was lost"


def persist(durable, message):
    """Apply a write to the durable state, as the storage does."""
    group = durable.groups.setdefault(message.group, storage_restored.Group())
    if isinstance(message, consensus.WriteSnapshot):
        group.snapshot = storage_restored.Snapshot(
            message.last_index,
            message.last_term,
            message.membership,
            message.data,
        )
        group.entries = [e for e in group.entries if e.index > message.last_index]
        return
    if message.truncate_from is not None:
        group.entries = [e for e in group.entries if e.index < message.truncate_from]
    base = group.snapshot.last_index if group.snapshot else 0
    group.entries += [e for e in message.entries if e.index > base]
    group.hard_state = message.hard_state or group.hard_state


def manifest(number, body=b"{}"):
    """Return the command that submits a manifest."""
    digest = hashlib.sha256(body).hexdigest()
    return directory.PutManifest(number=number, digest=digest, body=body)
