"""The command line: starts an instance, and is the operator's tool over the operators' API.

It prints tables for people and one JSON document for programs, and ends with the exit code of the
error's kind. It decides nothing and keeps nothing; what starts an instance, a stand-in or the demo
is imported only by the command that needs it.
"""

from ._main import main, run

__all__ = ["main", "run"]
