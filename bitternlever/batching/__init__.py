"""Batching of stage work from many hosts into full calls to each upstream."""
