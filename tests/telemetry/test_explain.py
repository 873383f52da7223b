"""Find out from log lines what happened to a request and why it ended."""

import json
import subprocess
import sys

import pytest

from bitternlever.telemetry import events, explain

SECONDS = "2026-01-01T00:00:{:06.3f}Z"


def line(at_s: float, event: events.Event, host: str = "h1", **fields) -> str:
    return json.dumps(
        {
            "time": SECONDS.format(at_s),
            "host": host,
            "level": "info",
            "number": event.number,
            "event": event.name,
            "text": event.text,
            **fields,
        }
    )


ADMITTED = line(1.0, events.REQUEST_ADMITTED, request="r", left_s=9.0)
CASES = {
    "refused": (
        [
            line(
                2.0,
                events.ATTEMPT_FAILED,
                request="r",
                upstream="u1",
                reason="connection lost",
                ran=True,
            ),
            line(
                2.1,
                events.REQUEST_REFUSED,
                request="r",
                status=502,
                reason="connection lost",
                waited_s=1.1,
            ),
        ],
        "refused with 502: connection lost, after 1.1 s; the last of 1 attempts, at u1",
    ),
    "lost with its host": (
        [line(3.0, events.PROGRAM_STARTED)],
        "lost with its host: h1 started again",
    ),
    "a silent host": ([line(3.0, events.HOST_READY, host="h2")], "said nothing after"),
    "late": (
        [
            line(
                4.0,
                events.REQUEST_ANSWERED,
                request="r",
                status=200,
                took_s=3.0,
                first_s=2.0,
                stages=[[0, 0.2], [1, 1.5]],
            )
        ],
        "its first event after 2.0 s; mostly at stage 1 (1.5 s)",
    ),
    "left": (
        [
            line(
                2.0,
                events.STAGE_CALL_DONE,
                host="h2",
                requests=["q", "r"],
                service="encode",
                waiting=12,
            ),
            line(3.0, events.REQUEST_CANCELLED, request="r", after_s=2.0, sent=False),
        ],
        "the caller left after 2.0 s, before it was sent; 12 pieces waited at encode",
    ),
    "cut off": (
        [
            line(
                2.0,
                events.STREAM_CUT_OFF,
                request="r",
                reason="reset",
                last_event="7",
            ),
            line(2.1, events.REQUEST_ANSWERED, request="r", status=200, took_s=1.0),
        ],
        "the stream was cut off after event 7: reset",
    ),
    "under way": ([line(3.0, events.HOST_READY)], "not ended in these lines"),
}


@pytest.mark.parametrize("case", CASES, ids=str)
def test_the_cause_is_found(case):
    lines, cause = CASES[case]

    explanation = explain.explain("r", explain.parse_lines([*lines, ADMITTED]))

    assert cause in explanation.cause
    assert explanation.way[0].endswith("left_s=9.0")


def test_lines_of_several_hosts_are_sorted_by_time_and_prefixes_are_ignored():
    text = [
        "noise",
        "  12.5 h2 " + line(2.0, events.STAGE_CALL_DONE, host="h2", requests=["r"]),
        ADMITTED,
        "{broken",
    ]

    explanation = explain.explain("r", explain.parse_lines(text))

    assert [entry.split()[1] for entry in explanation.way] == ["h1", "h2"]


def test_omitted_lines_are_reported_as_missing():
    lines = [
        ADMITTED,
        line(1.5, events.HOST_READY, host="h2", left_out=40),
        line(2.0, events.REQUEST_CANCELLED, request="r", after_s=1.0, sent=True),
    ]

    explanation = explain.explain("r", explain.parse_lines(lines))

    assert explanation.missing == [f"h2 left out 40 lines before {SECONDS.format(1.5)}"]


def test_the_exit_code_distinguishes_unknown_requests_from_unreadable_files(tmp_path):
    log = tmp_path / "h1.log"
    log.write_text(ADMITTED + "\n")

    def run(*arguments: str) -> subprocess.CompletedProcess:
        return subprocess.run(
            [sys.executable, "-m", "bitternlever.commands.operator", *arguments],
            capture_output=True,
            text=True,
            check=False,
        )

    known = run("explain", "r", str(log), "--json")
    assert known.returncode == 0
    assert json.loads(known.stdout)["cause"].startswith("lost with its host")
    assert run("explain", "other", str(log)).returncode == 1
    assert run("explain", "r", str(tmp_path / "none")).returncode == 2
