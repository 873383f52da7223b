"""Started processes are stopped in every case: cancelled, ignoring signals, Ctrl-C."""

import asyncio
import signal
import sys

import pytest

from standins import processes as standin_processes

TIMEOUT_S = 20.0


def stand_in(name: str) -> standin_processes.Command:
    """Return the command of a stand-in on a free port."""
    port = standin_processes.free_ports(1)[0]
    return standin_processes.Command(
        name=name,
        arguments=[
            "standins",
            "service",
            f"--name={name}",
            f"--listen=127.0.0.1:{port}",
        ],
    )


async def test_a_cancelled_block_stops_its_processes(tmp_path):
    started = asyncio.Event()
    started_processes = []

    async def run_until_cancelled() -> None:
        async with standin_processes.manage(tmp_path) as processes:
            for name in ("a", "b"):
                await standin_processes.start(processes, stand_in(name))
            started_processes.extend(processes.by_name.values())
            started.set()
            await asyncio.Event().wait()

    task = asyncio.ensure_future(run_until_cancelled())
    await asyncio.wait_for(started.wait(), TIMEOUT_S)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await asyncio.wait_for(task, TIMEOUT_S)

    assert [process.returncode is not None for process in started_processes] == [
        True,
        True,
    ]


async def test_a_process_that_ignores_signals_is_killed(tmp_path, monkeypatch):
    monkeypatch.setattr(standin_processes, "TERMINATE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(standin_processes, "SECOND_TERMINATE_TIMEOUT_S", 0.1)
    (tmp_path / "deaf.py").write_text(
        "import signal, time\n"
        "signal.signal(signal.SIGTERM, signal.SIG_IGN)\n"
        "print('deaf', flush=True)\n"
        "time.sleep(60)\n",
    )
    monkeypatch.setattr(standin_processes, "ROOT", tmp_path)
    async with standin_processes.manage(tmp_path) as processes:
        command = standin_processes.Command(name="deaf", arguments=["deaf"])
        await standin_processes.start(processes, command)
        async with asyncio.timeout(TIMEOUT_S):
            while not processes.log("deaf").read_text():
                await asyncio.sleep(0.02)
        codes = await standin_processes.stop(processes, ["deaf"])

    assert codes == {"deaf": -signal.SIGKILL}


async def test_an_interrupted_demo_ends_with_its_exit_code(tmp_path):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "standins.demo",
        f"--keep={tmp_path}",
        cwd=standin_processes.ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    async with asyncio.timeout(TIMEOUT_S):
        await process.stdout.readline()
        process.send_signal(signal.SIGINT)
        output = await process.stdout.read()
        code = await process.wait()

    assert code == 130
    assert b"every process was stopped" in output
