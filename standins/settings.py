"""Settings of one stand-in process."""

import dataclasses
import enum


class StandInKind(enum.Enum):
    """The kinds of systems that a stand-in can replace."""

    ENGINE = "engine"
    ENCODER = "encoder"
    RETRIEVER = "retriever"
    RERANKER = "reranker"
    SERVICE = "service"
    WEIGHT_STORE = "weight-store"


TASKS = {
    StandInKind.ENGINE: ["generate"],
    StandInKind.ENCODER: ["encode"],
    StandInKind.RETRIEVER: ["retrieve"],
    StandInKind.RERANKER: ["rerank"],
    StandInKind.SERVICE: ["call"],
    StandInKind.WEIGHT_STORE: [],
}


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one stand-in.

    It announces itself to ``entries``, with ``token``, and writes to the folder
    ``records``. ``non_idempotent`` names the stages whose calls may run only once; this
    is only recorded.
    """

    kind: StandInKind
    name: str
    host: str = "127.0.0.1"
    port: int = 0
    zone: str = "zone-a"
    pool: str = "pool"
    entries: tuple[str, ...] = ()
    token: str = ""
    records: str = ""
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    weight_store: str = ""
    checks_fencing: bool = False
    concurrency: int = 8
    service_ms: float = 4.0
    step_ms: float = 4.0
    cache_prefixes: int = 64
    bytes_per_s: int = 2_000_000_000
    non_idempotent: tuple[str, ...] = ()
    seed: int = 1

    @property
    def address(self) -> str:
        """Return the base URL at which entry hosts reach this stand-in."""
        return f"http://{self.host}:{self.port}"

    @property
    def tasks(self) -> list[str]:
        """Return the tasks that this stand-in serves."""
        return TASKS[self.kind]
