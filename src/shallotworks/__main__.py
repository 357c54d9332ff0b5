"""Runs the command line: ``python -m shallotworks``."""

from shallotworks.cli import main

if __name__ == "__main__":
    main()
