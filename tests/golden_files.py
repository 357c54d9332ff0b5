"""Compares text with a file that was read and found right once."""

import os
import unittest
from pathlib import Path

GOLDEN = Path(__file__).parent / "golden"
REWRITE_VARIABLE = "REWRITE_GOLDEN"


def assert_golden(test: unittest.TestCase, name: str, text: str, *, folder: Path = GOLDEN) -> None:
    """Fail where the text differs from the golden file of that name in a folder.

    With ``REWRITE_GOLDEN=1`` in the environment the file is written instead, and the test fails
    all the same, so that a run which wrote files is never taken for a pass.
    """
    path = folder / name
    if os.environ.get(REWRITE_VARIABLE):
        path.write_text(text)
        test.fail(f"{path.name} was rewritten: read it, then run again without {REWRITE_VARIABLE}")
    test.maxDiff = None
    test.assertEqual(text, path.read_text())
