"""Each injected fault violates its invariant only, and a clean run violates none."""

import msgspec
import pytest

from bench.invariants import checks, files, records

INPUT = records.digest({"marker": "one"})
OUTPUT = records.text_digest("twelve chars")
SENT = records.RequestSent(
    exchange="c1",
    host="entry-a",
    workspace="cantref",
    kind="dispute",
    input_digest=INPUT,
    durable=True,
    time_s=1.0,
    key="k",
)
CALLED = records.StageCalled(
    upstream="billing-1",
    request="r1",
    stage="bill",
    attempt="r1-1",
    epoch=1,
    idempotent=False,
    input_digest=INPUT,
    time_s=2.0,
)
ENDED = records.CallEnded(
    upstream="billing-1",
    request="r1",
    stage="bill",
    attempt="r1-1",
    input_digest=INPUT,
    ending=records.Ending.WHOLE,
    output_digest=OUTPUT,
    time_s=3.0,
)
ANSWER = records.AnswerReceived(
    exchange="c1",
    request_id="r1",
    body_digest="b",
    output_digest=OUTPUT,
    time_s=4.0,
    pieces=[records.Piece(0, 5), records.Piece(5, 7)],
    claimed_length=12,
    claimed_digest=OUTPUT,
)
REFUSAL = records.RefusalReceived(
    exchange="c1",
    request_id="r1",
    status=503,
    ran="no",
    time_s=4.0,
)
ACCEPTED = records.RequestAccepted(exchange="c1", request_id="r1", time_s=1.5)
SEEN = records.ManifestSeen(host="entry-a-1", number=2, digest="d2", time_s=6.0)
CLEAN = [
    SENT,
    ACCEPTED,
    CALLED,
    ENDED,
    ANSWER,
    records.LeavingAnnounced(upstream="billing-1", time_s=5.0),
    records.ManifestAccepted(operator="o", number=2, digest="d2", time_s=5.0),
    SEEN,
    records.OrderReceived("billing-1", fencing=2, models=[], taken=True, time_s=6.0),
    records.OrderReceived("billing-1", fencing=1, models=[], taken=False, time_s=7.0),
]


def change(record, **fields):
    """Return a copy of a record with some fields changed."""
    return msgspec.structs.replace(record, **fields)


OTHER = records.digest({"marker": "two"})
AGAIN = change(ANSWER, exchange="c2", time_s=9.0)
SENT_AGAIN = change(SENT, exchange="c2", time_s=8.0)
FAULTS = {
    "accepted and forgotten": ("nothing lost", [SENT, ACCEPTED]),
    "accepted and then refused": ("nothing lost", [SENT, ACCEPTED, REFUSAL]),
    "one exchange answered twice": ("nothing doubled", [*CLEAN, ANSWER]),
    "one request id with two answers": (
        "nothing doubled",
        [*CLEAN, SENT_AGAIN, change(AGAIN, body_digest="other")],
    ),
    "one key with two answers": (
        "nothing doubled",
        [*CLEAN, SENT_AGAIN, change(AGAIN, body_digest="other", request_id="r2")],
    ),
    "another request's output": (
        "nothing crossed",
        [
            *CLEAN,
            change(SENT, exchange="c2", input_digest=OTHER, key=None),
            change(CALLED, request="r2", input_digest=OTHER, attempt="r2-1"),
            change(ANSWER, exchange="c2", request_id="r2"),
        ],
    ),
    "one request id with two inputs": (
        "nothing crossed",
        [
            *CLEAN,
            change(SENT, exchange="c2", input_digest=OTHER, key=None),
            change(CALLED, input_digest=OTHER, attempt="r1-2"),
        ],
    ),
    "an input that nobody sent": (
        "nothing crossed",
        [*CLEAN, change(CALLED, request="r2", input_digest=OTHER)],
    ),
    "an output that was cut off": (
        "nothing crossed",
        [SENT, CALLED, change(ENDED, ending=records.Ending.FAILED), ANSWER],
    ),
    "a stream with a gap": (
        "streams whole",
        [
            change(ANSWER, pieces=[records.Piece(0, 5), records.Piece(6, 6)])
            if record is ANSWER
            else record
            for record in CLEAN
        ],
    ),
    "a stream that ends early": (
        "streams whole",
        [
            change(ANSWER, pieces=[records.Piece(0, 5)]) if record is ANSWER else record
            for record in CLEAN
        ],
    ),
    "a stream with another digest": (
        "streams whole",
        [
            change(ANSWER, claimed_digest="x") if record is ANSWER else record
            for record in CLEAN
        ],
    ),
    "refused and run": ("refused means not run", [SENT, CALLED, ENDED, REFUSAL]),
    "refused, then run late": (
        "refused means not run",
        [SENT, REFUSAL, change(CALLED, time_s=9.0), change(SENT_AGAIN, time_s=10.0)],
    ),
    "a repeated stage": (
        "at most once",
        [*CLEAN, change(CALLED, request="r2", attempt="r2-1")],
    ),
    "a call after leaving": (
        "no work after leaving",
        [*CLEAN, change(CALLED, stage="read", idempotent=True, time_s=8.1)],
    ),
    "a manifest that goes back": (
        "no manifest reverts",
        [*CLEAN, change(SEEN, number=1, digest="d1", time_s=7.0)],
    ),
    "an old manifest on a host that starts": (
        "no manifest reverts",
        [*CLEAN, change(SEEN, host="entry-b-1", number=1, digest="d1", time_s=20.0)],
    ),
    "two manifests with one number": (
        "no manifest reverts",
        [*CLEAN, change(SEEN, host="entry-b-1", digest="other", time_s=7.0)],
    ),
    "an old order taken": (
        "no old order taken",
        [
            *CLEAN,
            records.OrderReceived("billing-1", 1, models=[], taken=True, time_s=7.0),
        ],
    ),
    "two holders with one fencing number": (
        "no old order taken",
        [
            *CLEAN,
            records.OrderReceived("engine-1", 3, [], True, 7.0, holder="entry-a"),
            records.OrderReceived("engine-1", 3, [], True, 8.0, holder="entry-b"),
        ],
    ),
}


def test_a_clean_run_violates_no_invariant():
    assert checks.check(CLEAN) == []


@pytest.mark.parametrize("fault", FAULTS)
def test_an_injected_fault_violates_its_invariant_only(fault):
    invariant, run = FAULTS[fault]

    found = {violation.invariant for violation in checks.check(run)}

    assert found == {invariant}


def test_every_invariant_has_an_injected_fault():
    assert {invariant for invariant, _ in FAULTS.values()} == set(checks.INVARIANTS)


def test_a_call_is_allowed_after_a_second_exchange():
    retried = change(SENT, exchange="c2", time_s=5.0)
    called = change(CALLED, time_s=6.0)

    assert checks.check([SENT, REFUSAL, retried, called]) == []


def test_a_cancelled_request_is_not_lost():
    cancelled = records.RequestCancelled(exchange="c1", time_s=2.0)

    assert checks.check([SENT, ACCEPTED, cancelled]) == []


def test_an_upstream_that_is_serving_again_may_get_work():
    serving = records.ServingAnnounced(upstream="billing-1", time_s=8.0)
    called = change(CALLED, stage="read", idempotent=True, time_s=20.0)

    assert checks.check([*CLEAN, serving, called]) == []


def test_records_are_read_back_and_a_torn_last_line_is_dropped(tmp_path):
    write = files.open_writer(tmp_path, "billing-1")
    for record in CLEAN:
        write(record)
    with (tmp_path / f"billing-1{files.SUFFIX}").open("ab") as file:
        file.write(b'{"type":"StageCal')

    assert files.read(tmp_path) == CLEAN
