"""The store in which everything that must last or be agreed on is kept, as the product sees it.

Other packages see only the protocol and types named here. `PrefixWatcher` keeps a copy of all keys
under a prefix up to date; `HeldLease` keeps a leased key, with a fencing token, while it can be
kept; `FencedRecord` is the last word of such a holder under a key.
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
