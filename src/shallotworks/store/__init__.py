"""The store in which everything that must last or be agreed on is kept, as the product sees it.

Other packages see only the protocol and types named here. `Mirror` keeps a copy of all keys under
a prefix up to date; `HeldLease` keeps a leased key, with a fencing token, while it can be kept;
`FencedRecord` is the last word of such a holder under a key.
"""

from ._fenced_record import FencedRecord
from ._held_lease import HeldLease, LeaseTiming
from ._mirror import Mirror, MirrorListener
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
    "Mirror",
    "MirrorListener",
    "Page",
    "Store",
    "Write",
]
