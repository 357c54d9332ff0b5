"""Runs the platform stand-in as a process: prints its port, and ends with its standard input."""

from __future__ import annotations

import sys

from shallotworks.standins import serve_platform


def main() -> None:
    standin = serve_platform(host="127.0.0.1", port=0)
    print(standin.address.rpartition(":")[2], flush=True)
    sys.stdin.read()
    standin.stop()


if __name__ == "__main__":
    main()
