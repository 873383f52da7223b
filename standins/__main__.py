"""Run one stand-in as a process: ``python -m standins KIND --name NAME …``."""

import asyncio
import dataclasses
import logging
import signal
import sys
from typing import Annotated

import aiohttp
import cappa
from aiohttp import web

from bitternlever.messages import upstream
from standins import (
    announcer,
    engine,
    plain,
    server,
    settings as standin_settings,
    weight_store,
)

DRAIN_TIMEOUT_S = 10.0
DRAIN_POLL_S = 0.02

Text = Annotated[str, cappa.Arg(long=True)]
Number = Annotated[int, cappa.Arg(long=True)]
Milliseconds = Annotated[float, cappa.Arg(long=True)]
Flag = Annotated[bool, cappa.Arg(long=True)]


@cappa.command(name="standins")
@dataclasses.dataclass
class Arguments:
    """Run one stand-in: an upstream or the weight store."""

    kind: standin_settings.StandInKind
    name: Text
    listen: Text = "127.0.0.1:0"
    zone: Text = "zone-a"
    pool: Text = "pool"
    entries: Text = ""
    token: Text = ""
    records: Text = ""
    models: Text = ""
    adapters: Text = ""
    weight_store: Text = ""
    checks_fencing: Flag = False
    non_idempotent: Text = ""
    concurrency: Number = 8
    service_ms: Milliseconds = 4.0
    step_ms: Milliseconds = 4.0
    cache_prefixes: Number = 64
    bytes_per_s: Number = 2_000_000_000
    seed: Number = 1


def settings_of(arguments: Arguments) -> standin_settings.Settings:
    """Return the settings for the given arguments."""
    host, _, port = arguments.listen.rpartition(":")
    values = dataclasses.asdict(arguments)
    del values["listen"]
    for name in ("entries", "models", "adapters", "non_idempotent"):
        values[name] = tuple(part for part in values[name].split(",") if part)
    return standin_settings.Settings(host=host, port=int(port), **values)


async def serve(settings: standin_settings.Settings) -> None:
    """Serve until SIGTERM or SIGINT, then announce leaving and finish running calls."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    if settings.kind is standin_settings.StandInKind.WEIGHT_STORE:
        await _serve_store(settings, stop)
        return
    await _serve_upstream(settings, stop)


async def _serve_store(
    settings: standin_settings.Settings,
    stop: asyncio.Event,
) -> None:
    runner = await _listen(weight_store.create_app(settings.bytes_per_s), settings)
    await stop.wait()
    await runner.cleanup()


async def _serve_upstream(
    settings: standin_settings.Settings,
    stop: asyncio.Event,
) -> None:
    is_engine = settings.kind is standin_settings.StandInKind.ENGINE
    stand_in, app = engine.create(settings) if is_engine else plain.create(settings)
    runner = await _listen(app, settings)

    def describe(message: upstream.Announcement) -> None:
        if is_engine:
            engine.describe(app[engine.ENGINE], message)

    announcing = announcer.create(settings, stand_in.recorder, describe)
    async with aiohttp.ClientSession() as session:
        task = asyncio.ensure_future(announcer.run(announcing, session))
        await stop.wait()
        task.cancel()
        await announcer.leave(announcing, session)
        await _drain(stand_in)
    await runner.cleanup()


async def _drain(stand_in: server.StandIn) -> None:
    remaining_s = DRAIN_TIMEOUT_S
    while stand_in.calls and remaining_s > 0:
        await asyncio.sleep(DRAIN_POLL_S)
        remaining_s -= DRAIN_POLL_S


async def _listen(
    app: web.Application,
    settings: standin_settings.Settings,
) -> web.AppRunner:
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    await web.TCPSite(runner, settings.host, settings.port).start()
    return runner


def main() -> int:
    """Run one stand-in until it receives SIGTERM or SIGINT."""
    logging.basicConfig(level=logging.WARNING, stream=sys.stderr)
    arguments = cappa.parse(Arguments, completion=False)
    asyncio.run(serve(settings_of(arguments)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
