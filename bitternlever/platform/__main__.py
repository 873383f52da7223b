"""Run one program of a fleet on the platform: ``entry`` or ``control``."""

import signal
import sys

if __name__ == "__main__":
    # A notice of changed settings may come during the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from bitternlever.platform import programs

    sys.exit(programs.main(sys.argv[1:]))
