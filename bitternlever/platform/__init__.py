"""The users' platform: its messages and routes, translated and nothing more."""
