"""Test doubles of the systems that Shallotworks depends on, for development and tests.

`PlatformStandIn` replaces the platform's key-value service and its list of instances, and
`WorkerStandIn` replaces a worker instance. Both inject faults on request. `RecordStore` and
`TaskWorkers` simulate the users' platform in memory on the event loop's clock; `TaskWorkers` also
checks the orders that schedulers send. `StoreServer`, `WorkerServer` and `MachinesServer` serve
the users' platform's HTTP protocol in front of these simulations. Outside of tests, benchmarks and
soak runs only the command line and the demo import this package.
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
