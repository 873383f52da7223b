"""Steps about hosts, disks, the network and time."""

import functools
import os

import pytest
from pytest_bdd import given, parsers, then, when

from bench.invariants import checks
from bitternlever.messages import directory
from tests.scenarios import cluster as clusters, disks, manifests, network, simulation

SEED_VARIABLE = "BITTERNLEVER_SCENARIO_SEED"
CI_SEED = 7
SETTLE_S = 5.0
COMPLETION_CHECK_INTERVAL_S = 3.0
REPLACE_INTERVAL_S = 0.5
MAXIMUM_ELECTIONS = 30
MAXIMUM_REPLACE_COMMANDS = 60
COMPLETION_TIMEOUT_S = 60.0


@pytest.fixture
def cluster():
    """Return the system of a scenario; check the invariants at its end."""
    created = clusters.create(int(os.environ.get(SEED_VARIABLE, CI_SEED)))
    yield created
    end_s = created.sim.now + COMPLETION_TIMEOUT_S
    simulation.pass_time(created.sim, COMPLETION_CHECK_INTERVAL_S)
    while created.sim.now < end_s and not _all_done(created):
        simulation.pass_time(created.sim, COMPLETION_CHECK_INTERVAL_S)
    assert checks.check(created.sim.recorded) == []


def _all_done(cluster):
    return all(caller.done for caller in cluster.caller_table.by_name.values())


@given(parsers.parse("{control:d} control hosts and {entry:d} entry hosts"))
def start_hosts(cluster, control, entry):
    cluster.control = [f"control-{number + 1}" for number in range(control)]
    cluster.entry = [f"entry-{number + 1}" for number in range(entry)]
    for name in cluster.control + cluster.entry:
        clusters.start(cluster, name)
    simulation.pass_time(cluster.sim, SETTLE_S)


@given(parsers.parse("manifest {number:d} is in force"))
def put_in_force(cluster, number):
    clusters.send_operator_command(
        cluster, "first", cluster.entry[0], manifests.put_manifest_command(number)
    )
    simulation.pass_time(cluster.sim, SETTLE_S)
    assert cluster.manifest_numbers[f"{cluster.entry[-1]}-1"] == number


@given(parsers.parse('"{name}" leads group {group:d}'))
def make_leader(cluster, name, group):
    for _ in range(MAXIMUM_ELECTIONS):
        current = clusters.leaders(cluster, group)[-1]
        if current == name:
            return
        simulation.freeze(cluster.sim, current)
        simulation.pass_time(cluster.sim, SETTLE_S)
        simulation.thaw(cluster.sim, current)
        simulation.pass_time(cluster.sim, SETTLE_S)
    raise AssertionError(f"{name} does not become the leader")


@when(parsers.parse('"{name}" is killed'))
def kill(cluster, name):
    simulation.kill(cluster.sim, name)


@when(parsers.parse('"{name}" freezes'))
def freeze(cluster, name):
    simulation.freeze(cluster.sim, name)


@when(parsers.parse('"{name}" wakes'))
def thaw(cluster, name):
    simulation.thaw(cluster.sim, name)


@when(parsers.parse('"{name}" starts again'))
def start_again(cluster, name):
    clusters.start(cluster, name)


@when(
    parsers.re(
        r'"(?P<name>[^"]+)" is (?P<fate>killed|frozen) '
        r"(?P<order>before|after|[\d.]+ seconds after) "
        r'it (?P<way>sends|gets) "(?P<message>[\w ]+)"',
    ),
)
def fail_host_at_message(cluster, name, fate, order, way, message):
    act = simulation.kill if fate == "killed" else simulation.freeze

    def trigger(process, seen_way, seen):
        if (process.name, seen_way) != (name, way):
            return False
        if message not in network.message_names(seen):
            return False
        fail_host = functools.partial(act, cluster.sim, name)
        if order == "before":
            fail_host()
            return True
        delay_s = 0.0 if order == "after" else float(order.split()[0])
        simulation.schedule(cluster.sim, delay_s, fail_host)
        return True

    cluster.sim.triggers.append(trigger)


@when(parsers.re(r'"(?P<name>[^"]+)" is cut off(?P<extent> from control| from all)'))
def cut_off(cluster, name, extent):
    others = list(cluster.control)
    if extent == " from all":
        others += [*cluster.entry, *cluster.fleet.by_name, "callers"]
    network.isolate(cluster.net, name, others)


@when("the network heals")
def heal(cluster):
    network.heal(cluster.net)


@when(parsers.parse('the next {count:d} "{message}" are lost'))
def lose(cluster, count, message):
    cluster.net.losses[message] = count


@when(parsers.parse('{share:d} in 100 "{message}" are lost'))
def lose_share(cluster, share, message):
    cluster.net.loss_share[message] = share / 100


@when(parsers.parse('"{message}" takes {delay:g} seconds'))
def delay(cluster, message, delay):
    cluster.net.delays_s[message] = delay


@when(parsers.parse("messages cross by up to {duration:g} seconds"))
def cross(cluster, duration):
    cluster.net.reordering_s = duration


@when(parsers.re(r'"(?P<name>[^"]+)" loses (?P<what>its disk|power|power in a write)'))
def lose_disk(cluster, name, what):
    simulation.kill(cluster.sim, name)
    disk = cluster.disk_by_host[name]
    disks.lose_power(disk, torn=what == "power in a write")
    if what == "its disk":
        number = int(disk.synced.disk.rpartition("-")[2]) + 1
        cluster.disk_by_host[name] = clusters.new_disk(f"{name}-disk-{number}")


@when(parsers.parse('the disk of "{name}" takes {duration:g} seconds to sync'))
def slow_disk(cluster, name, duration):
    cluster.disk_by_host[name].sync_s = duration


@when(
    parsers.re(
        r'the replica of "(?P<old>[^"]+)" (?P<extent>is|begins to be) replaced '
        r'on "(?P<new>[^"]+)"',
    ),
)
def replace(cluster, old, extent, new):
    """Resend the command, as the operator's tool does, until done or in progress."""
    number = int(cluster.disk_by_host[old].synced.disk.rpartition("-")[2])
    lost = number - 1 if old == new else number
    command = directory.ReplaceReplica(old, f"{old}-disk-{lost}", new)
    for _ in range(MAXIMUM_REPLACE_COMMANDS):
        host = next(
            name for name in cluster.entry if simulation.is_running(cluster.sim, name)
        )
        clusters.send_operator_command(cluster, "replacer", host, command)
        simulation.pass_time(cluster.sim, REPLACE_INTERVAL_S)
        last = cluster.replies.get("replacer", [None])[-1]
        in_progress = isinstance(last, directory.ReplaceProgress)
        if in_progress and (last.step == "done" or extent == "begins to be"):
            return
    raise AssertionError(last)


@when(
    parsers.re(
        r'operator "(?P<operator>\w+)" applies manifest (?P<number>\d+)'
        r'(?: "(?P<variant>\w+)")? through "(?P<host>[^"]+)"',
    ),
)
def apply_manifest(cluster, operator, number, variant, host):
    put = manifests.put_manifest_command(int(number), variant or "")
    clusters.send_operator_command(cluster, operator, host, put)


@when(parsers.parse("{count:d} manifests are applied one after the other"))
def apply_many(cluster, count):
    for number in range(2, count + 2):
        put = manifests.put_manifest_command(number)
        clusters.send_operator_command(cluster, "pipeline", cluster.entry[0], put)
        simulation.pass_time(cluster.sim, 0.1)


@when(parsers.parse("{duration:g} seconds pass"))
def pass_time(cluster, duration):
    simulation.pass_time(cluster.sim, duration)


@then(parsers.parse('manifest {number:d} is in force on "{name}"'))
def in_force(cluster, number, name):
    incarnation = f"{name}-{cluster.incarnations[name]}"
    assert cluster.manifest_numbers.get(incarnation) == number


@then(parsers.parse('operator "{operator}" was not told "{reply}"'))
def was_not_told(cluster, operator, reply):
    replies = [type(answer).__name__ for answer in cluster.replies.get(operator, [])]
    assert reply not in replies


@then(parsers.parse('operator "{operator}" was told "{reply}"'))
def was_told(cluster, operator, reply):
    replies = [type(answer).__name__ for answer in cluster.replies.get(operator, [])]
    assert replies[-1:] == [reply], replies


@then(parsers.parse('"{name}" has ended and cut off nothing'))
def ended_cleanly(cluster, name):
    assert cluster.cut_off_requests.get(name) == []


@when(
    parsers.re(
        r"the leader of group (?P<group>\d+) "
        r"(?P<fate>is killed|freezes|is cut off from all)",
    ),
)
def fail_leader(cluster, group, fate):
    name = clusters.leaders(cluster, int(group))[-1]
    if fate == "is killed":
        simulation.kill(cluster.sim, name)
    elif fate == "freezes":
        simulation.freeze(cluster.sim, name)
    else:
        cut_off(cluster, name, " from all")


@when("every killed control host starts again")
def start_control_again(cluster):
    for name in cluster.control:
        if not cluster.sim.processes[name].alive:
            clusters.start(cluster, name)


@when("every frozen host wakes")
def thaw_all(cluster):
    for process in cluster.sim.processes.values():
        if process.frozen:
            simulation.thaw(cluster.sim, process.name)


@then(parsers.parse("a control host leads group {group:d}"))
def has_leader(cluster, group):
    assert clusters.leaders(cluster, group)


@then(parsers.parse("no control host leads group {group:d}"))
def has_no_leader(cluster, group):
    assert clusters.leaders(cluster, group) == []


@then(parsers.parse('exactly one of operators "{first}" and "{second}" was accepted'))
def one_accepted(cluster, first, second):
    replies = [cluster.replies[name][-1] for name in (first, second)]
    kinds = sorted(type(reply).__name__ for reply in replies)
    assert kinds == ["ManifestAccepted", "ManifestConflict"], replies
