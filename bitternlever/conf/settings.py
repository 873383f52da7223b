"""All settings of both programs: name, default, parser and help text.

A setting is given as a flag (``--http-listen``) or as an environment variable
(``BITTERNLEVER_HTTP_LISTEN``); the flag takes precedence.
"""

import dataclasses

from bitternlever.conf import parsers


@dataclasses.dataclass(slots=True, frozen=True)
class Setting:
    """One setting, required if it has no default. A secret is never printed."""

    name: str
    parser: parsers.Parser
    help: str
    default: str | None = None
    secret: bool = False

    @property
    def flag(self) -> str:
        """Return the command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Return the name of the environment variable."""
        return "BITTERNLEVER_" + self.name.upper()


HOST = Setting("host", parsers.name, "Name of this host, unique in the system.")
ZONE = Setting("zone", parsers.name, "Availability zone of this host.")
LISTEN = Setting(
    "listen",
    parsers.link,
    "Address for the system's other processes, as tcp://ADDRESS:PORT.",
)
CLUSTER_KEY = Setting(
    "cluster_key",
    parsers.text(minimum=16),
    "Key shared by all processes of the system; authenticates their frames.",
    secret=True,
)
LOG_FORMAT = Setting(
    "log_format",
    parsers.one_of("text", "json"),
    "Format of the log lines on standard error.",
    default="text",
)
LOG_LEVEL = Setting(
    "log_level",
    parsers.one_of("debug", "info", "warning", "error"),
    "Least severe level that is logged.",
    default="info",
)
OTLP_ENDPOINT = Setting(
    "otlp_endpoint",
    parsers.optional(parsers.http_url),
    "Collector for traces and metrics over OTLP/HTTP; empty for none.",
    default="",
)
SPANS_FILE = Setting(
    "spans_file",
    parsers.path,
    "File for spans as JSON lines when no collector is set; empty for none.",
    default="",
)
TRACE_RATIO = Setting(
    "trace_ratio",
    parsers.number(minimum=0, maximum=1, unit="of all requests"),
    "Share of requests that are traced if the caller has not decided.",
    default="1",
)
METRICS_FILE = Setting(
    "metrics_file",
    parsers.path,
    "File for metrics as JSON lines when no collector is set; empty for none.",
    default="",
)
METRICS_INTERVAL_S = Setting(
    "metrics_interval_s",
    parsers.number(minimum=1, maximum=600, unit="seconds"),
    "Time between two exports of the metrics.",
    default="10",
)

HTTP_LISTEN = Setting(
    "http_listen",
    parsers.socket_address,
    "Address for callers, operators and upstreams, as ADDRESS:PORT.",
)
ADDRESS = Setting(
    "address",
    parsers.http_url,
    "Advertised to callers and upstreams as this host's address: http://ADDRESS:PORT.",
)
CONTROL_NODES = Setting(
    "control_nodes",
    parsers.mapping(parsers.link),
    "Control processes, as HOST=tcp://ADDRESS:PORT, separated by commas.",
)
SEED_LINKS = Setting(
    "seed_links",
    parsers.comma_separated(parsers.link),
    "Addresses of a few entry processes to start gossip with.",
    default="",
)
OPERATOR_TOKEN = Setting(
    "operator_token",
    parsers.text(minimum=8),
    "Bearer token of operators.",
    secret=True,
)
UPSTREAM_TOKEN = Setting(
    "upstream_token",
    parsers.text(minimum=8),
    "Bearer token of upstreams for their announcements.",
    secret=True,
)
HOST_LIST_MAX_AGE_S = Setting(
    "host_list_max_age_s",
    parsers.number(minimum=1, maximum=300, unit="seconds"),
    "Time for which callers may cache an answer of GET /v1/hosts.",
    default="5",
)
MAXIMUM_REQUESTS = Setting(
    "maximum_requests",
    parsers.integer(minimum=1, maximum=100_000, unit="requests"),
    "Maximum concurrent requests on this host; more are refused with 503.",
    default="5000",
)
MAXIMUM_BODY_BYTES = Setting(
    "maximum_body_bytes",
    parsers.integer(minimum=1_000, maximum=16_000_000, unit="bytes"),
    "Maximum size of a request body; a larger one is refused with 413.",
    default="1000000",
)
MAXIMUM_JSON_DEPTH = Setting(
    "maximum_json_depth",
    parsers.integer(minimum=4, maximum=200, unit="levels"),
    "Maximum nesting of a JSON body; a deeper one is refused with 400.",
    default="32",
)
UPSTREAM_SILENCE_S = Setting(
    "upstream_silence_s",
    parsers.number(minimum=1, maximum=3, unit="seconds"),
    "Time after which an upstream without a new announcement gets no new work.",
    default="3",
)
POLICY = Setting(
    "policy",
    parsers.one_of(
        "predicted",
        "round_robin",
        "least_in_flight",
        "first_come_first_served",
    ),
    "Choice of upstreams; all but the first are baselines for comparison.",
    default="predicted",
)
JOURNAL_GROUPS = Setting(
    "journal_groups",
    parsers.integer(minimum=1, maximum=64, unit="groups"),
    "Journal groups that share the requests; the same everywhere, never changed.",
    default="1",
)

NODES = Setting(
    "nodes",
    parsers.mapping(parsers.link),
    "All initial control processes, including this one, as HOST=tcp://ADDRESS:PORT.",
)
ZONES = Setting(
    "zones",
    parsers.mapping(parsers.name),
    "Availability zone of each control process, as HOST=ZONE.",
)
DATA_FOLDER = Setting(
    "data_folder",
    parsers.text(minimum=1),
    "Folder on disk that holds all of this process's durable state.",
)
HOST_LEASE_S = Setting(
    "host_lease_s",
    parsers.number(minimum=1, maximum=30, unit="seconds"),
    "Duration of an entry host's lease; also the freshness bound of its manifest.",
    default="3",
)
ELECTION_TIMEOUT_S = Setting(
    "election_timeout_s",
    parsers.number(minimum=0.2, maximum=10, unit="seconds"),
    "Time without contact from the leader before a replica starts an election.",
    default="0.8",
)
HEARTBEAT_S = Setting(
    "heartbeat_s",
    parsers.number(minimum=0.02, maximum=1, unit="seconds"),
    "Time between two heartbeats of the leader.",
    default="0.2",
)
ANSWER_RETENTION_S = Setting(
    "answer_retention_s",
    parsers.number(minimum=10, maximum=604_800, unit="seconds"),
    "Time for which the final answer of a journaled request is kept.",
    default="3600",
)
MAXIMUM_JOURNAL_BYTES = Setting(
    "maximum_journal_bytes",
    parsers.integer(minimum=100_000, maximum=1_000_000_000, unit="bytes"),
    "Maximum size of the journal's state; above it, new claims are refused with 503.",
    default="9000000",
)

COMMON = (
    HOST,
    ZONE,
    LISTEN,
    CLUSTER_KEY,
    LOG_FORMAT,
    LOG_LEVEL,
    OTLP_ENDPOINT,
    SPANS_FILE,
    TRACE_RATIO,
    METRICS_FILE,
    METRICS_INTERVAL_S,
    JOURNAL_GROUPS,
)
ENTRY = (
    *COMMON,
    HTTP_LISTEN,
    ADDRESS,
    CONTROL_NODES,
    SEED_LINKS,
    OPERATOR_TOKEN,
    UPSTREAM_TOKEN,
    HOST_LIST_MAX_AGE_S,
    MAXIMUM_REQUESTS,
    MAXIMUM_BODY_BYTES,
    MAXIMUM_JSON_DEPTH,
    UPSTREAM_SILENCE_S,
    POLICY,
)
CONTROL = (
    *COMMON,
    NODES,
    ZONES,
    DATA_FOLDER,
    HOST_LEASE_S,
    ELECTION_TIMEOUT_S,
    HEARTBEAT_S,
    ANSWER_RETENTION_S,
    MAXIMUM_JOURNAL_BYTES,
)
