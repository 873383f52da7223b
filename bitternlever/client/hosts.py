"""The host list, cached for its maximum age and fetched from any host that answers."""

import aiohttp
import msgspec

from bitternlever.client import tables as client_tables
from bitternlever.transport import whole_answers

FETCH_TIMEOUT_S = 2.0
REFRESH_RETRY_S = 1.0
MAXIMUM_LIST_BYTES = 1_000_000
"""Ten times that of 400 hosts."""


async def next_address(client: client_tables.Client) -> str:
    """Return the preferred address, or after a failure the next one of the list."""
    if client.clock() >= client.hosts_expire_s:
        await _refresh(client)
    addresses = client.hosts or client.settings.addresses
    return addresses[client.next_host % len(addresses)]


def use_next(client: client_tables.Client) -> None:
    """Use the next host, after one has failed or refused."""
    client.next_host += 1


def discard_list(client: client_tables.Client) -> None:
    """Discard the list, since one of its hosts takes no new work any more."""
    client.hosts_expire_s = 0.0
    client.next_host = 0


async def _refresh(client: client_tables.Client) -> None:
    """Ask the known hosts one after the other; keep the old list if none answers."""
    candidates = [*client.hosts, *client.settings.addresses]
    for address in dict.fromkeys(candidates):
        fetched = await _fetch(client, address)
        if fetched is not None and fetched.hosts:
            client.hosts = [host.address for host in fetched.hosts]
            client.hosts_expire_s = client.clock() + fetched.max_age_s
            client.next_host = 0
            return
    client.hosts_expire_s = client.clock() + REFRESH_RETRY_S


async def _fetch(
    client: client_tables.Client,
    address: str,
) -> client_tables.HostList | None:
    zone = client.settings.zone
    timeout = aiohttp.ClientTimeout(
        total=FETCH_TIMEOUT_S,
        connect=client_tables.CONNECT_TIMEOUT_S,
    )
    try:
        async with client.session.get(
            f"{address}/v1/hosts",
            params={} if zone is None else {"zone": zone},
            timeout=timeout,
        ) as response:
            if response.status != 200:
                return None
            data = await whole_answers.read(response, MAXIMUM_LIST_BYTES)
        return msgspec.json.decode(data, type=client_tables.HostList)
    except (TimeoutError, aiohttp.ClientError, OSError, msgspec.MsgspecError):
        return None
