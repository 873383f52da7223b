"""The commands of both programs, one module each."""
