"""``bitternleverd control``: keep a replica of the system's state on this host."""

import dataclasses
from typing import Annotated

import cappa

from bitternlever.commands import arguments
from bitternlever.conf import settings

Text = str | None


@cappa.command(name="control", help="Keep a replica of the system's durable state.")
@dataclasses.dataclass(slots=True)
class Control:
    """Settings of a control process, as given."""

    host: Annotated[Text, arguments.argument(settings.HOST)]
    zone: Annotated[Text, arguments.argument(settings.ZONE)]
    listen: Annotated[Text, arguments.argument(settings.LISTEN)]
    cluster_key: Annotated[Text, arguments.argument(settings.CLUSTER_KEY)]
    log_format: Annotated[Text, arguments.argument(settings.LOG_FORMAT)]
    log_level: Annotated[Text, arguments.argument(settings.LOG_LEVEL)]
    otlp_endpoint: Annotated[Text, arguments.argument(settings.OTLP_ENDPOINT)]
    spans_file: Annotated[Text, arguments.argument(settings.SPANS_FILE)]
    metrics_file: Annotated[Text, arguments.argument(settings.METRICS_FILE)]
    metrics_interval_s: Annotated[
        Text,
        arguments.argument(settings.METRICS_INTERVAL_S),
    ]
    nodes: Annotated[Text, arguments.argument(settings.NODES)]
    zones: Annotated[Text, arguments.argument(settings.ZONES)]
    data_folder: Annotated[Text, arguments.argument(settings.DATA_FOLDER)]
    host_lease_s: Annotated[Text, arguments.argument(settings.HOST_LEASE_S)]
    election_timeout_s: Annotated[
        Text,
        arguments.argument(settings.ELECTION_TIMEOUT_S),
    ]
    heartbeat_s: Annotated[Text, arguments.argument(settings.HEARTBEAT_S)]
    answer_retention_s: Annotated[
        Text,
        arguments.argument(settings.ANSWER_RETENTION_S),
    ]
    maximum_journal_bytes: Annotated[
        Text,
        arguments.argument(settings.MAXIMUM_JOURNAL_BYTES),
    ]
