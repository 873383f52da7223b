"""Settings as checked, typed values, and the faults of settings that are invalid."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any

import result

from bitternlever.conf import settings


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """An invalid setting: its name, its value and the values that are allowed."""

    name: str
    flag: str
    variable: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return one line with the value and the values that are allowed."""
        return f"{self.flag} ({self.variable}): {self.value}; allowed: {self.allowed}"


@dataclasses.dataclass(slots=True, frozen=True)
class CommonConfiguration:
    """Settings that both programs have; secrets are stored in plain text."""

    host: str
    zone: str
    listen: str
    cluster_key: str
    log_format: str
    log_level: str
    otlp_endpoint: str | None
    spans_file: str
    trace_ratio: float
    metrics_file: str
    metrics_interval_s: float
    journal_groups: int


@dataclasses.dataclass(slots=True, frozen=True)
class EntryConfiguration(CommonConfiguration):
    """Settings of ``bitternleverd entry``."""

    http_listen: tuple[str, int]
    address: str
    control_nodes: dict[str, str]
    seed_links: list[str]
    operator_token: str
    upstream_token: str
    host_list_max_age_s: float
    maximum_requests: int
    maximum_body_bytes: int
    maximum_json_depth: int
    upstream_silence_s: float
    policy: str


@dataclasses.dataclass(slots=True, frozen=True)
class ControlConfiguration(CommonConfiguration):
    """Settings of ``bitternleverd control``."""

    nodes: dict[str, str]
    zones: dict[str, str]
    data_folder: str
    host_lease_s: float
    election_timeout_s: float
    heartbeat_s: float
    answer_retention_s: float
    maximum_journal_bytes: int


def entry(raw: Mapping[str, str]) -> result.Result[EntryConfiguration, list[Fault]]:
    """Check the settings of an entry process, given as text by name."""
    values, faults = _parse(settings.ENTRY, raw)
    if not values.get("control_nodes", True):
        faults.append(_fault(settings.CONTROL_NODES, "", "at least one process"))
    if faults:
        return result.Err(faults)
    return result.Ok(EntryConfiguration(**values))


def control(raw: Mapping[str, str]) -> result.Result[ControlConfiguration, list[Fault]]:
    """Check the settings of a control process, given as text by name."""
    values, faults = _parse(settings.CONTROL, raw)
    if not faults:
        faults.extend(_control_faults(values, raw))
    if faults:
        return result.Err(faults)
    return result.Ok(ControlConfiguration(**values))


def _control_faults(
    values: Mapping[str, Any],
    raw: Mapping[str, str],
) -> Iterable[Fault]:
    if values["host"] not in values["nodes"]:
        yield _fault(settings.NODES, raw["nodes"], f"must include {values['host']}")
    if set(values["zones"]) != set(values["nodes"]):
        yield _fault(settings.ZONES, raw["zones"], "the same hosts as in --nodes")
    if len(values["nodes"]) not in (1, 3, 5, 7):
        yield _fault(settings.NODES, raw["nodes"], "1, 3, 5 or 7 processes")
    if values["heartbeat_s"] * 3 > values["election_timeout_s"]:
        yield _fault(
            settings.HEARTBEAT_S,
            raw["heartbeat_s"],
            "at most a third of --election-timeout-s",
        )


def _parse(
    expected: Iterable[settings.Setting],
    raw: Mapping[str, str],
) -> tuple[dict[str, Any], list[Fault]]:
    values: dict[str, Any] = {}
    faults: list[Fault] = []
    for setting in expected:
        text = raw.get(setting.name)
        if text is None:
            faults.append(_fault(setting, "not set", "a value is required"))
            continue
        outcome = setting.parser(text)
        if outcome.is_err():
            faults.append(_fault(setting, text, outcome.err()))
            continue
        values[setting.name] = outcome.ok()
    return values, faults


def _fault(setting: settings.Setting, value: str, allowed: str) -> Fault:
    return Fault(
        name=setting.name,
        flag=setting.flag,
        variable=setting.variable,
        value="(hidden)" if setting.secret else repr(value),
        allowed=allowed,
    )
