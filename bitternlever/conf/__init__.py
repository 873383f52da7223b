"""Settings of both programs, their defaults and their checks."""
