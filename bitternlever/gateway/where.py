"""Where a request would go now, and why, without sending it.

The modules that decide about real requests decide here, too, on copies of the tables
that they write to, so that an answer changes nothing: no health record is made, no
bucket is refilled, no time to return is booked. The answer holds for this host and this
moment: other requests may come first, and the group of a stage is partly drawn.

Load pattern: an operator asks, a few times a second at most, why a request waits, is
refused or goes elsewhere, while the fleet serves.
"""

import collections
import copy
import dataclasses
import math

from bitternlever.catalog import tables as catalog_tables
from bitternlever.fleet import stream_origins, upstreams
from bitternlever.gateway import (
    batch_owners,
    context as gateway_context,
    forward,
    handover,
    placement,
    rate_shares,
    requests,
    resumption,
    schedule,
    stages,
    state,
    sync,
    tables as gateway_tables,
)
from bitternlever.messages import fleet, where
from bitternlever.workload import choice

MAXIMUM_CANDIDATES = 200
"""Bounds the answer, to some 50 KB; the first ones matter, and the rest are counted."""

DRAWS = 32
"""Draws of a stage's group, evenly spaced; shows shares of a few parts in a hundred."""


@dataclasses.dataclass(slots=True, frozen=True)
class _Asked:
    """The attributes of an HTTP request that the match with the catalog reads."""

    method: str
    raw_path: str
    headers: dict[str, str]
    raw_headers: list[tuple[bytes, bytes]]


def explain(
    gateway: state.Gateway, now: float, question: where.Question
) -> where.Explanation:
    """Return where a request would go now; nothing of the host changes."""
    gateway = dataclasses.replace(gateway, tables=_copy(gateway.tables))
    matched = requests.match(gateway, _asked(question), now, draw=0.0)
    if matched.is_err():
        return _explanation(gateway, now, question, matched.err())
    context = matched.ok()
    context.body = question.body.encode()
    context.tried = set(question.tried)
    refusal = requests.refuse_unread(gateway, context)
    refusal = refusal or requests.refuse_read(gateway, context)
    if refusal is None:
        helper = _helper(gateway.tables, now, context)
        if helper:
            return _explanation(gateway, now, question, None, context, helper=helper)
        refusal = _bind(gateway.tables, now, context)
    ways = [] if refusal else _ways(gateway, now, context)
    return _explanation(gateway, now, question, refusal, context, ways=ways)


def _copy(tables: gateway_tables.GatewayTables) -> gateway_tables.GatewayTables:
    """Return the tables with copies of all parts that deciding modules write to."""
    shares = tables.rate_shares
    parts = tables.crash_subjects
    return dataclasses.replace(
        tables,
        health=dict(tables.health),
        first_pieces=dict(tables.first_pieces),
        rate_shares=dataclasses.replace(
            shares,
            requests=_copy_buckets(shares.requests),
            calls=_copy_buckets(shares.calls),
            rooms=dict(shares.rooms),
            ready_s=dict(shares.ready_s),
            returns_s=dict(shares.returns_s),
            awaiting=collections.Counter(shares.awaiting),
        ),
        crash_subjects=dataclasses.replace(
            parts, records=copy.deepcopy(parts.records), trials=dict(parts.trials)
        ),
    )


def _copy_buckets(
    buckets: dict[str, gateway_tables.TokenBucket],
) -> dict[str, gateway_tables.TokenBucket]:
    return {name: dataclasses.replace(bucket) for name, bucket in buckets.items()}


def _asked(question: where.Question) -> _Asked:
    headers = [("Host", question.host), *question.headers]
    return _Asked(
        method=question.method,
        raw_path=question.target,
        headers={"Host": question.host},
        raw_headers=[
            (name.encode("utf-8"), value.encode("utf-8")) for name, value in headers
        ],
    )


def _helper(
    tables: gateway_tables.GatewayTables,
    now: float,
    context: gateway_context.Context,
) -> str:
    """Return the host that serves a request of a host that is cut off, if any."""
    if not tables.reachability.cut_off or context.head.handed_over:
        return ""
    hosts = handover.helpers(tables, now, context.head.request)
    return hosts[0].host if hosts else ""


def _bind(
    tables: gateway_tables.GatewayTables,
    now: float,
    context: gateway_context.Context,
) -> gateway_context.Refusal | None:
    """Bind a request that takes up a stream, as far as this host knows it."""
    if not resumption.is_take_up(context):
        return None
    origin = stream_origins.find(tables.stream_origins, now, context.head.resumes)
    return resumption.bind(tables, now, context, origin)


def _explanation(
    gateway: state.Gateway,
    now: float,
    question: where.Question,
    refusal: gateway_context.Refusal | None,
    context: gateway_context.Context | None = None,
    *,
    helper: str = "",
    ways: list[where.Way] | None = None,
) -> where.Explanation:
    tables = gateway.tables
    head = gateway.dialect.read_request(_asked(question).raw_headers)
    if refusal is not None:
        cause = _refused_text(refusal)
    elif helper:
        cause = f"handed over to {helper}: this host reaches no upstream"
    else:
        cause = "; ".join(f"{way.service}: {way.cause}" for way in ways)
    return where.Explanation(
        request=head.request,
        host=gateway.settings.host,
        cause=cause,
        version=None if tables.catalog is None else tables.catalog.version,
        catalog_age_s=_rounded(sync.catalog_age_s(tables, now)),
        route="" if context is None else context.route.name,
        evacuated_zones=sorted(tables.evacuation.zones),
        handed_over_to=helper,
        refused=_refused(refusal),
        ways=ways or [],
    )


def _ways(
    gateway: state.Gateway, now: float, context: gateway_context.Context
) -> list[where.Way]:
    """Return a way for each service of the route; a taken-up stream has only one."""
    if context.origin is not None:
        return [_way(gateway, now, context, 1.0)]
    targets = [target for target in context.route.targets if target.weight > 0]
    total = sum(target.weight for target in targets)
    return [
        _way(
            gateway,
            now,
            dataclasses.replace(
                context, service=target.service, tried=set(context.tried)
            ),
            target.weight / total,
        )
        for target in targets
    ]


def _way(
    gateway: state.Gateway,
    now: float,
    context: gateway_context.Context,
    share: float,
) -> where.Way:
    refusal = None
    views = []
    if context.route.stages:
        refusal = requests.refuse_staged(gateway, context)
    chosen = forward.choose(gateway, context, now)
    if context.route.stages:
        context.engine_zone = "" if chosen is None else chosen.zone
        views = [_stage(gateway, now, context, stage) for stage in context.route.stages]
    elif chosen is None:
        refusal = _no_upstream(gateway, now, context)
    candidates = _candidates(gateway.tables, now, context, chosen)
    if refusal is not None:
        chosen = None
    return where.Way(
        service=context.service,
        share=round(share, 3),
        cause=_cause(chosen, refusal, candidates),
        refused=_refused(refusal),
        upstream="" if chosen is None else chosen.upstream,
        zone="" if chosen is None else chosen.zone,
        then=[] if chosen is None else _then(gateway, now, context, chosen),
        stages=views,
        candidates=candidates[:MAXIMUM_CANDIDATES],
        left_out=max(0, len(candidates) - MAXIMUM_CANDIDATES),
    )


def _no_upstream(
    gateway: state.Gateway, now: float, context: gateway_context.Context
) -> gateway_context.Refusal:
    """Return the refusal of a request that has not been sent."""
    if sync.open_upstreams(gateway.tables, now, context.service, context.origin):
        reason = "all upstreams were tried"
        return gateway_context.Refusal(503, reason, forward.FULL_RETRY_S)
    failure = forward.no_upstream(gateway, context, now)
    return gateway_context.Refusal(503, failure.reason, failure.retry_after_s)


def _then(
    gateway: state.Gateway,
    now: float,
    context: gateway_context.Context,
    chosen: fleet.UpstreamStatus,
) -> list[str]:
    """Return where a request goes if one upstream after the other refuses it."""
    context = dataclasses.replace(context, tried={*context.tried, chosen.upstream})
    names = []
    while len(names) < forward.MAXIMUM_SENDS - 1:
        upstream = forward.choose(gateway, context, now)
        if upstream is None:
            break
        names.append(upstream.upstream)
        context.tried.add(upstream.upstream)
    return names


def _candidates(
    tables: gateway_tables.GatewayTables,
    now: float,
    context: gateway_context.Context,
    chosen: fleet.UpstreamStatus | None,
) -> list[where.Candidate]:
    """Return the service's upstreams: the chosen one, other candidates, the rest."""
    open_now = sync.open_upstreams(tables, now, context.service, context.origin)
    considered = placement.considered(tables, now, open_now, context.tried)
    prompt = placement.prompt(context.head) if forward.needs_engine(context) else None
    predicted = {
        prediction.name: prediction
        for prediction in placement.predictions(tables, now, considered, prompt)
    }
    usable = _usable(tables, now, context.service, context.origin)
    rows = [
        _candidate(
            tables, now, context, entry, usable, predicted.get(entry.status.upstream)
        )
        for entry in tables.upstreams.entries.values()
        if entry.status.service == context.service
    ]
    order = {name: number for number, name in enumerate(predicted)}
    first = "" if chosen is None else chosen.upstream
    rows.sort(
        key=lambda row: (
            row.upstream != first,
            order.get(row.upstream, math.inf) if prompt else row.ruled_out != "",
            math.inf if row.predicted_s is None else row.predicted_s,
            row.upstream,
        )
    )
    return rows


def _candidate(
    tables: gateway_tables.GatewayTables,
    now: float,
    context: gateway_context.Context,
    entry: upstreams.Entry,
    usable: frozenset[str],
    prediction: choice.Prediction | None,
) -> where.Candidate:
    upstream = entry.status
    record = placement.health(tables, upstream.upstream)
    ruled_out = ""
    if prediction is None:
        ruled_out = (
            _unusable(tables, now, entry, usable, context.origin)
            or _closed(tables, now, upstream)
            or _passed_over(now, context, upstream, record)
        )
    load = tables.outstanding.known.get(upstream.upstream)
    known = prediction is not None and not math.isnan(prediction.first_event_s)
    return where.Candidate(
        upstream=upstream.upstream,
        zone=upstream.zone,
        age_s=round(now - entry.last_seen_s, 3),
        running=record.running,
        ruled_out=ruled_out,
        predicted_s=round(prediction.first_event_s, 4) if known else None,
        unread_tokens=None if prediction is None else prediction.unread_tokens,
        load_age_s=None if load is None else round(now - load.received_s, 3),
    )


def _unusable(
    tables: gateway_tables.GatewayTables,
    now: float,
    entry: upstreams.Entry,
    usable: frozenset[str],
    origin: fleet.StreamOrigin | None,
) -> str:
    """Return why an upstream gets nothing new, empty if it may."""
    upstream = entry.status
    if upstream.upstream in usable:
        return ""
    if upstream.state is not fleet.UpstreamState.READY:
        return _not_ready(entry)
    if sync.is_evacuated(tables, upstream):
        return f"zone {upstream.zone} is evacuated"
    if not stream_origins.allows(origin, upstream):
        return "it has another software version than the stream"
    return f"silent for {now - entry.last_seen_s:.1f} s"


def _usable(
    tables: gateway_tables.GatewayTables,
    now: float,
    service: str,
    origin: fleet.StreamOrigin | None = None,
) -> frozenset[str]:
    usable = sync.usable_upstreams(tables, now, service, origin)
    return frozenset(upstream.upstream for upstream in usable)


def _not_ready(entry: upstreams.Entry) -> str:
    if entry.status.state is fleet.UpstreamState.DRAINING:
        return "it drains"
    if entry.superseded:
        return "another upstream has its address"
    return "it said that it leaves" if entry.leaving else "it has ended"


def _closed(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> str:
    """Return why an upstream takes no request of this host now, empty if it does."""
    pause_s = sync.pause_ends_s(tables, now, upstream)
    if pause_s is not None:
        return f"paused: it asked for that, for another {pause_s - now:.2f} s"
    opens_s = rate_shares.request_opens_s(tables, now, upstream) or now
    if opens_s > now:
        is_cold = upstreams.is_cold(tables.upstreams, now, upstream)
        limit = "cold, at its limit" if is_cold else "at its limit"
        if opens_s == math.inf:
            return f"{limit}: other hosts have all shares"
        return f"{limit}: open in {opens_s - now:.2f} s"
    if not rate_shares.has_room(tables, now, upstream):
        return "full: it bears few rejections"
    return ""


def _passed_over(
    now: float,
    context: gateway_context.Context,
    upstream: fleet.UpstreamStatus,
    record: gateway_tables.Health,
) -> str:
    if upstream.upstream in context.tried:
        return "tried"
    left_s = record.paused_until_s - now
    if left_s <= 0:
        return "not among the first engines in the order of the prompt"
    return f"it failed {record.failures} times, passed over for {left_s:.2f} s"


def _stage(
    gateway: state.Gateway,
    now: float,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
) -> where.StageView:
    tables = gateway.tables
    work = stages.first_work(gateway, context, stage, now)
    drawn = collections.Counter(
        batch_owners.choose_group(tables, now, work, (number + 0.5) / DRAWS)
        for number in range(DRAWS)
    )
    zones = {
        part.name: sorted(part.zones)
        for part in batch_owners.divided(tables, now, stage.service)
    }
    views = [
        _group(gateway, now, stage.service, name, zones.get(name, []), drawn[name])
        for name in zones or [batch_owners.WHOLE_SERVICE]
    ]
    usable = _usable(tables, now, stage.service)
    ruled_out = {
        entry.status.upstream: reason
        for entry in tables.upstreams.entries.values()
        if entry.status.service == stage.service
        if (reason := _stage_ruled_out(tables, now, entry, usable))
    }
    return where.StageView(
        stage=stage.number,
        service=stage.service,
        pieces=schedule.piece_count(context, stage),
        cost_s=round(schedule.cost_s(context, stage), 4),
        expected_wait_s=round(schedule.expected_wait_s(tables, stage.service, now), 4),
        backlog_s=round(schedule.backlog_s(tables, stage.service, now), 4),
        groups=sorted(views, key=lambda view: -view.share),
        ruled_out=dict(sorted(ruled_out.items())[:MAXIMUM_CANDIDATES]),
    )


def _stage_ruled_out(
    tables: gateway_tables.GatewayTables,
    now: float,
    entry: upstreams.Entry,
    usable: frozenset[str],
) -> str:
    """Return why a stage upstream gets no call; limits are kept by its group's host."""
    unusable = _unusable(tables, now, entry, usable, None)
    pause_s = sync.pause_ends_s(tables, now, entry.status)
    if unusable or pause_s is None:
        return unusable
    return f"paused: it asked for that, for another {pause_s - now:.2f} s"


def _group(
    gateway: state.Gateway,
    now: float,
    service: str,
    name: str,
    zones: list[str],
    drawn: int,
) -> where.StageGroup:
    reported = gateway.tables.loads.get((service, name))
    wait_s = batch_owners.reported_wait_s(gateway.tables, now, service, name)
    return where.StageGroup(
        group=name or "whole service",
        link=batch_owners.owner(gateway, now, service, name),
        zones=zones,
        share=round(drawn / DRAWS, 3),
        wait_s=round(wait_s, 4),
        age_s=None if reported is None else round(now - reported.reported_s, 3),
    )


def _cause(
    chosen: fleet.UpstreamStatus | None,
    refusal: gateway_context.Refusal | None,
    candidates: list[where.Candidate],
) -> str:
    if refusal is not None:
        return _refused_text(refusal)
    if chosen is None:
        return "its stages run, and no upstream is there for the request itself now"
    first, *others = candidates
    text = f"to {chosen.upstream} in zone {chosen.zone}"
    if first.predicted_s is not None:
        text += f", predicted to answer after {first.predicted_s:.3f} s"
    able = sum(not other.ruled_out for other in others)
    return f"{text}, of {able + 1} candidates; {len(others) - able} ruled out"


def _refused(refusal: gateway_context.Refusal | None) -> where.Refused | None:
    if refusal is None:
        return None
    retry_after_s = _rounded(refusal.retry_after_s)
    return where.Refused(refusal.status, refusal.reason, retry_after_s)


def _refused_text(refusal: gateway_context.Refusal) -> str:
    text = f"refused with {refusal.status}: {refusal.reason}"
    if refusal.retry_after_s is not None:
        text += f", may come back after {refusal.retry_after_s:.2f} s"
    return text


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
