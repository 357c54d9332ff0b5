"""HTTP listeners: cheroot with the settings that every port of ours needs, set on purpose.

Nothing here knows what is served; callers' port, operators' port and the stand-ins all start one.
"""

from ._listener import Listener, WsgiApplication

__all__ = ["Listener", "WsgiApplication"]
