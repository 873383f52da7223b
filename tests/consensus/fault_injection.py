"""Random fault injection into a cluster, for property tests and long random runs."""

import random

from bitternlever.messages import directory
from tests.consensus import harness

SETTLE_S = 8.0
STOP_S = 1.5
REPLACE_S = 30.0


class FaultInjector:
    """Inject faults into a cluster; at most one lost disk awaits replacement."""

    def __init__(self, nodes, seed, journal_groups=0):
        self.cluster = harness.Cluster(
            nodes=nodes,
            seed=seed,
            journal_groups=journal_groups,
            snapshot_after_entries=15,
        )
        self.cluster.run(3.0)
        self.lost_disk = None
        self.replaced_disks = set()
        self.bodies = 0

    def put(self, raced):
        """Submit the next manifest to all nodes, as one operator or two in a race."""
        newest = max(
            (
                node.tables.directory.state.number
                for node in self.cluster.nodes.values()
                if node.tables is not None
            ),
            default=0,
        )
        for _ in range(2 if raced else 1):
            self.bodies += 1
            self.cluster.call(harness.manifest(newest + 1, b"%d" % self.bodies))

    def read(self):
        """Read the manifest from all nodes; the harness checks the replies."""
        self.cluster.call(directory.GetManifest())

    def wait(self, seconds):
        self.cluster.run(seconds)

    def kill(self, position):
        name = self._name(position)
        if self.cluster.nodes[name].tables is not None:
            self.cluster.kill(name)

    def stop(self, position):
        name = self._name(position)
        if self.cluster.nodes[name].tables is not None:
            self.cluster.stop(name)

    def restart(self):
        for name, node in self.cluster.nodes.items():
            if node.tables is None:
                self.cluster.start(name)

    def isolate(self, position):
        self.cluster.isolate(self._name(position))

    def cut_one_way(self, position, other):
        self.cluster.blocked.add((self._name(position), self._name(other)))

    def lose_messages(self, share):
        self.cluster.loss = share

    def heal(self):
        self.cluster.heal()

    def freeze(self, position):
        node = self.cluster.nodes[self._name(position)]
        node.frozen = node.tables is not None

    def thaw(self):
        for node in self.cluster.nodes.values():
            node.frozen = False

    def lose_disk(self, position):
        """Empty a disk, unless an earlier one still awaits replacement."""
        if self.lost_disk is not None:
            return
        name = self._name(position)
        self.lost_disk = directory.ReplaceReplica(
            old_node=name,
            old_disk=self.cluster.nodes[name].durable.disk,
            new_node=name,
        )
        self.cluster.lose_disk(name)

    def replace(self):
        """Ask all nodes to replace the lost disk, as the operator's tool does."""
        if self.lost_disk is None:
            return
        call_id = self.cluster.call(self.lost_disk)
        self.cluster.run(0.3)
        reply = self.cluster.replies.get(call_id)
        if getattr(reply, "step", None) == "done":
            self.replaced_disks.add((self.lost_disk.old_node, self.lost_disk.old_disk))
            self.lost_disk = None

    def settle(self):
        """End all faults; then check that every accepted manifest is still there."""
        self.heal()
        self.thaw()
        self.cluster.run(STOP_S)
        self.restart()
        self.cluster.run(SETTLE_S)
        end = self.cluster.now + REPLACE_S
        while self.lost_disk is not None and self.cluster.now < end:
            self.replace()
        assert self.lost_disk is None, "the lost disk was not replaced"
        for group in range(1 + self.cluster.journal_groups):
            leader = self.cluster.leader(group)
            assert leader is not None, "no leader after all has healed"
            members = self.cluster.replica(leader, group).membership.voters
            disks = {(member.node, member.disk) for member in members}
            assert not disks & self.replaced_disks, "a replaced disk is a voter still"
        self.cluster.run(1.0)
        self.cluster.check_acknowledged()
        number = self.cluster.nodes[self.cluster.leader()].tables.directory.state.number
        reply = self.cluster.ask(harness.manifest(number + 1, b"settled"))
        assert isinstance(reply, directory.ManifestAccepted), "writes do not go on"

    def _name(self, position):
        return self.cluster.names[position % len(self.cluster.names)]


def run_random(seed, steps, nodes):
    """Run random fault steps on a cluster; an AssertionError is a violation."""
    chooser = random.Random(seed)
    fault_injector = FaultInjector(nodes, seed, journal_groups=seed // 2 % 2)
    choices = [
        lambda: fault_injector.put(chooser.random() < 0.3),
        lambda: fault_injector.put(raced=False),
        fault_injector.read,
        lambda: fault_injector.wait(chooser.uniform(0.001, 0.05)),
        lambda: fault_injector.wait(chooser.uniform(0.1, 3.0)),
        lambda: fault_injector.kill(chooser.randrange(nodes)),
        lambda: fault_injector.stop(chooser.randrange(nodes)),
        fault_injector.restart,
        lambda: fault_injector.isolate(chooser.randrange(nodes)),
        lambda: fault_injector.cut_one_way(
            chooser.randrange(nodes),
            chooser.randrange(nodes),
        ),
        lambda: fault_injector.lose_messages(chooser.choice([0.0, 0.05, 0.3])),
        fault_injector.heal,
        lambda: fault_injector.freeze(chooser.randrange(nodes)),
        fault_injector.thaw,
        lambda: fault_injector.lose_disk(chooser.randrange(nodes)),
        fault_injector.replace,
    ]
    for _ in range(steps):
        chooser.choice(choices)()
    fault_injector.settle()
    return fault_injector
