"""Runs all tests, checks the run against KNOWN-RED.txt, and prints a last line of counts."""

import sys
import unittest
from pathlib import Path

from tests.known_failures import collect_test_ids, read_list, summarise_run

TOP = Path(__file__).resolve().parent.parent
LIST = TOP / "KNOWN-RED.txt"


def main() -> int:
    """Run all tests in this folder; return 0 if exactly the listed tests failed, otherwise 1."""
    listed = read_list(LIST.read_text() if LIST.exists() else "")
    suite = unittest.defaultTestLoader.discover(str(TOP / "tests"), top_level_dir=str(TOP))
    test_ids = collect_test_ids(suite)
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    summary = summarise_run(result, test_ids, listed)
    for failure in summary.listed_failures:
        print(f"known to fail: {failure.test}: {failure.seen}, {failure.command} ({failure.issue})")
    for list_error in summary.list_errors:
        print(list_error)
    counts = (summary.passed, summary.failed + len(summary.list_errors), summary.skipped)
    print("{} passed, {} failed, {} skipped".format(*counts), flush=True)
    return 0 if summary.is_green else 1


if __name__ == "__main__":
    sys.exit(main())
