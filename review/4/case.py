"""A settings change that meets a starting process ends it."""

import asyncio
import signal

from review.harness import case, operator

ROUNDS = 3
AFTER_START_S = 0.15
"""A start takes about 0.45 s here, and a second on the machines of the sheet."""

SETTLE_S = 1.5
STOP_TIMEOUT_S = 9.0


async def restart(run: case.Run, name: str) -> None:
    """Stop a process as planned; send the notice of new settings after its start."""
    machine = run.platform.machines[name]
    starts = machine.starts
    run.record.write("SIGTERM", machine=name)
    run.platform.terminate(name)
    async with asyncio.timeout(STOP_TIMEOUT_S):
        while machine.starts == starts:
            await asyncio.sleep(0.01)
    run.record.write("started", machine=name)
    await asyncio.sleep(AFTER_START_S)
    if run.trouble:
        run.platform.revision += 1
        run.platform.write_settings(name)
        sent = run.platform.send_signal(name, signal.SIGHUP)
        run.record.write("SIGHUP", machine=name, sent=sent)
    await asyncio.sleep(SETTLE_S)


async def play(run: case.Run) -> bool:
    """Restart the entry hosts in turn, some times; check how processes ended."""
    route = operator.route("a", "plain")
    services = [{"name": "plain", **case.PLAIN}]
    config = operator.config(3, route, services=services)
    if await run.put_config(config, case.FIRST_ACK_S) is None:
        raise case.CannotRunError("the first config is not acknowledged")
    await run.start_servers("plain", 3)
    await asyncio.sleep(3.0)
    run.start_clients("/a/x", 10.0)
    await asyncio.sleep(2.0)
    for _ in range(ROUNDS):
        for name in run.platform.of_role("entry"):
            await restart(run, name)
    print(f"ends by themselves: {run.ends_by_machine()}")
    for end in run.platform.ends:
        print(f"{end.machine} ended with {end.code}, {end.ran_s:.2f} s after its start")
    return run.is_fault()


if __name__ == "__main__":
    case.main(play, __file__)
