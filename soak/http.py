"""HTTP calls of the soak; a fleet under faults often does not answer."""

import logging

import aiohttp

logger = logging.getLogger(__name__)

STATUS_OK = 200
NO_ANSWER = 0


async def fetch(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_s: float,
    **options,
) -> bytes | None:
    """Return the body of a 200, or None for any other status, an error or a timeout."""
    status, body = await send(session, method, url, timeout_s, **options)
    return body if status == STATUS_OK else None


async def send(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_s: float,
    **options,
) -> tuple[int, bytes]:
    """Return status and body of an answer, ``NO_ANSWER`` after an error or timeout."""
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.request(method, url, timeout=timeout, **options) as answer:
            return answer.status, await answer.read()
    except (OSError, aiohttp.ClientError) as error:
        logger.debug("no answer to %s %s: %r", method, url, error)
        return NO_ANSWER, b""
