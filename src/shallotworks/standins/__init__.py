"""Small stand-ins for what the product runs beside, for development and tests.

The platform's key-value service and its list of instances, and worker instances, each with faults
that can be switched on. `RecordStore` and `TaskWorkers` stand for the users' platform in memory, on
the loop's clock, and judge what schedulers do there; `StoreServer`, `WorkerServer` and
`MachinesServer` speak its protocol before them. The product never imports this package; only
the command line and the demo start it.
"""

from ._callers import Callers, Ledger
from ._crashing_workers import CrashingWorkers
from ._description import TEAM, describe_fleet, free_ports
from ._fault_injecting_orders import FaultInjectingOrders, OrderFaults
from ._machines_http import ListedMachine, MachineOrder, MachinesServer
from ._memory_instances import MemoryInstanceList
from ._memory_store import MemoryStore, StoreFaults
from ._platform import PlatformStandIn, serve_platform
from ._record_store import FaultInjectingStore, RecordFaults, RecordStore
from ._store_http import StoreServer
from ._task_workers import TaskWorker, TaskWorkers
from ._violations import Violations, count_violations
from ._worker import WorkerStandIn, serve_worker
from ._worker_control import WorkerCounts, WorkerStatus
from ._worker_faults import WorkerFault, WorkerFaults
from ._worker_http import WorkerServer
from ._worker_runs import WorkerRun
from ._worker_tasks import Task, TaskOrder, TaskState, TaskTable

__all__ = [
    "Violations",
    "Callers",
    "CrashingWorkers",
    "Ledger",
    "MachineOrder",
    "ListedMachine",
    "MachinesServer",
    "MemoryInstanceList",
    "MemoryStore",
    "OrderFaults",
    "FaultInjectingOrders",
    "PlatformStandIn",
    "RecordFaults",
    "RecordStore",
    "StoreFaults",
    "StoreServer",
    "FaultInjectingStore",
    "TEAM",
    "Task",
    "TaskOrder",
    "TaskState",
    "TaskTable",
    "TaskWorker",
    "TaskWorkers",
    "WorkerCounts",
    "WorkerFault",
    "WorkerFaults",
    "WorkerRun",
    "WorkerServer",
    "WorkerStandIn",
    "WorkerStatus",
    "describe_fleet",
    "count_violations",
    "free_ports",
    "serve_platform",
    "serve_worker",
]
