"""Serve multi-stage model pipelines on small entry hosts without a balancer."""

__version__ = "0.1.0"
