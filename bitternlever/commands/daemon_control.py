"""``bitternleverd control``: keep a replica of the system's state on this host."""

import dataclasses
from typing import Annotated

import cappa

from bitternlever.commands import arguments, daemon_common
from bitternlever.conf import settings


@cappa.command(name="control", help="Keep a replica of the system's durable state.")
@dataclasses.dataclass(slots=True)
class Control(daemon_common.Common):
    """Settings of a control process as unchecked text."""

    nodes: Annotated[daemon_common.OptionalText, arguments.argument(settings.NODES)]
    zones: Annotated[daemon_common.OptionalText, arguments.argument(settings.ZONES)]
    data_folder: Annotated[
        daemon_common.OptionalText, arguments.argument(settings.DATA_FOLDER)
    ]
    host_lease_s: Annotated[
        daemon_common.OptionalText, arguments.argument(settings.HOST_LEASE_S)
    ]
    election_timeout_s: Annotated[
        daemon_common.OptionalText,
        arguments.argument(settings.ELECTION_TIMEOUT_S),
    ]
    heartbeat_s: Annotated[
        daemon_common.OptionalText, arguments.argument(settings.HEARTBEAT_S)
    ]
    answer_retention_s: Annotated[
        daemon_common.OptionalText,
        arguments.argument(settings.ANSWER_RETENTION_S),
    ]
    maximum_journal_bytes: Annotated[
        daemon_common.OptionalText,
        arguments.argument(settings.MAXIMUM_JOURNAL_BYTES),
    ]
