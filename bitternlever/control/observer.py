"""Logging of changes in a control process: leadership, votes and counters."""

import dataclasses
import logging

from bitternlever.consensus import tables as consensus_tables
from bitternlever.control import tables as control_tables
from bitternlever.telemetry import counters, events

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class GroupObserver:
    """The state of one group that was last logged."""

    leads: bool = False
    votes: bool | None = None
    logged_counts: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Observer:
    """The state that was last logged, for each group and for the process."""

    groups: dict[int, GroupObserver] = dataclasses.field(default_factory=dict)
    logged_counts: dict[str, int] = dataclasses.field(default_factory=dict)


def observe(observer: Observer, tables: control_tables.ControlTables) -> None:
    """Log the changes since the previous call."""
    for number, group in tables.groups.items():
        group_observer = observer.groups.setdefault(number, GroupObserver())
        _observe_leadership(group_observer, number, group.replica)
        _observe_vote(group_observer, number, group.replica)
        counters.log_raised(group_observer.logged_counts, group.replica.counters)
    counters.log_raised(observer.logged_counts, tables.counters)


def _observe_leadership(
    group_observer: GroupObserver,
    number: int,
    replica: consensus_tables.Replica,
) -> None:
    leads = replica.role is consensus_tables.Role.LEADER
    if leads == group_observer.leads:
        return
    group_observer.leads = leads
    event = events.LEADERSHIP_GAINED if leads else events.LEADERSHIP_LOST
    event.log(logger, group=number, term=replica.term)


def _observe_vote(
    group_observer: GroupObserver,
    number: int,
    replica: consensus_tables.Replica,
) -> None:
    if replica.membership is None:
        return
    votes = consensus_tables.is_voter(replica)
    if votes == group_observer.votes:
        return
    group_observer.votes = votes
    event = events.REPLICA_VOTES if votes else events.REPLICA_DOES_NOT_VOTE
    event.log(logger, group=number, disk=replica.settings.identity.disk)
