"""``bitternlever config``: check the settings of a program offline."""

import dataclasses
import enum
import os
import pathlib
import sys
from collections.abc import Mapping
from typing import Annotated

import cappa

from bitternlever.checks import messages, settings as settings_checks
from bitternlever.commands import operator_client, operator_manifest, operator_output
from bitternlever.conf import settings

ENVIRONMENT_FILE = cappa.Arg(
    long=True,
    help="Read the settings from this file of NAME=VALUE lines, as systemd does, "
    "and not from the environment.",
)


class Program(enum.Enum):
    """The two programs of the daemon."""

    ENTRY = "entry"
    CONTROL = "control"


@cappa.command(
    name="check",
    help="Check the settings of a program offline: all faults at once.",
)
@dataclasses.dataclass
class Check:
    """Options of ``config check``."""

    program: Annotated[Program, cappa.Arg(help="Whose settings to check.")]
    environment_file: Annotated[pathlib.Path | None, ENVIRONMENT_FILE] = None
    json: Annotated[bool, operator_client.JSON] = False


@cappa.command(name="config", help="Check settings.")
@dataclasses.dataclass
class Config:
    """The commands about settings."""

    command: cappa.Subcommands[Check]


def run(command: Config) -> int:
    """Check the settings and print what is wrong with them."""
    check = command.command
    try:
        environment = _environment(check.environment_file)
    except (OSError, UnicodeDecodeError) as error:
        print(f"the settings cannot be read: {error}", file=sys.stderr)
        return operator_client.EXIT_USAGE
    is_entry = check.program is Program.ENTRY
    wanted = settings.ENTRY if is_entry else settings.CONTROL
    raw = raw_settings(wanted, environment)
    found = settings_checks.entry(raw) if is_entry else settings_checks.control(raw)
    refused = messages.errors(found)
    lines = [messages.format_line(message) for message in found]
    lines.append(f"{len(refused)} errors, {len(found) - len(refused)} warnings")
    view = operator_manifest.CheckView(accepted=not refused, messages=found)
    operator_output.value(check.json, view, lines)
    return operator_client.EXIT_REFUSED if refused else operator_client.EXIT_DONE


def raw_settings(
    wanted: tuple[settings.Setting, ...],
    environment: Mapping[str, str],
) -> dict[str, str]:
    """Return the values of settings by name, with their defaults."""
    raw = {}
    for setting in wanted:
        text = environment.get(setting.variable, setting.default)
        if text is not None:
            raw[setting.name] = text
    return raw


def _environment(path: pathlib.Path | None) -> Mapping[str, str]:
    if path is None:
        return os.environ
    values = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        name, sign, value = line.strip().partition("=")
        if sign and not name.startswith(("#", ";")):
            values[name.strip()] = value.strip().strip("\"'")
    return values
