"""Command-line arguments generated from settings."""

import cappa

from bitternlever.conf import settings


def argument(setting: settings.Setting) -> cappa.Arg:
    """Return the argument of a setting: its flag, environment variable and help.

    A missing setting stays None, so that the checks report it with all other errors.
    """
    default = f"Default: {setting.default!r}. " if setting.default is not None else ""
    return cappa.Arg(
        long=setting.flag,
        default=cappa.Env(setting.variable, default=setting.default),
        help=f"{setting.help} {default}Environment: {setting.variable}.",
        show_default=False,
    )
