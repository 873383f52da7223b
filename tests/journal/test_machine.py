"""Snapshots, determinism and the accounts of size, over random commands."""

import hypothesis
from hypothesis import strategies

from bitternlever.journal import machine, tables as journal_tables
from bitternlever.messages import journal
from tests.journal import commands

SETTINGS = journal_tables.JournalSettings(maximum_bytes=6_000)

hosts = strategies.sampled_from(["a", "b", "c"])
epochs = strategies.integers(1, 3)
ids = strategies.sampled_from(["k-1", "k-2", "k-3"])
attempts = strategies.sampled_from(["x-1", "x-2"])
texts = strategies.text("rain", max_size=9)
writes = strategies.one_of(
    strategies.builds(commands.claim, ids, hosts, epochs),
    strategies.builds(commands.start, attempts, hosts, epochs),
    strategies.builds(
        commands.progress, strategies.integers(0, 9), texts, hosts, epochs
    ),
    strategies.builds(commands.result, attempts, host=hosts),
    strategies.builds(commands.answer, request_id=ids, host=hosts, epoch=epochs),
    strategies.builds(
        commands.take_over,
        hosts,
        epochs,
        strategies.integers(1, 3),
        strategies.integers(1, 2),
    ),
    strategies.builds(journal.FenceHost, hosts, epochs),
    strategies.builds(
        journal.ReleaseRequests,
        strategies.lists(ids, max_size=2),
        hosts,
        epochs,
    ),
    strategies.builds(
        journal.Acknowledge,
        ids,
        strategies.just(commands.WORKSPACE),
    ),
    strategies.builds(
        journal.CancelRequest,
        ids,
        strategies.just(commands.WORKSPACE),
    ),
    strategies.builds(journal.WithdrawRequest, ids, hosts, epochs),
    strategies.builds(
        journal.ExpireRequests,
        strategies.lists(ids, max_size=2),
        strategies.integers(0, 4_000_000),
    ),
)
SAME = hypothesis.settings(derandomize=True, database=None, deadline=None)


@SAME
@hypothesis.given(strategies.lists(writes, max_size=40), strategies.integers(0, 39))
def test_a_replica_from_a_snapshot_stays_equal(listed, cut):
    straight = machine.create(SETTINGS)
    resumed = machine.create(SETTINGS)
    for index, command in enumerate(listed):
        if index == cut:
            machine.restore(resumed, machine.snapshot(resumed))
        assert machine.apply(straight, command) == machine.apply(resumed, command)

    assert machine.snapshot(straight) == machine.snapshot(resumed)
    assert straight.size == resumed.size
    assert list(straight.orphans) == list(resumed.orphans)
    assert list(straight.answered) == list(resumed.answered)
    assert list(straight.acknowledged) == list(resumed.acknowledged)


@SAME
@hypothesis.given(strategies.lists(writes, max_size=60))
def test_the_indexes_and_sizes_follow_the_records(listed):
    state = machine.create(SETTINGS)
    for command in listed:
        machine.apply(state, command)

    records = state.records.values()
    opened = [record for record in records if record.answer is None]
    orphans = {record.request_id for record in opened if not record.host}
    owned = {record.request_id for record in opened if record.host}
    assert {request_id for _, request_id in state.orphans} == orphans
    assert set().union(*state.owned.values()) == owned
    assert len(state.answered) == len(records) - len(opened)
    assert state.size == sum(record.size for record in records)
    assert state.size <= SETTINGS.maximum_bytes
    for record in opened:
        fence = state.fences.get(record.host, 0)
        assert not record.host or record.epoch >= fence


@SAME
@hypothesis.given(strategies.lists(writes, max_size=60))
def test_an_answer_once_recorded_never_changes(listed):
    state = machine.create(SETTINGS)
    bodies = {}
    for command in listed:
        machine.apply(state, command)
        for request_id, record in state.records.items():
            if record.answer is not None and record.answer.body:
                known = bodies.setdefault(request_id, record.answer.body)
                assert record.answer.body == known
        for request_id in set(bodies) - set(state.records):
            del bodies[request_id]
