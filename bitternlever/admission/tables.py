"""Tables of admission: the stages that wait for an upstream."""

import dataclasses

from bitternlever.pipelines import tables as pipeline_tables


@dataclasses.dataclass(slots=True)
class AdmissionTables:
    """Ready stages by request id and stage index, and what fairness remembers."""

    ready: dict[tuple[str, int], pipeline_tables.ReadyStage] = dataclasses.field(
        default_factory=dict,
    )
    served: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """A refusal at once: nothing was run and nothing will be.

    ``status`` is 429 for a workspace above its share and 503 for a lack of capacity.
    """

    status: int
    detail: str
    retry_after_s: float
