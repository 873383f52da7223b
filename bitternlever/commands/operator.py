"""``bitternlever``: the operator's tool.

Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no entry host answered, 4 the token
was refused, 5 not yet done when ``--wait`` ended, 6 it may or may not be done.
"""

import dataclasses
import sys

import cappa

from bitternlever import __version__
from bitternlever.commands import (
    operator_config,
    operator_control,
    operator_drain,
    operator_explain,
    operator_hosts,
    operator_manifest,
    operator_requests,
    operator_upstreams,
    operator_where,
    operator_zones,
)

RUN_BY_COMMAND = {
    operator_config.Config: operator_config.run,
    operator_control.Control: operator_control.run,
    operator_drain.Drain: operator_drain.run,
    operator_explain.Explain: operator_explain.run,
    operator_hosts.Hosts: operator_hosts.run,
    operator_manifest.Manifest: operator_manifest.run,
    operator_requests.Requests: operator_requests.run,
    operator_upstreams.Upstreams: operator_upstreams.run,
    operator_where.Where: operator_where.run,
    operator_zones.Zones: operator_zones.run,
}


@cappa.command(
    name="bitternlever",
    help="Operate bitternlever: apply manifests, look at hosts, drain, repair.",
    description="Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no entry host "
    "answered, 4 token refused, 5 not yet done when --wait ended, 6 unknown "
    "whether done (the same command may be sent again).",
)
@dataclasses.dataclass
class Operator:
    """The operator's commands."""

    command: cappa.Subcommands[
        operator_manifest.Manifest
        | operator_hosts.Hosts
        | operator_upstreams.Upstreams
        | operator_zones.Zones
        | operator_requests.Requests
        | operator_drain.Drain
        | operator_explain.Explain
        | operator_where.Where
        | operator_control.Control
        | operator_config.Config
    ]


def main(argv: list[str] | None = None) -> None:
    """Run one command and end the process with its exit code."""
    parsed = cappa.parse(Operator, argv=argv, version=__version__)
    sys.exit(RUN_BY_COMMAND[type(parsed.command)](parsed.command))


if __name__ == "__main__":
    main()
