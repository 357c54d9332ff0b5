"""Adapter of the users' platform: translates its protocols into the product's own types.

This package makes no decision: `shallotworks.jobs` handles callers' jobs, `shallotworks.scheduling`
decides what runs where, and both access the platform only through protocols that they define.
"""

from ._daemon import serve
from .settings import PlatformSettings, load_platform_settings

__all__ = ["PlatformSettings", "load_platform_settings", "serve"]
