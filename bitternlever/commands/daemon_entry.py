"""``bitternleverd entry``: serve callers on this host."""

import dataclasses
from typing import Annotated

import cappa

from bitternlever.commands import arguments
from bitternlever.conf import settings

Text = str | None


@cappa.command(name="entry", help="Serve callers, operators and upstreams.")
@dataclasses.dataclass(slots=True)
class Entry:
    """Settings of an entry process, as given."""

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
    http_listen: Annotated[Text, arguments.argument(settings.HTTP_LISTEN)]
    address: Annotated[Text, arguments.argument(settings.ADDRESS)]
    control_nodes: Annotated[Text, arguments.argument(settings.CONTROL_NODES)]
    seed_links: Annotated[Text, arguments.argument(settings.SEED_LINKS)]
    operator_token: Annotated[Text, arguments.argument(settings.OPERATOR_TOKEN)]
    upstream_token: Annotated[Text, arguments.argument(settings.UPSTREAM_TOKEN)]
    host_list_max_age_s: Annotated[
        Text,
        arguments.argument(settings.HOST_LIST_MAX_AGE_S),
    ]
    maximum_requests: Annotated[Text, arguments.argument(settings.MAXIMUM_REQUESTS)]
    maximum_body_bytes: Annotated[
        Text,
        arguments.argument(settings.MAXIMUM_BODY_BYTES),
    ]
    maximum_json_depth: Annotated[
        Text,
        arguments.argument(settings.MAXIMUM_JSON_DEPTH),
    ]
    upstream_silence_s: Annotated[
        Text,
        arguments.argument(settings.UPSTREAM_SILENCE_S),
    ]
    policy: Annotated[Text, arguments.argument(settings.POLICY)]
