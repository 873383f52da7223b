"""Failures of real processes: kills, freezes, drains, lost data and lost links."""

import asyncio
import contextlib
import dataclasses
import inspect
import shutil
import signal
import time

import pytest
import pytest_asyncio

from standins import relay
from tests.processes import system as systems

TEST_LIMIT_S = 60.0
LEASE_S = 3.0
FREEZE_DURATION_S = 2 * LEASE_S  # Long enough for the frozen host to lose its lease.
CONTROL_PROCESSES = 3
TAKEOVER_LIMIT_S = 30.0
POLL_S = 0.1

pytestmark = pytest.mark.asyncio(loop_scope="module")


@dataclasses.dataclass(slots=True)
class Shared:
    """The system shared by all tests, and the relays on the links of an entry host."""

    system: systems.System
    relays: list[relay.Relay]

    def accepted(self) -> int:
        """Return how many connections the relays have accepted."""
        return sum(link_relay.accepted for link_relay in self.relays)


@pytest.fixture(autouse=True)
def time_limit():
    """Fail a test that hangs; context managers stop the processes."""
    signal.signal(signal.SIGALRM, _time_out)
    signal.alarm(int(TEST_LIMIT_S))
    yield
    signal.alarm(0)


def _time_out(number, frame):
    raise TimeoutError(f"the test ran longer than {TEST_LIMIT_S} s")


async def answer_text(task):
    """Return the text of a complete answer."""
    outcome = await asyncio.wait_for(task, TAKEOVER_LIMIT_S)
    assert outcome.is_ok(), outcome
    return outcome.ok().text


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def shared(tmp_path_factory):
    """Run one system for all tests, since starting it takes longer than most tests."""
    async with contextlib.AsyncExitStack() as stack:
        relays = [
            await stack.enter_async_context(relay.start("127.0.0.1", 1))
            for _ in range(CONTROL_PROCESSES)
        ]
        system = await stack.enter_async_context(
            systems.start(
                tmp_path_factory.mktemp("system"),
                change_commands=lambda site, commands: _insert_relays(
                    relays, site, commands
                ),
            ),
        )
        yield Shared(system=system, relays=relays)


@pytest_asyncio.fixture(loop_scope="module")
async def system(shared):
    """Return the shared system with all its processes running."""
    await systems.restart_ended_processes(shared.system)
    return shared.system


async def test_a_killed_owner_in_the_middle_of_a_stream(system):
    task = asyncio.ensure_future(systems.send_audit(system, "killed"))
    await systems.wait_for_call(system, "draft", "killed")
    system.signal("entry-a", signal.SIGKILL)

    assert await answer_text(task) != ""


async def test_a_frozen_owner_that_wakes_after_its_lease(system):
    task = asyncio.ensure_future(systems.send_audit(system, "frozen"))
    await systems.wait_for_call(system, "draft", "frozen")
    system.signal("entry-a", signal.SIGSTOP)
    await asyncio.sleep(FREEZE_DURATION_S)
    system.signal("entry-a", signal.SIGCONT)

    assert await answer_text(task) != ""
    assert await answer_text(systems.send_audit(system, "woken")) != ""


async def test_a_drain_by_sigterm_cuts_off_nothing(system):
    task = asyncio.ensure_future(systems.send_audit(system, "drained"))
    await systems.wait_for_call(system, "draft", "drained")
    system.signal("entry-a", signal.SIGTERM)

    assert await answer_text(task) != ""
    ended = system.processes.by_name["entry-a"].wait()
    assert await asyncio.wait_for(ended, TAKEOVER_LIMIT_S) == 0
    assert len(systems.recorded_calls(system, "draft", "drained")) == 1
    assert (
        await answer_text(systems.send_audit(system, "elsewhere", first_entry=1)) != ""
    )


async def test_a_link_to_control_that_goes_silent_for_good(shared, system):
    assert await answer_text(systems.send_audit(system, "spoken")) != ""
    accepted = shared.accepted()
    for link_relay in shared.relays:
        relay.silence(link_relay)

    assert await answer_text(systems.send_audit(system, "silenced")) != ""
    await _wait_until(lambda: shared.accepted() > accepted)


async def test_every_control_process_killed_and_started_again(system):
    names = [name for name in system.commands if name.startswith("control-")]
    for name in names:
        system.signal(name, signal.SIGKILL)
    for name in names:
        await systems.restart(system, name)

    assert await answer_text(systems.send_audit(system, "restarted")) != ""
    view = await systems.status(system, 1)
    assert view["directory"]["manifest_number"] == 1


async def test_a_removed_data_folder_is_replaced_and_a_second_host_lost(system):
    before = await systems.status(system, 0)
    old_replica = next(
        replica
        for replica in before["directory"]["replicas"]
        if replica["node"] == "control-control-c"
    )
    system.signal("control-c", signal.SIGKILL)
    await system.processes.by_name["control-c"].wait()
    shutil.rmtree(system.site.folder / "control-c")
    await systems.restart(system, "control-c")
    arguments = (
        "control",
        "replace",
        old_replica["node"],
        old_replica["disk"],
        old_replica["node"],
        "--wait",
    )
    await _wait_until(lambda: systems.run_operator(system, *arguments), wanted=0)

    system.signal("control-a", signal.SIGKILL)

    assert await answer_text(systems.send_audit(system, "repaired")) != ""
    after = await systems.status(system, 1)
    assert after["directory"]["manifest_number"] == 1


async def _wait_until(poll, wanted=True):
    """Call ``poll`` repeatedly until it returns ``wanted``."""
    end_s = time.monotonic() + TAKEOVER_LIMIT_S
    found = None
    while time.monotonic() < end_s:
        found = poll()
        if inspect.isawaitable(found):
            found = await found
        if found == wanted:
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError(f"still {found}, wanted {wanted}")


def _insert_relays(relays, site, commands):
    """Connect one entry host to each control process through a separate relay.

    Whichever control process leads, the lease renewals of the host pass a relay.
    """
    for link_relay, link in zip(relays, site.control_links, strict=True):
        link_relay.target = ("127.0.0.1", int(link.rpartition(":")[2]))
        _redirect(commands["entry-a"], link, f"tcp://127.0.0.1:{link_relay.port}")
    return commands


def _redirect(command, link, relay_link):
    command.arguments[:] = [
        argument.replace(link, relay_link)
        if argument.startswith("--control-nodes=")
        else argument
        for argument in command.arguments
    ]
