"""``bitternleverd``: the daemon's command line.

Exit codes: 0 after a clean end, 2 for invalid settings, 70 for a broken invariant,
74 for a data folder that cannot be used, 75 for an address that cannot be bound.
"""

import asyncio
import dataclasses
import logging
import sys
from typing import Any

import cappa

from bitternlever import __version__
from bitternlever.commands import daemon_control, daemon_entry
from bitternlever.conf import configuration
from bitternlever.telemetry import events, logs

EXIT_INVALID_SETTINGS = 2
EXIT_ADDRESS_IN_USE = 75

logger = logging.getLogger(__name__)


@cappa.command(
    name="bitternleverd",
    help="Run one of the two programs of bitternlever on this host.",
)
@dataclasses.dataclass(slots=True)
class Daemon:
    """The daemon's two programs."""

    program: cappa.Subcommands[daemon_entry.Entry | daemon_control.Control]


def main(argv: list[str] | None = None) -> None:
    """Run the daemon and end the process with its exit code."""
    daemon = cappa.parse(Daemon, argv=argv, version=__version__)
    sys.exit(run(daemon.program))


def run(program: daemon_entry.Entry | daemon_control.Control) -> int:
    """Check the settings and run the program; return its exit code."""
    raw = {
        name: value
        for name, value in dataclasses.asdict(program).items()
        if value is not None
    }
    is_entry = isinstance(program, daemon_entry.Entry)
    checked = configuration.entry(raw) if is_entry else configuration.control(raw)
    if checked.is_err():
        for fault in checked.err():
            print(fault, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    settings = checked.ok()
    logs.configure(settings.log_format, settings.log_level)
    try:
        return asyncio.run(_import_shell(is_entry).run(settings))
    except OSError as error:
        events.ADDRESS_REFUSED.log(logger, error=str(error))
        return EXIT_ADDRESS_IN_USE


def _import_shell(is_entry: bool) -> Any:
    """Return the shell module of the program that runs.

    The other program is not imported, since its libraries cost memory.
    """
    if is_entry:
        from bitternlever.entry import shell as entry_shell

        return entry_shell
    from bitternlever.control import shell as control_shell

    return control_shell


if __name__ == "__main__":
    main()
