"""What an entry host makes of prompt parts that crash upstreams."""

import asyncio

import msgspec
import pytest

from bitternlever.catalog import tables as catalog_tables
from bitternlever.fleet import quarantine, upstreams as fleet_upstreams
from bitternlever.gateway import (
    crash_subjects,
    dialect,
    fingerprints,
    sync,
    tables as gateway_tables,
)
from bitternlever.messages import fleet
from standins import scripted_upstream
from tests.gateway import entry_host, samples

NOW = 1_000.0
DEADLY = "deadbeef"
EVENTS = (b"id: 1\ndata: x\n\n", b"id: 2\ndata: x\n\n", b"id: 3\ndata: x\n\n")


def head(*parts, request="id"):
    prompt = tuple(dialect.PromptPart(part, 100) for part in parts)
    return samples.head(prompt=prompt, request=request)


def reply(**changes) -> fleet.HostHeartbeatReply:
    fields = {
        "sent_s": 0.0,
        "control_incarnation": "1",
        "current": True,
        "catalog_version": 1,
        "controls": [],
        "hosts_revision": 0,
        **changes,
    }
    return fleet.HostHeartbeatReply(**fields)


def quarantined(*names) -> crash_subjects.CrashSubjects:
    parts = crash_subjects.CrashSubjects()
    records = [fleet.PromptPart(name, 1, 100.0) for name in names]
    assert crash_subjects.handle_reply(parts, NOW, reply(quarantine=records)) == [
        *names
    ]
    return parts


def context(*parts, request="id", **changes):
    return samples.context(head=head(*parts, request=request), **changes)


def refused_for_s(parts, now, *names, sending=False):
    if not sending:
        refused = crash_subjects.quarantined_part(parts, now, head(*names))
        if refused is not None:
            assert refused == crash_subjects.quarantined(
                parts, now, context(*names), sending=False
            )
    else:
        refused = crash_subjects.quarantined(parts, now, context(*names), sending=True)
    return None if refused is None else refused.left_s


def crash(parts, now, upstream, *names, begun=False, **fields):
    crash_subjects.record_crash(
        parts, now, context(*names, **fields), upstream, begun=begun
    )


def test_a_request_is_refused_for_any_part_but_the_last():
    parts = quarantined(DEADLY)

    assert refused_for_s(parts, NOW, DEADLY, "own") == quarantine.LAPSE_S
    assert refused_for_s(parts, NOW, "a", DEADLY, "own") == quarantine.LAPSE_S
    assert refused_for_s(parts, NOW, "a", "b", DEADLY) is None
    assert refused_for_s(parts, NOW, "a", "b", "own") is None
    assert refused_for_s(parts, NOW) is None


def test_a_refused_request_is_reported_and_renews_the_quarantine():
    parts = quarantined(DEADLY)
    refused_for_s(parts, NOW + 50.0, DEADLY, "own")

    (record,) = quarantine.current(parts.records, NOW + 60.0)
    assert record == fleet.PromptPart(DEADLY, 1, quarantine.LAPSE_S - 10.0, 10.0)


def test_one_request_uses_up_a_trial_when_it_is_sent():
    parts = quarantined(DEADLY)
    crash_subjects.handle_reply(parts, NOW, reply(trials=[DEADLY]))

    assert refused_for_s(parts, NOW, DEADLY, "own") is None
    assert refused_for_s(parts, NOW, DEADLY, "own", sending=True) is None
    assert refused_for_s(parts, NOW, DEADLY, "own", sending=True) is not None
    assert refused_for_s(parts, NOW, DEADLY, "own") is not None


def test_a_request_that_is_refused_for_another_part_leaves_the_trial_unused():
    parts = quarantined(DEADLY, "other")
    crash_subjects.handle_reply(parts, NOW, reply(trials=[DEADLY]))

    assert refused_for_s(parts, NOW, DEADLY, "other", "own", sending=True) is not None
    assert refused_for_s(parts, NOW, DEADLY, "own", sending=True) is None


def test_unused_trials_are_dropped():
    parts = quarantined(DEADLY)
    for number in range(9):
        now = NOW + number * crash_subjects.TRIAL_GRANT_S
        crash_subjects.handle_reply(parts, now, reply(trials=[f"part{number}"]))

    assert list(parts.trials) == ["part8"]


def test_a_trial_that_is_not_used_in_time_is_void():
    parts = quarantined(DEADLY)
    crash_subjects.handle_reply(parts, NOW, reply(trials=[DEADLY]))

    late_s = NOW + crash_subjects.TRIAL_GRANT_S
    assert refused_for_s(parts, late_s, DEADLY, "own", sending=True) is not None


def test_crashes_are_reported_with_the_last_answers_until_they_are_old():
    parts = crash_subjects.CrashSubjects()
    upstream = samples.upstream_status("u1", started_ms=7)
    crash_subjects.record_begun(parts, NOW - 1.0, head("a", "own"))
    crash(parts, NOW, upstream, "a", "b", "own", request="r")
    crash(parts, NOW, upstream, "own", request="s")

    first, second = crash_subjects.crashes_since(parts, NOW + 2.0, NOW - 0.1)
    (name,) = fingerprints.names(context("own"))
    assert first == fleet.PromptCrash(
        request="r",
        upstream="u1",
        started_ms=7,
        parts=[("a", 3.0), ("b", None), (name, None)],
        age_s=2.0,
    )
    assert second.parts == [(name, None)]
    assert crash_subjects.crashes_since(parts, NOW + 2.0, NOW) == []
    late_s = NOW + crash_subjects.CRASH_RETENTION_S + 1.0
    assert crash_subjects.crashes_since(parts, late_s, 0.0) == []


SENT_S = NOW - 0.6


def unanswered_tables(seen_s=SENT_S) -> gateway_tables.GatewayTables:
    """Return tables after a request to u1 that was not answered; u2 is alive."""
    tables = gateway_tables.GatewayTables(
        announcement=samples.host_announcement(), seeds=("tcp://c:1",)
    )
    see(tables, seen_s, "u1")
    crash_subjects.record_unanswered(
        tables.crash_subjects,
        NOW,
        context("a", "own"),
        samples.upstream_status("u1"),
        begun=False,
        sent_s=SENT_S,
    )
    return tables


def see(tables, now, name, **changes) -> None:
    """Let a heartbeat of an upstream arrive."""
    sequence = round(now * 1_000) - 900_000
    status = samples.upstream_status(name, **{"sequence": sequence, **changes})
    fleet_upstreams.merge_status(tables.upstreams, now, status)


def crashes_reported(tables, now) -> int:
    """Return how many crashes the next heartbeat of the host reports."""
    [(_, beat)] = sync.heartbeats(tables, now, fleet.HostState.READY, [])
    return len(beat.crashes)


def test_an_unanswered_request_is_a_crash_if_its_upstream_stays_silent():
    tables = unanswered_tables()
    for number in range(5):
        now = NOW + number * 0.5
        see(tables, now, "u2")
        assert crashes_reported(tables, now) == (now - SENT_S > crash_subjects.SILENT_S)
    (crash,) = tables.crash_subjects.crashes
    assert crash.parts == ("a", *fingerprints.names(context("own")))


def test_an_unanswered_request_is_no_crash_if_its_upstream_is_alive():
    tables = unanswered_tables()
    see(tables, NOW + 0.5, "u1")
    for number in range(20):
        see(tables, NOW + number * 0.5, "u2")
        assert crashes_reported(tables, NOW + number * 0.5) == 0
    assert not tables.crash_subjects.unanswered


def test_an_unanswered_request_is_no_crash_if_its_upstream_has_left():
    tables = unanswered_tables()
    see(tables, NOW + 0.5, "u1", state=fleet.UpstreamState.GONE)
    see(tables, NOW + 4.0, "u2")

    assert crashes_reported(tables, NOW + 4.0) == 0


def test_a_request_to_an_upstream_that_was_silent_before_has_not_crashed_it():
    tables = unanswered_tables(seen_s=SENT_S - crash_subjects.SILENT_S - 0.1)
    see(tables, NOW + 4.0, "u2")

    assert crashes_reported(tables, NOW + 4.0) == 0


def test_an_unanswered_request_is_a_crash_as_soon_as_its_upstream_has_a_successor():
    tables = unanswered_tables()
    see(tables, NOW + 0.1, "u3", address="u1:80", started_ms=2_000)

    assert crashes_reported(tables, NOW + 0.2) == 1


def test_nothing_counts_as_a_crash_while_no_upstream_is_heard_of():
    tables = unanswered_tables()

    assert crashes_reported(tables, NOW + 4.0) == 0
    see(tables, NOW + 5.0, "u2")
    assert crashes_reported(tables, NOW + 5.0) == 1


def test_answers_are_reported_for_suspects_only():
    parts = quarantined("c")
    answered = context("a", "b", "c", "own", target=b"/a/x?q")
    crash_subjects.record_complete(parts, NOW, answered)
    path, target = fingerprints.names(answered)
    crash_subjects.handle_reply(parts, NOW, reply(suspects=["a", "x", path]))

    reports = crash_subjects.sound_reports(parts, NOW + 1.0)
    assert sorted(report.part for report in reports) == ["a", "c", path]
    assert {report.age_s for report in reports} == {1.0}
    late_s = NOW + crash_subjects.SOUND_RETENTION_S + 1.0
    assert crash_subjects.sound_reports(parts, late_s) == []


def test_what_is_kept_is_bounded():
    parts = crash_subjects.CrashSubjects()
    upstream = samples.upstream_status("u1")
    for number in range(crash_subjects.MAXIMUM_SOUND_PARTS + 99):
        names = [f"{number} {place}" for place in range(99)]
        target = b"/a/%d?q" % number
        crash_subjects.record_complete(parts, NOW, context(*names, target=target))
        crash(parts, NOW, upstream, *names, target=target)

    assert len(parts.sound) == crash_subjects.MAXIMUM_SOUND_PARTS
    assert len(parts.sound_requests) == crash_subjects.MAXIMUM_SOUND_REQUESTS
    assert len(parts.crashes) == crash_subjects.MAXIMUM_CRASHES
    assert len(parts.crashes[0].parts) == crash_subjects.MAXIMUM_PARTS + 2


def test_long_names_from_callers_neither_fill_the_memory_nor_the_heartbeats():
    parts = crash_subjects.CrashSubjects()
    upstream = samples.upstream_status("u1")
    long = "x" * 16_000
    names = [f"{place}{long}" for place in range(9)]
    for number in range(50):
        prompt = [*names, "short", "own"]
        crash_subjects.record_begun(parts, NOW, head(*prompt))
        crash(parts, NOW, upstream, *prompt, request=f"{number}{long}")

    assert list(parts.sound) == ["short"]
    reports = crash_subjects.crashes_since(parts, NOW, 0.0)
    followed = [part for part, _ in reports[0].parts]
    assert followed == ["short", *fingerprints.names(context())]
    assert len(msgspec.msgpack.encode(reports)) < 10_000


def catalog(**changes):
    stream = catalog_tables.Repeatability.STREAM
    return samples.catalog(
        routes={"h.example": [samples.route(repeatability=stream, **changes)]}
    )


def request(*parts):
    prompt = ",".join(f"{part}:100" for part in parts)
    return entry_host.request(X_Bitternlever_Prompt_Prefix=prompt)


@pytest.mark.parametrize(
    ("behaviour", "crashed", "sound"),
    [
        (scripted_upstream.stream(complete=False), True, False),
        (scripted_upstream.stream(EVENTS[0], complete=False, reset=True), True, False),
        (scripted_upstream.close(), True, False),
        (scripted_upstream.unframed(EVENTS[0], b"id: 2"), True, False),
        (scripted_upstream.stream(*EVENTS, complete=False), False, True),
        (scripted_upstream.stream(EVENTS[0]), False, True),
        (scripted_upstream.answer(500), False, False),
        (scripted_upstream.refuse(), False, False),
        (scripted_upstream.garbage(), False, False),
    ],
    ids=[
        "no event",
        "one event",
        "no head",
        "unframed",
        "begun",
        "complete",
        "error",
        "not run",
        "no HTTP",
    ],
)
async def test_only_what_ends_with_its_connection_before_it_has_begun_is_a_crash(
    behaviour, crashed, sound
):
    server = await scripted_upstream.start("u1", behaviour)
    status = samples.upstream_status("u1", address=server.address)
    async with entry_host.running(catalog(), status) as (gateway, port):
        await entry_host.call(port, request("a", "b", "own"))
        parts = gateway.tables.crash_subjects

    prompts = [
        tuple(part for part in crash.parts if not quarantine.is_request(part))
        for crash in parts.crashes
    ]
    assert [prompt for prompt in prompts if prompt] == [("a", "b")] * crashed
    assert list(parts.sound) == ["a", "b"] * sound


@pytest.mark.parametrize(
    ("behaviour", "crashed", "sound"),
    [
        (scripted_upstream.stream(complete=False), True, False),
        (scripted_upstream.close(), True, False),
        (scripted_upstream.stream(*EVENTS, complete=False), True, False),
        (scripted_upstream.stream(EVENTS[0]), False, True),
        (scripted_upstream.answer(500), False, False),
        (scripted_upstream.refuse(), False, False),
        (scripted_upstream.garbage(), False, False),
    ],
    ids=["no event", "no head", "begun", "complete", "error", "not run", "no HTTP"],
)
async def test_a_whole_request_is_sound_only_when_its_answer_is_complete(
    behaviour, crashed, sound
):
    server = await scripted_upstream.start("u1", behaviour)
    status = samples.upstream_status("u1", address=server.address)
    async with entry_host.running(catalog(), status) as (gateway, port):
        await entry_host.call(port, request("own"))
        parts = gateway.tables.crash_subjects

    assert len(parts.crashes) == crashed
    assert len(parts.sound_requests) == sound


async def test_a_refused_repeat_reaches_no_upstream_and_other_requests_do():
    server = await scripted_upstream.start("u1")
    status = samples.upstream_status("u1", address=server.address)
    deadly = {"method": "POST", "body": b"deadly"}
    async with entry_host.running(samples.catalog(), status) as (gateway, port):
        parts = gateway.tables.crash_subjects
        caller = catalog_tables.Workspace("w", None)
        (name,) = fingerprints.names(
            samples.context(method=b"POST", body=b"deadly", workspace=caller)
        )
        now = gateway.pool.clock()
        quarantine.change(parts.records, now, name, quarantined=True)
        refused = await entry_host.call(port, entry_host.request(**deadly))
        others = [
            await entry_host.call(port, entry_host.request(**{**deadly, **changes}))
            for changes in ({"body": b"sound"}, {"target": "/a/y"}, {"method": "PUT"})
        ]

    assert refused.status == 503
    assert refused.body == b"the request crashes upstreams"
    assert float(refused.headers["retry-after"]) > 200.0
    assert {answer.status for answer in others} == {200}
    assert len(server.received) == 3


async def test_a_refused_request_reaches_no_upstream_and_learns_when_to_retry():
    server = await scripted_upstream.start("u1", scripted_upstream.stream(*EVENTS))
    status = samples.upstream_status("u1", address=server.address)
    async with entry_host.running(catalog(), status) as (gateway, port):
        quarantine.change(
            gateway.tables.crash_subjects.records,
            gateway.pool.clock(),
            DEADLY,
            quarantined=True,
        )
        refused = await entry_host.call(port, request("a", DEADLY, "own"))
        served = await entry_host.call(port, request("a", "b", "own"))

    assert refused.status == 503
    assert float(refused.headers["retry-after"]) > 200.0
    assert served.status == 200
    assert len(server.received) == 1


async def test_a_request_with_a_suspected_part_crashes_one_upstream_only():
    servers = [
        await scripted_upstream.start(name, scripted_upstream.stream(complete=False))
        for name in ("u1", "u2")
    ]
    statuses = [
        samples.upstream_status(server.name, address=server.address)
        for server in servers
    ]
    resumable = catalog(resumable=True, maximum_attempts=2)
    async with entry_host.running(resumable, *statuses) as (gateway, port):
        gateway.tables.crash_subjects.suspects = frozenset({DEADLY})
        await entry_host.call(port, request("a", DEADLY, "own"))
        assert sum(len(server.received) for server in servers) == 1

        gateway.tables.crash_subjects.suspects = frozenset({"b"})
        gateway.tables.crash_subjects.sound["b"] = 0.0
        await entry_host.call(port, request("a", "b", "own"))
        assert sum(len(server.received) for server in servers) == 3


def test_crashes_are_sent_to_a_control_process_until_it_answers():
    tables = gateway_tables.GatewayTables(
        announcement=samples.host_announcement(), seeds=("tcp://c:1",)
    )
    upstream = samples.upstream_status("u1")
    crash(tables.crash_subjects, NOW, upstream, "a", "own")

    def crashes_sent(now):
        ((_, beat),) = sync.heartbeats(tables, now, fleet.HostState.READY, [])
        return len(beat.crashes)

    assert [crashes_sent(NOW + 0.1), crashes_sent(NOW + 0.2)] == [1, 1]
    sent_s = NOW + 0.2
    for incarnation, still_sent in (("1", 1), ("1", 0), ("2", 1), ("2", 0)):
        answer = reply(sent_s=sent_s, control_incarnation=incarnation)
        sync.handle_heartbeat_reply(tables, sent_s + 0.1, "tcp://c:1", answer)
        sent_s += 0.2
        assert crashes_sent(sent_s) == still_sent


async def test_a_part_that_is_quarantined_meanwhile_is_not_sent_again():
    slow = scripted_upstream.answer(
        503, b"", delay_s=0.3, lines=(scripted_upstream.NOT_RUN,)
    )
    servers = [await scripted_upstream.start(name, slow) for name in ("u1", "u2")]
    statuses = [
        samples.upstream_status(server.name, address=server.address)
        for server in servers
    ]
    async with entry_host.running(catalog(), *statuses) as (gateway, port):
        call = asyncio.ensure_future(entry_host.call(port, request("a", DEADLY, "own")))
        await asyncio.sleep(0.1)
        quarantine.change(
            gateway.tables.crash_subjects.records,
            gateway.pool.clock(),
            DEADLY,
            quarantined=True,
        )
        answer = await call

    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 200.0
    assert sum(len(server.received) for server in servers) == 1


def test_late_answers_of_a_restarted_control_process_do_not_count_as_reports():
    """Heartbeats that waited while it was down were sent without the known ends."""
    tables = gateway_tables.GatewayTables(
        announcement=samples.host_announcement(), seeds=("tcp://c:1",)
    )

    def send(now):
        ((_, beat),) = sync.heartbeats(tables, now, fleet.HostState.READY, [])
        return beat

    def answer(now, sent_s, incarnation):
        message = reply(sent_s=sent_s, control_incarnation=incarnation)
        sync.handle_heartbeat_reply(tables, now, "tcp://c:1", message)

    send(NOW)
    answer(NOW, NOW, "1")
    update = fleet.UpstreamStatusUpdate(statuses=[samples.upstream_status("u1")])
    sync.merge_upstream_statuses(tables, NOW + 0.1, update)
    fleet_upstreams.mark_leaving(tables.upstreams, NOW + 0.1, "u1")
    upstream = samples.upstream_status("u2")
    crash(tables.crash_subjects, NOW + 0.1, upstream, "a", "own")
    assert len(send(NOW + 0.2).ended) == 1
    answer(NOW + 0.25, NOW + 0.2, "1")
    for sent_s in (NOW + 0.3, NOW + 0.6):
        assert send(sent_s).ended == []
    for sent_s in (NOW + 0.3, NOW + 0.6):
        answer(NOW + 0.8, sent_s, "2")

    beat = send(NOW + 0.9)
    assert [status.upstream for status in beat.ended] == ["u1"]
    assert len(beat.crashes) == 1
    answer(NOW + 1.0, NOW + 0.9, "2")
    assert (send(NOW + 1.1).ended, send(NOW + 1.2).crashes) == ([], [])
