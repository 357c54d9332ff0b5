"""Starts one entry instance on the users' platform from a checkout."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from shallotworks.platform import serve

if __name__ == "__main__":
    sys.exit(serve())
