"""One entry instance put together: every part on one event loop, its ports, start and stop.

It holds no rule of its own about requests, plans or the configuration; it wires what does.
"""

from ._node import Node
from ._serve import serve

__all__ = ["Node", "serve"]
