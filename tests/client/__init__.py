"""Tests of the client."""
