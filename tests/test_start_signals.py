"""Tests of signals that come while the program starts."""

import pathlib
import signal
import subprocess
import sys
import unittest

PROGRAM = pathlib.Path(__file__).resolve().parent.parent / "deploy" / "run.py"
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
            was_ignored = False
            while process.poll() is None and not was_ignored:
                was_ignored = _ignores(process.pid, signal.SIGHUP)
            process.send_signal(signal.SIGHUP)
            code = process.wait(ENDS_WITHIN_S)
        # It ends for want of settings, and not by the signal, which was sent before that.
        self.assertGreater(code, 0)
        self.assertTrue(was_ignored)


def _ignores(pid: int, number: signal.Signals) -> bool:
    """Return whether a process ignores a signal now."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (mask,) = [line.split()[1] for line in status.splitlines() if line.startswith("SigIgn")]
    return bool(int(mask, 16) >> (number - 1) & 1)


if __name__ == "__main__":
    unittest.main()
