"""Check the addresses that the platform names."""

import ipaddress

MAXIMUM_PORT = 65_535


def is_address(text: str) -> bool:
    """Return whether a text is IP:PORT, which can be dialled."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAXIMUM_PORT))):
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return 0 < int(port) <= MAXIMUM_PORT
