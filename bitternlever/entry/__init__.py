"""The core and the shell of the entry program."""
