"""Tests of the journal groups."""
