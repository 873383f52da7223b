"""The manifest that operators apply: workspaces, pipelines, models and limits."""

import enum

import msgspec


class Task(enum.Enum):
    """The type of work that a stage requests from an upstream."""

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
    """An ordered list of stages and the kinds of request that run through them.

    The answer is the output of ``answer_stage``, by default the last stage.
    """

    name: str
    stages: list[Stage]
    kinds: list[Kind]
    answer_stage: str | None = None


class Workspace(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A customer's workspace: digests of its tokens and its weight in fair sharing."""

    name: str
    token_sha256: list[str]
    weight: float = 1.0
    maximum_waiting: int = 1_000


class Model(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A model, its version and the number of engines that should hold it."""

    name: str
    version: str
    pool: str
    weight_bytes: int
    minimum_engines: int = 1
    adapters: list[str] = []


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits that apply to all workspaces."""

    urgent_priority: int = 1
    urgent_share: float = 0.2
    retry_ratio: float = 0.1
    hedge_ratio: float = 0.05
    maximum_preemptions: int = 2
    weight_store_loads_per_minute: int = 6


class Manifest(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The complete configuration, replaced as a unit by the next number.

    If ``pools`` is given, stages and models may name only pools listed there.
    """

    number: int
    workspaces: list[Workspace]
    pipelines: list[Pipeline]
    models: list[Model] = []
    limits: Limits = Limits()
    pools: list[str] = []
