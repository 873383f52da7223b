"""The core and the shell of the control program."""
