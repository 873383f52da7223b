"""Settings that both programs of the daemon share."""

import dataclasses
from typing import Annotated

from bitternlever.commands import arguments
from bitternlever.conf import settings

OptionalText = str | None


@dataclasses.dataclass(slots=True)
class Common:
    """Settings of both programs as unchecked text."""

    host: Annotated[OptionalText, arguments.argument(settings.HOST)]
    zone: Annotated[OptionalText, arguments.argument(settings.ZONE)]
    listen: Annotated[OptionalText, arguments.argument(settings.LISTEN)]
    cluster_key: Annotated[OptionalText, arguments.argument(settings.CLUSTER_KEY)]
    log_format: Annotated[OptionalText, arguments.argument(settings.LOG_FORMAT)]
    log_level: Annotated[OptionalText, arguments.argument(settings.LOG_LEVEL)]
    otlp_endpoint: Annotated[OptionalText, arguments.argument(settings.OTLP_ENDPOINT)]
    spans_file: Annotated[OptionalText, arguments.argument(settings.SPANS_FILE)]
    trace_ratio: Annotated[OptionalText, arguments.argument(settings.TRACE_RATIO)]
    metrics_file: Annotated[OptionalText, arguments.argument(settings.METRICS_FILE)]
    metrics_interval_s: Annotated[
        OptionalText,
        arguments.argument(settings.METRICS_INTERVAL_S),
    ]
    journal_groups: Annotated[OptionalText, arguments.argument(settings.JOURNAL_GROUPS)]
