"""Tests of signals that come while the program starts."""

import pathlib
import signal
import subprocess
import sys
import time
import unittest

PROGRAM = pathlib.Path(__file__).resolve().parent.parent / "deploy" / "run.py"
INTERPRETER_STARTS_S = 0.15
"""The program's first lines have run by then, and its imports have not ended."""
ENDS_WITHIN_S = 20.0


class StartSignalTests(unittest.TestCase):
    def test_a_reload_during_the_start_does_not_end_the_process(self) -> None:
        """A process that was told to read its settings while it started was ended by that."""
        with subprocess.Popen(
            [sys.executable, str(PROGRAM)],
            env={"SHALLOTWORKS_SETTINGS": "/nonexistent"},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        ) as process:
            time.sleep(INTERPRETER_STARTS_S)
            process.send_signal(signal.SIGHUP)
            code = process.wait(ENDS_WITHIN_S)
        # It ends for want of settings, and not by the signal.
        self.assertGreater(code, 0)


if __name__ == "__main__":
    unittest.main()
