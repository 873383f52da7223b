"""A run of the demo as a process."""

import asyncio
import sys

from standins import processes as standin_processes

TIMEOUT_S = 100.0


async def test_the_demo_gets_a_complete_answer_of_each_kind():
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "standins.demo",
        cwd=standin_processes.ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    async with asyncio.timeout(TIMEOUT_S):
        output, _ = await process.communicate()
    text = output.decode()

    assert process.returncode == 0, text
    assert text.count(": complete (HTTP 200") == 6
    for span in ("journal commit", "upstream generate", "upstream call"):
        assert span in text
