"""The configuration in force: the log in the platform's service and the state it leads to.

`ConfigView` is what every other package reads: the state at the newest revision this process
holds, and a way to wait for the next. `ConfigLog` is how a change is made, `ConfigReplica` what
peers pass on to each other. `ConfigStore` is all three, built once by the daemon.
"""

from ._compactor import Compactor
from ._entries import Entry, Snapshot
from ._protocols import Accepted, ConfigLog, ConfigReplica, ConfigView
from ._store import ConfigStore
from ._undo import Difference, RecordKind, diff, undo

__all__ = [
    "Accepted",
    "Compactor",
    "ConfigLog",
    "ConfigReplica",
    "ConfigStore",
    "ConfigView",
    "Difference",
    "Entry",
    "RecordKind",
    "Snapshot",
    "diff",
    "undo",
]
