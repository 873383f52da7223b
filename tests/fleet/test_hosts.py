"""The directory of entry hosts that control keeps."""

from bitternlever.fleet import hosts
from bitternlever.messages import fleet
from tests.gateway import samples

NOW = 100.0


def test_a_changed_word_is_listed_at_once_and_an_equal_one_changes_nothing():
    held = hosts.Hosts()
    for number in range(3):
        hosts.take(held, NOW, samples.host_word("one", number=number))
        hosts.refresh(held, NOW)
    assert held.revision == 1

    draining = samples.host_word("one", number=9, state=fleet.HostState.DRAINING)
    hosts.take(held, NOW, draining)
    hosts.refresh(held, NOW)

    assert held.revision == 2
    assert held.listed[0].state is fleet.HostState.DRAINING


def test_a_silent_host_is_left_out_soon_after_its_time():
    held = hosts.Hosts()
    hosts.take(held, NOW, samples.host_word("one"))
    hosts.refresh(held, NOW)
    later_s = NOW + hosts.SILENCE_S + hosts.CHECK_INTERVAL_S

    hosts.take(held, later_s, samples.host_word("two"))
    hosts.refresh(held, later_s)

    assert [word.host for word in held.listed] == ["two"]
