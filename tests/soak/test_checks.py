"""Each promise of the soak is seen to break in the records that break it."""

import pytest

from soak import checks, records as soak_records
from standins import fleet as standin_fleet

QUIET_S = 50.0


def served(request="a", sent_s=1.0, **changes) -> soak_records.Call:
    """Return a call that got its own answer."""
    fields = {
        "request": request,
        "kind": "non_idempotent",
        "host": "entry-a",
        "key": "key-1",
        "sent_s": sent_s,
        "status": 200,
        "body": soak_records.body_of(request),
        "sealed": True,
        "ended_s": sent_s + 0.1,
    }
    return soak_records.Call(**{**fields, **changes})


def run(request="a", at_s=1.05, upstream="upstream-1") -> soak_records.Run:
    """Return the run of a request at an upstream."""
    return soak_records.Run(request, upstream, at_s)


def sound() -> soak_records.Records:
    """Return records in which every promise holds."""
    return soak_records.Records(
        calls=[served(), served("z", QUIET_S + 1)],
        runs=[run(), run("z", QUIET_S + 1.05)],
        puts=[soak_records.Put(1, 0.0, 0.1)],
        reads=[soak_records.Read(1, 0.2, 0.3)],
        quiet_since_s=QUIET_S,
    )


def test_sound_records_break_nothing():
    assert checks.violations(sound()) == []


def _add_call(**changes):
    return lambda records: records.calls.append(served(**changes))


def _revoked(records):
    records.revoked["key-1"] = 1.0
    records.calls.append(served("late", 1.0 + standin_fleet.REVOKE_S + 0.1))
    records.runs.append(run("late", 7.0))


def _drained(records):
    records.drained.append(("upstream-1", 10.0, 20.0))
    records.runs.append(run("a", 10.0 + standin_fleet.DRAIN_S + 0.1))


def _refused_and_run(records):
    records.calls.append(served("r", status=503, sealed=False))
    records.runs.append(run("r"))


def _run_at_three(records):
    records.calls.append(served("i", kind="idempotent"))
    records.runs.extend(run("i", upstream=name) for name in ("u1", "u2", "u3"))


def _exit(**changes):
    fields = {"process": "entry-a", "code": 0, "asked": True, "took_s": 1.0}
    seen = soak_records.Exit(**{**fields, **changes})
    return lambda records: records.exits.append(seen)


@pytest.mark.parametrize(
    ("breach", "told"),
    [
        (lambda records: records.runs.append(run()), "ran 2 times"),
        (_run_at_three, "request i ran at"),
        (_add_call(request="b"), "not its own"),
        (_add_call(body=b"else"), "not its own"),
        (_add_call(sealed=False), "not its own"),
        (_refused_and_run, "got 503 and has run"),
        (_add_call(status=504, ended_s=9.0), "had no end within"),
        (_add_call(status=0, ended_s=None), "had no end within"),
        (_revoked, "after the end of key-1"),
        (_drained, "after its drain was acknowledged"),
        (
            lambda records: records.reads.append(soak_records.Read(0, 0.4, 0.5)),
            "version 0 was read after 1",
        ),
        (_exit(asked=False, code=1), "ended by itself with 1"),
        (_exit(code=70), "ended with 70 when told to stop"),
        (_exit(took_s=9.0), "took 9.0 s to stop"),
        (_add_call(status=0), "was cut at"),
        (
            _add_call(request="q", sent_s=QUIET_S + 2, status=503, sealed=False),
            "got 503 after recovery",
        ),
        (
            lambda records: setattr(records, "quiet_since_s", None),
            "did not recover",
        ),
        (
            lambda records: setattr(records, "quiet_since_s", QUIET_S + 9),
            "no request was sent after recovery",
        ),
    ],
)
def test_a_broken_promise_is_told(breach, told):
    records = sound()
    breach(records)

    assert any(told in each for each in checks.violations(records))


def test_an_end_comes_late_only_while_the_soak_itself_runs():
    records = sound()
    records.calls.append(served(status=504, ended_s=9.0))
    assert len(checks.violations(records)) == 1

    records.stalls.append((2.0, 4.5))
    assert checks.violations(records) == []


def test_what_a_kill_cuts_is_allowed_and_only_on_its_host():
    records = sound()
    records.disturbed.append(("entry-a", 1.0, 2.0))
    records.calls.append(served(status=0))
    assert checks.violations(records) == []

    records.calls.append(served(status=0, host="entry-b"))
    assert len(checks.violations(records)) == 1
