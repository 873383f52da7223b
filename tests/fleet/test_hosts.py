"""Directory of entry hosts kept by a control process."""

from bitternlever.fleet import hosts
from bitternlever.messages import fleet
from tests.gateway import samples

NOW = 100.0


def test_only_a_changed_announcement_makes_a_new_revision():
    directory = hosts.HostDirectory()
    for number in range(3):
        hosts.merge_announcement(
            directory, NOW, samples.host_announcement("one", sequence=number)
        )
        hosts.refresh(directory, NOW)
    assert directory.revision == 1

    draining = samples.host_announcement(
        "one", sequence=9, state=fleet.HostState.DRAINING
    )
    hosts.merge_announcement(directory, NOW, draining)
    hosts.refresh(directory, NOW)

    assert directory.revision == 2
    assert directory.listed[0].state is fleet.HostState.DRAINING


def test_a_silent_host_is_dropped_after_the_timeout():
    directory = hosts.HostDirectory()
    hosts.merge_announcement(directory, NOW, samples.host_announcement("one"))
    hosts.refresh(directory, NOW)
    later_s = NOW + hosts.HOST_TIMEOUT_S + hosts.CHECK_INTERVAL_S

    hosts.merge_announcement(directory, later_s, samples.host_announcement("two"))
    hosts.refresh(directory, later_s)

    assert [announcement.host for announcement in directory.listed] == ["two"]
