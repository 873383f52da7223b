"""Segments, checksums, synced writes and snapshots on disk."""
