"""Run every scenario of this folder."""

import pytest_bdd

pytest_bdd.scenarios(".")
