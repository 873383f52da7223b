"""Announce a stand-in to a reachable entry host each second, and once on leaving."""

import asyncio
import dataclasses
import logging
import time
from collections.abc import Callable

import aiohttp
import msgspec

from bitternlever.messages import upstream
from standins import records as standin_records, settings as standin_settings

INTERVAL_S = 1.0
TIMEOUT_S = 1.0
MAXIMUM_CACHE_EVENTS = 64

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Announcer:
    """The state of a stand-in's announcements.

    ``entry_index`` counts up to select the entry host to try next. ``recorded`` is set
    once the first announcement, or the one of leaving, has been recorded.
    """

    settings: standin_settings.Settings
    recorder: standin_records.Recorder
    describe: Callable[[upstream.Announcement], None]
    incarnation: int
    sequence: int = 0
    entry_index: int = 0
    leaving: bool = False
    recorded: bool = False


def create(
    settings: standin_settings.Settings,
    recorder: standin_records.Recorder,
    describe: Callable[[upstream.Announcement], None],
) -> Announcer:
    """Return an announcer; ``describe`` adds models, load and cache events."""
    return Announcer(
        settings=settings,
        recorder=recorder,
        describe=describe,
        incarnation=time.time_ns() // 1_000_000,
    )


def announcement(announcer: Announcer) -> upstream.Announcement:
    """Return the next announcement in sequence."""
    settings = announcer.settings
    announcer.sequence += 1
    message = upstream.Announcement(
        name=settings.name,
        incarnation=announcer.incarnation,
        sequence=announcer.sequence,
        address=settings.address,
        pool=settings.pool,
        zone=settings.zone,
        tasks=settings.tasks,
        concurrency=settings.concurrency,
        checks_fencing=settings.checks_fencing,
        leaving=announcer.leaving,
    )
    announcer.describe(message)
    return message


async def run(announcer: Announcer, session: aiohttp.ClientSession) -> None:
    """Announce each second until cancelled."""
    while True:
        await announce(announcer, session)
        await asyncio.sleep(INTERVAL_S)


async def leave(announcer: Announcer, session: aiohttp.ClientSession) -> None:
    """Announce to the first entry host that accepts it that the stand-in leaves."""
    announcer.leaving = True
    announcer.recorded = False
    await announce(announcer, session)


async def announce(announcer: Announcer, session: aiohttp.ClientSession) -> bool:
    """Send one announcement; try each entry host once until one accepts it."""
    entries = announcer.settings.entries
    if not entries:
        return False
    body = msgspec.json.encode(announcement(announcer))
    for _ in entries:
        entry = entries[announcer.entry_index % len(entries)]
        if await _send(session, entry, announcer.settings.token, body):
            _record(announcer)
            return True
        announcer.entry_index += 1
    logger.info("%s: no entry host accepted the announcement", announcer.settings.name)
    return False


def _record(announcer: Announcer) -> None:
    if announcer.recorded:
        return
    announcer.recorded = True
    announcer.recorder.record_announcement(announcer.leaving)


async def _send(
    session: aiohttp.ClientSession,
    entry: str,
    token: str,
    body: bytes,
) -> bool:
    headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with session.post(
            f"{entry}/v1/upstreams",
            data=body,
            headers=headers,
            timeout=timeout,
        ) as response:
            await response.read()
            return response.status < 300
    except (aiohttp.ClientError, TimeoutError):
        return False
