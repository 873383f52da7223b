"""The control program: a core that makes decisions and a shell that performs I/O."""
