"""What happens in a run, drawn from its seed; nothing here touches a process."""

import dataclasses
import enum
import random

from standins import fleet as standin_fleet

CONTROLS = tuple(f"control-{letter}" for letter in "abcde")
ENTRIES = tuple(f"entry-{letter}" for letter in "abc")
UPSTREAMS = ("upstream-1", "upstream-2", "upstream-3")

TOLERATED_LOSSES = 2
"""Control hosts that may be lost at once, as the settings of the run say."""

CATCH_UP_S = 6.0
"""A control host counts as lost for so long after it is back, as the users count."""

FAULTS_END_S = 14.0
"""Faults begin within this time; the run goes on until all have recovered."""

HERD_SHARE = 0.2
"""Runs in which all control processes are killed together."""

SERIES_SHARE = 0.3
"""Faults that come again soon, on the same target."""

REVOKE_SHARE = 0.5
"""Runs in which a key is revoked."""

FAULTS = (8, 18)
"""Drawn for a run: enough that most runs have some at upstreams, links and hosts."""

LASTING_S = (0.3, 3.5)
"""From what nobody notices to longer than a lease and every silence counted."""

CONTROL_SHARE = 0.35
LINK_SHARE = 0.2
ENTRY_SHARE = 0.2
"""Parts of the faults; what is left falls to upstreams."""


class Kind(enum.Enum):
    """What is done to a process, to its link or to an upstream."""

    KILL = "kill"
    TERMINATE = "terminate"
    FREEZE = "freeze"
    WIPE = "wipe"
    HERD = "herd"
    SILENCE = "silence"
    RESET = "reset"
    DELAY = "delay"
    CUT = "cut"
    REHASH = "rehash"
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
ENTRY_FAULTS = (Kind.KILL, Kind.TERMINATE, Kind.FREEZE, Kind.CUT, Kind.REHASH)
UPSTREAM_FAULTS = tuple(kind for kind in Kind if kind.value.startswith("upstream"))


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """One fault: when it begins (seconds of the run), where, and how long it lasts."""

    at_s: float
    kind: Kind
    target: str
    for_s: float


def draw(seed: int) -> list[Fault]:
    """Return the faults of a run in order of time.

    No more control hosts are lost at once than the settings of the run tolerate, but
    for a herd, whose disks stay.
    """
    source = random.Random(seed)
    faults: list[Fault] = []
    for _ in range(source.randint(*FAULTS)):
        first = _fault(source)
        _add(faults, first)
        if source.random() < SERIES_SHARE:
            later_s = end_s(first) + source.uniform(0.1, 1.5)
            _add(faults, dataclasses.replace(first, at_s=later_s))
    if source.random() < HERD_SHARE:
        at_s = source.uniform(1.0, FAULTS_END_S)
        _add(faults, Fault(at_s, Kind.HERD, "", source.uniform(0.1, 0.9)))
    if source.random() < REVOKE_SHARE:
        _add(faults, Fault(source.uniform(1.0, 8.0), Kind.REVOKE, "key-2", 0.0))
    return sorted(faults, key=lambda fault: fault.at_s)


def lost_controls(faults: list[Fault], at_s: float) -> set[str]:
    """Return the control hosts that count as lost at a time."""
    return {
        fault.target
        for fault in faults
        if fault.target in CONTROLS
        and fault.kind in CONTROL_LOSSES
        and fault.at_s <= at_s <= end_s(fault) + CATCH_UP_S
    }


def end_s(fault: Fault) -> float:
    """Return until when a fault takes up its target at most."""
    takes_s = {
        Kind.TERMINATE: standin_fleet.GRACE_S,
        Kind.UPSTREAM_DRAINS: standin_fleet.DRAIN_S,
    }
    return fault.at_s + (takes_s.get(fault.kind, 0.0) + fault.for_s)


def _fault(source: random.Random) -> Fault:
    at_s = source.uniform(0.5, FAULTS_END_S)
    for_s = source.uniform(*LASTING_S)
    place = source.random()
    if place < CONTROL_SHARE:
        kind = source.choice(CONTROL_LOSSES)
        return Fault(at_s, kind, source.choice(CONTROLS), for_s)
    if place < CONTROL_SHARE + LINK_SHARE:
        kind = source.choice(LINK_FAULTS)
        return Fault(at_s, kind, source.choice(CONTROLS + ENTRIES), for_s)
    if place < CONTROL_SHARE + LINK_SHARE + ENTRY_SHARE:
        kind = source.choice(ENTRY_FAULTS)
        return Fault(at_s, kind, source.choice(ENTRIES), for_s)
    kind = source.choice(UPSTREAM_FAULTS)
    return Fault(at_s, kind, source.choice(UPSTREAMS), for_s)


def _add(faults: list[Fault], fault: Fault) -> None:
    """Add a fault unless it overlaps one on its target or loses too many disks."""
    if fault.at_s > FAULTS_END_S:
        return
    for other in faults:
        if other.target == fault.target and _overlap(fault, other):
            return
    changed = [*faults, fault]
    times = [each.at_s for each in changed]
    if any(len(lost_controls(changed, at_s)) > TOLERATED_LOSSES for at_s in times):
        return
    faults.append(fault)


def _overlap(first: Fault, second: Fault) -> bool:
    return first.at_s < end_s(second) and second.at_s < end_s(first)
