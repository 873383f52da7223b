"""Exclusion of upstreams on which a stage has already failed."""

from bitternlever.routing import choice
from tests.admission import entry_hosts


def test_a_retry_uses_another_upstream_if_there_is_one():
    tables = entry_hosts.host()
    for name in ("failed", "other"):
        entry_hosts.announce(tables, 0.0, name)
    stage = entry_hosts.ready("r", excluded=frozenset(["failed"]))

    chosen = {choice.choose(tables, 0.0, stage).ok().upstream for _ in range(20)}

    assert chosen == {"other"}


def test_a_retry_uses_the_failed_upstream_if_it_is_the_only_one():
    tables = entry_hosts.host()
    entry_hosts.announce(tables, 0.0, "only")
    stage = entry_hosts.ready("r", excluded=frozenset(["only"]))

    assert choice.choose(tables, 0.0, stage).ok().upstream == "only"


def test_a_hedge_never_uses_the_upstream_of_its_primary():
    tables = entry_hosts.host()
    entry_hosts.announce(tables, 0.0, "only")
    stage = entry_hosts.ready("r", excluded=frozenset(["only"]), hedge=True)

    assert choice.choose(tables, 0.0, stage).is_err()
