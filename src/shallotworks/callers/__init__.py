"""The callers' port: parses HTTP into a `Request` and returns the relay's final response.

It rejects malformed requests only; the relay decides where and when a request runs.
"""

from ._application import CallersApplication
from ._reading import RequestLimits, read_request

__all__ = ["CallersApplication", "RequestLimits", "read_request"]
