"""The faults of a run, drawn from its seed; nothing here touches a process."""

import dataclasses
import enum
import random

from standins import fleet as standin_fleet

CONTROLS = tuple(f"control-{letter}" for letter in "abcde")
ENTRIES = tuple(f"entry-{letter}" for letter in "abc")
UPSTREAMS = ("upstream-1", "upstream-2", "upstream-3")
ZONE_BY_UPSTREAM = dict(zip(UPSTREAMS, standin_fleet.ZONES, strict=True))
"""One upstream in each zone, so that an evacuation leaves some of the others."""

TOLERATED_LOSSES = 2
"""Control hosts that may be lost at once, as in the settings of the run."""

RECOVERY_S = 6.0
"""A control host counts as lost for this long after its return, as the users count."""

LAST_FAULT_S = 14.0
"""Faults start within this time; the run continues until all processes recover."""

KILL_ALL_SHARE = 0.2
"""Share of runs in which all control processes are killed together."""

REPEAT_SHARE = 0.3
"""Share of faults that are repeated shortly after their end, on the same target."""

REVOKE_SHARE = 0.5
"""Share of runs in which a key is revoked."""

LIMIT_SHARE = 0.5
"""Share of runs in which an upstream names a rate limit in all its answers."""

LIMIT_PER_S = (0.5, 4.0)
"""Range of that limit, far below what callers ask for."""

EVACUATION_SHARE = 0.5
"""Share of runs in which each of the zones is evacuated, independently."""

EVACUATION_S = (1.0, 14.0)
"""Range of their durations, from less than their bound to several restarts longer."""

FAULT_COUNT = (8, 18)
"""Range of the number of faults; most runs have some on upstreams, links and hosts."""

DURATION_S = (0.3, 3.5)
"""Range of durations, from unnoticeable to longer than a lease and every timeout."""

CONTROL_SHARE = 0.35
LINK_SHARE = 0.2
ENTRY_SHARE = 0.2
"""Shares of the faults; the rest are faults of upstreams."""


class Kind(enum.Enum):
    """The kinds of faults of a process, its link or an upstream."""

    KILL = "kill"
    TERMINATE = "terminate"
    FREEZE = "freeze"
    WIPE = "wipe"
    KILL_ALL_CONTROLS = "herd"
    SILENCE = "silence"
    RESET = "reset"
    DELAY = "delay"
    CUT = "cut"
    RELOAD_SETTINGS = "rehash"
    UPSTREAM_SLOW = "upstream-slow"
    UPSTREAM_SILENT = "upstream-silent"
    UPSTREAM_RESETS = "upstream-resets"
    UPSTREAM_REFUSES = "upstream-refuses"
    UPSTREAM_GARBLES = "upstream-garbles"
    UPSTREAM_RESTARTS = "upstream-restarts"
    UPSTREAM_DRAINS = "upstream-drains"
    REVOKE = "revoke"


CONTROL_LOSSES = (Kind.KILL, Kind.TERMINATE, Kind.FREEZE, Kind.WIPE, Kind.CUT)
LINK_FAULTS = (Kind.SILENCE, Kind.RESET, Kind.DELAY)
ENTRY_FAULTS = (Kind.KILL, Kind.TERMINATE, Kind.FREEZE, Kind.CUT, Kind.RELOAD_SETTINGS)
UPSTREAM_FAULTS = tuple(kind for kind in Kind if kind.value.startswith("upstream"))


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """One fault: its start (seconds of the run), kind, target and duration."""

    at_s: float
    kind: Kind
    target: str
    for_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Evacuation:
    """The order to evacuate a zone: its time (seconds of the run) and duration."""

    at_s: float
    zone: str
    for_s: float


def draw(seed: int) -> list[Fault]:
    """Return the faults of a run in order of time.

    No more control hosts are lost at once than the settings of the run tolerate, except
    when all control processes are killed together, which keep their disks.
    """
    source = random.Random(seed)
    faults: list[Fault] = []
    for _ in range(source.randint(*FAULT_COUNT)):
        first = _draw_fault(source)
        _add_if_allowed(faults, first)
        if source.random() < REPEAT_SHARE:
            later_s = end_s(first) + source.uniform(0.1, 1.5)
            _add_if_allowed(faults, dataclasses.replace(first, at_s=later_s))
    if source.random() < KILL_ALL_SHARE:
        at_s = source.uniform(1.0, LAST_FAULT_S)
        _add_if_allowed(
            faults, Fault(at_s, Kind.KILL_ALL_CONTROLS, "", source.uniform(0.1, 0.9))
        )
    if source.random() < REVOKE_SHARE:
        _add_if_allowed(
            faults, Fault(source.uniform(1.0, 8.0), Kind.REVOKE, "key-2", 0.0)
        )
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_limit(seed: int) -> tuple[str, float] | None:
    """Return the upstream that names a rate limit and the limit, if there is one.

    It does not depend on the faults, so that these are the same with and without it.
    """
    source = random.Random(f"limit {seed}")
    if source.random() >= LIMIT_SHARE:
        return None
    return source.choice(UPSTREAMS), source.uniform(*LIMIT_PER_S)


def draw_evacuations(seed: int) -> list[Evacuation]:
    """Return the evacuations of a run, at most one of each zone.

    A late order about a zone can so not end a later evacuation of it. They do not
    depend on the faults, so that these are the same with and without them.
    """
    source = random.Random(f"evacuations {seed}")
    return [
        Evacuation(
            source.uniform(1.0, LAST_FAULT_S), zone, source.uniform(*EVACUATION_S)
        )
        for zone in standin_fleet.ZONES
        if source.random() < EVACUATION_SHARE
    ]


def lost_controls(faults: list[Fault], at_s: float) -> set[str]:
    """Return the control hosts that count as lost at ``at_s``."""
    return {
        fault.target
        for fault in faults
        if fault.target in CONTROLS
        and fault.kind in CONTROL_LOSSES
        and fault.at_s <= at_s <= end_s(fault) + RECOVERY_S
    }


def end_s(fault: Fault) -> float:
    """Return the latest time at which a fault still affects its target."""
    effect_s = {
        Kind.TERMINATE: standin_fleet.GRACE_S,
        Kind.UPSTREAM_DRAINS: standin_fleet.DRAIN_S,
    }
    return fault.at_s + (effect_s.get(fault.kind, 0.0) + fault.for_s)


def _draw_fault(source: random.Random) -> Fault:
    at_s = source.uniform(0.5, LAST_FAULT_S)
    for_s = source.uniform(*DURATION_S)
    share = source.random()
    if share < CONTROL_SHARE:
        kind = source.choice(CONTROL_LOSSES)
        return Fault(at_s, kind, source.choice(CONTROLS), for_s)
    if share < CONTROL_SHARE + LINK_SHARE:
        kind = source.choice(LINK_FAULTS)
        return Fault(at_s, kind, source.choice(CONTROLS + ENTRIES), for_s)
    if share < CONTROL_SHARE + LINK_SHARE + ENTRY_SHARE:
        kind = source.choice(ENTRY_FAULTS)
        return Fault(at_s, kind, source.choice(ENTRIES), for_s)
    kind = source.choice(UPSTREAM_FAULTS)
    return Fault(at_s, kind, source.choice(UPSTREAMS), for_s)


def _add_if_allowed(faults: list[Fault], fault: Fault) -> None:
    """Add a fault unless it overlaps one on its target or exceeds tolerated losses."""
    if fault.at_s > LAST_FAULT_S:
        return
    for other in faults:
        if other.target == fault.target and _overlap(fault, other):
            return
    changed = [*faults, fault]
    times = [planned.at_s for planned in changed]
    if any(len(lost_controls(changed, at_s)) > TOLERATED_LOSSES for at_s in times):
        return
    faults.append(fault)


def _overlap(first: Fault, second: Fault) -> bool:
    return first.at_s < end_s(second) and second.at_s < end_s(first)
