"""A complete fleet in one process: stand-ins, entry instances, callers and an operator.

The demo introduces new users to the system and checks an installation. Only the command line
imports this package.
"""

from ._operator import DemoOperator
from ._run import run_demo

__all__ = ["DemoOperator", "run_demo"]
