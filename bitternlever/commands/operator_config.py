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
    "instead of the environment.",
)


class Program(enum.Enum):
    """The two programs of the daemon."""

    ENTRY = "entry"
    CONTROL = "control"


@cappa.command(
    name="check",
    help="Check the settings of a program offline and report all errors.",
)
@dataclasses.dataclass
class Check:
    """Options of ``config check``."""

    program: Annotated[Program, cappa.Arg(help="The program whose settings to check.")]
    environment_file: Annotated[pathlib.Path | None, ENVIRONMENT_FILE] = None
    json: Annotated[bool, operator_client.JSON] = False


@cappa.command(name="config", help="Check settings.")
@dataclasses.dataclass
class Config:
    """Commands for settings."""

    command: cappa.Subcommands[Check]


def run(command: Config) -> int:
    """Check the settings and print every error and warning."""
    check = command.command
    try:
        environment = _environment(check.environment_file)
    except (OSError, UnicodeDecodeError) as error:
        print(f"the settings cannot be read: {error}", file=sys.stderr)
        return operator_client.EXIT_USAGE
    is_entry = check.program is Program.ENTRY
    program_settings = settings.ENTRY if is_entry else settings.CONTROL
    raw = raw_settings(program_settings, environment)
    found = settings_checks.entry(raw) if is_entry else settings_checks.control(raw)
    errors = messages.errors(found)
    lines = [messages.format_line(message) for message in found]
    lines.append(f"{len(errors)} errors, {len(found) - len(errors)} warnings")
    view = operator_manifest.CheckView(accepted=not errors, messages=found)
    operator_output.print_result(check.json, view, lines)
    return operator_client.EXIT_REFUSED if errors else operator_client.EXIT_DONE


def raw_settings(
    program_settings: tuple[settings.Setting, ...],
    environment: Mapping[str, str],
) -> dict[str, str]:
    """Return the raw values of settings by name; unset ones get their default."""
    raw = {}
    for setting in program_settings:
        text = environment.get(setting.variable, setting.default)
        if text is not None:
            raw[setting.name] = text
    return raw


def _environment(path: pathlib.Path | None) -> Mapping[str, str]:
    if path is None:
        return os.environ
    values = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        name, separator, value = line.strip().partition("=")
        if separator and not name.startswith(("#", ";")):
            values[name.strip()] = value.strip().strip("\"'")
    return values
