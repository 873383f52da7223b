"""``bitternleverd entry``: serve callers on this host."""

import dataclasses
from typing import Annotated

import cappa

from bitternlever.commands import arguments, daemon_common
from bitternlever.conf import settings


@cappa.command(name="entry", help="Serve callers, operators and upstreams.")
@dataclasses.dataclass(slots=True)
class Entry(daemon_common.Common):
    """Settings of an entry process as unchecked text."""

    http_listen: Annotated[
        daemon_common.OptionalText, arguments.argument(settings.HTTP_LISTEN)
    ]
    address: Annotated[daemon_common.OptionalText, arguments.argument(settings.ADDRESS)]
    control_nodes: Annotated[
        daemon_common.OptionalText, arguments.argument(settings.CONTROL_NODES)
    ]
    seed_links: Annotated[
        daemon_common.OptionalText, arguments.argument(settings.SEED_LINKS)
    ]
    operator_token: Annotated[
        daemon_common.OptionalText, arguments.argument(settings.OPERATOR_TOKEN)
    ]
    upstream_token: Annotated[
        daemon_common.OptionalText, arguments.argument(settings.UPSTREAM_TOKEN)
    ]
    host_list_max_age_s: Annotated[
        daemon_common.OptionalText,
        arguments.argument(settings.HOST_LIST_MAX_AGE_S),
    ]
    maximum_requests: Annotated[
        daemon_common.OptionalText, arguments.argument(settings.MAXIMUM_REQUESTS)
    ]
    maximum_body_bytes: Annotated[
        daemon_common.OptionalText,
        arguments.argument(settings.MAXIMUM_BODY_BYTES),
    ]
    maximum_json_depth: Annotated[
        daemon_common.OptionalText,
        arguments.argument(settings.MAXIMUM_JSON_DEPTH),
    ]
    upstream_silence_s: Annotated[
        daemon_common.OptionalText,
        arguments.argument(settings.UPSTREAM_SILENCE_S),
    ]
    policy: Annotated[daemon_common.OptionalText, arguments.argument(settings.POLICY)]
