"""Raft's safety properties and the manifest's under generated disturbances."""

import hypothesis
import hypothesis.stateful
from hypothesis import strategies

from tests.consensus import disturbances

positions = strategies.integers(0, 4)


class DisturbedCluster(hypothesis.stateful.RuleBasedStateMachine):
    """Rules disturb the cluster; the harness checks the invariants at each tick."""

    @hypothesis.stateful.initialize(
        nodes=strategies.sampled_from([3, 5]),
        seed=strategies.integers(0, 2**16),
    )
    def start(self, nodes, seed):
        self.disturber = disturbances.Disturber(nodes, seed)

    @hypothesis.stateful.rule(raced=strategies.booleans())
    def put(self, raced):
        self.disturber.put(raced)

    @hypothesis.stateful.rule()
    def read(self):
        self.disturber.read()

    @hypothesis.stateful.rule(seconds=strategies.sampled_from([0.002, 0.02, 0.5, 2.0]))
    def wait(self, seconds):
        self.disturber.wait(seconds)

    @hypothesis.stateful.rule(position=positions)
    def kill(self, position):
        self.disturber.kill(position)

    @hypothesis.stateful.rule(position=positions)
    def stop(self, position):
        self.disturber.stop(position)

    @hypothesis.stateful.rule()
    def restart(self):
        self.disturber.restart()

    @hypothesis.stateful.rule(position=positions)
    def isolate(self, position):
        self.disturber.isolate(position)

    @hypothesis.stateful.rule(position=positions, other=positions)
    def cut_one_way(self, position, other):
        self.disturber.cut_one_way(position, other)

    @hypothesis.stateful.rule(share=strategies.sampled_from([0.0, 0.05, 0.3]))
    def lose_messages(self, share):
        self.disturber.lose_messages(share)

    @hypothesis.stateful.rule()
    def heal(self):
        self.disturber.heal()

    @hypothesis.stateful.rule(position=positions)
    def freeze(self, position):
        self.disturber.freeze(position)

    @hypothesis.stateful.rule()
    def thaw(self):
        self.disturber.thaw()

    @hypothesis.stateful.rule(position=positions)
    def lose_disk(self, position):
        self.disturber.lose_disk(position)

    @hypothesis.stateful.rule()
    def replace(self):
        self.disturber.replace()

    def teardown(self):
        if hasattr(self, "disturber"):
            self.disturber.settle()


TestDisturbedCluster = DisturbedCluster.TestCase
TestDisturbedCluster.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=25,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)
