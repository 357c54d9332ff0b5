"""The platform as its users meet it: the key-value service and the list of instances.

Everything that must last or be agreed goes through `KeyValueStore`. Other packages see only the
protocols named here; the HTTP client behind them is built once, by the daemon.
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
