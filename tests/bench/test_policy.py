"""The policy experiment."""

from bench import policy, policy_simulation


def test_a_seed_determines_the_requests():
    manifest = policy.make_manifest()

    assert policy.make_requests(manifest, 7) == policy.make_requests(manifest, 7)


def test_a_run_is_deterministic():
    def run():
        simulation = policy.make_simulation("steady", "predicted", 3, arrivals_s=2.0)
        policy_simulation.simulate(simulation, [], 60.0)
        return simulation.requests, simulation.cost_s, simulation.call_counts

    assert run() == run()
