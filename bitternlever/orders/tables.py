"""State of engine orders: the order lease, and the last order to each engine."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Order:
    """The last order to an engine; ``is_answered`` once it was answered."""

    order_id: str
    incarnation: int
    models: list[str]
    adapters: list[str]
    role: str
    sent_s: float
    is_answered: bool = False
    refused: bool = False


@dataclasses.dataclass(slots=True)
class OrderTables:
    """The order lease of this host, and the orders sent under it.

    ``quiet_until_s`` is the time from which engines without fencing may get orders.
    ``load_tokens`` is a token bucket that limits the rate of model loads from the
    weight store; ``load_tokens_updated_s`` is when it was last refilled.
    ``overloaded_since_s`` is since when the work of a model has waited too long on this
    host, ``next_scale_up_s`` when a pool may next get another copy for that reason.
    """

    fencing: int = 0
    valid_until_s: float = 0.0
    quiet_until_s: float = 0.0
    renewing: bool = False
    next_renewal_s: float = 0.0
    next_reconcile_s: float = 0.0
    next_order: int = 0
    orders: dict[str, Order] = dataclasses.field(default_factory=dict)
    load_tokens: float = 0.0
    load_tokens_updated_s: float | None = None
    overloaded_since_s: dict[str, float] = dataclasses.field(default_factory=dict)
    next_scale_up_s: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class DesiredModels:
    """The desired models of an engine; ``loads`` counts those it has to load."""

    upstream: str
    models: list[str]
    adapters: list[str]
    loads: int
