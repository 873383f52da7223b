"""Settings that both programs of the daemon take."""

import dataclasses
from typing import Annotated

from bitternlever.commands import arguments
from bitternlever.conf import settings

Text = str | None


@dataclasses.dataclass(slots=True)
class Common:
    """Settings of both programs, as given."""

    host: Annotated[Text, arguments.argument(settings.HOST)]
    zone: Annotated[Text, arguments.argument(settings.ZONE)]
    listen: Annotated[Text, arguments.argument(settings.LISTEN)]
    cluster_key: Annotated[Text, arguments.argument(settings.CLUSTER_KEY)]
    log_format: Annotated[Text, arguments.argument(settings.LOG_FORMAT)]
    log_level: Annotated[Text, arguments.argument(settings.LOG_LEVEL)]
    otlp_endpoint: Annotated[Text, arguments.argument(settings.OTLP_ENDPOINT)]
    spans_file: Annotated[Text, arguments.argument(settings.SPANS_FILE)]
    trace_ratio: Annotated[Text, arguments.argument(settings.TRACE_RATIO)]
    metrics_file: Annotated[Text, arguments.argument(settings.METRICS_FILE)]
    metrics_interval_s: Annotated[
        Text,
        arguments.argument(settings.METRICS_INTERVAL_S),
    ]
    journal_groups: Annotated[Text, arguments.argument(settings.JOURNAL_GROUPS)]
