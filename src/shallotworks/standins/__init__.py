"""Small stand-ins for what the product runs beside, for development and tests.

The platform's key-value service and its list of instances, each with faults that can be switched
on. The product never imports this package; only the command line starts it.
"""

from ._memory_instances import MemoryInstanceList
from ._memory_store import MemoryStore, StoreFaults
from ._platform import PlatformStandIn, serve_platform

__all__ = [
    "MemoryInstanceList",
    "MemoryStore",
    "PlatformStandIn",
    "StoreFaults",
    "serve_platform",
]
