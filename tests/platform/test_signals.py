"""Signals that meet a process while it starts or stops."""

import asyncio
import pathlib
import signal
import time

import pytest
import result

from bitternlever.core import reloading, signals
from standins import fleet as fleet_processes
from tests.gateway import entry_host

NETWORK = 30
SIGNAL_INTERVAL_S = 0.002
PROGRAMS = ("entry-a", "control-a")
STARTS = 3
WRITING_S = 0.2
"""Several times what writing the file takes, and below what is waited for it."""

CONNECT_INTERVAL_S = 0.0005


def process_file(fleet, name, file) -> str:
    return pathlib.Path(f"/proc/{fleet.processes[name].pid}/{file}").read_text()


def survives_reload(fleet, name) -> bool:
    """Return whether SIGHUP is ignored or caught."""
    bit = 1 << (signal.SIGHUP - 1)
    fields = dict(
        line.split(":", 1) for line in process_file(fleet, name, "status").splitlines()
    )
    return any(int(fields[field], 16) & bit for field in ("SigIgn", "SigCgt"))


async def send_reloads(fleet, name):
    """Send SIGHUP again and again until the process has ended."""
    process = fleet.processes[name]
    while process.poll() is None:
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(SIGNAL_INTERVAL_S)


async def wait_until_protected(fleet, name):
    async with asyncio.timeout(5.0):
        while not survives_reload(fleet, name):
            await asyncio.sleep(0)


@pytest.mark.parametrize("name", PROGRAMS)
async def test_a_starting_process_is_protected_before_its_imports(tmp_path, name):
    """SIGHUP during the imports ended the process by its default action."""
    fleet = fleet_processes.create(tmp_path, NETWORK)
    try:
        fleet.start(name)
        await wait_until_protected(fleet, name)

        assert "_asyncio" not in process_file(fleet, name, "maps")
    finally:
        fleet_processes.end(fleet)


@pytest.mark.parametrize("name", PROGRAMS)
async def test_reloads_from_start_to_end_end_no_process(tmp_path, name):
    """SIGHUP ended a process that was starting, or that had closed its loop."""
    fleet = fleet_processes.create(tmp_path, NETWORK)
    try:
        for _ in range(STARTS):
            fleet.start(name)
            process = fleet.processes[name]
            await wait_until_protected(fleet, name)
            sending = asyncio.ensure_future(send_reloads(fleet, name))
            await fleet_processes.wait_until(
                lambda: "program-started" in fleet.log(name)
            )
            await asyncio.sleep(0.1)
            process.send_signal(signal.SIGTERM)
            await asyncio.wait_for(sending, 8.0)

            assert process.returncode == 0
            (tmp_path / f"{name}.log").unlink()
    finally:
        fleet_processes.end(fleet)


async def test_settings_that_changed_before_they_were_watched_are_read(tmp_path):
    """A notice that is ignored during the start must not leave old settings."""
    path = tmp_path / "settings"
    path.write_text("old")
    applied = []
    path.write_text("new")
    handlers = signals.listen(asyncio.get_running_loop())
    try:
        reloading.watch_settings(
            handlers, lambda: result.Ok(path.read_text()), "old", applied.append
        )
        await asyncio.sleep(reloading.POLL_INTERVAL_S / 2)
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
        signal.set_wakeup_fd(-1)

    assert applied == ["new"]


async def test_a_request_that_crosses_a_stop_during_the_start_is_answered(tmp_path):
    """Its connection was closed: SIGTERM ended a process that was listening."""
    fleet = fleet_processes.create(tmp_path, NETWORK)
    host, _, port = fleet.address("entry-a", 1).rpartition(":")
    try:
        for _ in range(STARTS):
            fleet.start("entry-a")
            process = fleet.processes["entry-a"]
            reader, writer = await connect(host, int(port))
            process.send_signal(signal.SIGTERM)
            writer.write(entry_host.request())
            async with asyncio.timeout(5.0):
                answer = await entry_host.read_answer(reader)
            writer.close()

            assert answer.status == 503
            assert await asyncio.to_thread(process.wait, 8.0) == 0
    finally:
        fleet_processes.end(fleet)


async def connect(host, port):
    """Connect as soon as a process listens."""
    deadline_s = time.monotonic() + 8.0
    while True:
        try:
            return await asyncio.open_connection(host, port)
        except ConnectionError:
            assert time.monotonic() < deadline_s, "nothing listens"
            await asyncio.sleep(CONNECT_INTERVAL_S)


@pytest.mark.parametrize("name", PROGRAMS)
async def test_settings_that_are_being_written_at_a_start_are_read_again(
    tmp_path, name
):
    """A process that met a half-written file ended with exit code 2."""
    fleet = fleet_processes.create(tmp_path, NETWORK)
    path = tmp_path / f"{name}.toml"
    try:
        fleet.start(name)
        whole = path.read_text()
        path.write_text(whole[: len(whole) // 2])
        await fleet_processes.wait_until(lambda: has_msgspec(fleet, name))
        await asyncio.sleep(WRITING_S)
        path.write_text(whole)
        await fleet_processes.wait_until(lambda: "program-started" in fleet.log(name))
    finally:
        fleet_processes.end(fleet)


def has_msgspec(fleet, name) -> bool:
    """Return whether a process has begun to import what reads its settings."""
    return "msgspec" in process_file(fleet, name, "maps")
