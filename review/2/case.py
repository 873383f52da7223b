"""Another writer's heartbeats, numbered by 128-bit ids, end the control processes."""

import asyncio
import random
import secrets
import time

from review.harness import case, http, operator, server

RUN_S = 45.0
"""From the first heartbeat of the other writer to the end."""

CHANGE_AT_S = 20.0


def foreign_heartbeat(run: case.Run) -> dict:
    """Return a heartbeat of a writer that numbers its calls by random 128-bit ids.

    Its service is not named in any config, and nothing listens at its address.
    """
    return {
        "service": "node-inventory",
        "address": f"127.{run.platform.network}.3.1:9100",
        "zone": "hall-a",
        "version": "v1",
        "slot_count": 1,
        "state": "ready",
        "cold_left_ms": 0,
        "born": int(time.time() * 1_000),
        "call_seq": secrets.randbits(127) | 1 << 127,
    }


async def write(run: case.Run) -> None:
    """Send heartbeats as a server does: to any control machine, then to the next."""
    controls = run.platform.controls()
    while True:
        first = random.randrange(len(controls))
        for offset in range(len(controls)):
            address = controls[(first + offset) % len(controls)]
            body = foreign_heartbeat(run)
            status, _, _ = await http.call(
                "PUT", address, "/api/instances/inventory-1", body
            )
            run.record.write(
                "foreign heartbeat",
                to=address,
                call_seq=str(body["call_seq"]),
                status=status,
            )
            if 200 <= status < 300:
                break
        await asyncio.sleep(server.BEAT_INTERVAL_S)


async def play(run: case.Run) -> bool:
    """Serve requests while the other writer sends heartbeats; check the ends."""
    route = operator.route("a", "plain")
    services = [{"name": "plain", **case.PLAIN}]
    first = operator.config(3, route, services=services)
    if await run.put_config(first, case.FIRST_ACK_S) is None:
        raise case.CannotRunError("the first config is not acknowledged")
    await run.start_servers("plain", 3)
    await asyncio.sleep(3.0)
    run.start_clients("/a/x", 10.0)
    await asyncio.sleep(2.0)
    begun_s = run.platform.now()
    if run.trouble:
        run.tasks.append(asyncio.ensure_future(write(run)))
    await asyncio.sleep(CHANGE_AT_S)
    second = operator.config(8, route, services=services)
    acknowledged_s = await run.put_config(second, RUN_S - CHANGE_AT_S)
    await asyncio.sleep(max(0.0, begun_s + RUN_S - run.platform.now()))
    served, ended = run.served("/a/x", begun_s)
    unacknowledged = sum(at.unacknowledged for at in run.servers)
    print(f"ends by themselves: {run.ends_by_machine()}")
    print(f"second config acknowledged after: {acknowledged_s}")
    print(f"served {served} of {ended} requests")
    print(f"heartbeats of sound servers without any confirmation: {unacknowledged}")
    return run.is_fault()


if __name__ == "__main__":
    case.main(play, __file__)
