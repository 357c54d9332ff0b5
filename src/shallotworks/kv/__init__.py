"""Clients of the platform's services: the key-value store and the list of instances.

All state that must be durable or agreed on between processes goes through `KeyValueStore`. Other
packages depend only on the protocols exported here; the daemon creates the HTTP clients that
implement them.
"""

from ._calls import PlatformLimits
from ._http_store import HttpInstanceList, HttpKeyValueStore
from ._lease_candidate import LeaseCandidate, LeaseRecord
from ._protocols import (
    InstanceList,
    KeyValueStore,
    Lease,
    ListedInstance,
    Versioned,
    WatchResult,
)

__all__ = [
    "LeaseRecord",
    "HttpInstanceList",
    "HttpKeyValueStore",
    "InstanceList",
    "KeyValueStore",
    "Lease",
    "LeaseCandidate",
    "ListedInstance",
    "PlatformLimits",
    "Versioned",
    "WatchResult",
]
