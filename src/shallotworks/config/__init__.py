"""The configuration in force: the log in the platform's service and the state it leads to.

`ConfigView` is what every other package reads: the state at the newest revision this process
holds, and a way to wait for the next. `ConfigLog` is how a change is made.
"""

from ._entries import Entry, Snapshot
from ._protocols import Accepted, ConfigLog, ConfigReplica, ConfigView

__all__ = ["Accepted", "ConfigLog", "ConfigReplica", "ConfigView", "Entry", "Snapshot"]
