"""The tokens of a prompt that an engine has to read before it answers.

Requests share the first parts of their prompts. The engine that requests with the same
parts are usually sent to has probably read those before. All functions are pure.
"""

from collections.abc import Sequence

from bitternlever.gateway import dialect


def prompt_tokens(head: dialect.RequestHead) -> int:
    """Return the tokens of a whole prompt."""
    return max(head.prompt_tokens, _sum(head.prompt))


def own_tokens(head: dialect.RequestHead) -> int:
    """Return the tokens of a prompt that no other request shares."""
    return prompt_tokens(head) - _sum(head.prompt[:-1])


def memory_tokens(head: dialect.RequestHead) -> int:
    """Return the tokens that a request may occupy in an engine's memory."""
    return prompt_tokens(head) + head.output_tokens


def _sum(parts: Sequence[dialect.PromptPart]) -> int:
    return sum(part.tokens for part in parts)
