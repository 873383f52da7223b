"""Answers: recorded once, the same bytes on every host, expired after retention."""

import msgspec
import pytest

from bitternlever.journal import leader, machine, tables as journal_tables
from bitternlever.messages import journal, problems
from tests.journal import commands

RETENTION_MS = 3_600_000
BODY_MS = 15_000
KEY_MS = 60_000


@pytest.fixture
def state():
    tables = machine.create()
    machine.apply(tables, commands.claim())
    return tables


def expire(state, elapsed_ms: int) -> int:
    ids = list(state.records)
    command = journal.ExpireRequests(request_ids=ids, elapsed_ms=elapsed_ms)
    return machine.apply(state, command).count


def acknowledge(state):
    command = journal.Acknowledge(request_id="k-1", workspace=commands.WORKSPACE)
    return machine.apply(state, command)


def cancel(state, workspace: str = commands.WORKSPACE):
    command = journal.CancelRequest(request_id="k-1", workspace=workspace)
    return machine.apply(state, command)


def test_a_second_answer_gets_the_first(state):
    machine.apply(state, commands.answer(b"first"))

    same = machine.apply(state, commands.answer(b"first"))
    other = machine.apply(state, commands.answer(b"second"))

    assert same == journal.AnswerRecorded(request_id="k-1")
    assert other.body == b"first"


def test_a_claim_of_an_answered_request_gets_the_stored_bytes(state):
    machine.apply(state, commands.answer(b"first"))

    reply = machine.apply(state, commands.claim(host="b", epoch=2))

    assert reply == journal.Answered(request_id="k-1", status=200, body=b"first")


def test_an_answer_can_embed_the_recorded_progress(state):
    machine.apply(state, commands.progress(0, "rai"))
    machine.apply(state, commands.progress(3, 'n "now"'))
    command = commands.answer(
        b'{"output":',
        progress_stage="draft",
        output_digest=commands.digest('rain "now"'),
        body_end=b"}",
    )

    machine.apply(state, command)

    body = machine.apply(state, commands.get()).body
    assert msgspec.json.decode(body) == {"output": 'rain "now"'}
    assert machine.apply(state, command) == journal.AnswerRecorded(request_id="k-1")


def test_an_answer_cannot_refer_to_progress_that_is_missing(state):
    machine.apply(state, commands.progress(0, "rai"))
    command = commands.answer(
        b"{",
        progress_stage="draft",
        output_digest=commands.digest("rain"),
        body_end=b"}",
    )

    reply = machine.apply(state, command)

    assert reply == journal.ProgressMissing(request_id="k-1", length=3)
    assert state.records["k-1"].answer is None


def test_another_workspace_sees_and_cancels_nothing(state):
    read = machine.apply(state, commands.get(workspace="sheetal"))

    assert isinstance(read, journal.RequestUnknown)
    assert isinstance(cancel(state, "sheetal"), journal.RequestUnknown)


def test_a_cancellation_is_the_final_answer(state):
    machine.apply(state, commands.start("a-1"))

    assert cancel(state).ran == problems.Ran.UNKNOWN.value
    late = machine.apply(state, commands.answer(b"late"))
    started = machine.apply(state, commands.start("a-1"))

    assert msgspec.json.decode(late.body)["title"] == "Cancelled"
    assert isinstance(started, journal.Answered)


def test_a_cancellation_after_a_result_says_that_it_ran(state):
    machine.apply(state, commands.start("a-1"))
    machine.apply(state, commands.result("a-1"))

    assert cancel(state).ran == problems.Ran.YES.value


def test_a_cancellation_after_the_answer_changes_nothing(state):
    machine.apply(state, commands.answer(b"first"))

    assert cancel(state).body == b"first"


def test_an_acknowledged_answer_stays_for_others_who_wait(state):
    machine.apply(state, commands.answer(b"first"))
    acknowledge(state)
    expire(state, BODY_MS - 1)

    reply = machine.apply(state, commands.claim(host="b", epoch=2))

    assert reply.body == b"first"


def test_an_acknowledged_answer_loses_its_body_and_keeps_its_key(state):
    machine.apply(state, commands.answer(b"first"))
    size = state.size

    acknowledge(state)
    expire(state, BODY_MS)

    reply = machine.apply(state, commands.claim(host="b", epoch=2))
    assert reply.acknowledged
    assert reply.body == b""
    assert state.size == size - len(b"first")


def test_an_open_request_cannot_be_acknowledged(state):
    assert isinstance(acknowledge(state), journal.RequestOpen)


def test_an_answer_stays_for_its_retention_and_no_longer(state):
    machine.apply(state, commands.answer(b"first"))

    assert expire(state, RETENTION_MS - 1) == 0
    assert expire(state, 1) == 1
    assert state.size == 0


def test_an_acknowledged_key_stays_for_the_whole_retention(state):
    machine.apply(state, commands.answer(b"first"))
    acknowledge(state)
    expire(state, BODY_MS)

    expire(state, RETENTION_MS - BODY_MS - 1)
    assert state.records
    expire(state, 1)
    assert not state.records


def test_old_acknowledged_keys_are_dropped_to_make_room_for_claims():
    settings = journal_tables.JournalSettings(maximum_requests=1)
    state = machine.create(settings)
    machine.apply(state, commands.claim())
    machine.apply(state, commands.answer(b"first"))
    acknowledge(state)

    expire(state, KEY_MS - 1)
    early = machine.apply(state, commands.claim("k-2"))
    expire(state, 1)
    late = machine.apply(state, commands.claim("k-2"))

    assert isinstance(early, journal.JournalFull)
    assert late == journal.Claimed(request_id="k-2")


def test_an_open_request_never_expires(state):
    assert expire(state, 100 * RETENTION_MS) == 0


def test_a_withdrawn_request_is_removed(state):
    command = journal.WithdrawRequest(request_id="k-1", host="a", epoch=1)

    machine.apply(state, command)

    assert not state.records
    assert state.size == 0


def test_a_request_with_a_started_stage_cannot_be_withdrawn(state):
    machine.apply(state, commands.start("a-1"))
    command = journal.WithdrawRequest(request_id="k-1", host="a", epoch=1)

    reply = machine.apply(state, command)

    assert isinstance(reply, journal.StageStartedBefore)
    assert state.records


def test_the_leader_advances_the_clock_and_lists_expired_requests(state, outbox):
    machine.apply(state, commands.answer(b"first"))
    leader_state = leader.LeaderState()
    proposed = []
    for second in range(3):
        leader.run(
            state, leader_state, 1, 100.0 + second, outbox, proposed.append, print
        )

    assert [command.elapsed_ms for command in proposed] == [1_000, 1_000]
    machine.apply(state, journal.ExpireRequests([], elapsed_ms=RETENTION_MS))
    leader.run(state, leader_state, 1, 103.0, outbox, proposed.append, print)
    assert proposed[-1].request_ids == ["k-1"]


def test_a_leader_does_not_count_time_without_leadership(state, outbox):
    leader_state = leader.LeaderState()
    proposed = []
    leader.run(state, leader_state, 1, 100.0, outbox, proposed.append, print)
    leader.run(state, leader_state, 1, 500.0, outbox, proposed.append, print)

    assert proposed == []


def test_the_leader_hints_at_orphans(state, outbox):
    machine.apply(state, journal.FenceHost(host="a", epoch=2))
    hints = []
    for tenth in range(10):
        now = 100.0 + tenth / 10
        leader.run(state, leader.LeaderState(), 1, now, outbox, print, hints.append)

    assert hints[0].count == 1
