"""The documentation lists exactly the events that the code registers."""

import importlib
import logging
import pathlib
import pkgutil
import re

import bitternlever
from bitternlever.telemetry import events

ROOT = pathlib.Path(__file__).parents[2]
ROW = re.compile(r"^\| (\d+) \| ([a-z0-9-]+) \| ([a-z]+) \|", re.MULTILINE)


def test_every_event_is_documented():
    for module in pkgutil.walk_packages(bitternlever.__path__, "bitternlever."):
        if ".commands" not in module.name:
            importlib.import_module(module.name)
    documented = {
        (int(number), name, level)
        for number, name, level in ROW.findall((ROOT / "docs/EVENTS.md").read_text())
    }

    registered = {
        (event.number, event.name, logging.getLevelName(event.level).lower())
        for event in events.CATALOGUE.values()
    }

    assert documented == registered
