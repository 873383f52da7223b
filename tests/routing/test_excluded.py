"""Upstreams on which a stage has failed before."""

from bitternlever.routing import choice
from tests.admission import entries


def test_a_retry_goes_elsewhere_while_there_is_another():
    tables = entries.host()
    for name in ("failed", "other"):
        entries.announce(tables, 0.0, name)
    stage = entries.ready("r", excluded=frozenset(["failed"]))

    chosen = {choice.choose(tables, 0.0, stage).ok().upstream for _ in range(20)}

    assert chosen == {"other"}


def test_a_retry_goes_back_where_no_other_serves():
    tables = entries.host()
    entries.announce(tables, 0.0, "only")
    stage = entries.ready("r", excluded=frozenset(["only"]))

    assert choice.choose(tables, 0.0, stage).ok().upstream == "only"


def test_a_hedge_never_goes_where_its_primary_runs():
    tables = entries.host()
    entries.announce(tables, 0.0, "only")
    stage = entries.ready("r", excluded=frozenset(["only"]), hedge=True)

    assert choice.choose(tables, 0.0, stage).is_err()
