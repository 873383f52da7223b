"""Metrics, traces and numbered log events."""
