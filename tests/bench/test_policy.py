"""The experiment that measures policies."""

from bench import policy, policy_world


def test_arrivals_of_a_seed_are_equal():
    wanted = policy.make_manifest()

    assert policy.make_flights(wanted, 7) == policy.make_flights(wanted, 7)


def test_a_run_repeats_itself():
    def run():
        world = policy.make_world("steady", "predicted", 3, arrivals_s=2.0)
        policy_world.simulate(world, [], 60.0)
        return world.flights, world.cost_s, world.sent

    assert run() == run()
