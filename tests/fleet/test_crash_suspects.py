"""Which parts are quarantined, from crashes and answers that hosts report."""

import itertools
import random

import pytest

from bitternlever.fleet import crash_suspects, quarantine
from bitternlever.messages import fleet

NOW = 1_000.0
DEADLY = "deadbeef"
SHARED = "5c1e07a2"


class Fleet:
    """The evidence and records of one control process, and the reports so far."""

    def __init__(self):
        self.evidence = crash_suspects.Evidence()
        self.records = {}
        self.numbers = itertools.count()
        self.now = NOW

    def crash(self, *prompts, upstream=None, now=None, sound=()):
        """Report the crash of an upstream by the prompts that it took along."""
        self.now = self.now + 0.4 if now is None else now
        name = upstream or f"u{next(self.numbers)}"
        for prompt in prompts:
            report = fleet.PromptCrash(
                request=f"r{next(self.numbers)}",
                upstream=name,
                started_ms=0,
                parts=[(part, 0.3 if part in sound else None) for part in prompt],
                age_s=0.0,
            )
            crash_suspects.record_crash(self.evidence, self.now, report)
        return self.judge()

    def sound(self, part, age_s=0.0):
        """Report an answer to a prompt with a part."""
        report = fleet.SoundPart(part, age_s)
        released = crash_suspects.record_sound(
            self.evidence, self.records, self.now, report
        )
        self.judge()
        return released

    def judge(self):
        """Return the parts that are quarantined now."""
        return crash_suspects.judge(self.evidence, self.records, self.now)

    @property
    def quarantined(self):
        """Return the quarantined parts."""
        return {part for part, record in self.records.items() if record.quarantined}


def test_a_part_that_is_in_each_of_three_crashes_is_quarantined():
    system = Fleet()
    sound = [SHARED]
    assert system.crash([SHARED, "a", DEADLY], [SHARED, "b"], sound=sound) == []
    assert system.crash([SHARED, "c", DEADLY], [SHARED, "d"], sound=sound) == []
    assert system.crash([SHARED, "e", DEADLY], sound=sound) == [DEADLY]
    assert system.quarantined == {DEADLY}


REPEATED = "request:1"


def test_a_request_that_crashes_three_upstreams_in_a_moment_is_quarantined():
    system = Fleet()
    system.crash([REPEATED], ["request:2"], now=NOW)
    system.crash([REPEATED], ["request:3"], now=NOW + 0.01)
    assert system.crash([REPEATED], ["request:4"], now=NOW + 0.02) == [REPEATED]
    assert system.quarantined == {REPEATED}


def test_of_the_names_of_a_request_the_one_with_its_query_is_quarantined_at_once():
    system = Fleet()
    for _ in range(3):
        system.crash([SHARED, REPEATED, "request:query"], sound=[SHARED])

    assert system.quarantined == {"request:query"}


def test_a_request_whose_query_differs_each_time_is_quarantined_by_its_path():
    system = Fleet()
    for number in range(3):
        system.crash([REPEATED, f"request:query {number}"])

    assert system.quarantined == {REPEATED}


def test_requests_that_crashed_along_with_another_each_time_await_one_more_crash():
    system = Fleet()
    for _ in range(3):
        system.crash([REPEATED], ["request:2"])
    assert system.quarantined == set()

    system.crash([REPEATED])
    assert system.quarantined == {REPEATED}


def test_a_request_that_was_answered_before_is_not_quarantined_with_its_rack():
    system = Fleet()
    for _ in range(4):
        system.crash([REPEATED], now=NOW, sound=[REPEATED])

    assert system.quarantined == set()


def test_several_crashes_of_one_upstream_count_once_for_a_request():
    system = Fleet()
    for _ in range(4):
        system.crash([REPEATED], upstream="u1")

    assert system.quarantined == set()


def test_a_repeat_is_tried_more_rarely_than_a_part():
    system = Fleet()
    for _ in range(3):
        system.crash([REPEATED])
    asked_for = [fleet.PromptPart(REPEATED, 1, 200.0, 0.1)]

    def granted(now):
        evidence, records = system.evidence, system.records
        return crash_suspects.grant_trials(
            evidence, records, now, asked_for, leads=True
        )

    assert granted(system.now) == []
    assert granted(system.now + crash_suspects.TRIAL_INTERVAL_S + 1.0) == []
    first_s = crash_suspects.TRIAL_INTERVAL_S * crash_suspects.REQUEST_TRIAL_FACTOR
    quarantine.renew(system.records, REPEATED, system.now + first_s)
    assert granted(system.now + first_s) == [REPEATED]


def test_one_more_crash_is_awaited_while_two_parts_may_be_to_blame():
    system = Fleet()
    for _ in range(3):
        system.crash(["beside", DEADLY])
    assert system.quarantined == set()

    system.crash(["another", DEADLY], ["beside"])
    assert system.quarantined == {DEADLY}


def test_parts_that_are_always_beside_it_are_not_quarantined():
    """Even if none was in an answer yet, as after the start of the whole fleet."""
    system = Fleet()
    for _ in range(6):
        system.crash([SHARED, "always", DEADLY])

    assert system.quarantined == {DEADLY}


@pytest.mark.parametrize("seed", range(20))
def test_only_the_deadly_part_is_quarantined_among_random_prompts(seed):
    """Crashes take sound requests along, of few distinct parts and at all hosts."""
    draw = random.Random(seed)
    system = Fleet()
    known = set()
    for _ in range(12):
        prompts = [
            [SHARED, f"doc{draw.randrange(30)}", f"subject{draw.randrange(40)}"]
            for _ in range(draw.randrange(6))
        ]
        for _ in range(draw.randrange(4)):
            known.add(f"doc{draw.randrange(30)}")
        sound = {SHARED, *known}
        deadly = [SHARED, f"doc{draw.randrange(30)}"]
        deadly.insert(draw.randrange(1, 3), DEADLY)
        system.crash(deadly, *prompts, sound=sound)
        if system.quarantined:
            break

    assert system.quarantined == {DEADLY}
    assert len(system.evidence.suspects[DEADLY].crashes) <= 5


def test_two_deadly_parts_are_both_quarantined():
    system = Fleet()
    for number in range(4):
        system.crash([SHARED, f"a{number}", "one"], sound=[SHARED])
        system.crash([SHARED, f"b{number}", "two"], sound=[SHARED])

    assert system.quarantined == {"one", "two"}


def test_a_part_that_was_sound_needs_more_crashes_without_an_answer():
    system = Fleet()
    system.crash([SHARED], sound=[SHARED])
    for _ in range(3):
        system.crash([SHARED])
    assert system.quarantined == set()

    for _ in range(6):
        system.crash([SHARED])
    assert system.quarantined == {SHARED}


def test_a_part_with_answers_between_its_crashes_is_never_quarantined():
    system = Fleet()
    for _ in range(40):
        system.crash([SHARED, "a"], [SHARED, "b"])
        system.sound(SHARED)
        system.sound("a")
        system.sound("b")

    assert system.quarantined == set()


def test_upstreams_that_fail_together_count_as_one_crash():
    system = Fleet()
    for number in range(8):
        system.crash([SHARED, "a"], now=NOW + 0.01 * number)

    assert system.quarantined == set()


def test_several_requests_in_one_crash_count_once():
    system = Fleet()
    for _ in range(9):
        system.crash([SHARED, "a"], upstream="u")

    assert system.quarantined == set()


def test_crashes_that_a_quarantined_part_explains_do_not_count_for_others():
    system = Fleet()
    for _ in range(12):
        system.crash([SHARED, "a", DEADLY], [SHARED, "hot"], [SHARED, "hot"])

    assert system.quarantined == {DEADLY}


def test_an_answer_seen_before_the_crashes_releases_a_new_suspect():
    """The host that saw it reports it when it learns of the suspect."""
    system = Fleet()
    for _ in range(3):
        system.crash(["a"])
    assert system.quarantined == {"a"}

    assert system.sound("a", age_s=20.0)
    assert system.quarantined == set()
    assert system.records["a"].revision == 2


def test_an_answer_releases_a_quarantined_part_without_evidence():
    """After a restart only the record is known."""
    system = Fleet()
    quarantine.change(system.records, NOW, "a", quarantined=True)
    system.now = NOW + 10.0
    assert not system.sound("a", age_s=20.0)
    assert system.sound("a", age_s=1.0)
    assert system.quarantined == set()


def test_a_released_part_is_quarantined_again_by_new_crashes():
    system = Fleet()
    for _ in range(3):
        system.crash(["a"])
    system.now += 1.0
    system.sound("a")
    for _ in range(3):
        system.crash(["a"])

    assert system.records["a"].revision == 3


def test_hosts_are_asked_only_for_answers_that_matter():
    """Every host sends what it is asked for with each heartbeat."""
    system = Fleet()
    system.crash([SHARED, "a"], [SHARED, "b"])
    assert system.evidence.doubtful == []

    system.crash([SHARED, "a"], [SHARED, "c"])
    assert system.evidence.doubtful == [SHARED, "a"]

    system.sound(SHARED)
    assert system.evidence.doubtful == ["a"]
    system.crash([SHARED, "a"])
    assert system.quarantined == {"a"}
    assert system.evidence.doubtful == []


def test_doubts_end_without_further_reports():
    system = Fleet()
    system.crash(["a"])
    system.crash(["a"])
    assert system.evidence.doubtful == ["a"]

    system.now += crash_suspects.RETENTION_S
    system.judge()
    assert system.evidence.doubtful == []


def test_old_crashes_do_not_count():
    system = Fleet()
    system.crash(["a"])
    system.crash(["a"])
    system.now += crash_suspects.RETENTION_S
    system.crash(["a"])

    assert system.quarantined == set()


def test_one_request_at_a_time_tries_a_quarantined_part_ever_more_rarely():
    system = Fleet()
    for _ in range(3):
        system.crash([DEADLY])
    asked_for = [fleet.PromptPart(DEADLY, 1, 300.0, 0.5)]
    granted_s = []
    started_s = system.now
    while system.now < started_s + 1_000.0:
        system.now += 0.25
        quarantine.renew(system.records, DEADLY, system.now)
        for _ in range(6):
            if crash_suspects.grant_trials(
                system.evidence, system.records, system.now, asked_for, leads=True
            ):
                granted_s.append(round(system.now - started_s))

    assert granted_s == [60, 180, 420, 900]


def test_trials_go_to_hosts_with_such_requests_and_are_granted_by_the_leader():
    system = Fleet()
    for _ in range(3):
        system.crash([DEADLY])

    def grant(seen_age_s, leads):
        return crash_suspects.grant_trials(
            system.evidence,
            system.records,
            system.now,
            [fleet.PromptPart(DEADLY, 1, 300.0, seen_age_s)],
            leads=leads,
        )

    assert grant(0.1, leads=True) == []
    system.now += crash_suspects.TRIAL_INTERVAL_S
    assert grant(None, leads=True) == []
    assert grant(9.0, leads=True) == []
    assert grant(0.1, leads=False) == []
    assert grant(0.1, leads=True) == [], "the time starts again with a new leader"
    system.now += crash_suspects.TRIAL_INTERVAL_S
    assert grant(0.1, leads=True) == [DEADLY]


def test_evidence_is_bounded():
    system = Fleet()
    for number in range(crash_suspects.MAXIMUM_SUSPECTS + 50):
        system.crash([f"part{number}"], now=NOW)
    assert len(system.evidence.suspects) == crash_suspects.MAXIMUM_SUSPECTS

    system = Fleet()
    for _ in range(crash_suspects.MAXIMUM_CRASHES + 9):
        system.crash(*[["a"]] * (crash_suspects.MAXIMUM_REQUESTS + 9))
    suspect = system.evidence.suspects["a"]
    assert len(suspect.crashes) == crash_suspects.MAXIMUM_CRASHES
    requests = {len(crash.requests) for crash in suspect.crashes.values()}
    assert requests == {crash_suspects.MAXIMUM_REQUESTS}
    assert system.evidence.doubtful == []

    system.crash(["x" * 1_000])
    assert "x" * 1_000 not in system.evidence.suspects
