"""Compares text with golden files, whose content was read and approved once."""

import os
import unittest
from pathlib import Path

GOLDEN = Path(__file__).parent / "golden"
REWRITE_VARIABLE = "REWRITE_GOLDEN"


def assert_golden(test: unittest.TestCase, name: str, text: str, *, folder: Path = GOLDEN) -> None:
    """Fail if the text differs from the golden file of that name in a folder.

    With ``REWRITE_GOLDEN=1`` in the environment the file is rewritten and the test still fails, so
    that a run that rewrites files can't pass.
    """
    path = folder / name
    if os.environ.get(REWRITE_VARIABLE):
        path.write_text(text)
        test.fail(
            f"{path.name} was rewritten: review it, then run again without {REWRITE_VARIABLE}"
        )
    test.maxDiff = None
    test.assertEqual(text, path.read_text())
