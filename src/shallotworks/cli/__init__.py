"""The command line: starts an instance and is the client of the operators' API.

It prints tables for people or one JSON document for programs, and exits with the code of the error
kind. It makes no decisions and stores no state. The code that starts an instance, a stand-in or
the demo is imported only by the command that needs it.
"""

from ._main import main, run

__all__ = ["main", "run"]
