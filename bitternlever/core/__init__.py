"""Code shared by both programs: clocks, reloading of settings, ticks and the runner.

Each program has a core, which makes decisions without I/O, and a shell around it, which
performs the I/O.
"""
