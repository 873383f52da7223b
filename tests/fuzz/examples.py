"""How many examples a fuzz test tries: the same few in CI, more by command.

``BITTERNLEVER_FUZZ_EXAMPLES`` is set by ``sh scripts/bench fuzz --examples N``; then
the examples are random, and a failure prints how to repeat it.
"""

import os

import hypothesis

CI_EXAMPLES = 50
VARIABLE = "BITTERNLEVER_FUZZ_EXAMPLES"


def settings(share: float = 1.0) -> hypothesis.settings:
    """Return the settings of a test that takes a share of the examples."""
    chosen = os.environ.get(VARIABLE)
    return hypothesis.settings(
        max_examples=max(1, int(int(chosen or CI_EXAMPLES) * share)),
        derandomize=chosen is None,
        database=None,
        deadline=None,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
