"""The programs of a fleet on the platform: ``entry`` and ``control``.

Exit codes: 0 after a clean end, 2 for invalid settings, 70 for a broken invariant,
74 for a data folder that cannot be used, 75 for an address that cannot be bound.
"""

import asyncio
import functools
import logging
import os
import sys
import time

from bitternlever.core import signals
from bitternlever.platform import settings
from bitternlever.telemetry import events, logs

EXIT_INVALID_SETTINGS = 2
EXIT_ADDRESS_IN_USE = 75
PROGRAMS = ("entry", "control")
READS = 10
READ_INTERVAL_S = 0.1
"""Writing takes milliseconds; a start with faulty settings ends after a second."""


logger = logging.getLogger(__name__)


def main(arguments: list[str]) -> int:
    """Run the program that the arguments name and return its exit code."""
    if len(arguments) != 1 or arguments[0] not in PROGRAMS:
        print(f"usage: python -m bitternlever.platform {'|'.join(PROGRAMS)}")
        return EXIT_INVALID_SETTINGS
    program = arguments[0]
    skip_certificate_authorities()
    loaded = _load(program)
    if loaded.is_err():
        for fault in loaded.err():
            print(fault, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    handler = logs.configure_bounded(loaded.ok().host, program)
    try:
        return asyncio.run(_run(program, loaded.ok()))
    except OSError as error:
        events.ADDRESS_REFUSED.log(logger, error=str(error))
        return EXIT_ADDRESS_IN_USE
    finally:
        signals.ignore_all()
        handler.flush()


def _load(program: str) -> settings.Loaded:
    """Read the settings; read faulty ones again, since they may be being written."""
    for _ in range(READS):
        loaded = settings.load(program)
        if loaded.is_ok():
            break
        time.sleep(READ_INTERVAL_S)
    return loaded


def skip_certificate_authorities() -> None:
    """Keep the import of aiohttp from loading the certificate authorities.

    They serve TLS connections, which these programs do not make; loading them takes a
    fifth of the processor time of a start.
    """
    os.environ["SSL_CERT_FILE"] = os.devnull


async def _run(program: str, loaded: settings.fleet.FleetConfiguration) -> int:
    """Run a program; import only its modules, since those of the other cost memory."""
    read_settings = functools.partial(settings.load, program)
    if program == "control":
        from bitternlever.fleet import shell as fleet_shell
        from bitternlever.platform import control_api

        return await fleet_shell.run(loaded, control_api.handler, read_settings)
    from bitternlever.gateway import shell as gateway_shell
    from bitternlever.platform import entry_api

    handlers = gateway_shell.HandlerFactories(
        callers=entry_api.callers,
        readiness=entry_api.readiness,
        directory=entry_api.directory,
    )
    return await gateway_shell.run(
        loaded,
        entry_api.DIALECT,
        handlers,
        read_settings,
    )
