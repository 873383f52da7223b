"""One HTTP call of the soak; a fleet under faults often gives no answer."""

import logging

import aiohttp

logger = logging.getLogger(__name__)

STATUS_OK = 200


async def ask(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    within_s: float,
    **options,
) -> bytes | None:
    """Return the body of a 200; None for any other answer, or none in time."""
    timeout = aiohttp.ClientTimeout(total=within_s)
    try:
        async with session.request(method, url, timeout=timeout, **options) as answer:
            body = await answer.read()
    except (OSError, aiohttp.ClientError) as error:
        logger.debug("no answer to %s %s: %r", method, url, error)
        return None
    return body if answer.status == STATUS_OK else None
