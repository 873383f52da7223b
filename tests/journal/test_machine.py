"""Snapshots, determinism, indexes and size accounting, over random commands."""

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
DETERMINISTIC = hypothesis.settings(derandomize=True, database=None, deadline=None)


@DETERMINISTIC
@hypothesis.given(strategies.lists(writes, max_size=40), strategies.integers(0, 39))
def test_a_replica_from_a_snapshot_stays_equal(commands_to_apply, snapshot_index):
    uninterrupted = machine.create(SETTINGS)
    restored = machine.create(SETTINGS)
    for index, command in enumerate(commands_to_apply):
        if index == snapshot_index:
            machine.restore(restored, machine.snapshot(restored))
        assert machine.apply(uninterrupted, command) == machine.apply(restored, command)

    assert machine.snapshot(uninterrupted) == machine.snapshot(restored)
    assert uninterrupted.size == restored.size
    assert list(uninterrupted.orphans) == list(restored.orphans)
    assert list(uninterrupted.answered) == list(restored.answered)
    assert list(uninterrupted.acknowledged) == list(restored.acknowledged)


@DETERMINISTIC
@hypothesis.given(strategies.lists(writes, max_size=60))
def test_indexes_and_sizes_match_the_records(commands_to_apply):
    state = machine.create(SETTINGS)
    for command in commands_to_apply:
        machine.apply(state, command)

    records = state.records.values()
    open_records = [record for record in records if record.answer is None]
    orphans = {record.request_id for record in open_records if not record.host}
    owned = {record.request_id for record in open_records if record.host}
    assert {request_id for _, request_id in state.orphans} == orphans
    assert set().union(*state.owned.values()) == owned
    assert len(state.answered) == len(records) - len(open_records)
    assert state.size == sum(record.size for record in records)
    assert state.size <= SETTINGS.maximum_bytes
    for record in open_records:
        fence = state.fences.get(record.host, 0)
        assert not record.host or record.epoch >= fence


@DETERMINISTIC
@hypothesis.given(strategies.lists(writes, max_size=60))
def test_an_answer_once_recorded_never_changes(commands_to_apply):
    state = machine.create(SETTINGS)
    bodies = {}
    for command in commands_to_apply:
        machine.apply(state, command)
        for request_id, record in state.records.items():
            if record.answer is not None and record.answer.body:
                recorded = bodies.setdefault(request_id, record.answer.body)
                assert record.answer.body == recorded
        for request_id in set(bodies) - set(state.records):
            del bodies[request_id]
