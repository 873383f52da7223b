"""Which standstills and slow replies of control a host reports."""

import math

from bitternlever.gateway import strain


def test_a_standstill_is_reported_once():
    state = strain.Strain()
    strain.record_timer(state, 1.0, 0.25)
    strain.record_timer(state, 2.0, 0.25)

    assert strain.report(state, 2.0) == strain.Report(0.75, math.inf)
    assert strain.report(state, 4.0) is None


def test_usual_delays_are_not_reported():
    state = strain.Strain()
    strain.record_timer(state, 1.0, 0.25)
    strain.record_timer(state, 1.3, 0.25)
    strain.record_reply(state, 1.3, 1.29)

    assert strain.report(state, 1.3) is None


def test_one_late_control_process_says_nothing_of_the_link():
    state = strain.Strain()
    strain.record_reply(state, 5.0, 4.0)
    strain.record_reply(state, 5.0, 4.99)

    assert strain.report(state, 5.0) is None


def test_late_replies_are_reported_at_most_once_a_second():
    state = strain.Strain()
    strain.record_reply(state, 5.0, 4.0)
    assert strain.report(state, 5.0) == strain.Report(0.0, 1.0)

    strain.record_reply(state, 5.5, 4.0)
    assert strain.report(state, 5.9) is None
    assert strain.report(state, 6.0) == strain.Report(0.0, 1.5)
