"""Messages between processes, and between each core and its shell."""
