"""Tables of orders: the order lease, and the last order to each engine."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Order:
    """The last order to an engine; ``settled`` once it was answered."""

    order_id: str
    incarnation: int
    models: list[str]
    adapters: list[str]
    role: str
    sent_s: float
    settled: bool = False
    refused: bool = False


@dataclasses.dataclass(slots=True)
class OrderTables:
    """The order lease as held by this host, and what it has ordered under it.

    ``tokens`` pace the loads from the weight store. ``pressed_since`` tells since
    when a model's work has waited too long here, ``next_move_s`` when a pool may get
    another copy of a model for that.
    """

    fencing: int = 0
    valid_until_s: float = 0.0
    quiet_until_s: float = 0.0
    asking: bool = False
    next_ask_s: float = 0.0
    next_look_s: float = 0.0
    next_order: int = 0
    orders: dict[str, Order] = dataclasses.field(default_factory=dict)
    tokens: float = 0.0
    tokens_s: float | None = None
    pressed_since: dict[str, float] = dataclasses.field(default_factory=dict)
    next_move_s: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Wanted:
    """What an engine should hold; ``loads`` counts the models it does not hold."""

    upstream: str
    models: list[str]
    adapters: list[str]
    loads: int
