"""Claims: one owner and one body for each request id."""

from bitternlever.journal import machine, tables as journal_tables
from bitternlever.messages import journal
from tests.journal import commands


def test_a_resent_claim_gets_the_same_reply():
    state = machine.create()

    first = machine.apply(state, commands.claim())
    second = machine.apply(state, commands.claim())

    assert first == second == journal.Claimed(request_id="k-1")
    assert len(state.records) == 1


def test_another_host_learns_who_owns_the_request():
    state = machine.create()
    machine.apply(state, commands.claim())

    reply = machine.apply(state, commands.claim(host="b", epoch=2))

    assert reply == journal.OwnedElsewhere(request_id="k-1", host="a", epoch=1)


def test_another_body_under_the_same_key_is_a_conflict():
    state = machine.create()
    machine.apply(state, commands.claim())

    reply = machine.apply(state, commands.claim(digest="other"))

    assert reply == journal.DigestConflict(request_id="k-1")


def test_a_claim_of_a_fenced_epoch_is_refused():
    state = machine.create()
    machine.apply(state, journal.FenceHost(host="a", epoch=2))

    reply = machine.apply(state, commands.claim())

    assert reply == journal.Fenced(request_id="k-1")
    assert not state.records


def test_a_claim_of_an_orphan_takes_it_over_with_its_state():
    state = machine.create()
    machine.apply(state, commands.claim())
    machine.apply(state, commands.start("a-1"))
    machine.apply(state, journal.FenceHost(host="a", epoch=2))

    first = machine.apply(state, commands.claim(host="b", epoch=3))
    second = machine.apply(state, commands.claim(host="b", epoch=3))

    assert first == second
    assert first.requests[0].stages[0].started_attempt == "a-1"


def test_an_orphan_without_stages_is_not_treated_as_new():
    state = machine.create()
    machine.apply(state, commands.claim())
    machine.apply(state, journal.FenceHost(host="a", epoch=2))

    reply = machine.apply(state, commands.claim(host="b", epoch=3))

    assert isinstance(reply, journal.TakenOver)


def test_a_newer_epoch_of_a_host_orphans_requests_of_older_epochs():
    state = machine.create()
    machine.apply(state, commands.claim())

    machine.apply(state, commands.claim("k-2", epoch=5))

    assert [request_id for _, request_id in state.orphans] == ["k-1"]
    late = machine.apply(state, commands.start("a-1", epoch=1))
    assert late == journal.Fenced(request_id="k-1")


def test_a_full_journal_refuses_claims_and_loses_nothing():
    settings = journal_tables.JournalSettings(maximum_bytes=4_000)
    state = machine.create(settings)
    replies = [
        machine.apply(state, commands.claim(f"k-{number}", body=b"x" * 300))
        for number in range(20)
    ]

    refused = [reply for reply in replies if isinstance(reply, journal.JournalFull)]
    assert refused
    assert len(state.records) == len(replies) - len(refused)
    assert state.size <= settings.maximum_bytes * settings.claim_share


def test_a_full_journal_still_records_answers_of_claimed_requests():
    settings = journal_tables.JournalSettings(maximum_bytes=4_000)
    state = machine.create(settings)
    claims = [machine.apply(state, commands.claim(f"k-{index}")) for index in range(20)]
    number = sum(isinstance(reply, journal.Claimed) for reply in claims)

    body = b"x" * 200
    replies = [
        machine.apply(state, commands.answer(body, request_id=f"k-{claimed}"))
        for claimed in range(number)
    ]

    assert replies[0] == journal.AnswerRecorded(request_id="k-0")
    recorded = [reply for reply in replies if isinstance(reply, journal.AnswerRecorded)]
    full = [reply for reply in replies if isinstance(reply, journal.JournalFull)]
    assert len(recorded) + len(full) == number
    assert state.size <= settings.maximum_bytes


def test_requests_are_bounded_in_number():
    settings = journal_tables.JournalSettings(maximum_requests=1)
    state = machine.create(settings)
    machine.apply(state, commands.claim("k-1"))

    reply = machine.apply(state, commands.claim("k-2"))

    assert isinstance(reply, journal.JournalFull)
