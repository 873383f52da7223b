"""Problem details of the HTTP interface (RFC 9457)."""

import enum

import msgspec


class Ran(enum.Enum):
    """Whether a refused or failed request was run."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Problem(msgspec.Struct, omit_defaults=True):
    """A refusal or failure; ``retry_after_s`` is also sent as ``Retry-After``."""

    type: str
    title: str
    status: int
    detail: str
    ran: Ran
    request_id: str | None = None
    retry_after_s: float | None = None
    hosts: list[str] = []
