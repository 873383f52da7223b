"""The entry host's tick, which runs all modules of the core in a fixed order."""

from typing import Any

from bitternlever.admission import dispatch, preemption
from bitternlever.core import ticks
from bitternlever.entry import control_client, lease, operators, tables as entry_tables
from bitternlever.gossip import membership
from bitternlever.messages import calls, frames, gossip, requests
from bitternlever.orders import placement
from bitternlever.pipelines import (
    answers,
    cancellations,
    crashes,
    drain,
    failures,
    intake,
    launch,
    outcomes,
    stages,
    takeover,
)
from bitternlever.routing import hedges

CONTROL_REPLIES = (
    calls.ControlReply,
    calls.ControlRedirect,
    calls.ControlBusy,
    calls.ControlUncertain,
)


def tick(
    tables: entry_tables.EntryTables,
    now: float,
    inbox: list[Any],
) -> ticks.Outbox:
    """Handle received messages, run every module once, and return outgoing messages."""
    outbox = ticks.Outbox()
    for message in inbox:
        _receive(tables, now, outbox, message)
    control_client.run(tables, now, outbox)
    lease.run(tables, now, outbox)
    membership.run(tables, now, outbox)
    stages.run(tables, now, outbox)
    takeover.run(tables, now, outbox)
    for attempt in preemption.attempts_to_preempt(tables, now):
        launch.preempt(tables, now, outbox, attempt)
    for ready in hedges.due(tables, now):
        launch.hedge(tables, now, outbox, ready)
    dispatch.run(tables, now, outbox, launch.launch)
    placement.run(tables, now, outbox)
    drain.run(tables, now, outbox)
    return outbox


def _receive(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: Any,
) -> None:
    if isinstance(message, frames.PeerMessageReceived):
        _receive_peer(tables, now, outbox, message)
        return
    HANDLERS[type(message)](tables, now, outbox, message)


def _receive_peer(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    received: frames.PeerMessageReceived,
) -> None:
    message = received.message
    if isinstance(message, CONTROL_REPLIES):
        control_client.receive(tables, now, outbox, received.node, message)
    elif isinstance(message, gossip.Gossip):
        membership.handle_gossip(tables, now, outbox, message)
        crashes.handle_gossip(tables, now, message)
    elif isinstance(message, calls.OrphansWaiting):
        tables.orphans_hint = True
    elif isinstance(message, calls.ManifestChanged):
        lease.handle_manifest_changed(tables, now, outbox, message)
    elif isinstance(message, calls.CancelledHint):
        cancellations.handle_cancelled_hint(tables, now, outbox, message.request_id)
    elif isinstance(message, calls.WatchedHint):
        cancellations.handle_watched_hint(tables, now, message.request_id)


HANDLERS = {
    requests.RequestSubmitted: intake.submit,
    requests.RequestQueried: answers.query,
    requests.RequestCancelled: cancellations.cancel,
    requests.AnswerAcknowledged: answers.acknowledge,
    requests.CallerDisconnected: cancellations.handle_disconnect,
    requests.UpstreamPart: outcomes.handle_part,
    requests.UpstreamFinished: outcomes.handle_finished,
    requests.UpstreamFailed: failures.handle_failed,
    requests.UpstreamAnnounced: membership.handle_announcement,
    requests.OrderAnswered: placement.handle_order_answered,
    requests.OperatorCalled: operators.handle_command,
    requests.DrainRequested: drain.handle_drain_request,
}
