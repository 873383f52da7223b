"""Tests of the ``catalog`` package."""
