"""Fixtures of the journal's tests."""

import pytest

from bitternlever.core import ticks


@pytest.fixture
def outbox():
    """Make an empty outbox."""
    return ticks.Outbox()
