"""The engine stand-in: orders, fencing, delayed reports and cache events, KV cache."""

import asyncio

import msgspec
import pytest
from aiohttp import test_utils

from bitternlever.messages import upstream
from standins import (
    engine,
    engine_batch,
    engine_orders,
    settings as standin_settings,
    weight_store,
)

TIMEOUT_S = 10.0
LONG_PROMPT = "word " * 2_000


def engine_settings(**values) -> standin_settings.Settings:
    """Return the settings of an engine."""
    return standin_settings.Settings(
        kind=standin_settings.StandInKind.ENGINE,
        name="engine",
        step_ms=1.0,
        **values,
    )


def order(fencing: int, models: list[str], role: str = "mixed") -> upstream.EngineOrder:
    """Return an order."""
    return upstream.EngineOrder(
        fencing=fencing,
        models=models,
        adapters=[],
        role=role,
    )


def call(request: str, text: str = "hello", prefix: str = "") -> upstream.StageCall:
    """Return a call that generates three words."""
    return upstream.StageCall(
        binding=upstream.Binding(request, "draft", f"{request}-1", 1),
        input=text,
        model="draft",
        maximum_output_tokens=3,
        prefix=prefix,
    )


async def generate(client, message: upstream.StageCall) -> upstream.StageReply:
    """Send a call and return its complete reply."""
    response = await client.post(
        "/v1/stages/generate",
        data=msgspec.json.encode(message),
    )
    return msgspec.json.decode(await response.read(), type=upstream.StageReply)


@pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 200)])
async def test_an_old_fencing_number_is_refused_if_fencing_is_checked(
    checks,
    status,
):
    _, app = engine.create(engine_settings(checks_fencing=checks))
    async with test_utils.TestClient(test_utils.TestServer(app)) as client:
        await client.put("/v1/engine", data=msgspec.json.encode(order(5, ["a"])))
        late = await client.put("/v1/engine", data=msgspec.json.encode(order(4, [])))

    assert late.status == status


async def test_an_order_is_carried_out_through_the_weight_store():
    store = test_utils.TestServer(weight_store.create_app(bytes_per_s=10**11))
    await store.start_server()
    orders = engine_orders.create(
        engine_settings(
            models=("old",), weight_store=str(store.make_url("/")).rstrip("/")
        ),
    )
    task = asyncio.ensure_future(engine_orders.run(orders))
    engine_orders.accept(orders, order(1, ["draft@2", "summary"], role="decode"))
    async with asyncio.timeout(TIMEOUT_S):
        while orders.models != {"draft@2", "summary"}:
            await asyncio.sleep(0.01)
    task.cancel()
    loads = store.app[weight_store.STORE].loads
    await store.close()

    assert loads == 2
    assert orders.role == "decode"
    assert engine_orders.is_loaded(orders, "draft")
    assert not engine_orders.is_loaded(orders, "old")


async def test_a_call_for_a_model_that_is_not_loaded_is_refused():
    _, app = engine.create(engine_settings(models=("other",)))
    async with test_utils.TestClient(test_utils.TestServer(app)) as client:
        response = await client.post(
            "/v1/stages/generate",
            data=msgspec.json.encode(call("r-1")),
        )
        refused = await response.json()

    assert (response.status, refused["ran"]) == (503, "no")


async def test_a_cached_prefix_and_imported_kv_make_the_prompt_cheaper():
    _, app = engine.create(engine_settings(models=("draft",)))
    async with test_utils.TestClient(test_utils.TestServer(app)) as client:
        first = await generate(client, call("r-1", LONG_PROMPT, prefix="p"))
        second = await generate(client, call("r-2", LONG_PROMPT, prefix="p"))
        await client.put("/v1/kv/r-3", json={"tokens": 2_000})
        third = await generate(client, call("r-3", LONG_PROMPT))

    assert first.usage.cached_tokens == 0
    assert second.usage.cached_tokens > 1_000
    assert third.usage.prompt_tokens == first.usage.prompt_tokens - 2_000


async def test_kv_of_a_cancelled_call_is_exported_once():
    _, app = engine.create(engine_settings(models=("draft",)))
    long = call("r-1")
    long.maximum_output_tokens = 10_000
    long.stream = True
    async with test_utils.TestClient(test_utils.TestServer(app)) as client:
        response = await client.post(
            "/v1/stages/generate",
            data=msgspec.json.encode(long),
        )
        await response.content.readline()
        await client.delete("/v1/calls/r-1-1")
        await response.read()
        exported = await client.get("/v1/kv/r-1")
        again = await client.get("/v1/kv/r-1")

    assert (exported.status, again.status) == (200, 404)


async def test_cache_events_are_delayed_and_load_reports_have_an_age():
    _, app = engine.create(engine_settings(models=("draft",), seed=1))
    batch = app[engine.ENGINE].batch
    async with test_utils.TestClient(test_utils.TestServer(app)) as client:
        for number in range(40):
            await generate(client, call(f"r-{number}", prefix=f"p-{number}"))
    now = batch.model.now_s
    early = engine_batch.cache_events(batch, now - engine_batch.CACHE_EVENT_LAG_S, 64)
    engine_batch.report(batch, now)
    report = engine_batch.report(batch, now + 0.7)
    events = engine_batch.cache_events(batch, now + engine_batch.CACHE_EVENT_LAG_S, 64)
    numbers = [event.number for event in events]

    assert early == []
    assert report.age_s == pytest.approx(0.7)
    assert numbers == sorted(numbers)
    assert len(numbers) < numbers[-1] - numbers[0] + 1
