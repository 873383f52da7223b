"""The documentation of all settings: ``python -m bitternlever.checks.settings_page``.

Prints the content of ``docs/ref/settings.md``.
"""

import sys

from bitternlever.conf import settings

HEAD = """\
# Settings

Every setting can be given as a flag (`--http-listen`) or as an environment variable
(`BITTERNLEVER_HTTP_LISTEN`); the flag takes precedence. All settings are checked at
startup: every invalid one is reported with its value and the allowed values, and the
program exits with code 2. `bitternlever config check entry|control` runs the same
checks without starting the program.

This page is printed by `python -m bitternlever.checks.settings_page`.
"""
TABLE_HEAD = "| flag | variable | default | meaning |\n| --- | --- | --- | --- |"
SECTIONS = (
    ("Both programs", settings.COMMON),
    ("`bitternleverd entry`", settings.ENTRY),
    ("`bitternleverd control`", settings.CONTROL),
)


def generate() -> str:
    """Return the page in Markdown."""
    parts = [HEAD]
    for title, group in SECTIONS:
        common = () if group is settings.COMMON else settings.COMMON
        rows = [_row(setting) for setting in group if setting not in common]
        parts.append("\n".join([f"## {title}\n", TABLE_HEAD, *rows, ""]))
    return "\n".join(parts)


def _row(setting: settings.Setting) -> str:
    if setting.default is None:
        default = "must be set"
    else:
        default = f"`{setting.default}`" if setting.default else "empty"
    secret = " Secret: give it as a variable." if setting.secret else ""
    cells = (f"`{setting.flag}`", f"`{setting.variable}`", default)
    return f"| {' | '.join(cells)} | {setting.help}{secret} |"


if __name__ == "__main__":
    sys.stdout.write(generate())
