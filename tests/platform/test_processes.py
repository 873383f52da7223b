"""The real programs on loopback: bootstrap, configs, drains, replacement, settings."""

import asyncio
import json
import shutil
import signal
import subprocess
import sys

import pytest

from standins import fleet as fleet_processes, scripted_upstream

CONFIG = "/api/config"


def put(fleet, version, **changes):
    """Return a function that puts a config and returns whether control accepted it."""

    def ask():
        address = fleet.address("control-a", 0)
        body = fleet_processes.config(version, **changes)
        return fleet_processes.send_request("PUT", address, CONFIG, body)[0] == 200

    return ask


def ready(fleet, name):
    """Return a function that asks whether a host is ready."""
    address = fleet.address(name, 2)
    return lambda: fleet_processes.send_request("GET", address, "/api/ready")[0] == 200


def served(fleet, name, key="key"):
    """Return a function that sends a request to a host; it returns b"" if refused."""

    def ask():
        status, body = fleet_processes.send_request(
            "GET",
            fleet.address(name, 1),
            "/a/x",
            Host="h.example",
            Authorization=f"Bearer {key}",
            X_Bitternlever_Request_Id="id",
        )
        return body if status == 200 else b""

    return ask


def listed(fleet, name):
    """Return the addresses that a host's directory lists."""
    status, body = fleet_processes.send_request(
        "GET", fleet.address(name, 3), "/api/resolve?name=h.example&region=r&zone=a"
    )
    return json.loads(body)["addrs"] if status == 200 else []


def announce(fleet, server, number=1, state="ready"):
    """Send an upstream's heartbeat to a control process and return the status."""
    body = fleet_processes.heartbeat(server.address, call_seq=number, state=state)
    address = fleet.address("control-b", 0)
    return fleet_processes.send_request("PUT", address, "/api/instances/u1", body)[0]


async def test_a_fleet_bootstraps_serves_drains_and_replaces_a_lost_disk(tmp_path):
    server = await scripted_upstream.start("u1")
    with fleet_processes.running(tmp_path, network=31) as fleet:
        await fleet_processes.wait_until(put(fleet, 3))
        await fleet_processes.wait_until(ready(fleet, "entry-a"))
        await fleet_processes.wait_until(ready(fleet, "entry-b"))
        assert await asyncio.to_thread(announce, fleet, server) == 200
        await fleet_processes.wait_until(served(fleet, "entry-a"))
        await fleet_processes.wait_until(served(fleet, "entry-b"))
        assert server.received[0].headers["x-bitternlever-tenant"] == "w"

        await fleet_processes.wait_until(put(fleet, 4, tenants=[]))
        await fleet_processes.wait_until(lambda: not served(fleet, "entry-a")())
        await fleet_processes.wait_until(put(fleet, 5))
        await fleet_processes.wait_until(served(fleet, "entry-a"))

        await fleet_processes.wait_until(lambda: len(listed(fleet, "entry-a")) == 2)
        stopping = asyncio.to_thread(fleet.stop, "entry-b")
        task = asyncio.ensure_future(stopping)
        await fleet_processes.wait_until(
            lambda: len(listed(fleet, "entry-a")) == 1, 2.0
        )
        await fleet_processes.wait_until(served(fleet, "entry-b"), 1.0)
        assert not await asyncio.to_thread(ready(fleet, "entry-b"))
        assert await task == 0

        fleet.kill("control-c")
        shutil.rmtree(tmp_path / "control-c")
        fleet.start("control-c", bootstrap=False)
        await fleet_processes.wait_until(lambda: _is_voter(fleet, "control-c"))
        fleet.kill("control-a")
        await fleet_processes.wait_until(
            lambda: _config_version(fleet, "control-b") == 5
        )
        assert await asyncio.to_thread(announce, fleet, server, 2) == 200
        await fleet_processes.wait_until(served(fleet, "entry-a"), 2.0)


async def test_settings_are_reloaded_at_a_signal_and_without_one(tmp_path):
    with fleet_processes.running(tmp_path, network=32) as fleet:
        await fleet_processes.wait_until(put(fleet, 1))
        await fleet_processes.wait_until(ready(fleet, "entry-a"))
        process = fleet.processes["entry-a"]
        path = tmp_path / "entry-a.toml"

        process.send_signal(signal.SIGHUP)
        await fleet_processes.wait_until(
            lambda: '"signalled": true' in fleet.log("entry-a")
        )
        path.write_text(fleet.settings("entry-a", seeds="ab"))
        await fleet_processes.wait_until(
            lambda: '"changed": true' in fleet.log("entry-a")
        )
        path.write_text("node = 5")
        await fleet_processes.wait_until(
            lambda: "settings-refused" in fleet.log("entry-a")
        )

        assert process.poll() is None
        assert await asyncio.to_thread(ready(fleet, "entry-a"))


async def test_metrics_are_served_as_text(tmp_path):
    with fleet_processes.running(tmp_path, network=33) as fleet:
        await fleet_processes.wait_until(put(fleet, 1))
        await fleet_processes.wait_until(ready(fleet, "entry-a"))

        entry = f"{fleet.ip('entry-a')}:9180"
        status, body = await asyncio.to_thread(
            fleet_processes.send_request, "GET", entry, "/metrics"
        )
        assert status == 200
        assert b'bitternlever_entry_state{name="catalog_version"} 1' in body
        control = f"{fleet.ip('control-a')}:9181"
        _, body = await asyncio.to_thread(
            fleet_processes.send_request, "GET", control, "/metrics"
        )
        assert b'bitternlever_control_state{name="voters"} 3' in body


@pytest.mark.parametrize("program", ["entry", "control"])
def test_faulty_settings_end_the_program_with_each_fault(tmp_path, program):
    fleet = fleet_processes.Fleet(folder=tmp_path, network=34, port=24_400)
    fleet.start(f"{program}-a", seeds="")

    assert fleet.processes[f"{program}-a"].wait(10) == 2
    assert "seed_addrs = []: name one control address" in fleet.log(f"{program}-a")


def _is_voter(fleet, name: str) -> bool:
    address = f"{fleet.ip(name)}:9181"
    _, body = fleet_processes.send_request("GET", address, "/metrics")
    return b'bitternlever_control_state{name="votes"} 1' in body


def _config_version(fleet, name: str) -> int:
    status, body = fleet_processes.send_request("GET", fleet.address(name, 0), CONFIG)
    return json.loads(body)["version"] if status == 200 else -1


def test_a_start_reads_no_certificate_authorities():
    code = (
        "from bitternlever.platform import programs\n"
        "programs.skip_certificate_authorities()\n"
        "from aiohttp import connector\n"
        "print(len(connector._SSL_CONTEXT_VERIFIED.get_ca_certs()))\n"
    )
    ended = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )

    assert ended.stdout.strip() == "0"
