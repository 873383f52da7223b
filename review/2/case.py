"""Another writer's heartbeats give sound servers' addresses to its own service."""

import asyncio
import time

from review.harness import case, http, operator, server

STEADY_S = 10.0
"""From the last change until the check begins; several times the bound of config."""

RUN_S = 40.0
LEAST_REQUESTS = 20
SHARE_OF_FIRST_ROUTES = 0.25
PER_S = 5.0


async def write(run: case.Run, number: int, address: str, born: int) -> None:
    """Send the heartbeats of an inventory of machines about one address."""
    call_seq = 0
    while True:
        call_seq += 1
        body = {
            "service": "node-inventory",
            "address": address,
            "zone": "hall-a",
            "version": "v1",
            "slot_count": 1,
            "state": "ready",
            "cold_left_ms": 0,
            "born": born,
            "call_seq": call_seq,
        }
        for control in run.platform.controls():
            status, _, _ = await http.call(
                "PUT", control, f"/api/instances/inventory-{number}", body
            )
            run.record.write(
                "foreign heartbeat", to=control, address=address, status=status
            )
            if 200 <= status < 300:
                break
        await asyncio.sleep(server.BEAT_INTERVAL_S)


async def play(run: case.Run) -> bool:
    """Add a route to a second service; compare how both are served in steady state."""
    services = [{"name": name, **case.PLAIN} for name in ("first", "second")]
    route = operator.route("a", "first")
    first = operator.config(3, route, services=services)
    if await run.put_config(first, case.FIRST_ACK_S) is None:
        raise case.CannotRunError("the first config is not acknowledged")
    await run.start_servers("first", 3)
    await run.start_servers("second", 3)
    await asyncio.sleep(3.0)
    run.start_clients("/a/x", PER_S)
    added = operator.config(8, route, operator.route("b", "second"), services=services)
    if await run.put_config(added, case.FIRST_ACK_S) is None:
        raise case.CannotRunError("the second config is not acknowledged")
    await asyncio.sleep(2.0)
    run.start_clients("/b/x", PER_S)
    await asyncio.sleep(3.0)
    begun_s = run.platform.now()
    if run.trouble:
        born = int(time.time() * 1_000)
        named = [at for at in run.servers if at.service == "second"]
        for number, at in enumerate(named):
            task = asyncio.ensure_future(write(run, number, at.address, born))
            run.tasks.append(task)
    await asyncio.sleep(RUN_S)
    steady_s = begun_s + STEADY_S
    served_first, ended_first = run.served("/a/x", steady_s)
    served_added, ended_added = run.served("/b/x", steady_s)
    print(f"first route: served {served_first} of {ended_first}")
    print(f"added route: served {served_added} of {ended_added}")
    if not served_first or ended_added < LEAST_REQUESTS:
        raise case.CannotRunError("too few requests to compare")
    share_of_first = served_first / ended_first
    share_of_added = served_added / ended_added
    return share_of_added < SHARE_OF_FIRST_ROUTES * share_of_first


if __name__ == "__main__":
    case.main(play, __file__)
