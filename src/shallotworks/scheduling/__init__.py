"""Scheduling: which worker runs which task, in which order, under leases and fencing tokens.

`LeaderElector` runs a `ServiceScheduler` for one epoch of each service whose lease it acquires.
`DecisionEngine`, `Placement`, the task order and pacing decide without using the network. This
package accesses workers, machines and the store only through protocols.
"""

from ._active_workers import ActiveWorker, ActiveWorkersRecord, active_workers_key
from ._decisions import DecisionEngine
from ._model import (
    AdviceRequest,
    EndedTask,
    EndKind,
    OrderOutcome,
    OrderStatus,
    PaceOrder,
    Run,
    RunningTask,
    RunPhase,
    StartOrder,
    StopOrder,
    Worker,
    WorkerReport,
    WorkerView,
)
from ._order_dispatcher import OrderDispatcher
from ._order_times import OrderTimes
from ._ordering import urgency
from ._protocols import (
    AdviceService,
    Machine,
    MachineOrderStatus,
    Machines,
    MachineState,
    MaintenanceSchedule,
    MaintenanceWave,
    Permits,
    WorkerDirectory,
    WorkerOrders,
)
from ._scheduler_dependencies import SchedulerDependencies
from ._scheduler_state import SchedulerState, StoredProgress
from ._service_scheduler import ServiceScheduler
from ._tracked_jobs import TrackedStep
from ._wait_reason import WaitReason
from ._waiting import WaitMonitor, WaitSummary, waiting_reason
from .duties import LeaderElector, LeaseHolder, ServiceRoster
from .machines import (
    MACHINES_PREFIX,
    MachineController,
    MachineControllerDependencies,
    MachineControllerRecord,
    MachineRecords,
    PoolDemand,
    PoolSizer,
    SizingLimits,
    WaveRecord,
    machine_controller_key,
    pool_demand_key,
    wave_key,
)

__all__ = [
    "AdviceRequest",
    "AdviceService",
    "LeaderElector",
    "LeaseHolder",
    "DecisionEngine",
    "MachineOrderStatus",
    "EndKind",
    "EndedTask",
    "MachineControllerDependencies",
    "MACHINES_PREFIX",
    "MachineControllerRecord",
    "Machine",
    "MachineRecords",
    "MachineController",
    "MachineState",
    "Machines",
    "OrderStatus",
    "OrderOutcome",
    "OrderDispatcher",
    "OrderTimes",
    "PaceOrder",
    "Permits",
    "PoolDemand",
    "PoolSizer",
    "Run",
    "RunPhase",
    "RunningTask",
    "ActiveWorker",
    "ActiveWorkersRecord",
    "SchedulerState",
    "ServiceRoster",
    "ServiceScheduler",
    "SizingLimits",
    "StartOrder",
    "TrackedStep",
    "StopOrder",
    "StoredProgress",
    "SchedulerDependencies",
    "MaintenanceWave",
    "MaintenanceSchedule",
    "WaitReason",
    "WaitSummary",
    "WaitMonitor",
    "WaveRecord",
    "Worker",
    "WorkerDirectory",
    "WorkerOrders",
    "WorkerReport",
    "WorkerView",
    "machine_controller_key",
    "pool_demand_key",
    "active_workers_key",
    "urgency",
    "waiting_reason",
    "wave_key",
]
