"""Deterministic outputs that reveal duplicate or crossed answers.

An output depends only on the model, the request id and the input. It contains the short
hash of the request id; a text contains it in every word.
"""

import hashlib
from typing import Any

import msgspec

WORDS = [
    "transfer",
    "registrant",
    "dispute",
    "reply",
    "notice",
    "panel",
    "chamber",
    "potato",
    "season",
    "audit",
    "claim",
    "insurer",
    "slip",
    "gate",
    "reading",
    "zone",
]
DEFAULT_OUTPUT_TOKENS = 24
VECTOR_LENGTH = 8
DOCUMENTS = 4
RERANKED = 2


def short_hash(request_id: str) -> str:
    """Return the first eight hexadecimal digits of the SHA-256 of a request id."""
    return hashlib.sha256(request_id.encode()).hexdigest()[:8]


def generated_text(model: str | None, request_id: str, inputs: Any, tokens: int) -> str:
    """Return the complete text that a model generates, with one word for each token."""
    return "".join(generated_words(model, request_id, inputs, tokens))


def generated_words(
    model: str | None,
    request_id: str,
    inputs: Any,
    tokens: int,
) -> list[str]:
    """Return the words of a generated text; all but the first begin with a space."""
    seed = _seed(model or "", request_id, msgspec.json.encode(inputs, order="sorted"))
    request_hash = short_hash(request_id)
    words = []
    for number in range(tokens or DEFAULT_OUTPUT_TOKENS):
        index = (seed >> (number % 48)) % len(WORDS)
        space = " " if number else ""
        words.append(f"{space}{WORDS[index]}-{request_hash}-{number}")
    return words


def structured_output(
    task: str, request_id: str, stage: str, inputs: Any, previous: Any
) -> Any:
    """Return the JSON output of a stage that does not generate text."""
    body = msgspec.json.encode([inputs, previous], order="sorted")
    seed = _seed(stage, request_id, body)
    output: dict[str, Any] = {"task": task, "request": short_hash(request_id)}
    if task == "encode":
        output["vector"] = [seed >> (4 * shift) & 255 for shift in range(VECTOR_LENGTH)]
    elif task == "retrieve":
        output["documents"] = [_document(seed, number) for number in range(DOCUMENTS)]
    elif task == "rerank":
        documents = previous.get("documents", []) if isinstance(previous, dict) else []
        output["documents"] = documents[::-1][:RERANKED]
    else:
        output["done"] = True
        output["receipt"] = f"{seed & 0xFFFFFFFF:08x}"
    return output


def digest(output: Any) -> str:
    """Return the digest of a complete output: SHA-256 of its JSON bytes."""
    return hashlib.sha256(msgspec.json.encode(output)).hexdigest()


def text_digest(text: str) -> str:
    """Return the digest of a streamed output: SHA-256 of its UTF-8 bytes."""
    return hashlib.sha256(text.encode()).hexdigest()


def _document(seed: int, number: int) -> dict[str, Any]:
    word = WORDS[(seed + number) % len(WORDS)]
    return {"id": f"doc-{(seed >> number) & 4095}", "text": f"{word} {number}"}


def _seed(*parts: str | bytes) -> int:
    hasher = hashlib.sha256()
    for part in parts:
        hasher.update(part if isinstance(part, bytes) else part.encode())
        hasher.update(b"\0")
    return int.from_bytes(hasher.digest()[:8], "big")
