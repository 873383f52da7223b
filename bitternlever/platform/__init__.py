"""Adapter to the users' platform: translates its settings, messages and routes."""
