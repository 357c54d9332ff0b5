"""A whole fleet in one process: stand-ins, entry instances, callers and an operator.

For newcomers and for checking an installation; the product never imports it.
"""

from ._operator import DemoOperator
from ._run import run_demo

__all__ = ["DemoOperator", "run_demo"]
