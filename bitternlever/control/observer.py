"""Log what changes on a control process: offices, membership, counters."""

import dataclasses
import logging

from bitternlever.consensus import tables as consensus_tables
from bitternlever.control import tables as control_tables
from bitternlever.telemetry import counters, events

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class GroupObserver:
    """What was logged last about one group."""

    leads: bool = False
    votes: bool | None = None
    counted: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Observer:
    """What was logged last, for each group and for the process."""

    groups: dict[int, GroupObserver] = dataclasses.field(default_factory=dict)
    counted: dict[str, int] = dataclasses.field(default_factory=dict)


def observe(observer: Observer, tables: control_tables.ControlTables) -> None:
    """Log what changed since the last look."""
    for number, group in tables.groups.items():
        seen = observer.groups.setdefault(number, GroupObserver())
        _observe_office(seen, number, group.replica)
        _observe_vote(seen, number, group.replica)
        counters.log_raised(seen.counted, group.replica.counters)
    counters.log_raised(observer.counted, tables.counters)


def _observe_office(
    seen: GroupObserver,
    number: int,
    replica: consensus_tables.Replica,
) -> None:
    leads = replica.role is consensus_tables.Role.LEADER
    if leads == seen.leads:
        return
    seen.leads = leads
    event = events.OFFICE_TAKEN if leads else events.OFFICE_LOST
    event.log(logger, group=number, term=replica.term)


def _observe_vote(
    seen: GroupObserver,
    number: int,
    replica: consensus_tables.Replica,
) -> None:
    if replica.membership is None:
        return
    votes = consensus_tables.is_voter(replica)
    if votes == seen.votes:
        return
    seen.votes = votes
    event = events.REPLICA_VOTES if votes else events.REPLICA_DOES_NOT_VOTE
    event.log(logger, group=number, disk=replica.settings.identity.disk)
