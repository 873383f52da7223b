"""Raft consensus: election, log replication, snapshots and membership changes."""
