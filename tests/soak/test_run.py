"""A seeded run of the real programs, and the list of seeds that failed before."""

from soak import __main__ as soak_program, checks, runner

CI_SEED = 61
"""Its plan kills all control processes, wipes a disk, freezes processes, silences links
and revokes a key."""

NETWORK = 59


async def test_a_short_seeded_run_has_no_violations(tmp_path):
    records = await runner.run(CI_SEED, tmp_path, NETWORK)

    assert checks.violations(records) == []
    assert sum(call.status == 200 for call in records.calls) > 100


def test_regressions_are_seeds_with_a_cause():
    lines = soak_program.REGRESSIONS.read_text().splitlines()
    cases = [line for line in lines if line and line[0] != "#"]

    assert len(soak_program.regressions()) == len(cases)
    assert all(len(line.split(maxsplit=1)) == 2 for line in cases)
