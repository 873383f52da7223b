"""Experiments and their reports."""
