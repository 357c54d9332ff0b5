"""Tests of signals that arrive while the program starts."""

import pathlib
import signal
import subprocess
import sys
import unittest

PROGRAM = pathlib.Path(__file__).resolve().parent.parent / "deploy" / "run.py"
EXIT_TIMEOUT_S = 20.0


class StartSignalTests(unittest.TestCase):
    def test_a_reload_during_the_start_does_not_end_the_process(self) -> None:
        """Guards against a SIGHUP that ends the process while it starts."""
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
            exit_code = process.wait(EXIT_TIMEOUT_S)
        # The process exits because its settings are missing, not by the signal sent before.
        self.assertGreater(exit_code, 0)
        self.assertTrue(was_ignored)


def _ignores(pid: int, signal_number: signal.Signals) -> bool:
    """Return whether a process currently ignores a signal."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (mask,) = [line.split()[1] for line in status.splitlines() if line.startswith("SigIgn")]
    return bool(int(mask, 16) >> (signal_number - 1) & 1)


if __name__ == "__main__":
    unittest.main()
