"""The manifest that operators apply: workspaces, pipelines, models and limits."""

import enum

import msgspec


class Task(enum.Enum):
    """The work that a stage asks of an upstream."""

    ENCODE = "encode"
    RETRIEVE = "retrieve"
    RERANK = "rerank"
    GENERATE = "generate"
    CALL = "call"


class Stage(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One stage of a pipeline, served by any upstream of its pool.

    A stage that is not idempotent is sent at most once for each request.
    """

    name: str
    task: Task
    pool: str
    model: str | None = None
    idempotent: bool = True
    billing: bool = False
    deadline_weight: float = 1.0
    first_byte_timeout_ms: int = 2_000
    between_bytes_timeout_ms: int = 1_000
    maximum_output_tokens: int = 0


class Kind(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A kind of request: its urgency, its deadline and whether it is durable.

    Priority 0 is the most urgent. A durable kind waits in the journal instead of
    being refused for lack of capacity.
    """

    name: str
    priority: int
    deadline_ms: int
    durable: bool = False


class Pipeline(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Stages in their order, and the kinds of request that run through them.

    The answer is the output of ``answer_stage``, by default the last stage.
    """

    name: str
    stages: list[Stage]
    kinds: list[Kind]
    answer_stage: str | None = None


class Workspace(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A customer's workspace: its tokens' digests and its weight in fair shares."""

    name: str
    token_sha256: list[str]
    weight: float = 1.0
    maximum_waiting: int = 1_000


class Model(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A model, its version and how many engines should hold it."""

    name: str
    version: str
    pool: str
    weight_bytes: int
    minimum_engines: int = 1
    adapters: list[str] = []


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits that hold for all workspaces."""

    urgent_priority: int = 1
    urgent_share: float = 0.2
    retry_ratio: float = 0.1
    hedge_ratio: float = 0.05
    maximum_preemptions: int = 2
    weight_store_loads_per_minute: int = 6


class Manifest(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole configuration, replaced as one by the next number.

    Where ``pools`` is given, stages and models may name only the pools in it.
    """

    number: int
    workspaces: list[Workspace]
    pipelines: list[Pipeline]
    models: list[Model] = []
    limits: Limits = Limits()
    pools: list[str] = []
