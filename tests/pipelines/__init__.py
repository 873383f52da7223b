"""Tests of requests on an entry host."""
