"""Gossip between entry hosts: membership and upstream announcements."""
