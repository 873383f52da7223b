"""The number of examples of a fuzz test: few and always the same in CI.

``sh scripts/bench fuzz --examples N`` sets ``BITTERNLEVER_FUZZ_EXAMPLES``. Then the
examples are random, and a failure prints how to reproduce it.
"""

import os

import hypothesis

CI_EXAMPLES = 50
VARIABLE = "BITTERNLEVER_FUZZ_EXAMPLES"


def settings(share: float = 1.0) -> hypothesis.settings:
    """Return the settings of a test; ``share`` scales its number of examples."""
    chosen = os.environ.get(VARIABLE)
    return hypothesis.settings(
        max_examples=max(1, int(int(chosen or CI_EXAMPLES) * share)),
        derandomize=chosen is None,
        database=None,
        deadline=None,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
