"""Fixtures for the journal tests."""

import pytest

from bitternlever.core import ticks


@pytest.fixture
def outbox():
    """Return an empty outbox."""
    return ticks.Outbox()
