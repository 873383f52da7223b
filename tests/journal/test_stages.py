"""Stage starts, progress and results."""

import pytest

from bitternlever.journal import machine, tables as journal_tables
from bitternlever.messages import journal
from tests.journal import commands


@pytest.fixture
def state():
    tables = machine.create()
    machine.apply(tables, commands.claim())
    return tables


def test_only_one_attempt_of_a_stage_is_ever_started(state):
    first = machine.apply(state, commands.start("a-1"))
    again = machine.apply(state, commands.start("a-1"))
    other = machine.apply(state, commands.start("a-2"))

    assert first == again
    assert isinstance(first, journal.StageStarted)
    assert other == journal.StageStartedBefore(
        request_id="k-1",
        stage="bill",
        attempt="a-1",
    )


def test_an_attempt_that_was_never_sent_can_be_replaced(state):
    machine.apply(state, commands.start("a-1"))

    reply = machine.apply(state, commands.start("a-2", replaces="a-1"))
    late = machine.apply(state, commands.start("a-1"))

    assert isinstance(reply, journal.StageStarted)
    assert isinstance(late, journal.StageStartedBefore)


def test_a_new_owner_cannot_start_a_stage_that_the_former_owner_started(state):
    machine.apply(state, commands.start("a-1"))
    machine.apply(state, journal.FenceHost(host="a", epoch=2))
    machine.apply(state, commands.take_over())

    reply = machine.apply(state, commands.start("b-1", host="b", epoch=2))

    assert isinstance(reply, journal.StageStartedBefore)


def test_a_stage_with_a_result_is_not_started_again(state):
    machine.apply(state, commands.start("a-1"))
    machine.apply(state, commands.result("a-1"))

    reply = machine.apply(state, commands.start("a-1"))

    assert isinstance(reply, journal.StageStartedBefore)


def test_a_result_of_another_attempt_is_refused(state):
    machine.apply(state, commands.start("a-1"))

    reply = machine.apply(state, commands.result("a-0"))

    assert isinstance(reply, journal.StageStartedBefore)
    assert state.records["k-1"].stages["bill"].output is None


@pytest.mark.parametrize(
    "write",
    [
        commands.start("a-1"),
        commands.progress(0, "rain"),
        commands.result("a-1"),
        commands.answer(),
    ],
)
def test_every_write_of_a_fenced_epoch_is_refused(state, write):
    machine.apply(state, journal.FenceHost(host="a", epoch=2))

    assert machine.apply(state, write) == journal.Fenced(request_id="k-1")


def test_progress_is_appended_once_however_often_it_is_sent(state):
    machine.apply(state, commands.progress(0, "rain "))
    machine.apply(state, commands.progress(0, "rain "))

    reply = machine.apply(state, commands.progress(0, "rain falls"))

    assert reply.length == len("rain falls")
    assert machine.apply(state, commands.get()).progress == "rain falls"


def test_progress_with_a_gap_is_not_appended(state):
    machine.apply(state, commands.progress(0, "rain "))

    reply = machine.apply(state, commands.progress(9, "falls"))

    assert reply.length == len("rain ")


def test_a_result_can_refer_to_the_recorded_progress(state):
    machine.apply(state, commands.progress(0, "rain"))
    command = commands.result(
        "a-1",
        output=b"",
        stage="draft",
        progress_digest=commands.digest("rain"),
    )

    reply = machine.apply(state, command)

    assert isinstance(reply, journal.ResultRecorded)
    assert state.records["k-1"].stages["draft"].output == b'"rain"'


def test_a_result_cannot_refer_to_progress_that_is_missing(state):
    machine.apply(state, commands.progress(0, "ra"))
    command = commands.result(
        "a-1",
        output=b"",
        stage="draft",
        progress_digest=commands.digest("rain"),
    )

    reply = machine.apply(state, command)

    assert reply == journal.ProgressMissing(request_id="k-1", length=2)


def test_a_higher_generation_resets_the_progress(state):
    machine.apply(state, commands.progress(0, "garbled"))
    machine.apply(state, commands.progress(0, "rain", generation=1))

    late = machine.apply(state, commands.progress(7, "more"))

    assert late.length == len("rain")
    assert machine.apply(state, commands.get()).progress == "rain"


def test_a_full_journal_refuses_progress():
    settings = journal_tables.JournalSettings(maximum_bytes=2_000)
    state = machine.create(settings)
    machine.apply(state, commands.claim())

    reply = machine.apply(state, commands.progress(0, "x" * 1_500))

    assert isinstance(reply, journal.JournalFull)
