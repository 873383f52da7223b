"""Decode and encode the headers of requests and answers."""

import math

from bitternlever.gateway import dialect

MILLISECONDS_PER_SECOND = 1_000
PREFIX = b"x-bitternlever-"
REQUEST_ID = b"x-bitternlever-request-id"
DEADLINE = b"x-bitternlever-deadline-ms"
EXPECT_INSTANCE = b"x-bitternlever-expect-instance"
TENANT = b"x-bitternlever-tenant"
PROMPT_PREFIX = b"x-bitternlever-prompt-prefix"
TOKEN_COUNT = b"x-bitternlever-token-count"
PRIORITY = b"x-bitternlever-request-priority"
PIECES = b"x-bitternlever-pieces"
PIECE_KEY = b"x-bitternlever-piece-key"
INPUTS = b"x-bitternlever-inputs"
SIGNATURE = b"x-bitternlever-response-seal"
NOT_RUN = b"x-bitternlever-not-run"
INSTANCE = b"x-bitternlever-instance-id"
LEAVING = b"server-leaving"
NOT_LEAVING = (b"", b"0")
RATE_LIMIT = b"server-limit"
BRITTLE = b"server-brittle"
COLD = b"x-bitternlever-cold-ms"
MAXIMUM_SHOWN_BYTES = 32
MAXIMUM_DIGITS = 18
"""Numbers with more digits do not fit into 64 bits."""

LAST_EVENT = b"last-event-id"
RESUMES = b"resumes"
HANDED_OVER = b"x-bitternlever-handed-over"
AUTHORIZATION = b"authorization"
MISDIRECTED_STATUS = 421
INPUTS_LOST_STATUS = 409
LEAST_URGENT_PRIORITY = 9

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
NOT_FORWARDED = frozenset(
    {
        DEADLINE,
        EXPECT_INSTANCE,
        HANDED_OVER,
        TENANT,
        PRIORITY,
        INPUTS,
        AUTHORIZATION,
        b"content-length",
        b"x-bitternlever-hold",
        b"x-bitternlever-pin-ms",
        b"x-bitternlever-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)


def read_request(headers: dialect.RawHeaders) -> dialect.RequestHead:
    """Decode the headers of a caller's request; malformed values count as absent."""
    values = {name.lower(): value.strip() for name, value in headers}
    tokens = _numbers(values.get(TOKEN_COUNT, b""))
    deadline = _numbers(values.get(DEADLINE, b""))
    return dialect.RequestHead(
        request=_text(values.get(REQUEST_ID, b"")),
        deadline_s=deadline[0] / MILLISECONDS_PER_SECOND if deadline else None,
        api_key=_api_key(values.get(AUTHORIZATION)),
        prompt=_prompt(values.get(PROMPT_PREFIX, b"")),
        prompt_tokens=tokens[0] if tokens else 0,
        output_tokens=tokens[1] if len(tokens) > 1 else 0,
        pieces=_numbers(values.get(PIECES, b"")),
        piece_key=_text(values.get(PIECE_KEY, b"")),
        last_event=_text(values[LAST_EVENT]) if LAST_EVENT in values else None,
        resumes=_text(values.get(RESUMES, b"")),
        handed_over=HANDED_OVER in values,
    )


def forwarded_headers(
    headers: dialect.RawHeaders,
    forwarded: dialect.ForwardedFields,
) -> list[tuple[bytes, bytes]]:
    """Return a request's end-to-end headers and those that the gateway adds."""
    dropped = HOP_BY_HOP | NOT_FORWARDED | _connection_options(headers)
    if forwarded.resume_after is not None:
        dropped = dropped | {LAST_EVENT}
    sent = [(name, value) for name, value in headers if name.lower() not in dropped]
    if forwarded.body_bytes is not None:
        sent.append((b"Content-Length", b"%d" % forwarded.body_bytes))
    left_ms = max(1, int(forwarded.deadline_s * MILLISECONDS_PER_SECOND))
    sent.append((b"X-Bitternlever-Deadline-Ms", b"%d" % left_ms))
    sent.append((b"X-Bitternlever-Expect-Instance", forwarded.upstream.encode()))
    if forwarded.workspace is not None:
        sent.append((b"X-Bitternlever-Tenant", forwarded.workspace.encode()))
    if forwarded.priority is not None:
        priority = min(LEAST_URGENT_PRIORITY, max(0, forwarded.priority))
        sent.append((b"X-Bitternlever-Request-Priority", b"%d" % priority))
    if forwarded.inputs:
        sent.append((b"X-Bitternlever-Inputs", ",".join(forwarded.inputs).encode()))
    if forwarded.resume_after is not None:
        sent.append((b"Last-Event-Id", forwarded.resume_after.encode("latin-1")))
    return sent


def handover_headers(
    headers: dialect.RawHeaders, left_s: float, body_bytes: int | None
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request that another host is to serve."""
    dropped = HOP_BY_HOP | _connection_options(headers)
    dropped |= {DEADLINE, HANDED_OVER, b"content-length"}
    sent = [(name, value) for name, value in headers if name.lower() not in dropped]
    if body_bytes is not None:
        sent.append((b"Content-Length", b"%d" % body_bytes))
    left_ms = max(1, int(left_s * MILLISECONDS_PER_SECOND))
    sent.append((b"X-Bitternlever-Deadline-Ms", b"%d" % left_ms))
    sent.append((b"X-Bitternlever-Handed-Over", b"1"))
    return sent


def read_answer(status: int, headers: dialect.RawHeaders) -> dialect.AnswerHead:
    """Decode the headers of an upstream's answer."""
    values = {name.lower(): value for name, value in headers}
    request = values.get(REQUEST_ID)
    instance = values.get(INSTANCE)
    leaving = any(
        value.strip() not in NOT_LEAVING
        for name, value in headers
        if name.lower() == LEAVING
    )
    rate_limit, rate_limit_fault = _lowest(headers, RATE_LIMIT)
    rejection_limit, rejection_fault = _lowest(headers, BRITTLE)
    cold_ms, _ = _lowest(headers, COLD)
    return dialect.AnswerHead(
        request=None if request is None else _text(request),
        signed=SIGNATURE in values,
        not_run=NOT_RUN in values,
        wrong_instance=status == MISDIRECTED_STATUS,
        inputs_lost=status == INPUTS_LOST_STATUS and NOT_RUN in values,
        leaving=leaving,
        instance=None if instance is None else _text(instance),
        rate_limit=rate_limit,
        rejection_limit=rejection_limit,
        rate_limit_fault=rate_limit_fault or rejection_fault,
        cold_s=None if cold_ms is None else cold_ms / MILLISECONDS_PER_SECOND,
    )


def answer_headers(headers: dialect.RawHeaders) -> list[tuple[str, str]]:
    """Return the end-to-end headers of an answer."""
    dropped = HOP_BY_HOP | {b"content-length"} | _connection_options(headers)
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
        if name.lower() not in dropped
    ]


def _connection_options(headers: dialect.RawHeaders) -> frozenset[bytes]:
    options = set()
    for name, value in headers:
        if name.lower() == b"connection":
            options.update(option.strip().lower() for option in value.split(b","))
    return frozenset(option for option in options if not option.startswith(PREFIX))


def _api_key(value: bytes | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = value.partition(b" ")
    if scheme.lower() != b"bearer":
        return None
    return _text(key.strip())


def _prompt(value: bytes) -> tuple[dialect.PromptPart, ...]:
    parts = []
    for entry in value.split(b","):
        part, _, tokens = entry.strip().partition(b":")
        if part and _is_number(tokens):
            parts.append(dialect.PromptPart(_text(part), int(tokens)))
    return tuple(parts)


def _lowest(headers: dialect.RawHeaders, header: bytes) -> tuple[float | None, str]:
    """Return the lowest limit that a header names, and a value that is no limit."""
    limits = []
    for name, value in headers:
        if name.lower() != header:
            continue
        try:
            limit = float(value)
        except ValueError:
            limit = math.nan
        if not 0 <= limit < math.inf:
            return None, _text(value[:MAXIMUM_SHOWN_BYTES]) or "empty"
        limits.append(limit)
    return min(limits, default=None), ""


def _numbers(value: bytes) -> tuple[int, ...]:
    """Decode a comma-separated list of whole numbers; empty if it is malformed."""
    parts = [part.strip() for part in value.split(b",")] if value else []
    if not all(_is_number(part) for part in parts):
        return ()
    return tuple(int(part) for part in parts)


def _is_number(value: bytes) -> bool:
    return value.isdigit() and len(value) <= MAXIMUM_DIGITS


def _text(value: bytes) -> str:
    return value.decode("latin-1")
