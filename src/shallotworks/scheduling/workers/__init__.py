"""Workers: what is known of one worker from its reports, and what follows for its tasks.

`CrashBlame` tells which tasks may have crashed a worker, and `Isolation` starts those apart from
others. `PaceEvidence` tells which workers are slow, `Copies` which runs on them are worth a second
one, and `WorkerStates` counts the workers by what
is known of them. This package gives no orders and uses no network.
"""

from ._copies import Copies, CopyReason, may_have_copies
from ._crash_blame import CrashBlame
from ._dark_racks import DarkRacks
from ._evidence import PaceEvidence
from ._isolation import Isolation
from ._states import WorkerState, WorkerStates

__all__ = [
    "Copies",
    "CopyReason",
    "CrashBlame",
    "DarkRacks",
    "Isolation",
    "PaceEvidence",
    "WorkerState",
    "WorkerStates",
    "may_have_copies",
]
