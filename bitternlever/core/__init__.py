"""Code shared by both programs: clocks, reloading of settings, ticks and the runner."""
