"""HTTP listeners: cheroot with the limits and timeouts that all ports share.

A listener is independent of the application that it serves. The callers' port, the operators' port
and the stand-ins each use one.
"""

from ._listener import Listener, WsgiApplication

__all__ = ["Listener", "WsgiApplication"]
