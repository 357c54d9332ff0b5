"""The replicated configuration: a log in the platform's key-value service, and its state.

Other packages read the configuration through `ConfigView`, which returns the state at the newest
revision that this process holds and can wait for a later one. `ConfigLog` appends a change, and
`ConfigReplica` exchanges entries and snapshots with peers. `ConfigStore` implements all three; the
daemon creates one of them.
"""

from ._compactor import Compactor
from ._entries import Entry, Snapshot
from ._protocols import (
    Accepted,
    ConfigLog,
    ConfigReplica,
    ConfigView,
    HeldRevision,
    RevisionSurvey,
)
from ._revert import Difference, RecordKind, diff, revert_change
from ._store import ConfigStore

__all__ = [
    "Accepted",
    "Compactor",
    "ConfigLog",
    "ConfigReplica",
    "ConfigStore",
    "ConfigView",
    "Difference",
    "Entry",
    "HeldRevision",
    "RecordKind",
    "RevisionSurvey",
    "Snapshot",
    "diff",
    "revert_change",
]
