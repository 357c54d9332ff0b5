"""Small stand-ins for the platform and the workers, for development and tests.

The product never imports this package.
"""

from ._worker import WorkerCounts, WorkerStandIn, WorkerStatus
from ._worker_faults import WorkerFault, WorkerFaults
from ._worker_tasks import Task, TaskOrder, TaskState, TaskTable

__all__ = [
    "Task",
    "TaskOrder",
    "TaskState",
    "TaskTable",
    "WorkerCounts",
    "WorkerFault",
    "WorkerFaults",
    "WorkerStandIn",
    "WorkerStatus",
]
