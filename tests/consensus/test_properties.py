"""Safety properties of Raft and of the manifest under generated faults."""

import hypothesis
import hypothesis.stateful
from hypothesis import strategies

from tests.consensus import fault_injection

positions = strategies.integers(0, 4)


class FaultyCluster(hypothesis.stateful.RuleBasedStateMachine):
    """Rules inject faults; the harness checks the invariants at each tick."""

    @hypothesis.stateful.initialize(
        nodes=strategies.sampled_from([3, 5]),
        seed=strategies.integers(0, 2**16),
    )
    def start(self, nodes, seed):
        self.fault_injector = fault_injection.FaultInjector(nodes, seed)

    @hypothesis.stateful.rule(raced=strategies.booleans())
    def put(self, raced):
        self.fault_injector.put(raced)

    @hypothesis.stateful.rule()
    def read(self):
        self.fault_injector.read()

    @hypothesis.stateful.rule(seconds=strategies.sampled_from([0.002, 0.02, 0.5, 2.0]))
    def wait(self, seconds):
        self.fault_injector.wait(seconds)

    @hypothesis.stateful.rule(position=positions)
    def kill(self, position):
        self.fault_injector.kill(position)

    @hypothesis.stateful.rule(position=positions)
    def stop(self, position):
        self.fault_injector.stop(position)

    @hypothesis.stateful.rule()
    def restart(self):
        self.fault_injector.restart()

    @hypothesis.stateful.rule(position=positions)
    def isolate(self, position):
        self.fault_injector.isolate(position)

    @hypothesis.stateful.rule(position=positions, other=positions)
    def cut_one_way(self, position, other):
        self.fault_injector.cut_one_way(position, other)

    @hypothesis.stateful.rule(share=strategies.sampled_from([0.0, 0.05, 0.3]))
    def lose_messages(self, share):
        self.fault_injector.lose_messages(share)

    @hypothesis.stateful.rule()
    def heal(self):
        self.fault_injector.heal()

    @hypothesis.stateful.rule(position=positions)
    def freeze(self, position):
        self.fault_injector.freeze(position)

    @hypothesis.stateful.rule()
    def thaw(self):
        self.fault_injector.thaw()

    @hypothesis.stateful.rule(position=positions)
    def lose_disk(self, position):
        self.fault_injector.lose_disk(position)

    @hypothesis.stateful.rule()
    def replace(self):
        self.fault_injector.replace()

    def teardown(self):
        if hasattr(self, "disturber"):
            self.fault_injector.settle()


TestFaultyCluster = FaultyCluster.TestCase
TestFaultyCluster.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=25,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)
