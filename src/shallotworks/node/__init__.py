"""Composition root of an entry instance: its components, ports, start and stop on one event loop.

This package has no logic about requests, plans or the configuration; it connects the packages that
do.
"""

from ._node import Node
from ._serve import serve

__all__ = ["Node", "serve"]
