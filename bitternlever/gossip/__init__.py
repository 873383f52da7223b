"""Membership of entry hosts and the spread of upstream announcements."""
