"""Numbered log events, documented in docs/EVENTS.md.

Numbers: 1xx programs, 2xx links, 3xx HTTP calls of callers, 4xx upstreams, 5xx leases
and manifests, 6xx requests, 7xx the replicated log and the disk, 8xx orders.
"""

import dataclasses
import logging
from typing import Any


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """A kind of log event.

    ``routine`` events belong to successful requests; they are sampled under load.
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
    """Add an event to the catalogue.

    Raise ValueError if its number is already registered.
    """
    if number in CATALOGUE:
        raise ValueError(f"event number {number} is already registered")
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
DRAIN_REQUESTED = register(105, "drain-requested", logging.INFO, "A drain started.")
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
    "A peer acknowledges no frames: redialling it.",
)
MESSAGE_DROPPED = register(
    204,
    "message-dropped",
    logging.ERROR,
    "A message to a peer cannot be encoded: it is dropped.",
)
CALL_REFUSED = register(301, "call-refused", logging.INFO, "A call was refused.")
CLIENT_CLOSED = register(
    302,
    "client-closed",
    logging.INFO,
    "A client exceeded a bound: its connection is closed.",
)
ACCEPT_FAILED = register(
    303,
    "accept-failed",
    logging.ERROR,
    "A listening socket accepts no connection for a second.",
)
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
    "A connection to an upstream timed out: closing its other pooled connections.",
)
UPSTREAM_LEAVING = register(
    407,
    "upstream-leaving",
    logging.INFO,
    "An upstream's answer says that it is leaving: it gets no new work.",
)
UPSTREAM_PAUSED = register(
    408,
    "upstream-paused",
    logging.INFO,
    "An upstream refused work and asked for a pause.",
)
RETRY_AFTER_FAULTY = register(
    409,
    "retry-after-faulty",
    logging.WARNING,
    "An upstream sent a Retry-After that cannot be read or is too long.",
)
USAGE_FAULTY = register(
    418,
    "usage-faulty",
    logging.WARNING,
    "The usage that an upstream reports cannot be passed on: it counts as none.",
)
BOUND_EXCEEDED = register(
    410,
    "bound-exceeded",
    logging.WARNING,
    "An upstream sent more than a bound allows: its connection was closed.",
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
    "This host refuses new work: its lease or its manifest is not confirmed.",
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
    "A counter increased.",
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
LEADERSHIP_GAINED = register(
    703,
    "office-taken",
    logging.INFO,
    "This replica became the leader of its group.",
)
LEADERSHIP_LOST = register(
    704,
    "office-lost",
    logging.INFO,
    "This replica is no longer the leader of its group.",
)
REPLICA_VOTES = register(
    705,
    "replica-votes",
    logging.INFO,
    "This replica is a voter in its group.",
)
REPLICA_DOES_NOT_VOTE = register(
    706,
    "replica-does-not-vote",
    logging.WARNING,
    "This replica is not a voter in its group.",
)
CATALOG_COMMITTED = register(
    110,
    "catalog-committed",
    logging.INFO,
    "Control committed a newer catalog.",
)
EVACUATION_COMMITTED = register(
    118,
    "evacuation-committed",
    logging.INFO,
    "Control committed an order to evacuate a zone, or to take it back.",
)
EVACUATION_IN_FORCE = register(
    119,
    "evacuation-in-force",
    logging.INFO,
    "The upstreams of these zones, and of no others, get no new work from this host.",
)
UPSTREAM_COLD = register(
    421,
    "upstream-cold",
    logging.INFO,
    "An upstream's answer said that it is cold: it gets few requests for some seconds.",
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
    "A committed catalog cannot be decoded on this host.",
)
CATALOG_CHANGE_UNUSABLE = register(
    122,
    "catalog-change-unusable",
    logging.INFO,
    "A change of the catalog does not fit the one received last: asking for it.",
)
CATALOG_SPREAD = register(
    121,
    "catalog-spread",
    logging.INFO,
    "All entry hosts that are heard report a catalog, or a newer one follows it.",
)
HOST_STRAINED = register(
    120,
    "host-strained",
    logging.WARNING,
    "This host's event loop stood still, or its messages to control are late.",
)
HOST_READY = register(113, "host-ready", logging.INFO, "This host accepts callers.")
HOST_SUSPECTED = register(
    203,
    "host-suspected",
    logging.WARNING,
    "A host did not accept stage work in time: another host batches its services.",
)
UPSTREAM_CHANGED = register(
    403,
    "upstream-changed",
    logging.INFO,
    "The state or the address of an upstream changed.",
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
    "A stage upstream could not be told to free results that are no longer needed.",
)
BATCHING_LOAD = register(
    420,
    "batching-load",
    logging.INFO,
    "This host batches the calls of a stage service.",
)
PART_REFUSED = register(
    411,
    "part-refused",
    logging.WARNING,
    "Requests with a part in their prompt are refused: it crashes upstreams.",
)
PART_ALLOWED = register(
    412,
    "part-allowed",
    logging.INFO,
    "Requests with a part in their prompt are no longer refused.",
)
QUARANTINE_FILE_FAILED = register(
    413,
    "quarantine-file-failed",
    logging.WARNING,
    "The file with the quarantined prompt parts cannot be read or written.",
)
UPSTREAM_LIMITED = register(
    414,
    "upstream-limited",
    logging.INFO,
    "The rate limit that an upstream names in its answers has changed.",
)
RATE_LIMIT_FAULTY = register(
    415,
    "rate-limit-faulty",
    logging.WARNING,
    "An upstream named a rate limit that is no number.",
)
UPSTREAMS_UNREACHABLE = register(
    416,
    "upstreams-unreachable",
    logging.WARNING,
    "This host is cut off from all upstreams: other hosts serve its callers.",
)
UPSTREAMS_REACHABLE = register(
    417,
    "upstreams-reachable",
    logging.INFO,
    "This host reaches upstreams again.",
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
    "This host answered a request itself instead of relaying an answer.",
)
REQUEST_ANSWERED = register(
    604,
    "request-answered",
    logging.INFO,
    "The answer of an upstream was relayed to the caller.",
    routine=True,
)
REQUEST_CANCELLED = register(
    605,
    "request-cancelled",
    logging.INFO,
    "The caller disconnected before the answer.",
)
ATTEMPT_FAILED = register(
    606,
    "attempt-failed",
    logging.INFO,
    "An upstream gave no answer that can be relayed.",
)
RETRY_REFUSED = register(
    607,
    "retry-refused",
    logging.INFO,
    "A retry was refused: the retry budget of the service is exhausted.",
)
STREAM_CUT_OFF = register(
    608,
    "stream-cut-off",
    logging.WARNING,
    "A stream was cut off after its start.",
)
INPUTS_LOST = register(
    609,
    "inputs-lost",
    logging.INFO,
    "Results of earlier stages were lost: the stages run again.",
)
SETTINGS_READ = register(
    108,
    "settings-read",
    logging.INFO,
    "The settings were reloaded.",
)
SETTINGS_REFUSED = register(
    109,
    "settings-refused",
    logging.ERROR,
    "The changed settings are invalid: the previous ones stay in force.",
)
