"""All tables of a control process, and the settings that its decisions need."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ControlSettings:
    """Settings of the control core; durations in seconds.

    ``nodes`` maps every initial control node to its link; ``zones`` names the
    availability zone of each.
    """

    node: str
    link: str
    zone: str
    disk: str
    nodes: dict[str, str]
    zones: dict[str, str]
    journal_groups: int = 1
    host_lease_s: float = 3.0
    order_lease_s: float = 5.0
    election_timeout_s: float = 0.8
    heartbeat_s: float = 0.1
    answer_retention_s: float = 3_600.0
    maximum_journal_bytes: int = 16_000_000
