"""The lifecycle of a request through the stages of its pipeline."""
