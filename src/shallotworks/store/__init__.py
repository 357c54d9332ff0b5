"""Interface of the key-value store that holds durable and shared state.

Other packages use only the protocol and types named here. `PrefixWatcher` reports all changes
of the keys under a prefix. `HeldLease` renews the lease of a key and carries its fencing token.
`FencedRecord` is a record that only the holder of such a lease writes.
"""

from ._fenced_record import FencedRecord
from ._held_lease import HeldLease, LeaseTiming
from ._prefix_watcher import PrefixWatcher, WatchListener
from ._protocols import (
    Changes,
    Commit,
    Committed,
    Condition,
    Conflicted,
    Deletion,
    Item,
    Page,
    Store,
    Write,
)

__all__ = [
    "Changes",
    "Commit",
    "Committed",
    "Condition",
    "Conflicted",
    "Deletion",
    "FencedRecord",
    "HeldLease",
    "LeaseTiming",
    "Item",
    "PrefixWatcher",
    "WatchListener",
    "Page",
    "Store",
    "Write",
]
