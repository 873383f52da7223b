"""Records of quarantined parts: the highest revision counts, and each lapses."""

import pytest

from bitternlever.fleet import quarantine
from bitternlever.messages import fleet

NOW = 1_000.0
PART = "deadbeef"


def reported(revision=1, left_s=quarantine.LAPSE_S, part=PART, seen_age_s=None):
    return fleet.PromptPart(part, revision, left_s, seen_age_s)


def merge(records, *reports, now=NOW, authoritative=True):
    return [
        quarantine.merge(records, now, report, authoritative=authoritative)
        for report in reports
    ]


def test_a_part_is_quarantined_until_no_request_with_it_comes():
    records = {}
    assert quarantine.change(records, NOW, PART, quarantined=True)
    assert not quarantine.change(records, NOW, PART, quarantined=True)

    late_s = NOW + quarantine.LAPSE_S - 1.0
    assert quarantine.is_quarantined(records, late_s, PART)
    quarantine.renew(records, PART, late_s)
    assert quarantine.is_quarantined(records, late_s + 100.0, PART)
    assert not quarantine.is_quarantined(records, late_s + quarantine.LAPSE_S, PART)
    assert quarantine.current(records, late_s + quarantine.LAPSE_S) == []
    assert records == {}


@pytest.mark.parametrize(
    ("revisions", "quarantined"),
    [((1,), True), ((1, 2), False), ((2, 1), False), ((1, 2, 3), True), ((2,), False)],
)
def test_the_highest_revision_counts_in_any_order(revisions, quarantined):
    records = {}
    merge(records, *(reported(revision) for revision in revisions))

    assert quarantine.is_quarantined(records, NOW, PART) is quarantined


def test_a_merge_tells_whether_the_state_has_changed():
    assert merge({}, reported(1), reported(1), reported(2), reported(1)) == [
        True,
        False,
        True,
        False,
    ]
    assert merge({}, reported(2)) == [False]


def test_copies_of_a_record_do_not_renew_each_other():
    """A host's copy lapses with the original; only requests with the part renew it."""
    control, host = {}, {}
    quarantine.change(control, NOW, PART, quarantined=True)
    delay_s = 0.2
    now = NOW
    while now < NOW + 2 * quarantine.LAPSE_S:
        now += delay_s
        merge(host, *quarantine.current(control, now - delay_s), now=now)
        now += delay_s
        merge(
            control,
            *quarantine.current(host, now - delay_s),
            now=now,
            authoritative=False,
        )

    assert not quarantine.is_quarantined(host, now, PART)
    assert not quarantine.is_quarantined(control, now, PART)
    assert control == host == {}


def test_a_restarted_control_process_learns_a_part_from_a_host():
    host, control = {}, {}
    merge(host, reported(1, left_s=200.0))
    merge(control, *quarantine.current(host, NOW + 10.0), authoritative=False)

    assert quarantine.is_quarantined(control, NOW + 150.0, PART)
    assert not quarantine.is_quarantined(control, NOW + 250.0, PART)


def test_no_report_holds_a_part_longer_than_the_bound():
    records = {}
    merge(records, reported(1, left_s=1e9))

    assert not quarantine.is_quarantined(records, NOW + quarantine.LAPSE_S, PART)


def test_the_number_and_length_of_parts_are_bounded():
    records = {}
    merge(records, reported(part="x" * (quarantine.MAXIMUM_PART_LENGTH + 1)))
    assert records == {}

    merge(records, reported(2, part="released"))
    for number in range(quarantine.MAXIMUM_RECORDS):
        merge(records, reported(part=f"p{number}"))
    assert len(records) == quarantine.MAXIMUM_RECORDS
    assert "released" not in records
