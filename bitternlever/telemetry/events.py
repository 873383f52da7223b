"""Numbered log events; docs/EVENTS.md is their catalogue.

Numbers: 1xx programs, 2xx links, 3xx callers' HTTP, 4xx upstreams, 5xx leases and
manifests, 6xx requests, 7xx the replicated log and the disk, 8xx orders.
"""

import dataclasses
import logging
from typing import Any


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One kind of log event: its number, its name, its level and its text.

    ``routine`` events belong to requests that go well; they are sampled under load.
    """

    number: int
    name: str
    level: int
    text: str
    routine: bool = False

    def log(self, logger: logging.Logger, **fields: Any) -> None:
        """Log the event with its fields."""
        if logger.isEnabledFor(self.level):
            logger.log(self.level, self.text, extra={"event": self, "fields": fields})


CATALOGUE: dict[int, Event] = {}


def register(
    number: int,
    name: str,
    level: int,
    text: str,
    *,
    routine: bool = False,
) -> Event:
    """Add an event to the catalogue; a number twice is a broken invariant."""
    if number in CATALOGUE:
        raise ValueError(f"event number {number} stands twice in the catalogue")
    event = Event(number, name, level, text, routine)
    CATALOGUE[number] = event
    return event


PROGRAM_STARTED = register(101, "program-started", logging.INFO, "The program started.")
PROGRAM_ENDED = register(102, "program-ended", logging.INFO, "The program ended.")
INVARIANT_BROKEN = register(
    104,
    "invariant-broken",
    logging.CRITICAL,
    "An invariant is broken: the program stops.",
)
DRAIN_REQUESTED = register(105, "drain-requested", logging.INFO, "A drain began.")
REQUESTS_CUT_OFF = register(
    106,
    "requests-cut-off",
    logging.WARNING,
    "The program ends with requests in flight.",
)
ADDRESS_REFUSED = register(
    107,
    "address-refused",
    logging.ERROR,
    "An address cannot be bound.",
)
FRAME_REFUSED = register(201, "frame-refused", logging.WARNING, "A frame was refused.")
LINK_SILENT = register(
    202,
    "link-silent",
    logging.WARNING,
    "A peer acknowledges nothing: dialling it anew.",
)
CALL_REFUSED = register(301, "call-refused", logging.INFO, "A call was refused.")
UPSTREAM_CALL_FAILED = register(
    401,
    "upstream-call-failed",
    logging.WARNING,
    "A call to an upstream failed.",
)
UPSTREAM_SILENT = register(
    402,
    "upstream-silent",
    logging.WARNING,
    "A connection to an upstream went silent: its siblings are closed.",
)
WORK_ACCEPTED = register(
    501,
    "work-accepted",
    logging.INFO,
    "This host accepts new work.",
)
WORK_REFUSED = register(
    502,
    "work-refused",
    logging.WARNING,
    "This host refuses new work: its lease or its manifest is not proven.",
)
MANIFEST_IN_FORCE = register(
    503,
    "manifest-in-force",
    logging.INFO,
    "A manifest is in force on this host.",
)
COUNTER_RAISED = register(
    601,
    "counter-raised",
    logging.INFO,
    "A counted event of a core occurred.",
)
DISK_FAILED = register(
    701,
    "disk-failed",
    logging.CRITICAL,
    "The disk failed: the replica stops voting.",
)
STORE_REFUSED = register(
    702,
    "store-refused",
    logging.CRITICAL,
    "The data folder cannot be used.",
)
OFFICE_TAKEN = register(703, "office-taken", logging.INFO, "This replica leads.")
OFFICE_LOST = register(704, "office-lost", logging.INFO, "This replica leads no more.")
REPLICA_VOTES = register(705, "replica-votes", logging.INFO, "This replica votes.")
REPLICA_DOES_NOT_VOTE = register(
    706,
    "replica-does-not-vote",
    logging.WARNING,
    "This replica has no vote in its group.",
)
CATALOG_COMMITTED = register(
    110,
    "catalog-committed",
    logging.INFO,
    "Control holds a newer catalog.",
)
CATALOG_IN_FORCE = register(
    111,
    "catalog-in-force",
    logging.INFO,
    "A catalog is in force on this host.",
)
CATALOG_REFUSED = register(
    112,
    "catalog-refused",
    logging.ERROR,
    "A committed catalog cannot be decoded here.",
)
HOST_READY = register(113, "host-ready", logging.INFO, "This host takes callers.")
HOST_SUSPECTED = register(
    203,
    "host-suspected",
    logging.WARNING,
    "A host did not accept stage work in time: another one batches its services.",
)
UPSTREAM_CHANGED = register(
    403,
    "upstream-changed",
    logging.INFO,
    "An upstream came, left or moved.",
)
STAGE_CALL_DONE = register(
    404,
    "stage-call-done",
    logging.INFO,
    "A call to a stage upstream was answered.",
    routine=True,
)
STAGE_CALL_FAILED = register(
    405,
    "stage-call-failed",
    logging.WARNING,
    "A call to a stage upstream failed: its pieces are queued again.",
)
RESULTS_NOT_FREED = register(
    406,
    "results-not-freed",
    logging.INFO,
    "A stage upstream was not told that results are no longer needed.",
)
REQUEST_ADMITTED = register(
    602,
    "request-admitted",
    logging.INFO,
    "A request was matched with a route and admitted.",
    routine=True,
)
REQUEST_REFUSED = register(
    603,
    "request-refused",
    logging.INFO,
    "A request got an answer of this host's own.",
)
REQUEST_ANSWERED = register(
    604,
    "request-answered",
    logging.INFO,
    "An upstream's answer was passed on.",
    routine=True,
)
REQUEST_CANCELLED = register(
    605,
    "request-cancelled",
    logging.INFO,
    "The caller left before the answer.",
)
ATTEMPT_FAILED = register(
    606,
    "attempt-failed",
    logging.INFO,
    "An upstream gave no answer that can be passed on.",
)
RETRY_REFUSED = register(
    607,
    "retry-refused",
    logging.INFO,
    "The retry budget of the service is spent.",
)
STREAM_CUT_OFF = register(
    608,
    "stream-cut-off",
    logging.WARNING,
    "A stream that had begun was cut off.",
)
INPUTS_LOST = register(
    609,
    "inputs-lost",
    logging.INFO,
    "Results of earlier stages are gone: the stages run again.",
)
SETTINGS_READ = register(
    108,
    "settings-read",
    logging.INFO,
    "The settings were read again.",
)
SETTINGS_REFUSED = register(
    109,
    "settings-refused",
    logging.ERROR,
    "Changed settings cannot be used: the former ones stay in force.",
)
