"""Headers of requests and answers."""

from bitternlever.gateway import dialect

MILLISECONDS = 1_000
PREFIX = b"x-bitternlever-"
REQUEST_ID = b"x-bitternlever-request-id"
DEADLINE = b"x-bitternlever-deadline-ms"
EXPECT_INSTANCE = b"x-bitternlever-expect-instance"
TENANT = b"x-bitternlever-tenant"
PROMPT = b"x-bitternlever-prompt-prefix"
TOKENS = b"x-bitternlever-token-count"
PRIORITY = b"x-bitternlever-request-priority"
PIECES = b"x-bitternlever-pieces"
PIECE_KEY = b"x-bitternlever-piece-key"
INPUTS = b"x-bitternlever-inputs"
SEAL = b"x-bitternlever-response-seal"
NOT_RUN = b"x-bitternlever-not-run"
LAST_EVENT = b"last-event-id"
AUTHORIZATION = b"authorization"
MISDIRECTED = 421
INPUT_GONE = 409
LEAST_URGENT = 9

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
OURS = frozenset(
    {
        DEADLINE,
        EXPECT_INSTANCE,
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
    """Decode what a caller's headers say; what cannot be read counts as absent."""
    values = {name.lower(): value.strip() for name, value in headers}
    tokens = _numbers(values.get(TOKENS, b""))
    deadline = _numbers(values.get(DEADLINE, b""))
    return dialect.RequestHead(
        request=_text(values.get(REQUEST_ID, b"")),
        deadline_s=deadline[0] / MILLISECONDS if deadline else None,
        api_key=_api_key(values.get(AUTHORIZATION)),
        prompt=_prompt(values.get(PROMPT, b"")),
        prompt_tokens=tokens[0] if tokens else 0,
        output_tokens=tokens[1] if len(tokens) > 1 else 0,
        pieces=_numbers(values.get(PIECES, b"")),
        piece_key=_text(values.get(PIECE_KEY, b"")),
        last_event=_text(values[LAST_EVENT]) if LAST_EVENT in values else None,
    )


def onward_headers(
    headers: dialect.RawHeaders,
    onward: dialect.Onward,
) -> list[tuple[bytes, bytes]]:
    """Return the end-to-end headers of a request with those that the system sets."""
    dropped = HOP_BY_HOP | OURS | _named_by_connection(headers)
    if onward.resume_after is not None:
        dropped = dropped | {LAST_EVENT}
    sent = [(name, value) for name, value in headers if name.lower() not in dropped]
    if onward.body_bytes is not None:
        sent.append((b"Content-Length", b"%d" % onward.body_bytes))
    left_ms = max(1, int(onward.deadline_s * MILLISECONDS))
    sent.append((b"X-Bitternlever-Deadline-Ms", b"%d" % left_ms))
    sent.append((b"X-Bitternlever-Expect-Instance", onward.upstream.encode()))
    if onward.workspace is not None:
        sent.append((b"X-Bitternlever-Tenant", onward.workspace.encode()))
    if onward.priority is not None:
        urgency = min(LEAST_URGENT, max(0, onward.priority))
        sent.append((b"X-Bitternlever-Request-Priority", b"%d" % urgency))
    if onward.inputs:
        sent.append((b"X-Bitternlever-Inputs", ",".join(onward.inputs).encode()))
    if onward.resume_after is not None:
        sent.append((b"Last-Event-Id", onward.resume_after.encode("latin-1")))
    return sent


def read_answer(status: int, headers: dialect.RawHeaders) -> dialect.AnswerHead:
    """Decode what an upstream's headers say."""
    values = {name.lower(): value for name, value in headers}
    request = values.get(REQUEST_ID)
    return dialect.AnswerHead(
        request=None if request is None else _text(request),
        signed=SEAL in values,
        not_run=NOT_RUN in values,
        wrong_instance=status == MISDIRECTED,
        inputs_lost=status == INPUT_GONE and NOT_RUN in values,
    )


def answer_headers(headers: dialect.RawHeaders) -> list[tuple[str, str]]:
    """Return the end-to-end headers of an answer."""
    dropped = HOP_BY_HOP | {b"content-length"} | _named_by_connection(headers)
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
        if name.lower() not in dropped
    ]


def _named_by_connection(headers: dialect.RawHeaders) -> frozenset[bytes]:
    named = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(each.strip().lower() for each in value.split(b","))
    return frozenset(each for each in named if not each.startswith(PREFIX))


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
        if part and tokens.isdigit():
            parts.append(dialect.PromptPart(_text(part), int(tokens)))
    return tuple(parts)


def _numbers(value: bytes) -> tuple[int, ...]:
    """Decode a list of whole numbers; empty where it is none."""
    parts = [part.strip() for part in value.split(b",")] if value else []
    if not all(part.isdigit() for part in parts):
        return ()
    return tuple(int(part) for part in parts)


def _text(value: bytes) -> str:
    return value.decode("latin-1")
