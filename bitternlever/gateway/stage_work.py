"""Send stage work to the hosts that batch it.

Work is resent until it is answered. If its host does not respond, or the queue of
another group is much shorter, it goes there and is cancelled at the first host, which
may only be slow.
"""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

import msgspec

from bitternlever.core import clocks
from bitternlever.gateway import batch_owners, state, sync
from bitternlever.messages import fleet
from bitternlever.telemetry import events
from bitternlever.transport import links

ACCEPT_TIMEOUT_S = 0.3
"""A hundred round trips between zones, since a busy host answers late."""

RESEND_INTERVAL_S = 0.8
"""Interval at which accepted work is resent, since its host may have restarted."""

MOVE_ADVANTAGE_S = 0.5
"""Wait saved by another group; pieces that are in a call already are run again."""

logger = logging.getLogger(__name__)


async def run(
    gateway: state.Gateway,
    work: fleet.StageWork,
    started: asyncio.Event,
    with_time_left: Callable[[fleet.StageWork, float], fleet.StageWork],
) -> fleet.StageDone | fleet.StageRefused:
    """Run the pieces of a stage; return StageDone or StageRefused.

    ``with_time_left`` returns the work with the time left at the given moment;
    ``started`` is set once all pieces are in calls.
    """
    mailbox = asyncio.Queue()
    gateway.batching.waiting[work.work] = mailbox
    destination = target = None
    answer = None
    now = clocks.boot_time()
    work = _with_group(gateway, now, with_time_left(work, now))
    try:
        while True:
            now = clocks.boot_time()
            target = batch_owners.owner(gateway, now, work.service, work.group)
            if destination not in (None, (target, work.group)):
                _cancel(gateway, destination[0], work)
            destination = target, work.group
            _send(gateway, target, with_time_left(work, now))
            answer = await _receive_within(mailbox, ACCEPT_TIMEOUT_S)
            if answer is None:
                _suspect_if_silent(gateway, now, target)
                continue
            while isinstance(answer, fleet.StageAccepted | fleet.StageWorkStarted):
                if isinstance(answer, fleet.StageWorkStarted):
                    started.set()
                elif answer.load is not None:
                    sync.record_load(gateway.tables, clocks.boot_time(), answer.load)
                answer = None  # If cancelled from here on, the work is unanswered.
                answer = await _receive_within(mailbox, RESEND_INTERVAL_S)
            if answer is not None:
                return answer
            work = _with_shorter_queue(gateway, clocks.boot_time(), work)
    finally:
        del gateway.batching.waiting[work.work]
        if target is not None and answer is None:
            _cancel(gateway, target, work)


def release(gateway: state.Gateway, service: str, handles: list[str]) -> None:
    """Tell the hosts that batch a service that results are no longer needed."""
    now = clocks.boot_time()
    parts = batch_owners.divided(gateway.tables, now, service)
    by_group: dict[str, list[str]] = {}
    for handle in handles:
        address = gateway.dialect.producer_address(handle)
        producer = gateway.tables.upstreams.upstream_by_address.get(address, "")
        group = next(
            (part.name for part in parts if producer in part.upstreams),
            batch_owners.WHOLE_SERVICE,
        )
        by_group.setdefault(group, []).append(handle)
    for group, freed in by_group.items():
        target = batch_owners.owner(gateway, now, service, group)
        message = fleet.StageResultsFreed(service=service, handles=freed)
        state.send(gateway, target, message)


async def _receive_within(mailbox: asyncio.Queue, timeout_s: float) -> Any:
    try:
        async with asyncio.timeout(timeout_s):
            return await mailbox.get()
    except TimeoutError:
        return None


def _with_group(
    gateway: state.Gateway, now: float, work: fleet.StageWork
) -> fleet.StageWork:
    """Return the work with the group of upstreams that will run it."""
    group = batch_owners.choose_group(gateway.tables, now, work, random.random())
    return msgspec.structs.replace(work, group=group)


def _with_shorter_queue(
    gateway: state.Gateway, now: float, work: fleet.StageWork
) -> fleet.StageWork:
    """Return the work with another group if the queue of its own is much longer."""
    other = _with_group(gateway, now, work)
    wait_s, other_wait_s = (
        batch_owners.reported_wait_s(gateway.tables, now, work.service, group)
        for group in (work.group, other.group)
    )
    return other if wait_s - other_wait_s > MOVE_ADVANTAGE_S else work


def _cancel(gateway: state.Gateway, link: str, work: fleet.StageWork) -> None:
    state.send(gateway, link, fleet.StageCancelled(work=work.work))


def _send(gateway: state.Gateway, link: str, work: fleet.StageWork) -> None:
    """Send work to a batching host, in the words of its version."""
    if work.inputs and not batch_owners.knows_groups(gateway.tables, link):
        pieces = [fleet.StagePiece(piece.number, work.inputs) for piece in work.pieces]
        work = msgspec.structs.replace(work, pieces=pieces, inputs=[])
    state.send(gateway, link, work)


def _suspect_if_silent(gateway: state.Gateway, sent_s: float, link: str) -> None:
    """Skip a host that has sent nothing since it was sent work, as it may be lost."""
    now = clocks.boot_time()
    if link == gateway.settings.link:
        return
    silent_s = links.silent_s(gateway.links, link, now)
    if not batch_owners.heard_since(gateway, now, link, sent_s):
        batch_owners.mark_suspect(gateway, now, link)
        events.HOST_SUSPECTED.log(
            logger,
            link=link,
            waited_s=ACCEPT_TIMEOUT_S,
            silent_s=None if silent_s is None else round(silent_s, 3),
        )
