"""Log segments, snapshots, checksums and synced writes on disk."""
