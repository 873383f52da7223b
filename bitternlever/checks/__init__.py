"""Checks of manifests and settings that report all errors at once."""
