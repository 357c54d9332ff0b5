"""Runs every test and closes with one plain line of counts."""

import os
import sys
import unittest


def main() -> int:
    """Run all tests below this folder; the exit code says whether all passed."""
    top = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    suite = unittest.defaultTestLoader.discover(os.path.join(top, "tests"), top_level_dir=top)
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {len(result.skipped)} skipped", flush=True)
    return 0 if failed == 0 and passed > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
