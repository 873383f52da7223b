"""Messages between processes, and between the core and its shell."""
