"""Orders are sent only under the lease, and time out before a successor sends."""

import asyncio

from bitternlever.control import tables as control_tables
from bitternlever.messages import requests, upstream
from bitternlever.telemetry import traces
from bitternlever.transport import upstream_client

LEASE_END_S = 10.0


def _order(address):
    order = upstream.EngineOrder(fencing=1, models=["m@1"], adapters=[], role="mixed")
    return requests.SendOrder("o-1", "engine-1", address, order, LEASE_END_S)


def test_an_order_is_not_sent_once_its_lease_has_ended():
    connections = []
    events = []

    async def run():
        server = await asyncio.start_server(
            lambda _, writer: (connections.append(writer), writer.close()),
            "127.0.0.1",
            0,
        )
        port = server.sockets[0].getsockname()[1]
        client = upstream_client.create(
            clock=lambda: LEASE_END_S,
            on_event=events.append,
            tracer=traces.create("entry", "a", 0, 0, None, ""),
        )
        upstream_client.send_order(client, _order(f"http://127.0.0.1:{port}"))
        await asyncio.gather(*client.background)
        server.close()

    asyncio.run(run())

    assert connections == []
    assert [event.error for event in events] == ["the lease ended before the order"]


def test_an_order_times_out_before_a_successor_may_send_its_own():
    settings = control_tables.ControlSettings("c", "", "", "", nodes={}, zones={})

    assert settings.order_quiet_s > upstream_client.ORDER_TIMEOUT_S
