"""Read the whole answer of a host or a control process, up to a bound."""

import aiohttp


class AnswerTooLongError(aiohttp.ClientError):
    """An answer has more bytes than its reader keeps."""


async def read(response: aiohttp.ClientResponse, maximum_bytes: int) -> bytes:
    """Return the body of an answer; raise AnswerTooLongError above the bound."""
    body = bytearray()
    async for piece in response.content.iter_any():
        body += piece
        if len(body) > maximum_bytes:
            response.close()
            raise AnswerTooLongError(f"an answer above {maximum_bytes} bytes")
    return bytes(body)
