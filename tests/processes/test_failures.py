"""Real processes are killed, frozen, emptied, drained and cut off from each other."""

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
LONGER_THAN_THE_LEASE_S = 2 * LEASE_S
CONTROL_PROCESSES = 3
TAKEOVER_LIMIT_S = 30.0
POLL_S = 0.1

pytestmark = pytest.mark.asyncio(loop_scope="module")


@dataclasses.dataclass(slots=True)
class Shared:
    """The system of all tests, and the relays before an entry host's links."""

    system: systems.System
    relays: list[relay.Relay]

    def accepted(self) -> int:
        """Return how many connections the relays have taken."""
        return sum(each.accepted for each in self.relays)


@pytest.fixture(autouse=True)
def limit():
    """End a test that hangs; the processes are ended by its context managers."""
    signal.signal(signal.SIGALRM, _time_out)
    signal.alarm(int(TEST_LIMIT_S))
    yield
    signal.alarm(0)


def _time_out(number, frame):
    raise TimeoutError(f"the test ran longer than {TEST_LIMIT_S} s")


async def answer_of(task):
    """Return the text of a whole answer."""
    outcome = await asyncio.wait_for(task, TAKEOVER_LIMIT_S)
    assert outcome.is_ok(), outcome
    return outcome.ok().text


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def shared(tmp_path_factory):
    """Run one system for all tests: starting it takes longer than most of them."""
    async with contextlib.AsyncExitStack() as stack:
        relays = [
            await stack.enter_async_context(relay.start("127.0.0.1", 1))
            for _ in range(CONTROL_PROCESSES)
        ]
        system = await stack.enter_async_context(
            systems.start(
                tmp_path_factory.mktemp("system"),
                change=lambda site, commands: _through_relays(relays, site, commands),
            ),
        )
        yield Shared(system=system, relays=relays)


@pytest_asyncio.fixture(loop_scope="module")
async def system(shared):
    """Give each test a whole system."""
    await systems.make_whole(shared.system)
    return shared.system


async def test_a_killed_owner_in_the_middle_of_a_stream(system):
    task = asyncio.ensure_future(systems.audit(system, "killed"))
    await systems.until_called(system, "draft", "killed")
    system.signal("entry-a", signal.SIGKILL)

    assert await answer_of(task) != ""


async def test_a_frozen_owner_that_wakes_after_its_lease(system):
    task = asyncio.ensure_future(systems.audit(system, "frozen"))
    await systems.until_called(system, "draft", "frozen")
    system.signal("entry-a", signal.SIGSTOP)
    await asyncio.sleep(LONGER_THAN_THE_LEASE_S)
    system.signal("entry-a", signal.SIGCONT)

    assert await answer_of(task) != ""
    assert await answer_of(systems.audit(system, "woken")) != ""


async def test_a_drain_by_sigterm_cuts_off_nothing(system):
    task = asyncio.ensure_future(systems.audit(system, "drained"))
    await systems.until_called(system, "draft", "drained")
    system.signal("entry-a", signal.SIGTERM)

    assert await answer_of(task) != ""
    ended = system.running.running["entry-a"].wait()
    assert await asyncio.wait_for(ended, TAKEOVER_LIMIT_S) == 0
    assert len(systems.calls_of(system, "draft", "drained")) == 1
    assert await answer_of(systems.audit(system, "elsewhere", first=1)) != ""


async def test_a_link_to_control_that_goes_silent_for_good(shared, system):
    assert await answer_of(systems.audit(system, "spoken")) != ""
    accepted = shared.accepted()
    for each in shared.relays:
        relay.silence(each)

    assert await answer_of(systems.audit(system, "silenced")) != ""
    await _until(lambda: shared.accepted() > accepted)


async def test_every_control_process_killed_and_started_again(system):
    names = [name for name in system.commands if name.startswith("control-")]
    for name in names:
        system.signal(name, signal.SIGKILL)
    for name in names:
        await systems.restart(system, name)

    assert await answer_of(systems.audit(system, "restarted")) != ""
    view = await systems.status(system, 1)
    assert view["directory"]["manifest_number"] == 1


async def test_a_removed_data_folder_is_replaced_and_a_second_host_lost(system):
    before = await systems.status(system, 0)
    old = next(
        replica
        for replica in before["directory"]["replicas"]
        if replica["node"] == "control-control-c"
    )
    system.signal("control-c", signal.SIGKILL)
    await system.running.running["control-c"].wait()
    shutil.rmtree(system.site.folder / "control-c")
    await systems.restart(system, "control-c")
    arguments = ("control", "replace", old["node"], old["disk"], old["node"], "--wait")
    await _until(lambda: systems.operate(system, *arguments), wanted=0)

    system.signal("control-a", signal.SIGKILL)

    assert await answer_of(systems.audit(system, "repaired")) != ""
    after = await systems.status(system, 1)
    assert after["directory"]["manifest_number"] == 1


async def _until(ask, wanted=True):
    """Ask again and again until the answer is the wanted one."""
    end_s = time.monotonic() + TAKEOVER_LIMIT_S
    found = None
    while time.monotonic() < end_s:
        found = ask()
        if inspect.isawaitable(found):
            found = await found
        if found == wanted:
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError(f"still {found}, wanted {wanted}")


def _through_relays(relays, site, commands):
    """Let one entry host reach every control process through a relay of its own.

    Whichever process leads, the host's renewals go through one of them.
    """
    for each, link in zip(relays, site.control_links, strict=True):
        each.target = ("127.0.0.1", int(link.rpartition(":")[2]))
        _redirect(commands["entry-a"], link, f"tcp://127.0.0.1:{each.port}")
    return commands


def _redirect(command, link, relayed):
    command.arguments[:] = [
        argument.replace(link, relayed)
        if argument.startswith("--control-nodes=")
        else argument
        for argument in command.arguments
    ]
