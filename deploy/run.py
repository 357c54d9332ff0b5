"""Starts one entry instance on the users' platform from a checkout."""

import pathlib
import signal
import sys

# The settings are read later: a signal to read them anew that comes before has no news, and would
# end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from shallotworks.platform import serve

if __name__ == "__main__":
    sys.exit(serve())
