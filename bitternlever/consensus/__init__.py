"""The replicated log: election, replication, snapshots, replica replacement."""
