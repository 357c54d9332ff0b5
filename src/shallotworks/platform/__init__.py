"""The users' platform: what is spoken there, translated into the product's own terms.

Nothing here decides: callers' jobs go to `shallotworks.jobs`, what runs where is decided by
`shallotworks.scheduling`, and both see the platform only through protocols of their own.
"""

from ._daemon import serve
from .settings import PlatformSettings, load_platform_settings

__all__ = ["PlatformSettings", "load_platform_settings", "serve"]
