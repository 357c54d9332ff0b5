"""The callers' port: HTTP in, a checked `Request`, the relay's one final answer out.

It decides nothing about where or when a request runs; it only refuses what is malformed.
"""

from ._application import CallersApplication
from ._reading import RequestLimits, read_request

__all__ = ["CallersApplication", "RequestLimits", "read_request"]
