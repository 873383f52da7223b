"""Checks of what operators write: manifests and settings, all faults at once."""
