"""Steps about callers and upstreams."""

from pytest_bdd import given, parsers, then, when

from bench.invariants import records
from bitternlever.messages import requests
from tests.scenarios import (
    callers,
    cluster as clusters,
    manifests,
    simulation,
    upstreams,
)


@given(parsers.parse("{count:d} upstreams in each pool"))
def start_upstreams(cluster, count):
    for pool in manifests.TASKS:
        for number in range(count):
            clusters.add_upstream(cluster, f"{pool}-{number + 1}", pool)
    simulation.pass_time(cluster.sim, 2.0)


@when(
    parsers.re(
        r'"(?P<name>\w+)" sends a "(?P<kind>[\w-]+)" to "(?P<host>[^"]+)"'
        r'(?P<stream> as a stream)?(?: with key "(?P<key>\w+)")?'
        r'(?: for "(?P<other>\w+)")?',
    ),
)
def send(cluster, name, kind, host, stream, key, other):
    first = cluster.entry.index(host)
    caller = callers.Caller(
        name=name,
        workspace="cantref",
        pipeline=manifests.PIPELINE_OF[kind],
        kind=kind,
        durable=kind in manifests.DURABLE_KINDS,
        key=key,
        stream=bool(stream),
        hosts=cluster.entry[first:] + cluster.entry[:first],
        input={"marker": other or name},
    )
    cluster.caller_table.by_name[name] = caller
    callers.send(cluster.caller_table, caller)


@when(parsers.parse('{count:d} callers send a "{kind}" within {duration:g} seconds'))
def send_many(cluster, count, kind, duration):
    for number in range(count):
        host = cluster.entry[number % len(cluster.entry)]
        name = f"{kind.replace('-', '')}{number}"
        send(cluster, name, kind, host, None, name, None)
        simulation.pass_time(cluster.sim, duration / count)


def calls_of(cluster, name):
    digest = records.digest(cluster.caller_table.by_name[name].input)
    return [
        call
        for call in cluster.sim.recorded
        if isinstance(call, records.StageCalled) and call.input_digest == digest
    ]


@when(parsers.parse('the host that runs "{name}" is killed'))
def kill_owner(cluster, name):
    epoch = calls_of(cluster, name)[-1].epoch
    for host in cluster.entry:
        process = cluster.sim.processes[host]
        if process.alive and process.tables.lease.epoch == epoch:
            simulation.kill(cluster.sim, host)


@then(parsers.parse('{count:d} hosts have run "{name}"'))
def hosts_have_run(cluster, count, name):
    assert len({call.epoch for call in calls_of(cluster, name)}) == count


@when(parsers.parse('"{name}" hangs up'))
def hang_up(cluster, name):
    caller = cluster.caller_table.by_name[name]
    callers.disconnect(cluster.caller_table, caller)
    caller.done = True


@when(parsers.re(r'"(?P<name>\w+)" cancels(?: on "(?P<host>[^"]+)")?'))
def cancel(cluster, name, host):
    caller = cluster.caller_table.by_name[name]
    process = cluster.sim.processes[host] if host else caller.host
    callers.cancel(cluster.caller_table, caller, process)


@when(parsers.parse('"{name}" is drained'))
def drain(cluster, name):
    process = cluster.sim.processes[name]
    simulation.deliver(cluster.sim, process, requests.DrainRequested())


@when(parsers.parse('upstream "{name}" leaves'))
def leave(cluster, name):
    cluster.fleet.by_name[name].announcement.leaving = True


@when(parsers.parse('upstream "{name}" stops announcing itself'))
def stop_announcing(cluster, name):
    cluster.fleet.by_name[name].announces = False


@when(parsers.parse('upstream "{name}" falls silent'))
def fall_silent(cluster, name):
    fake = cluster.fleet.by_name[name]
    fake.announces = False
    fake.faults.add("silent")


@when(parsers.parse('upstream "{name}" dies'))
def die(cluster, name):
    cluster.fleet.by_name[name].alive = False


@when(parsers.parse('upstream "{name}" comes back'))
def come_back(cluster, name):
    fake = cluster.fleet.by_name[name]
    fake.alive = True
    fake.announcement.incarnation += 1
    upstreams.announce(cluster.fleet, name)


@when(parsers.parse('upstream "{name}" is "{fault}"'))
def misbehave(cluster, name, fault):
    cluster.fleet.by_name[name].faults.add(fault)


@when(parsers.parse('upstream "{name}" is well again'))
def recover(cluster, name):
    cluster.fleet.by_name[name].faults.clear()


@when(parsers.parse('upstreams of "{pool}" take {duration:g} seconds'))
def straggle(cluster, pool, duration):
    for fake in cluster.fleet.by_name.values():
        if fake.announcement.pool == pool:
            fake.service_s = duration


@when(parsers.parse('upstream "{name}" takes {duration:g} seconds'))
def straggle_alone(cluster, name, duration):
    cluster.fleet.by_name[name].service_s = duration


@when("late answers still reach their hosts")
def linger(cluster):
    cluster.upstream_shell.lingering = True


@when(parsers.parse('the connection from "{host}" to "{name}" goes silent'))
def silence(cluster, host, name):
    cluster.upstream_shell.silenced.add((host, name))


@then(parsers.parse('"{name}" holds its whole answer'))
def holds_answer(cluster, name):
    caller = cluster.caller_table.by_name[name]
    assert caller.answer is not None, caller.problem


@then(parsers.parse('"{name}" holds its whole answer within {duration:g} seconds'))
def holds_answer_within(cluster, name, duration):
    holds_answer(cluster, name)
    caller = cluster.caller_table.by_name[name]
    assert caller.answered_s - caller.sent_s <= duration


@then(parsers.parse("every caller holds its whole answer"))
def all_hold_answers(cluster):
    for name in cluster.caller_table.by_name:
        holds_answer(cluster, name)


@then(parsers.parse('"{name}" was refused and told that it ran "{ran}"'))
def was_refused(cluster, name, ran):
    caller = cluster.caller_table.by_name[name]
    assert caller.answer is None
    assert caller.problem is not None
    assert caller.problem.ran.value == ran, caller.problem


@then(parsers.parse('"{name}" and "{other}" hold the same answer'))
def same_answer(cluster, name, other):
    holds_answer(cluster, name)
    first, second = (cluster.caller_table.by_name[caller] for caller in (name, other))
    assert first.answer == second.answer


@then(parsers.parse('"{name}" was refused with status {status:d}'))
def refused_with(cluster, name, status):
    problem = cluster.caller_table.by_name[name].problem
    assert problem is not None
    assert problem.status == status, problem


@then(parsers.parse('stage "{stage}" of "{name}" ran {count:d} times'))
def ran(cluster, stage, name, count):
    found = [call for call in calls_of(cluster, name) if call.stage == stage]
    assert len(found) == count, found


@when(parsers.parse('upstream "{name}" is not heard by "{host}"'))
def not_heard(cluster, name, host):
    cluster.fleet.by_name[name].unreachable_hosts.add(host)


@then(parsers.parse('upstream "{name}" got no call in the last {duration:g} seconds'))
def got_no_call(cluster, name, duration):
    since_s = cluster.sim.now - duration
    calls = [
        record
        for record in cluster.sim.recorded
        if isinstance(record, records.StageCalled) and record.upstream == name
    ]
    assert [call for call in calls if call.time_s >= since_s] == []


@then("every caller has an outcome")
def all_have_outcomes(cluster):
    unfinished = [
        caller for caller in cluster.caller_table.by_name.values() if not caller.done
    ]
    assert [(caller.name, caller.kind, caller.problem) for caller in unfinished] == []
