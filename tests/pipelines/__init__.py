"""Tests of the request lifecycle on entry hosts."""
