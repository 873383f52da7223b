"""Check the settings of a program, also against each other, before it is started."""

import collections
import pathlib
from collections.abc import Mapping

from bitternlever.checks import messages
from bitternlever.conf import configuration

INVALID_VALUE = "settings.E001"
UNREACHABLE_LISTEN = "settings.E002"
OWN_LINK_DIFFERS = "settings.E003"
ZONE_DIFFERS = "settings.E004"
ZONE_HOLDS_QUORUM = "settings.W001"
NO_DATA_FOLDER = "settings.W002"
NO_SEED_LINKS = "settings.W003"
SHORT_KEY = "settings.W004"
SAME_TOKENS = "settings.W005"

WILDCARD_PREFIXES = ("tcp://0.0.0.0:", "tcp://[::]:", "tcp://*:")
RECOMMENDED_KEY_LENGTH = 32


def entry(raw: Mapping[str, str]) -> list[messages.Message]:
    """Return every error and warning for the settings of an entry process."""
    checked = configuration.entry(raw)
    if checked.is_err():
        return [_message(fault) for fault in checked.err()]
    values = checked.ok()
    found = _check_common(values)
    if not values.seed_links:
        detail = "No seed links are set: this host cannot find other hosts."
        hint = "Name the links of two or three other entry hosts."
        found.append(messages.warning(NO_SEED_LINKS, "--seed-links", detail, hint))
    if values.operator_token == values.upstream_token:
        detail = "Operators and upstreams have the same token."
        hint = "Give upstreams a separate token: it is stored on more machines."
        found.append(messages.warning(SAME_TOKENS, "--upstream-token", detail, hint))
    return found


def control(raw: Mapping[str, str]) -> list[messages.Message]:
    """Return every error and warning for the settings of a control process."""
    checked = configuration.control(raw)
    if checked.is_err():
        return [_message(fault) for fault in checked.err()]
    values = checked.ok()
    found = _check_common(values)
    found += _check_own_node(values)
    found += _check_zones(values.zones)
    if not pathlib.Path(values.data_folder).parent.is_dir():
        detail = f"The folder above {values.data_folder!r} does not exist."
        hint = "Create it on a disk that honours fsync."
        found.append(messages.warning(NO_DATA_FOLDER, "--data-folder", detail, hint))
    return found


def _check_common(values: configuration.CommonConfiguration) -> list[messages.Message]:
    found = []
    if values.listen.startswith(WILDCARD_PREFIXES):
        detail = f"Other processes cannot connect to the wildcard {values.listen!r}."
        hint = "Give the IP address at which other hosts reach this one."
        found.append(messages.error(UNREACHABLE_LISTEN, "--listen", detail, hint))
    if len(values.cluster_key) < RECOMMENDED_KEY_LENGTH:
        detail = f"The key is shorter than {RECOMMENDED_KEY_LENGTH} characters."
        hint = "Make one with: openssl rand -hex 32"
        found.append(messages.warning(SHORT_KEY, "--cluster-key", detail, hint))
    return found


def _check_own_node(
    values: configuration.ControlConfiguration,
) -> list[messages.Message]:
    found = []
    own_link = values.nodes[values.host]
    if own_link != values.listen:
        detail = f"{values.host} is listed with {own_link!r}, not {values.listen!r}."
        hint = "Give this host the same address in --nodes and --listen."
        found.append(messages.error(OWN_LINK_DIFFERS, "--nodes", detail, hint))
    own_zone = values.zones[values.host]
    if own_zone != values.zone:
        detail = f"{values.host} is listed with {own_zone!r}, not {values.zone!r}."
        hint = "Give this host the same zone in --zones and --zone."
        found.append(messages.error(ZONE_DIFFERS, "--zones", detail, hint))
    return found


def _check_zones(zones: Mapping[str, str]) -> list[messages.Message]:
    quorum = len(zones) // 2 + 1
    found = []
    for zone, count in sorted(collections.Counter(zones.values()).items()):
        if count >= quorum and len(zones) > 1:
            detail = f"The zone {zone!r} holds {count} of {len(zones)} replicas."
            hint = "Spread the replicas: losing this zone would stop every change."
            found.append(messages.warning(ZONE_HOLDS_QUORUM, "--zones", detail, hint))
    return found


def _message(fault: configuration.Fault) -> messages.Message:
    detail = f"{fault.value}; allowed: {fault.allowed}."
    return messages.error(
        INVALID_VALUE, fault.flag, detail, f"Variable: {fault.variable}."
    )
