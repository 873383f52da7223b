"""Arguments of the command line made from settings."""

import cappa

from bitternlever.conf import settings


def argument(setting: settings.Setting) -> cappa.Arg:
    """Make the argument of a setting: its flag, its environment variable, its help.

    A setting that is missing stays None: the checks report it with all others.
    """
    default = f"Default: {setting.default!r}. " if setting.default is not None else ""
    return cappa.Arg(
        long=setting.flag,
        default=cappa.Env(setting.variable, default=setting.default),
        help=f"{setting.help} {default}Environment: {setting.variable}.",
        show_default=False,
    )
